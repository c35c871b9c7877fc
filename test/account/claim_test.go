package account_test

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/standin/tdplatform"
	"tarragondeal/internal/test/tdtest"
)

var _ = Describe("a request that may run only once", Ordered, func() {
	var s *site

	BeforeAll(func() { s = start(3, tdplatform.Options{}) })

	It("is reported as running by another node, and later answered from the record", func() {
		first := make(chan answer, 1)
		go func() { first <- s.enter(s.nodes[0], "meter1") }()
		Eventually(func() int { return s.service().Executions("meter1") }, "10s", "5ms").Should(Equal(1))
		repeat := s.enter(s.nodes[1], "meter1")
		if repeat.status != http.StatusOK { // The first request may already have ended.
			code, ran := repeat.refusal()
			Expect([]string{code, ran}).To(Equal([]string{"alreadyRunning", "unknown"}))
			Expect(repeat.status).To(Equal(http.StatusConflict))
			Expect(repeat.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		Expect((<-first).status).To(Equal(http.StatusOK))
		Eventually(func() int { return s.enter(s.nodes[1], "meter1").status }, "10s", "50ms").Should(Equal(http.StatusOK))
		Expect(s.enter(s.nodes[2], "meter1").body).To(ContainSubstring(`"executions":1`))
		Expect(s.service().Executions("meter1")).To(Equal(1))
	})

	It("is refused when its key is reused with another body", func() {
		Expect(s.enter(s.nodes[0], "meter2").status).To(Equal(http.StatusOK))
		other := s.post(s.nodes[1], "/services/certificate/enter", `{"id":"meter3"}`, "key of meter2")
		code, _ := other.refusal()
		Expect(code).To(Equal("bodyDiffers"))
		Expect(s.service().Executions("meter3")).To(Equal(0))
	})

	It("does not run while the store is unavailable, and runs afterwards", func() {
		s.cluster.Platform.SetOutage(true)
		refused := s.enter(s.nodes[0], "meter4")
		s.cluster.Platform.SetOutage(false)
		Expect(refused.status).To(Equal(http.StatusServiceUnavailable))
		code, _ := refused.refusal()
		Expect(code).To(Equal("storeAway"))
		Expect(s.service().Executions("meter4")).To(Equal(0))
		Eventually(func() int { return s.enter(s.nodes[1], "meter4").status }, "30s", "100ms").Should(Equal(http.StatusOK))
		Expect(s.service().Executions("meter4")).To(Equal(1))
	})

	It("runs at most once when answers of the store are lost and it is sent to three nodes at once", func() {
		s.cluster.Platform.LoseAnswers(3)
		defer s.cluster.Platform.LoseAnswers(0)
		var wg sync.WaitGroup
		for n := range 12 {
			for k := range 3 {
				wg.Go(func() {
					defer GinkgoRecover()
					s.enter(s.nodes[k], fmt.Sprint("lost", n))
				})
			}
		}
		wg.Wait()
		for n := range 12 {
			id := fmt.Sprint("lost", n)
			Expect(s.service().Executions(id)).To(BeNumerically("<=", 1), id)
		}
	})

	It("never runs again when its node dies while it runs", func() {
		done := make(chan answer, 1)
		go func() { done <- s.enterRetrying(s.nodes[0], "meter5") }()
		Eventually(func() int { return s.service().Executions("meter5") }, "30s", "2ms").Should(Equal(1))
		s.nodes[0].Kill()
		Expect((<-done).err).To(HaveOccurred(), "the service takes longer than killing the node")
		Eventually(func() string {
			code, ran := s.enter(s.nodes[1], "meter5").refusal()
			return code + " " + ran
		}, "30s", "100ms").Should(Equal("outcomeUnknown unknown"))
		for range 5 {
			again := s.enter(s.nodes[2], "meter5")
			Expect(again.status).To(Equal(http.StatusConflict))
			Expect(again.header.Get("Retry-After")).To(BeEmpty())
		}
		Expect(s.service().Executions("meter5")).To(Equal(1))
	})
})

// enterRetrying calls enter until the node treats the store as available again,
// which takes a while after unanswered calls, and the request is not reported as
// running.
func (s *site) enterRetrying(n *tdtest.Node, id string) answer {
	for {
		a := s.enter(n, id)
		if code, _ := a.refusal(); code != "storeAway" && code != "alreadyRunning" {
			return a
		}
		time.Sleep(50 * time.Millisecond)
	}
}
