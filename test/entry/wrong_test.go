package entry_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/test/tdtest"
)

var _ = Describe("faulty answers", Ordered, func() {
	var (
		d    *deployment
		node *tdtest.Node
		key  string
	)

	BeforeAll(func() {
		// The roundRobin policy keeps sending to a server that failed.
		d = startDeployment("roundRobin")
		node, key = d.node, d.key
	})

	AfterEach(func() {
		for _, e := range d.engines() {
			e.InjectFault(tdengine.FaultNone, 0)
			e.Straggle(1)
		}
	})

	for _, c := range []struct {
		name    string
		fault   tdengine.Fault
		route   string
		retried bool // Another attempt succeeds.
	}{
		{"another request's id", tdengine.FaultWrongID, "narrate", true},
		{"a stream that ends early", tdengine.FaultShort, "narrate", true},
		{"a stream that breaks", tdengine.FaultCut, "narrate", true},
		{"no answer", tdengine.FaultHang, "brief", false},
	} {
		It("answers completely or with an error when a backend server gives "+c.name, func() {
			d.engines()[0].InjectFault(c.fault, 1)
			for _, tokens := range []int{10, 1, 10, 1} { // With one token the fault occurs before the first byte.
				got := call(node, key, chatBody(c.route, tokens))
				if c.retried || got.status == http.StatusOK {
					Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"), got.body)
					Expect(contentOf(got.body)).To(Equal(strings.Join(tdengine.Words([]byte(prompt), tokens), "")))
				} else {
					Expect(got.status).To(Equal(http.StatusGatewayTimeout))
					Expect(got.body).To(ContainSubstring(`"ran":"unknown"`))
				}
			}
			for _, e := range d.engines() {
				e.InjectFault(c.fault, 1)
			}
			got := call(node, key, strings.Replace(chatBody(c.route, 10), `"stream":true`, `"stream":false`, 1))
			Expect(got.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
			Expect(got.body).To(ContainSubstring(`"ran":"unknown"`))
		})
	}

	It("ends a stream that exceeds its deadline with an error", func() {
		for _, e := range d.engines() {
			e.Straggle(20)
		}
		got := call(node, key, chatBody("brief", 1000))
		Expect(got.body).To(ContainSubstring("event: error\ndata: "))
		Expect(got.body).To(ContainSubstring(`"code":"deadline"`))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
	})

	It("retries at another server when one is gone", func() {
		d.cluster.Servers[0].Kill()
		for range 4 {
			Expect(call(node, key, chatBody("narrate", 5)).body).To(HaveSuffix("[DONE]\n\n"))
		}
	})
})
