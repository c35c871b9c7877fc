package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/test/tdcert"
)

// certificateArgs returns the flags for a certificate of a new authority.
func certificateArgs() []string {
	a, err := tdcert.New()
	Expect(err).NotTo(HaveOccurred())
	f, err := a.Issue(GinkgoT().TempDir(), "tarragondeal", 7)
	Expect(err).NotTo(HaveOccurred())
	return []string{"-tls.cert", f.Cert, "-tls.key", f.Key, "-tls.ca", f.CA}
}

var _ = Describe("a fleet with certificates", func() {
	It("joins, and rejects a node with a certificate of another authority", func() {
		args := certificateArgs()
		f := newFleet(3, args...)
		waitAlive(f.nodes...)
		f.start(3, certificateArgs()...)
		Eventually(func() []string { return aliveNodes(f.nodes[3]) }, waitLimit, "50ms").Should(ConsistOf("node4"))
		Consistently(func() []string { return aliveNodes(f.nodes[0]) }, "3s", "100ms").Should(HaveLen(3))
		Expect(aliveNodes(f.nodes[3])).To(ConsistOf("node4"))
	})
})
