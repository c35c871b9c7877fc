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

var _ = Describe("copies of other processes' usage", func() {
	var c *Copies

	BeforeEach(func() { c = NewCopies(tdmemstore.New(), &clock{}, zerolog.Nop(), takeOver) })

	It("have no sources without lines", func(ctx context.Context) {
		r := &KeepRequest{Origin: "node1.a"}
		for n := range 10 {
			r.Parts = append(r.Parts, &Part{Source: fmt.Sprintf("node1.a.%d", n), Window: 3600})
		}
		_, err := c.Keep(ctx, r)
		Expect(err).NotTo(HaveOccurred())
		Expect(c.sources).To(BeEmpty())
	})

	It("are refused from a process with too long a name", func(ctx context.Context) {
		_, err := c.Keep(ctx, &KeepRequest{Origin: strings.Repeat("n", maxNameBytes+1)})
		Expect(err).To(HaveOccurred())
		Expect(c.lastHeard).To(BeEmpty())
	})
})
