package tdstore_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdstore"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Store")
}

// hand is a clock that tests move.
type hand struct{ now tarragondeal.Instant }

func (h *hand) Now() tarragondeal.Instant { return h.now }
func (h *hand) Wall() time.Time           { return time.Unix(0, int64(h.now)).UTC() }

var quick = tdstore.Options{
	Reads: 1e9, Writes: 1e9, Backoff: 1, Probe: time.Second, Spread: time.Second,
}

// said is what the client said of a write.
type said struct {
	value string
	err   error
}

func (s said) check(t *rapid.T, f *fake) {
	var failed *tarragondeal.StoreError
	var conflict *tarragondeal.ConflictError
	switch n := f.effects[s.value]; {
	case s.err == nil && n != 1:
		t.Fatalf("%s was said to be written and took effect %d times", s.value, n)
	case errors.As(s.err, &conflict) && n != 0:
		t.Fatalf("%s was said to conflict and took effect", s.value)
	case errors.As(s.err, &failed) && failed.Settled && n != 0:
		t.Fatalf("%s was said not to be written and took effect", s.value)
	case n > 1:
		t.Fatalf("%s took effect %d times", s.value, n)
	}
}

// TestSwapTruth checks what the client says of writes against what took
// effect, with calls and answers lost and delayed and another writer between.
func TestSwapTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &hand{}
		var f *fake
		f = newFake(func() outcome {
			if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				f.settle()
			}
			if rapid.IntRange(0, 5).Draw(t, "other") == 0 {
				f.put("k", fmt.Sprintf("other%d", f.revision))
			}
			return outcome(rapid.IntRange(int(answered), int(refused)).Draw(t, "outcome"))
		})
		o := quick
		o.Spread = 1
		s := tdstore.New(f, clock, o)
		var all []said
		for n := range 8 {
			clock.now = clock.now.Add(time.Minute) // Past any absence.
			value := fmt.Sprintf("own%d", n)
			_, err := s.Swap(context.Background(), "k", []byte(value), f.now["k"].Revision)
			all = append(all, said{value: value, err: err})
		}
		f.settle()
		for _, one := range all {
			one.check(t, f)
		}
	})
}

var _ = Describe("the client", func() {
	ctx := context.Background()

	for _, c := range []struct {
		name  string
		first outcome
		other bool // Another writer comes before the second try.
		ok    bool
		calls int
	}{
		{"finds its own value after a lost answer", lostAfter, false, true, 2},
		{"writes again after a lost call", lostBefore, false, true, 2},
		{"does not claim what was overwritten", lostAfter, true, false, 2},
		{"does not deny what may come yet", delayed, true, false, 2},
	} {
		It(c.name, func() {
			var f *fake
			f = newFake(func() outcome {
				if f.calls == 1 {
					return c.first
				}
				if c.other {
					f.put("k", "other")
				}
				return answered
			})
			_, err := tdstore.New(f, &hand{}, quick).Swap(ctx, "k", []byte("own"), 0)
			Expect(f.calls).To(Equal(c.calls))
			if c.ok {
				Expect(err).NotTo(HaveOccurred())
				return
			}
			var failed *tarragondeal.StoreError
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Settled).To(BeFalse())
		})
	}

	It("makes no calls while the service is away, and tries now and then", func() {
		clock := &hand{}
		state := lostBefore
		f := newFake(func() outcome { return state })
		s := tdstore.New(f, clock, quick)
		_, err := s.Get(ctx, "k")
		Expect(err).To(HaveOccurred())
		Expect(s.Away()).To(BeTrue())
		made := f.calls
		for range 100 {
			_, err := s.Get(ctx, "k")
			var away *tdstore.AwayError
			Expect(errors.As(err, &away)).To(BeTrue())
			var failed *tarragondeal.StoreError
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Settled).To(BeTrue())
		}
		Expect(f.calls).To(Equal(made))
		clock.now = clock.now.Add(2 * time.Second)
		state = answered
		_, err = s.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Away()).To(BeFalse())
	})

	It("keeps a reserve of its budget for urgent calls", func() {
		f := newFake(func() outcome { return answered })
		o := quick
		o.Reads, o.Urgent = 1e-6, []string{"claim/"}
		s := tdstore.New(f, &hand{}, o)
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		var err error
		for err == nil {
			_, err = s.Get(short, "usage/x")
		}
		var budget *tdstore.BudgetError
		Expect(errors.As(err, &budget)).To(BeTrue())
		_, err = s.Get(ctx, "claim/x")
		Expect(err).NotTo(HaveOccurred())
	})

	It("follows changes without a gap through errors", func() {
		n := 0
		var f *fake
		f = newFake(func() outcome {
			n++
			f.put("config/root", fmt.Sprintf("v%d", n))
			return outcome(n % 3) // Answered, lost, never arrived.
		})
		ctx, cancel := context.WithCancel(ctx)
		var got []string
		tdstore.Follow(ctx, f, "config/", time.Second, func(e tarragondeal.Entry) {
			got = append(got, string(e.Value))
			if len(got) == 5 {
				cancel()
			}
		}, nil)
		Expect(got).To(Equal([]string{"v3", "v6", "v9", "v12", "v15"}))
	})
})
