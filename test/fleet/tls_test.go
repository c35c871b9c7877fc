package fleet_test

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/test/tdcert"
)

// certificates returns the settings that use a new authority's certificate.
func certificates() []string {
	a, err := tdcert.New()
	Expect(err).NotTo(HaveOccurred())
	f, err := a.Issue(GinkgoT().TempDir(), "tarragondeal", 7)
	Expect(err).NotTo(HaveOccurred())
	return []string{"-tls.cert", f.Cert, "-tls.key", f.Key, "-tls.ca", f.CA}
}

var _ = Describe("a fleet with certificates", func() {
	It("joins, and keeps out a node of another authority", func() {
		args := certificates()
		f := newFleet(3, args...)
		see(f.nodes...)
		f.start(3, certificates()...)
		Eventually(func() []string { return alive(f.nodes[3]) }, limit, "50ms").Should(ConsistOf("node4"))
		Consistently(func() []string { return alive(f.nodes[0]) }, "3s", "100ms").Should(HaveLen(3))
		Expect(alive(f.nodes[3])).To(ConsistOf("node4"))
	})
})
