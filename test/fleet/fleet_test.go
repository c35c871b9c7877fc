// Package fleet_test runs fleets of node processes on a simulated platform and
// makes nodes and the key-value service fail.
package fleet_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"tarragondeal"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/object/tdset"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/test/tdtest"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Fleet")
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
  - {name: erie, region: lakes}
serverPools:
  - {name: records, kind: service, slots: 4}
requestClasses:
  - {name: entry, tier: 2, completion: 1s, deadline: 10s}
workspaces:
  - {name: auditors, dataCentres: [duluth]}
routes:
  - {name: certificate, class: entry, pools: [records]}
`

// waitLimit is the maximum time to wait for any condition.
const waitLimit = "30s"

type fleet struct {
	cluster *tdcluster.Cluster
	nodes   []*tdtest.Node
	specs   []tdtest.NodeSpec
}

func newFleet(n int, args ...string) *fleet {
	c, err := tdcluster.Start(tdcluster.Spec{})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	f := &fleet{cluster: c}
	for k := range n {
		f.start(k, args...)
	}
	return f
}

// start starts the k-th node, counted from zero. All but the first get the
// address of the first one.
func (f *fleet) start(k int, args ...string) {
	s := tdtest.NodeSpec{
		Name: fmt.Sprintf("node%d", k+1), DataCentre: []string{"duluth", "erie"}[k%2],
		PlatformURL: f.cluster.PlatformURL, Args: args,
	}
	if k > 0 {
		s.Peers = append(s.Peers, f.nodes[0].Peers)
	}
	n := tdtest.StartNode(binary, s)
	DeferCleanup(n.Kill)
	f.nodes = append(f.nodes, n)
	f.specs = append(f.specs, s)
}

func status(n *tdtest.Node) tdoperator.Status {
	var s tdoperator.Status
	code, err := n.Operator(http.MethodGet, "/operator/status", nil, &s)
	if err != nil || code != http.StatusOK {
		return tdoperator.Status{}
	}
	return s
}

// aliveNodes returns the names of the nodes that are alive according to n.
func aliveNodes(n *tdtest.Node) []string {
	var out []string
	for _, m := range status(n).Nodes {
		if m.State == "alive" {
			out = append(out, string(m.Node))
		}
	}
	return out
}

func version(n *tdtest.Node) tarragondeal.Version { return status(n).Version }

// waitAlive waits until exactly the given nodes are alive according to each of
// them.
func waitAlive(nodes ...*tdtest.Node) {
	var want []string
	for _, n := range nodes {
		want = append(want, n.Name)
	}
	for _, n := range nodes {
		Eventually(func() []string { return aliveNodes(n) }, waitLimit, "50ms").Should(ConsistOf(want), n.Name)
	}
}

func putSet(n *tdtest.Node, base tarragondeal.Version, text string) (int, tdoperator.Result) {
	var out tdoperator.Result
	code, err := n.Operator(http.MethodPut, "/operator/set", tdoperator.Published{Version: base, Text: text}, &out)
	Expect(err).NotTo(HaveOccurred())
	return code, out
}

// waitVersion waits until a version is in force on all given nodes.
func waitVersion(v tarragondeal.Version, nodes ...*tdtest.Node) {
	for _, n := range nodes {
		Eventually(func() tarragondeal.Version { return version(n) }, waitLimit, "50ms").Should(Equal(v), n.Name)
	}
}

func withWorkspace(name string) string {
	return strings.Replace(setText, "workspaces:\n", "workspaces:\n  - {name: "+name+"}\n", 1)
}

var _ = Describe("a fleet of processes", func() {
	It("joins a node, which loads an existing set, while the store is unavailable", func() {
		f := newFleet(2)
		waitAlive(f.nodes...)
		code, out := putSet(f.nodes[0], 0, setText)
		Expect(code).To(Equal(http.StatusOK))
		Expect(out.Lagging).To(BeEmpty())
		f.cluster.Platform.SetOutage(true)
		f.start(2)
		waitAlive(f.nodes...)
		waitVersion(1, f.nodes...)
	})

	It("removes a killed node and readmits a paused one", func() {
		f := newFleet(5)
		waitAlive(f.nodes...)
		f.nodes[4].Kill()
		waitAlive(f.nodes[:4]...)
		f.nodes[3].Pause()
		waitAlive(f.nodes[:3]...)
		code, out := putSet(f.nodes[0], 0, setText)
		Expect(code).To(Equal(http.StatusOK))
		Expect(out.Lagging).To(BeEmpty())
		f.nodes[3].Resume()
		waitAlive(f.nodes[:4]...)
		waitVersion(1, f.nodes[:4]...)
	})

	It("publishes one of several concurrent sets and reports a conflict for the others", func() {
		f := newFleet(4)
		waitAlive(f.nodes...)
		for round := range 5 {
			base := tarragondeal.Version(round)
			codes := make([]int, 4)
			var wg sync.WaitGroup
			for k, n := range f.nodes {
				wg.Go(func() {
					defer GinkgoRecover()
					codes[k], _ = putSet(n, base, withWorkspace(fmt.Sprintf("ws%d-%d", round, k)))
				})
			}
			wg.Wait()
			Expect(codes).To(ConsistOf(http.StatusOK, http.StatusConflict, http.StatusConflict, http.StatusConflict))
			waitVersion(base+1, f.nodes...)
		}
	})

	It("publishes exactly once when responses of the store are lost", func() {
		f := newFleet(3)
		waitAlive(f.nodes...)
		f.cluster.Platform.LoseAnswers(2)
		for round := range 6 {
			base := tarragondeal.Version(round)
			code, out := putSet(f.nodes[round%3], base, withWorkspace(fmt.Sprintf("ws%d", round)))
			Expect(code).To(Equal(http.StatusOK))
			Expect(out.Version).To(Equal(base + 1))
			waitVersion(base+1, f.nodes...)
		}
		var h tdoperator.History
		Expect(f.nodes[1].Operator(http.MethodGet, "/operator/history", nil, &h)).To(Equal(http.StatusOK))
		for n, p := range h.Publications {
			Expect(p.Version).To(Equal(tarragondeal.Version(6 - n)))
		}
		Expect(h.Publications).To(HaveLen(6))
	})

	It("refuses to publish while the store is unavailable, and never reverts to an older version after a restart", func() {
		f := newFleet(3)
		waitAlive(f.nodes...)
		for base := range tarragondeal.Version(3) {
			code, _ := putSet(f.nodes[0], base, withWorkspace(fmt.Sprintf("ws%d", base)))
			Expect(code).To(Equal(http.StatusOK))
		}
		waitVersion(3, f.nodes...)
		f.cluster.Platform.SetOutage(true)
		code, _ := putSet(f.nodes[1], 3, setText)
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		for k := 2; k >= 1; k-- {
			f.nodes[k].Kill()
			f.nodes[k].Start(binary, f.specs[k])
			Eventually(func() tarragondeal.Version {
				v := version(f.nodes[k])
				Expect(v).To(BeElementOf(tarragondeal.Version(0), tarragondeal.Version(3)))
				return v
			}, waitLimit, "20ms").Should(Equal(tarragondeal.Version(3)))
		}
		f.cluster.Platform.SetOutage(false)
		Eventually(func() int {
			code, _ := putSet(f.nodes[2], 3, setText)
			return code
		}, waitLimit, "500ms").Should(Equal(http.StatusOK))
		waitVersion(4, f.nodes...)
	})

	It("admits no requests on a node that has long had no contact with the store or another node", func() {
		f := newFleet(2, "-config.staleMax", "3s")
		waitAlive(f.nodes...)
		key := f.issueKey()
		Expect(request(f.nodes[0], key)).NotTo(ContainSubstring("notReady"))
		f.cluster.Platform.SetOutage(true)
		Consistently(func() string { return request(f.nodes[0], key) }, "5s", "100ms").ShouldNot(ContainSubstring("notReady"))
		f.nodes[1].Kill()
		Eventually(func() string { return request(f.nodes[0], key) }, waitLimit, "100ms").Should(ContainSubstring("notReady"))
		f.cluster.Platform.SetOutage(false)
		Eventually(func() string { return request(f.nodes[0], key) }, waitLimit, "100ms").ShouldNot(ContainSubstring("notReady"))
	})

	It("refuses a withdrawn key on every node", func() {
		f := newFleet(4)
		waitAlive(f.nodes...)
		text := f.issueKey()
		var out tdoperator.Result
		Expect(f.nodes[2].Operator(http.MethodPost, "/operator/keys/auditor/withdraw", tdoperator.NewKey{}, &out)).To(Equal(http.StatusOK))
		Expect(out.Lagging).To(BeEmpty())
		for _, n := range f.nodes {
			Expect(request(n, text)).To(ContainSubstring("keyWithdrawn"), n.Name)
		}
	})
})

// issueKey publishes a set with a key and returns the key once all nodes accept
// it.
func (f *fleet) issueKey() string {
	text, key, err := tdkey.Issue("auditor", "auditors")
	Expect(err).NotTo(HaveOccurred())
	set, err := tdset.Parse("set", []byte(setText))
	Expect(err).NotTo(HaveOccurred())
	set.Keys = []tarragondeal.Key{key}
	f.nodes[0].Publish(set)
	for _, n := range f.nodes {
		Eventually(func() string { return request(n, text) }, waitLimit, "50ms").ShouldNot(
			Or(ContainSubstring("badKey"), ContainSubstring("notReady")))
	}
	return text
}

// request sends a request with a key and returns the response body. There are no
// backend servers, so that an admitted request is refused for lack of one.
func request(n *tdtest.Node, key string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+"/services/certificate/enter", strings.NewReader("{}"))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}
