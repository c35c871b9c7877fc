// Package dispatch_test runs node processes with stand-in engines and tests
// requests while nodes and engines fail.
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

// deployment is a running cluster of nodes and engines.
type deployment struct {
	cluster *tdcluster.Cluster
	nodes   []*tdtest.Node
	specs   []tdtest.NodeSpec
	key     string
	keys    []tarragondeal.Key
}

// startDeployment starts engines and nodes, and waits until each node serves
// requests.
func startDeployment(nodes, engines int) *deployment {
	d := &deployment{}
	var err error
	d.cluster, err = tdcluster.Start(tdcluster.Spec{
		RestartAfter: 500 * time.Millisecond,
		Groups: []tdcluster.Group{{Pool: "narrator", DataCentre: "duluth", Count: engines, Engine: &tdengine.Options{
			Slots: 4, PerToken: 2 * time.Millisecond, CrashMarker: "crashThisEngine",
		}}},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.cluster.Close)
	var peers []netip.AddrPort
	for n := range nodes {
		spec := tdtest.NodeSpec{
			Name: fmt.Sprintf("node%d", n+1), DataCentre: "duluth", PlatformURL: d.cluster.PlatformURL,
			Peers: peers, Args: []string{"-member.every", "200ms", "-log.level", "debug"},
		}
		node := tdtest.StartNode(binary, spec)
		DeferCleanup(node.Kill)
		d.nodes, d.specs = append(d.nodes, node), append(d.specs, spec)
		peers = append(peers, node.Peers)
	}
	set, err := tdset.Parse("set", []byte(setText))
	Expect(err).NotTo(HaveOccurred())
	text, key, err := tdkey.Issue("auditor", "auditors")
	Expect(err).NotTo(HaveOccurred())
	d.keys = []tarragondeal.Key{key}
	set.Keys = d.keys
	d.key = text
	d.nodes[0].Publish(set)
	for _, n := range d.nodes {
		Eventually(func() string { return d.post(n, "ready", 2).Code }, "20s").Should(BeEmpty())
	}
	return d
}

// answer is the result of one request. Code is empty if the request succeeded.
type answer struct {
	Code string         `json:"code"`
	Ran  string         `json:"ran"`
	Err  error          `json:"-"`
	Body map[string]any `json:"-"`
}

func (d *deployment) post(n *tdtest.Node, prompt string, tokens int) answer {
	text := fmt.Sprintf(`{"model":"narrate","max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+"/v1/chat/completions", strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+d.key)
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

// refusalDelay is how long a caller waits after a refused request.
const refusalDelay = 5 * time.Millisecond

// load keeps callers sending requests to nodes until stop is called, which
// returns the failed requests.
func (d *deployment) load(nodes []*tdtest.Node, callers int) (answered *atomic.Int64, stop func() []answer) {
	answered = &atomic.Int64{}
	var done atomic.Bool
	var mu sync.Mutex
	var refused []answer
	var wg conc.WaitGroup
	for k := range callers {
		wg.Go(func() {
			for n := 0; !done.Load(); n++ {
				a := d.post(nodes[k%len(nodes)], fmt.Sprintf("%d.%d", k, n), 5)
				if a.Code == "" {
					answered.Add(1)
					continue
				}
				mu.Lock()
				refused = append(refused, a)
				mu.Unlock()
				time.Sleep(refusalDelay)
			}
		})
	}
	return answered, func() []answer {
		done.Store(true)
		wg.Wait()
		return refused
	}
}

// waitForAnswers waits until n more requests have been answered.
func waitForAnswers(answered *atomic.Int64, n int64) {
	GinkgoHelper()
	before := answered.Load()
	Eventually(answered.Load, "30s").Should(BeNumerically(">=", before+n))
}

var _ = Describe("three nodes with three engines", func() {
	It("answer every request while a node dies, and while it restarts", func() {
		d := startDeployment(3, 3)
		answered, stop := d.load(d.nodes[1:], 6)
		waitForAnswers(answered, 50)
		d.nodes[0].Kill()
		waitForAnswers(answered, 2000)
		d.nodes[0].Start(binary, d.specs[0])
		waitForAnswers(answered, 500)
		Expect(stop()).To(BeEmpty())
		Eventually(func() string { return d.post(d.nodes[0], "back", 2).Code }, "20s").Should(BeEmpty())
	})

	It("answer every request while a node is paused, and after it resumes", func() {
		d := startDeployment(3, 3)
		answered, stop := d.load(d.nodes[1:], 6)
		waitForAnswers(answered, 50)
		d.nodes[0].Pause()
		waitForAnswers(answered, 2000)
		d.nodes[0].Resume()
		waitForAnswers(answered, 500)
		Expect(stop()).To(BeEmpty())
		Eventually(func() string { return d.post(d.nodes[0], "back", 2).Code }, "20s").Should(BeEmpty())
	})

	It("answer every request while a node shuts down", func() {
		d := startDeployment(3, 3)
		answered, stop := d.load(d.nodes[1:], 6)
		waitForAnswers(answered, 50)
		d.nodes[0].Session.Terminate()
		Eventually(d.nodes[0].Session, "20s").Should(gexec.Exit(0))
		waitForAnswers(answered, 500)
		Expect(stop()).To(BeEmpty())
	})

	It("answer every request while an engine crashes, and use it again", func() {
		d := startDeployment(3, 3)
		answered, stop := d.load(d.nodes, 6)
		waitForAnswers(answered, 50)
		crashed := d.cluster.Servers[0]
		crashed.Engine.Crash()
		waitForAnswers(answered, 100)
		seen := len(crashed.Engine.Seen())
		Eventually(func() int { return len(crashed.Engine.Seen()) }, "20s").Should(BeNumerically(">", seen))
		Expect(stop()).To(BeEmpty())
	})

	It("send no new requests to a leaving engine", func() {
		d := startDeployment(3, 3)
		answered, stop := d.load(d.nodes, 6)
		waitForAnswers(answered, 50)
		leaving := d.cluster.Servers[0]
		leaving.Leave()
		last := func() time.Time {
			seen := leaving.Engine.Seen()
			return seen[len(seen)-1].At
		}
		Eventually(func() time.Duration { return time.Since(last()) }, "20s").Should(BeNumerically(">", 2*time.Second))
		before := len(leaving.Engine.Seen())
		waitForAnswers(answered, 500)
		Expect(leaving.Engine.Seen()).To(HaveLen(before))
		Expect(stop()).To(BeEmpty())
	})

	It("lose at most two engines to one request, whichever nodes it is sent to again", func() {
		d := startDeployment(3, 4)
		answered, stop := d.load(d.nodes, 6)
		waitForAnswers(answered, 50)
		var codes []string
		for n := range 9 {
			codes = append(codes, d.post(d.nodes[n%3], "crashThisEngine", 2).Code)
		}
		waitForAnswers(answered, 200)
		Expect(stop()).To(BeEmpty())
		crashes := 0
		for _, e := range d.cluster.Servers {
			crashes += e.Engine.Crashes()
		}
		Expect(crashes).To(BeNumerically("<=", 2))
		Expect(codes[1:]).To(HaveEach(string(tarragondeal.ReasonQuarantined)))
	})
})
