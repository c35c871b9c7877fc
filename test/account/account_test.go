// Package account_test runs real node processes on a stand-in deployment. It
// checks that requests run at most once, that usage is billed correctly and that
// the writes of two holders of a duty never interleave.
package account_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"tarragondeal"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/object/tdset"
	"tarragondeal/internal/platform/tdwire"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/standin/tdplatform"
	"tarragondeal/internal/standin/tdservice"
	"tarragondeal/internal/test/tdtest"
)

func TestAccount(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Account")
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
  - {name: narrator, kind: model, model: narrator-7b, slots: 8, min: 1, max: 6}
  - {name: records, kind: service, slots: 8}
requestClasses:
  - {name: bench, tier: 1, firstToken: 330ms, betweenTokens: 30ms, deadline: 30s}
  - {name: entry, tier: 2, completion: 1s, deadline: 30s}
workspaces:
  - {name: auditors}
routes:
  - {name: narrate, class: bench, pools: [narrator]}
  - {name: certificate, class: entry, pools: [records], nonIdempotent: true}
`

// site is a deployment with its nodes.
type site struct {
	cluster *tdcluster.Cluster
	nodes   []*tdtest.Node
	specs   []tdtest.NodeSpec
	key     string
	set     *tarragondeal.Set
}

// window is the length of a usage window in these tests.
const window = 3 * time.Second

// start starts a deployment whose nodes alternate between two data centres.
func start(nodes int, platform tdplatform.Options, args ...string) *site {
	s := &site{}
	var err error
	s.cluster, err = tdcluster.Start(tdcluster.Spec{Platform: platform, ApplyOrders: true, Groups: []tdcluster.Group{
		{Pool: "narrator", DataCentre: "duluth", Count: 1, Engine: &tdengine.Options{Slots: 8, PerToken: time.Millisecond}},
		{Pool: "narrator", DataCentre: "erie", Count: 1, Engine: &tdengine.Options{Slots: 8, PerToken: time.Millisecond}},
		{Pool: "records", DataCentre: "duluth", Count: 1, Service: &tdservice.Options{Slots: 8, Work: time.Second}},
	}})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.cluster.Close)
	args = append([]string{
		"-lease.ttl", "3s", "-lease.margin", "200ms", "-duty.settle", "500ms", "-duty.listLag", "500ms",
		"-usage.window", window.String(), "-usage.flushEvery", "300ms", "-usage.takeOver", "2s", "-usage.grace", "3s",
		"-usage.every", "300ms", "-usage.sendTimeout", "400ms", "-usage.keepWindows", "1000",
		"-orders.every", "300ms", "-orders.refresh", "300ms", "-orders.sendTimeout", "400ms",
	}, args...)
	var peers []netip.AddrPort
	var vms []tdwire.VM
	for n := range nodes {
		dataCentre := []string{"duluth", "erie"}[n%2]
		spec := tdtest.NodeSpec{
			Name: fmt.Sprint("node", n+1), DataCentre: dataCentre, PlatformURL: s.cluster.PlatformURL, Peers: peers, Args: args,
		}
		node := tdtest.StartNode(binary, spec)
		s.specs = append(s.specs, spec)
		DeferCleanup(node.Kill)
		s.nodes = append(s.nodes, node)
		peers = append(peers, node.Peers)
		vms = append(vms, tdwire.VM{Name: node.Name, Kind: tdwire.KindEntry, DataCentre: dataCentre, Addr: node.Peers, State: "live"})
		s.cluster.SetEntryVMs(vms)
	}
	s.publish()
	return s
}

func (s *site) publish() {
	var err error
	s.set, err = tdset.Parse("set", []byte(setText))
	Expect(err).NotTo(HaveOccurred())
	text, key, err := tdkey.Issue("auditor", "auditors")
	Expect(err).NotTo(HaveOccurred())
	s.key, s.set.Keys = text, []tarragondeal.Key{key}
	s.nodes[0].Publish(s.set)
	for _, n := range s.nodes {
		Eventually(func() int {
			return s.post(n, "/v1/chat/completions", `{"model":"narrate","max_tokens":1,"messages":["ready"]}`, "").status
		}, "20s", "50ms").Should(Equal(http.StatusOK))
	}
}

func (s *site) service() *tdservice.Service { return s.cluster.Servers[2].Service }

// answer is the response to a caller.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // Set if the connection broke.
}

// refusal returns the code and ran fields of the error in the body.
func (a answer) refusal() (code, ran string) {
	var body struct {
		Error struct{ Code, Ran string }
	}
	_ = json.Unmarshal([]byte(a.body), &body)
	return body.Error.Code, body.Error.Ran
}

func (s *site) post(n *tdtest.Node, path, body, idemKey string) answer {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+path, strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+s.key)
	if idemKey != "" {
		req.Header.Set("Idempotency-Key", idemKey)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	var b bytes.Buffer
	_, err = io.Copy(&b, res.Body)
	return answer{res.StatusCode, res.Header, b.String(), err}
}

// enter sends a certificate to the service, with an idempotency key.
func (s *site) enter(n *tdtest.Node, id string) answer {
	return s.post(n, "/services/certificate/enter", fmt.Sprintf(`{"id":%q}`, id), "key of "+id)
}

// storedValue returns the value of a key in the platform's store, or "".
func (s *site) storedValue(key string) string {
	res, err := http.Get(s.cluster.PlatformURL + tdwire.PathGet + "?key=" + key)
	if err != nil {
		return ""
	}
	defer func() { _ = res.Body.Close() }()
	var e tdwire.Entry
	_ = json.NewDecoder(res.Body).Decode(&e)
	return string(e.Value)
}

// node returns a node by its name.
func (s *site) node(name string) *tdtest.Node {
	for _, n := range s.nodes {
		if n.Name == name {
			return n
		}
	}
	Fail("no node is named " + name)
	return nil
}

// dropVM removes a node from the platform's list of VMs.
func (s *site) dropVM(name string) {
	var vms []tdwire.VM
	for n, node := range s.nodes {
		if node.Name != name {
			dataCentre := []string{"duluth", "erie"}[n%2]
			vms = append(vms, tdwire.VM{Name: node.Name, Kind: tdwire.KindEntry, DataCentre: dataCentre, Addr: node.Peers, State: "live"})
		}
	}
	s.cluster.SetEntryVMs(vms)
}

// restart restarts a node that has ended, on the same addresses.
func (s *site) restart(n *tdtest.Node) {
	for k := range s.nodes {
		if s.nodes[k] != n {
			continue
		}
		for _, other := range s.nodes {
			if other != n {
				s.specs[k].Peers = append(s.specs[k].Peers, other.Peers)
			}
		}
		n.Start(binary, s.specs[k])
	}
}
