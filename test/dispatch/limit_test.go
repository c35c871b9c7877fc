package dispatch_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

var _ = Describe("limits", func() {
	It("hold for the fleet, however the callers spread over its nodes", func() {
		s := start(3, 3)
		set, err := tdset.Parse("set", []byte(setText))
		Expect(err).NotTo(HaveOccurred())
		set.Keys = s.keys
		const perSecond, seconds, nodes = 20, 4, 3
		set.Workspaces[0].Limits = tarragondeal.Limits{RequestsPerSecond: perSecond}
		s.nodes[0].Publish(set)
		limited := func() bool {
			for range 200 {
				if s.post(s.nodes[1], "x", 1).Code == string(tarragondeal.ReasonLimit) {
					return true
				}
			}
			return false
		}
		Eventually(limited, "20s").Should(BeTrue())
		began := time.Now()
		answered, stop := s.load(s.nodes, 6)
		time.Sleep(seconds * time.Second)
		refused := stop()
		took := time.Since(began).Seconds()
		// One second may be saved up, and one request at each node. The nodes
		// began within the limit, and ended later the slower the machine is.
		Expect(float64(answered.Load())).To(BeNumerically("<=", perSecond*(took+1)+nodes))
		Expect(answered.Load()).To(BeNumerically(">", 0))
		for _, a := range refused {
			Expect(a.Code).To(Equal(string(tarragondeal.ReasonLimit)))
			Expect(a.Ran).To(Equal(string(tarragondeal.RanNot)))
		}
	})
})
