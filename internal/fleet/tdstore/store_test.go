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

// manualClock is a clock that tests set.
type manualClock struct{ now tarragondeal.Instant }

func (c *manualClock) Now() tarragondeal.Instant { return c.now }
func (c *manualClock) Wall() time.Time           { return time.Unix(0, int64(c.now)).UTC() }

var fastOptions = tdstore.Options{
	Reads: 1e9, Writes: 1e9, Backoff: 1, ProbeInterval: time.Second, RecoverySpread: time.Second,
}

// result is a written value and the error that the client returned.
type result struct {
	value string
	err   error
}

func (r result) check(t *rapid.T, f *fake) {
	var failed *tarragondeal.StoreError
	var conflict *tarragondeal.ConflictError
	switch n := f.effects[r.value]; {
	case r.err == nil && n != 1:
		t.Fatalf("%s: no error, but the write took effect %d times", r.value, n)
	case errors.As(r.err, &conflict) && n != 0:
		t.Fatalf("%s: conflict, but the write took effect", r.value)
	case errors.As(r.err, &failed) && failed.Settled && n != 0:
		t.Fatalf("%s: settled error, but the write took effect", r.value)
	case n > 1:
		t.Fatalf("%s: the write took effect %d times", r.value, n)
	}
}

// TestSwapResultsMatchEffects compares the results of Swap with the writes that
// took effect, while requests and replies are lost or delayed and another
// writer writes the same key.
func TestSwapResultsMatchEffects(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := &manualClock{}
		var f *fake
		f = newFake(func() outcome {
			if rapid.IntRange(0, 3).Draw(t, "late") == 0 {
				f.deliverDelayed()
			}
			if rapid.IntRange(0, 5).Draw(t, "other") == 0 {
				f.put("k", fmt.Sprintf("other%d", f.revision))
			}
			return outcome(rapid.IntRange(int(answered), int(refused)).Draw(t, "outcome"))
		})
		o := fastOptions
		o.RecoverySpread = 1
		s := tdstore.New(f, clock, o)
		var results []result
		for n := range 8 {
			clock.now = clock.now.Add(time.Minute) // Later than any probe or recovery delay.
			value := fmt.Sprintf("own%d", n)
			_, err := s.Swap(context.Background(), "k", []byte(value), f.entries["k"].Revision)
			results = append(results, result{value: value, err: err})
		}
		f.deliverDelayed()
		for _, r := range results {
			r.check(t, f)
		}
	})
}

var _ = Describe("the client", func() {
	ctx := context.Background()

	for _, c := range []struct {
		name  string
		first outcome
		other bool // Another writer writes before the second attempt.
		ok    bool
		calls int
	}{
		{"recognises its own value after a lost reply", responseLost, false, true, 2},
		{"retries a write after a lost request", requestLost, false, true, 2},
		{"reports a write as unsettled when it may have been overwritten", responseLost, true, false, 2},
		{"reports a delayed write as unsettled", delayed, true, false, 2},
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
			_, err := tdstore.New(f, &manualClock{}, fastOptions).Swap(ctx, "k", []byte("own"), 0)
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

	It("makes no calls while the service is unavailable, except probes", func() {
		clock := &manualClock{}
		state := requestLost
		f := newFake(func() outcome { return state })
		s := tdstore.New(f, clock, fastOptions)
		_, err := s.Get(ctx, "k")
		Expect(err).To(HaveOccurred())
		Expect(s.Unavailable()).To(BeTrue())
		calls := f.calls
		for range 100 {
			_, err := s.Get(ctx, "k")
			var unavailable *tdstore.UnavailableError
			Expect(errors.As(err, &unavailable)).To(BeTrue())
			var failed *tarragondeal.StoreError
			Expect(errors.As(err, &failed)).To(BeTrue())
			Expect(failed.Settled).To(BeTrue())
		}
		Expect(f.calls).To(Equal(calls))
		clock.now = clock.now.Add(2 * time.Second)
		state = answered
		_, err = s.Get(ctx, "k")
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Unavailable()).To(BeFalse())
	})

	It("keeps a reserve of its budget for urgent calls", func() {
		f := newFake(func() outcome { return answered })
		o := fastOptions
		o.Reads, o.Urgent = 1e-6, []string{"claim/"}
		s := tdstore.New(f, &manualClock{}, o)
		shortCtx, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		var err error
		for err == nil {
			_, err = s.Get(shortCtx, "usage/x")
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
			return outcome(n % 3) // Answered, reply lost, request lost.
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
