package account_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/standin/tdplatform"
	"tarragondeal/internal/test/tdtest"
)

// reported returns the sum of the accepted reports, counting each window once.
// It fails if a window was reported with different figures.
func (s *site) reported() tarragondeal.UsageLine {
	var sum tarragondeal.UsageLine
	seen := make(map[time.Time][]tarragondeal.UsageLine)
	for _, u := range s.cluster.Platform.Recorded().Usage {
		if !u.Accepted {
			continue
		}
		if before, ok := seen[u.Report.Window]; ok {
			Expect(u.Report.Lines).To(Equal(before), "window %s", u.Report.Window)
			continue
		}
		seen[u.Report.Window] = u.Report.Lines
		for _, l := range u.Report.Lines {
			if l.Route == "narrate" {
				sum.Requests += l.Requests
				sum.OutputTokens += l.OutputTokens
			}
		}
	}
	return sum
}

// callers send streams, each caller one after another to its node, until stop is
// closed.
type callers struct {
	mu             sync.Mutex
	wg             sync.WaitGroup
	stop           chan struct{}
	completeTokens int64 // Tokens of complete answers.
	complete       int64
	cutTokens      int64 // Tokens of answers that were cut off.
	cut            int
}

func (c *callers) run(s *site, n *tdtest.Node, k int) {
	defer GinkgoRecover()
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		default:
		}
		a := s.post(n, "/v1/chat/completions", fmt.Sprintf(`{"model":"narrate","stream":true,"max_tokens":80,"messages":["%d of %d"]}`, i, k), "")
		if a.err != nil && a.status == 0 {
			return // The node is gone.
		}
		c.record(a)
	}
}

func (c *callers) record(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := int64(strings.Count(a.body, `"content":"w`))
	switch {
	case a.status == http.StatusOK && strings.Contains(a.body, "data: [DONE]"):
		c.completeTokens += tokens
		c.complete++
	case a.status == http.StatusOK:
		c.cutTokens += tokens
		c.cut++
	}
}

func (s *site) startCallers(c *callers) {
	c.stop = make(chan struct{})
	for k := range 2 * len(s.nodes) {
		c.wg.Go(func() { c.run(s, s.nodes[k%len(s.nodes)], k) })
	}
}

var _ = Describe("billed usage", func() {
	It("has what was delivered when a node dies in the middle", func() {
		s := start(3, tdplatform.Options{}, "-usage.sinkChecksFencing")
		before := int64(len(s.nodes)) // Complete answers of one token each, sent when the nodes started.
		c := &callers{}
		s.startCallers(c)
		Eventually(func() int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.complete }, "30s", "20ms").Should(BeNumerically(">", 30))
		s.nodes[2].Kill()
		complete := func() int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.complete }
		atKill := complete()
		Eventually(complete, "30s", "20ms").Should(BeNumerically(">", atKill+20))
		close(c.stop)
		c.wg.Wait()
		// Complete answers are billed exactly. Of an answer that was cut off,
		// the tokens are billed that its node could copy before it died.
		Eventually(func() int64 { return s.reported().Requests }, "60s", "200ms").Should(BeNumerically(">=", c.complete+before))
		sum := s.reported()
		Expect(sum.OutputTokens).To(BeNumerically(">=", c.completeTokens+before))
		Consistently(func() int64 { return s.reported().Requests }, 2*window, "500ms").Should(BeNumerically("<=", c.complete+before+int64(c.cut)))
		Expect(s.reported().OutputTokens).To(BeNumerically("<=", c.completeTokens+before+c.cutTokens))
	})

	It("is complete after an outage of the store", func() {
		s := start(2, tdplatform.Options{}, "-usage.sinkChecksFencing")
		s.cluster.Platform.SetOutage(true)
		c := &callers{}
		s.startCallers(c)
		Eventually(func() int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.complete }, "30s", "20ms").Should(BeNumerically(">", 30))
		close(c.stop)
		c.wg.Wait()
		s.cluster.Platform.SetOutage(false)
		want := c.completeTokens + int64(len(s.nodes))
		Eventually(func() int64 { return s.reported().OutputTokens }, "60s", "200ms").Should(Equal(want))
	})
})
