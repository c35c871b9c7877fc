package tdclaim

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/test/tdmemstore"
	_ "tarragondeal/internal/test/tdtestseed"
)

var _ = Describe("the cleaner", func() {
	It("never overestimates the age of a claim", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			retention := time.Duration(rapid.IntRange(1, 100).Draw(t, "retention")) * time.Minute
			every := time.Duration(rapid.IntRange(1, 20).Draw(t, "every")) * time.Minute
			var tl timeline
			var now time.Duration
			var rev tarragondeal.Revision
			written := map[tarragondeal.Revision]time.Duration{}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				interval := time.Duration(rapid.IntRange(1, 30).Draw(t, "interval")) * time.Minute
				now += interval
				if rapid.Bool().Draw(t, "held") {
					tl = tl.advance(interval, rev, every).prune(retention)
				}
				rev++
				written[rev] = now
				for r, at := range written {
					if r <= tl.expired(retention) && now-at < retention {
						t.Fatalf("revision %d is %s old but counts as expired after %s", r, now-at, retention)
					}
				}
			}
		})
	})

	It("deletes old claims and keeps the others", func(ctx context.Context) {
		store := tdmemstore.New()
		c := NewCleaner(Deps{Store: store, Clock: fixedClock{}, Log: zerolog.Nop()}, nil, time.Hour, 1)
		c.limiter = rate.NewLimiter(rate.Inf, 1)
		old, err := store.Swap(ctx, keyPrefix+"old", []byte("{}"), 0)
		Expect(err).NotTo(HaveOccurred())
		for n := range 2 * pageSize {
			_, err = store.Swap(ctx, keyPrefix+"new"+string(rune('a'+n)), []byte("{}"), 0)
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(c.sweep(ctx, old.Revision)).To(Succeed())
		left, err := store.List(ctx, keyPrefix, "", 1000)
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(HaveLen(2 * pageSize))
		e, err := store.Get(ctx, keyPrefix+"old")
		Expect(err).NotTo(HaveOccurred())
		Expect(e.Revision).To(BeZero())
	})
})

func FuzzDecode(f *testing.F) {
	for _, s := range []string{
		`{"state":"claimed","mark":"m","digest":"d","node":"n","maxRun":"1m0s"}`,
		`{"state":"finished","mark":"m"}`, `{"state":"lost"}`, `{`, ``, `null`,
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		r, err := decode(value)
		if err != nil {
			return
		}
		again, err := encode(r)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(again); err != nil {
			t.Fatalf("%s was decoded, but its encoding can't be decoded: %v", value, err)
		}
	})
}
