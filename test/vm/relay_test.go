package vm_test

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a fleet in which some nodes relay", func() {
	const size = 11 // Above the size up to which each two nodes have a stream.

	It("names all its nodes, and goes on without a relay", func() {
		f := newFleet(size)
		named := func(n *node, want int) {
			GinkgoHelper()
			Eventually(func() int { return len(n.told()) }, "20s", "20ms").Should(Equal(want), n.name)
		}
		for _, n := range f.nodes {
			named(n, size)
		}
		relay := f.nodes[0] // The first by name relays among nodes that are alike.
		relay.kill()
		for _, n := range f.nodes[1:] {
			named(n, size-1)
		}
		f.keys = []string{"key-b"}
		f.configure()
		for _, n := range f.nodes[1:] {
			Eventually(func() int { return n.get("/look/1", "key-a").status }, "20s", "20ms").Should(Equal(http.StatusUnauthorized), n.name)
		}
		relay.start()
		for _, n := range f.nodes {
			named(n, size)
		}
	})
})
