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

// reported sums what the sink accepted, each window once. It fails when a
// window came with two sets of figures.
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

// callers send streams one after another to their own nodes until told to
// stop.
type callers struct {
	mu     sync.Mutex
	wg     sync.WaitGroup
	stop   chan struct{}
	whole  int64 // Tokens of whole answers.
	count  int64
	broken int64 // Tokens of answers that broke.
	breaks int
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
		c.note(a)
	}
}

func (c *callers) note(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tokens := int64(strings.Count(a.body, `"content":"w`))
	switch {
	case a.status == http.StatusOK && strings.Contains(a.body, "data: [DONE]"):
		c.whole += tokens
		c.count++
	case a.status == http.StatusOK:
		c.broken += tokens
		c.breaks++
	}
}

func (s *site) load(c *callers) {
	c.stop = make(chan struct{})
	for k := range 2 * len(s.nodes) {
		c.wg.Go(func() { c.run(s, s.nodes[k%len(s.nodes)], k) })
	}
}

var _ = Describe("the usage bill", func() {
	It("has what was delivered when a node dies in the middle", func() {
		s := start(3, tdplatform.Options{}, "-usage.sinkChecksFencing")
		before := int64(len(s.nodes)) // Whole answers of one token, from the start.
		c := &callers{}
		s.load(c)
		Eventually(func() int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.count }, "30s", "20ms").Should(BeNumerically(">", 30))
		s.nodes[2].Kill()
		rest := func() int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.count }
		at := rest()
		Eventually(rest, "30s", "20ms").Should(BeNumerically(">", at+20))
		close(c.stop)
		c.wg.Wait()
		// Whole answers are billed to the token; of a broken one, what its
		// node could copy before it died.
		Eventually(func() int64 { return s.reported().Requests }, "60s", "200ms").Should(BeNumerically(">=", c.count+before))
		sum := s.reported()
		Expect(sum.OutputTokens).To(BeNumerically(">=", c.whole+before))
		Consistently(func() int64 { return s.reported().Requests }, 2*window, "500ms").Should(BeNumerically("<=", c.count+before+int64(c.breaks)))
		Expect(s.reported().OutputTokens).To(BeNumerically("<=", c.whole+before+c.broken))
	})

	It("waits for the store and loses nothing", func() {
		s := start(2, tdplatform.Options{}, "-usage.sinkChecksFencing")
		s.cluster.Platform.SetOutage(true)
		c := &callers{}
		s.load(c)
		Eventually(func() int64 { c.mu.Lock(); defer c.mu.Unlock(); return c.count }, "30s", "20ms").Should(BeNumerically(">", 30))
		close(c.stop)
		c.wg.Wait()
		s.cluster.Platform.SetOutage(false)
		want := c.whole + int64(len(s.nodes))
		Eventually(func() int64 { return s.reported().OutputTokens }, "60s", "200ms").Should(Equal(want))
	})
})
