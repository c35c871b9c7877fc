// Package dispatch_test runs three real nodes before stand-in engines and
// lets nodes and engines fail.
package dispatch_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"
	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/object/tdset"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/test/tdtest"
)

func TestDispatch(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Dispatch")
}

var binary string

var _ = BeforeSuite(func() {
	var err error
	binary, err = gexec.Build("tarragondeal/cmd/tarragondeal")
	Expect(err).NotTo(HaveOccurred())
})

var _ = AfterSuite(gexec.CleanupBuildArtifacts)

const setText = `
dataCentres:
  - {name: duluth, region: lakes}
serverPools:
  - {name: narrator, kind: model, model: narrator-7b, slots: 4}
requestClasses:
  - {name: bench, tier: 1, firstToken: 330ms, betweenTokens: 30ms, deadline: 15s}
workspaces:
  - {name: auditors}
routes:
  - {name: narrate, class: bench, pools: [narrator]}
`

// site is a running deployment.
type site struct {
	cluster *tdcluster.Cluster
	nodes   []*tdtest.Node
	specs   []tdtest.NodeSpec
	key     string
	keys    []tarragondeal.Key
}

// start starts nodes before engines, and waits until each node serves.
func start(nodes, engines int) *site {
	s := &site{}
	var err error
	s.cluster, err = tdcluster.Start(tdcluster.Spec{
		RestartAfter: 500 * time.Millisecond,
		Groups: []tdcluster.Group{{Pool: "narrator", DataCentre: "duluth", Count: engines, Engine: &tdengine.Options{
			Slots: 4, PerToken: 2 * time.Millisecond, CrashMarker: "crashThisEngine",
		}}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.cluster.Close)
	var peers []netip.AddrPort
	for n := range nodes {
		spec := tdtest.NodeSpec{
			Name: fmt.Sprintf("node%d", n+1), DataCentre: "duluth", PlatformURL: s.cluster.PlatformURL,
			Peers: peers, Args: []string{"-member.every", "200ms", "-log.level", "debug"},
		}
		node := tdtest.StartNode(binary, spec)
		DeferCleanup(node.Kill)
		s.nodes, s.specs = append(s.nodes, node), append(s.specs, spec)
		peers = append(peers, node.Peers)
	}
	set, err := tdset.Parse("set", []byte(setText))
	Expect(err).NotTo(HaveOccurred())
	text, key, err := tdkey.Issue("auditor", "auditors")
	Expect(err).NotTo(HaveOccurred())
	s.keys = []tarragondeal.Key{key}
	set.Keys = s.keys
	s.key = text
	s.nodes[0].Publish(set)
	for _, n := range s.nodes {
		Eventually(func() string { return s.post(n, "ready", 2).Code }, "20s").Should(BeEmpty())
	}
	return s
}

// answer is how one request went: Code is empty when it was answered.
type answer struct {
	Code string         `json:"code"`
	Ran  string         `json:"ran"`
	Err  error          `json:"-"`
	Body map[string]any `json:"-"`
}

func (s *site) post(n *tdtest.Node, prompt string, tokens int) answer {
	text := fmt.Sprintf(`{"model":"narrate","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+"/v1/chat/completions", strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+s.key)
	client := &http.Client{Timeout: 20 * time.Second}
	res, err := client.Do(req)
	if err != nil {
		return answer{Code: "noAnswer", Err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{Code: "cut", Err: err}
	}
	var out struct {
		Error answer `json:"error"`
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return answer{Code: "unreadable", Err: err}
	}
	if res.StatusCode != http.StatusOK && out.Error.Code == "" {
		out.Error.Code = res.Status
	}
	return out.Error
}

// refusedPause is how long a caller waits after a refusal.
const refusedPause = 5 * time.Millisecond

// load keeps callers asking nodes until stop is called, which returns the
// refusals.
func (s *site) load(nodes []*tdtest.Node, callers int) (answered *atomic.Int64, stop func() []answer) {
	answered = &atomic.Int64{}
	var done atomic.Bool
	var mu sync.Mutex
	var refused []answer
	var wg conc.WaitGroup
	for k := range callers {
		wg.Go(func() {
			for n := 0; !done.Load(); n++ {
				a := s.post(nodes[k%len(nodes)], fmt.Sprintf("%d.%d", k, n), 5)
				if a.Code == "" {
					answered.Add(1)
					continue
				}
				mu.Lock()
				refused = append(refused, a)
				mu.Unlock()
				time.Sleep(refusedPause)
			}
		})
	}
	return answered, func() []answer {
		done.Store(true)
		wg.Wait()
		return refused
	}
}

// more waits until n more answers have come.
func more(answered *atomic.Int64, n int64) {
	GinkgoHelper()
	before := answered.Load()
	Eventually(answered.Load, "30s").Should(BeNumerically(">=", before+n))
}

var _ = Describe("three nodes before three engines", func() {
	It("answer every request while a node dies, and while it comes back", func() {
		s := start(3, 3)
		answered, stop := s.load(s.nodes[1:], 6)
		more(answered, 50)
		s.nodes[0].Kill()
		more(answered, 2000)
		s.nodes[0].Start(binary, s.specs[0])
		more(answered, 500)
		Expect(stop()).To(BeEmpty())
		Eventually(func() string { return s.post(s.nodes[0], "back", 2).Code }, "20s").Should(BeEmpty())
	})

	It("answer every request while a node is paused, and after it goes on", func() {
		s := start(3, 3)
		answered, stop := s.load(s.nodes[1:], 6)
		more(answered, 50)
		s.nodes[0].Pause()
		more(answered, 2000)
		s.nodes[0].Resume()
		more(answered, 500)
		Expect(stop()).To(BeEmpty())
		Eventually(func() string { return s.post(s.nodes[0], "back", 2).Code }, "20s").Should(BeEmpty())
	})

	It("answer every request while a node is asked to stop", func() {
		s := start(3, 3)
		answered, stop := s.load(s.nodes[1:], 6)
		more(answered, 50)
		s.nodes[0].Session.Terminate()
		Eventually(s.nodes[0].Session, "20s").Should(gexec.Exit(0))
		more(answered, 500)
		Expect(stop()).To(BeEmpty())
	})

	It("answer every request while an engine crashes, and use it again", func() {
		s := start(3, 3)
		answered, stop := s.load(s.nodes, 6)
		more(answered, 50)
		crashed := s.cluster.Servers[0]
		crashed.Engine.Crash()
		more(answered, 100)
		seen := len(crashed.Engine.Seen())
		Eventually(func() int { return len(crashed.Engine.Seen()) }, "20s").Should(BeNumerically(">", seen))
		Expect(stop()).To(BeEmpty())
	})

	It("give a leaving engine nothing new", func() {
		s := start(3, 3)
		answered, stop := s.load(s.nodes, 6)
		more(answered, 50)
		leaving := s.cluster.Servers[0]
		leaving.Leave()
		last := func() time.Time {
			seen := leaving.Engine.Seen()
			return seen[len(seen)-1].At
		}
		Eventually(func() time.Duration { return time.Since(last()) }, "20s").Should(BeNumerically(">", 2*time.Second))
		before := len(leaving.Engine.Seen())
		more(answered, 500)
		Expect(leaving.Engine.Seen()).To(HaveLen(before))
		Expect(stop()).To(BeEmpty())
	})

	It("lose at most two engines to one request, wherever it is sent again", func() {
		s := start(3, 4)
		answered, stop := s.load(s.nodes, 6)
		more(answered, 50)
		var codes []string
		for n := range 9 {
			codes = append(codes, s.post(s.nodes[n%3], "crashThisEngine", 2).Code)
		}
		more(answered, 200)
		Expect(stop()).To(BeEmpty())
		crashes := 0
		for _, e := range s.cluster.Servers {
			crashes += e.Engine.Crashes()
		}
		Expect(crashes).To(BeNumerically("<=", 2))
		Expect(codes[1:]).To(HaveEach(string(tarragondeal.ReasonQuarantined)))
	})
})
