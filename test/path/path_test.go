// Package path_test runs a real node process with a fake deployment, and sends
// requests through it from the caller to the backend servers.
package path_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/object/tdset"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/standin/tdservice"
	"tarragondeal/internal/test/tdtest"

	"tarragondeal"
)

func TestPath(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Path")
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
  - {name: narrator, kind: model, model: narrator-7b, slots: 4}
  - {name: records, kind: service, slots: 4}
requestClasses:
  - {name: bench, tier: 1, firstToken: 330ms, betweenTokens: 30ms, deadline: 10s}
  - {name: entry, tier: 2, completion: 1s, deadline: 10s}
workspaces:
  - {name: auditors, dataCentres: [duluth]}
  - {name: inspectors}
routes:
  - {name: narrate, class: bench, pools: [narrator], dataCentres: [duluth, erie]}
  - {name: abroad, class: bench, pools: [narrator], dataCentres: [erie]}
  - {name: certificate, class: entry, pools: [records], nonIdempotent: true}
`

var _ = Describe("a node with backend servers", Ordered, func() {
	var (
		cluster *tdcluster.Cluster
		node    *tdtest.Node
		key     string
	)

	BeforeAll(func() {
		engine := &tdengine.Options{Slots: 4, PerToken: time.Millisecond}
		var err error
		cluster, err = tdcluster.Start(tdcluster.Spec{Groups: []tdcluster.Group{
			{Pool: "narrator", DataCentre: "duluth", Count: 1, Engine: engine},
			{Pool: "narrator", DataCentre: "erie", Count: 1, Engine: engine},
			{Pool: "records", DataCentre: "duluth", Count: 1, Service: &tdservice.Options{Slots: 4}},
		}})
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(cluster.Close)
		node = tdtest.StartNode(binary, tdtest.NodeSpec{Name: "node1", DataCentre: "duluth", PlatformURL: cluster.PlatformURL, Policy: "roundRobin"})
		DeferCleanup(node.Kill)
		key = publish(node)
		Eventually(func() int { return get(node, "/readyz") }, "5s").Should(Equal(http.StatusOK))
		Eventually(func() int {
			return post(node, key, "/v1/chat/completions", `{"model":"narrate","messages":["ready"]}`, "").StatusCode
		}, "5s").Should(Equal(http.StatusOK))
	})

	It("streams a chat completion from a permitted data centre", func() {
		res := post(node, key, "/v1/chat/completions", `{"model":"narrate","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"hi"}]}`, "")
		Expect(res.StatusCode).To(Equal(http.StatusOK))
		Expect(res.Header.Get("X-Served-Data-Centre")).To(Equal("duluth"))
		words := tdengine.Words([]byte(`[{"role":"user","content":"hi"}]`), 5)
		text := body(res)
		for _, w := range words {
			Expect(text).To(ContainSubstring(w))
		}
		Expect(text).To(HaveSuffix("data: [DONE]\n\n"))
	})

	It("refuses a route without a data centre that the workspace permits", func() {
		res := post(node, key, "/v1/chat/completions", `{"model":"abroad","messages":[]}`, "")
		Expect(res.StatusCode).To(Equal(http.StatusForbidden))
		Expect(body(res)).To(ContainSubstring(`"ran":"notRun"`))
	})

	It("executes a non-idempotent call once if it is repeated with the same idempotency key", func() {
		for range 3 {
			res := post(node, key, "/services/certificate/enter", `{"id":"meter7"}`, "idem7")
			Expect(res.StatusCode).To(Equal(http.StatusOK))
			Expect(body(res)).To(ContainSubstring(`"executions":1`))
		}
		Expect(cluster.Servers[2].Service.Executions("meter7")).To(Equal(1))
	})

	It("forwards no key to backend servers", func() {
		received := ""
		for _, s := range cluster.Servers {
			if s.Engine == nil {
				received += fmt.Sprint(s.Service.Seen())
				continue
			}
			for _, seen := range s.Engine.Seen() {
				received += fmt.Sprint(seen.ID, seen.Path, seen.Header, string(seen.Body))
			}
		}
		Expect(received).To(ContainSubstring("narrator-7b"))
		Expect(received).NotTo(ContainSubstring(strings.TrimPrefix(key, "td_auditor_")))
	})

	It("exits with code 0 on SIGTERM", func() {
		node.Session.Terminate()
		Eventually(node.Session, "10s").Should(gexec.Exit(0))
	})
})

func publish(n *tdtest.Node) string {
	set, err := tdset.Parse("set", []byte(setText))
	Expect(err).NotTo(HaveOccurred())
	text, key, err := tdkey.Issue("auditor", "auditors")
	Expect(err).NotTo(HaveOccurred())
	set.Keys = []tarragondeal.Key{key}
	n.Publish(set)
	return text
}

func get(n *tdtest.Node, path string) int {
	res, err := http.Get("http://" + n.Callers.String() + path)
	if err != nil {
		return 0
	}
	defer func() { _ = res.Body.Close() }()
	return res.StatusCode
}

func post(n *tdtest.Node, key, path, text, idem string) *http.Response {
	req, err := http.NewRequest(http.MethodPost, "http://"+n.Callers.String()+path, strings.NewReader(text))
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	if idem != "" {
		req.Header.Set("Idempotency-Key", idem)
	}
	res, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	b, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	Expect(res.Body.Close()).To(Succeed())
	res.Body = io.NopCloser(bytes.NewReader(b))
	return res
}

func body(res *http.Response) string {
	b, err := io.ReadAll(res.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(b)
}
