package vm_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a fleet in which some nodes relay", func() {
	const size = 11 // Above the maximum size of a full mesh.

	It("resolves to all live nodes, also after the failure of a relay", func() {
		f := newFleet(size)
		expectResolved := func(n *node, want int) {
			GinkgoHelper()
			Eventually(func() int { return len(n.resolve()) }, "20s", "20ms").Should(Equal(want), n.name)
		}
		for _, n := range f.nodes {
			expectResolved(n, size)
		}
		relay := f.nodes[0] // Among equal nodes the first by name is a relay.
		relay.kill()
		for _, n := range f.nodes[1:] {
			expectResolved(n, size-1)
		}
		f.keys = []string{"key-b"}
		f.putConfig()
		for _, n := range f.nodes[1:] {
			Eventually(func() int { return n.get("/look/1", "key-a").status }, "20s", "20ms").Should(Equal(http.StatusUnauthorized), n.name)
		}
		relay.start()
		for _, n := range f.nodes {
			expectResolved(n, size)
		}
	})
})
