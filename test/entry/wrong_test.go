package entry_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/standin/tdengine"
	"tarragondeal/internal/test/tdtest"
)

var _ = Describe("answers that go wrong", Ordered, func() {
	var (
		d    *deployment
		node *tdtest.Node
		key  string
	)

	BeforeAll(func() {
		// The simplest dispatcher goes on sending to a server that failed.
		d = start("roundRobin")
		node, key = d.node, d.key
	})

	AfterEach(func() {
		for _, e := range d.engines() {
			e.Fail(tdengine.FaultNone, 0)
			e.Straggle(1)
		}
	})

	for _, c := range []struct {
		name  string
		fault tdengine.Fault
		route string
		tries bool // Another attempt answers.
	}{
		{"another request's id", tdengine.FaultWrongID, "narrate", true},
		{"a stream that ends early", tdengine.FaultShort, "narrate", true},
		{"a stream that breaks", tdengine.FaultCut, "narrate", true},
		{"no answer", tdengine.FaultNever, "brief", false},
	} {
		It("answers whole or says so when a backend server gives "+c.name, func() {
			d.engines()[0].Fail(c.fault, 1)
			for _, tokens := range []int{10, 1, 10, 1} { // One token breaks before the first byte.
				got := call(node, key, ask(c.route, tokens))
				if c.tries || got.status == http.StatusOK {
					Expect(got.body).To(HaveSuffix("data: [DONE]\n\n"), got.body)
					Expect(words(got.body)).To(Equal(strings.Join(tdengine.Words([]byte(prompt), tokens), "")))
				} else {
					Expect(got.status).To(Equal(http.StatusGatewayTimeout))
					Expect(got.body).To(ContainSubstring(`"ran":"unknown"`))
				}
			}
			for _, e := range d.engines() {
				e.Fail(c.fault, 1)
			}
			got := call(node, key, strings.Replace(ask(c.route, 10), `"stream":true`, `"stream":false`, 1))
			Expect(got.status).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout))
			Expect(got.body).To(ContainSubstring(`"ran":"unknown"`))
		})
	}

	It("ends a late stream with an error", func() {
		for _, e := range d.engines() {
			e.Straggle(20)
		}
		got := call(node, key, ask("brief", 1000))
		Expect(got.body).To(ContainSubstring("event: error\ndata: "))
		Expect(got.body).To(ContainSubstring(`"code":"deadline"`))
		Expect(got.body).NotTo(ContainSubstring("[DONE]"))
	})

	It("retries elsewhere when a server is gone", func() {
		d.cluster.Servers[0].Kill()
		for range 4 {
			Expect(call(node, key, ask("narrate", 5)).body).To(HaveSuffix("[DONE]\n\n"))
		}
	})
})
