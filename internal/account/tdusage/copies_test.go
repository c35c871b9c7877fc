package tdusage

import (
	"context"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"tarragondeal/internal/test/tdmemstore"
)

var _ = Describe("what is kept for others", func() {
	var c *Copies

	BeforeEach(func() { c = NewCopies(tdmemstore.New(), &clock{}, zerolog.Nop(), takeOver) })

	It("has no sources without lines", func(ctx context.Context) {
		r := &KeepRequest{Origin: "node1.a"}
		for n := range 10 {
			r.Parts = append(r.Parts, &Part{Source: fmt.Sprintf("node1.a.%d", n), Window: 3600})
		}
		_, err := c.Keep(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.sources).To(BeEmpty())
	})

	It("is refused from a process whose name is too long", func(ctx context.Context) {
		_, err := c.Keep(ctx, &KeepRequest{Origin: strings.Repeat("n", maxNameBytes+1)})
		Expect(err).To(HaveOccurred())
		Expect(c.heard).To(BeEmpty())
	})
})
