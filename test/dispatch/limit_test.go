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
		d := startDeployment(3, 3)
		set, err := tdset.Parse("set", []byte(setText))
		Expect(err).NotTo(HaveOccurred())
		set.Keys = d.keys
		const perSecond, seconds, nodes = 20, 4, 3
		set.Workspaces[0].Limits = tarragondeal.Limits{RequestsPerSecond: perSecond}
		d.nodes[0].Publish(set)
		limited := func() bool {
			for range 200 {
				if d.post(d.nodes[1], "x", 1).Code == string(tarragondeal.ReasonLimit) {
					return true
				}
			}
			return false
		}
		Eventually(limited, "20s").Should(BeTrue())
		began := time.Now()
		answered, stop := d.load(d.nodes, 6)
		time.Sleep(seconds * time.Second)
		refused := stop()
		took := time.Since(began).Seconds()
		// The limit allows a burst of one second, plus one request at each node.
		// The nodes already enforce it when the load starts. The elapsed time is
		// measured, since a slow machine takes longer to stop the load.
		Expect(float64(answered.Load())).To(BeNumerically("<=", perSecond*(took+1)+nodes))
		Expect(answered.Load()).To(BeNumerically(">", 0))
		for _, a := range refused {
			Expect(a.Code).To(Equal(string(tarragondeal.ReasonLimit)))
			Expect(a.Ran).To(Equal(string(tarragondeal.RanNot)))
		}
	})
})
