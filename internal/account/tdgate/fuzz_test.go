package tdgate

import (
	"context"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"tarragondeal/internal/base/tdclock"
)

var _ = Describe("a call that closes a gate", func() {
	It("is rejected and keeps nothing if the name is too long", func(ctx context.Context) {
		g := New(Deps{Clock: tdclock.New()}, Config{})
		_, err := g.Close(ctx, &CloseRequest{Name: strings.Repeat("n", maxNameBytes+1), Below: 1})
		Expect(err).To(HaveOccurred())
		Expect(g.gates).To(BeEmpty())
		_, err = g.Close(ctx, &CloseRequest{Name: strings.Repeat("n", maxNameBytes), Below: 1})
		Expect(err).NotTo(HaveOccurred())
	})
})

// FuzzClose checks that a gate never reopens, and that only names that are too
// long are rejected.
func FuzzClose(f *testing.F) {
	f.Add("orders", uint64(7), uint64(3))
	f.Add("", uint64(0), uint64(1<<63))
	f.Add("a/b\x00", uint64(1), uint64(1))
	f.Fuzz(func(t *testing.T, name string, first, second uint64) {
		g := New(Deps{Clock: tdclock.New()}, Config{})
		for _, below := range []uint64{first, second} {
			a, err := g.Close(context.Background(), &CloseRequest{Name: name, Below: below})
			if err != nil {
				if len(name) <= maxNameBytes {
					t.Fatal(err)
				}
				return
			}
			if a.GetProcess() == "" {
				t.Fatal("answer has no process")
			}
		}
		if got := g.gate(name).below; got != max(first, second) {
			t.Fatalf("closed below %d after %d and %d", got, first, second)
		}
	})
}
