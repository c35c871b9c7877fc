package tdreuse_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tarragondeal/internal/dispatch/tdreuse"
)

func document(id uint64, tokens int) []tdreuse.Prefix {
	return []tdreuse.Prefix{{Digest: 1, Tokens: 2500}, {Digest: 1000 + id, Tokens: tokens}}
}

// TestOfferCost answers the load of documents whose holders are busy: what is saved is weighed
// against the wait, for each request.
func TestOfferCost(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name          string
		holder, other tdreuse.Offer
		target        time.Duration
		toHolder      bool
	}{
		{"idle holder", tdreuse.Offer{Read: 50 * ms}, tdreuse.Offer{Read: 160 * ms}, 1200 * ms, true},
		{"short wait", tdreuse.Offer{Wait: 200 * ms, Read: 50 * ms}, tdreuse.Offer{Read: 160 * ms}, 1200 * ms, true},
		{"long wait", tdreuse.Offer{Wait: 600 * ms, Read: 50 * ms}, tdreuse.Offer{Read: 160 * ms}, 1200 * ms, false},
		{"late at the holder", tdreuse.Offer{Wait: 200 * ms, Read: 50 * ms}, tdreuse.Offer{Read: 160 * ms}, 180 * ms, false},
		{"late at both", tdreuse.Offer{Wait: 400 * ms, Read: 50 * ms}, tdreuse.Offer{Wait: 350 * ms, Read: 160 * ms}, 100 * ms, true},
		{"little saved", tdreuse.Offer{Wait: 60 * ms, Read: 45 * ms}, tdreuse.Offer{Read: 50 * ms}, 1200 * ms, false},
	} {
		if got := c.holder.Cost(c.target) < c.other.Cost(c.target); got != c.toHolder {
			t.Errorf("%s: the request goes to the holder: %t, costs %v and %v", c.name, got, c.holder.Cost(c.target), c.other.Cost(c.target))
		}
	}
}

// TestExpectedPartsUnderMemoryPressure answers the load of running requests that take an
// engine's memory: a prefix that has yielded to them draws requests to an engine that reads it
// again. The engine is a cache of the same kind, with less room than it seems to have.
func TestExpectedPartsUnderMemoryPressure(t *testing.T) {
	const documents, tokens = 60, 4000
	for _, c := range []struct {
		room, real int // Tokens that the engine seems to have room for, and has.
		most       float64
	}{
		{250_000, 250_000, 0.1},
		{250_000, 120_000, 0.3},
		{100_000, 100_000, 0.3},
	} {
		r := rand.New(rand.NewPCG(1, 2))
		cache := tdreuse.NewCache()
		held, size := 0, 0
		real, _ := simplelru.NewLRU(1<<20, func(_ uint64, n int) { size -= n })
		expected, missed := 0.0, 0.0
		for n := range 6000 {
			prompt := document(uint64(r.ExpFloat64()*documents/2), tokens)
			h := cache.Expect(prompt, c.room)
			hit := true
			held = 0
			for _, p := range prompt {
				if _, ok := real.Get(p.Digest); !ok {
					hit = false
					real.Add(p.Digest, p.Tokens)
					size += p.Tokens
				} else if hit {
					held += p.Tokens
				}
			}
			for size > c.real {
				real.RemoveOldest()
			}
			if h.Known == 2500+tokens && h.Tokens > float64(h.Known)/2 {
				cache.Observe(h, hit)
				if n > 1000 {
					expected += h.Tokens
					missed += max(0, h.Tokens-float64(held))
				}
			}
			cache.Add(prompt, c.room)
		}
		name := fmt.Sprintf("room %d, real %d", c.room, c.real)
		t.Logf("%s: %.2f of the tokens expected were missed, trust %.2f", name, missed/expected, cache.Trust())
		if expected == 0 || missed/expected > c.most {
			t.Errorf("%s: %.0f tokens expected, %.0f missed", name, expected, missed)
		}
	}
}

// TestNothingExpected guards against a prefix that is expected where there is no room, at an
// engine that has started again, or behind a part that isn't known.
func TestNothingExpected(t *testing.T) {
	cache := tdreuse.NewCache()
	cache.Add(document(1, 4000), 200_000)
	if got := cache.Expect(document(1, 4000), 200_000); got.Tokens < 6000 || got.Known != 6500 {
		t.Errorf("just read: %+v", got)
	}
	for _, room := range []int{0, -5000} {
		if got := cache.Expect(document(1, 4000), room); got.Tokens != 0 {
			t.Errorf("room %d: %+v", room, got)
		}
	}
	if got := tdreuse.NewCache().Expect(document(1, 4000), 200_000); got.Tokens != 0 {
		t.Errorf("new run: %+v", got)
	}
	other := []tdreuse.Prefix{{Digest: 7, Tokens: 100}, {Digest: 1001, Tokens: 4000}}
	if got := cache.Expect(other, 200_000); got.Tokens != 0 {
		t.Errorf("behind an unknown part: %+v", got)
	}
}
