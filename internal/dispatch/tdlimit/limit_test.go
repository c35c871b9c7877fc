package tdlimit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

// TestShares requests shares from random nodes with random demands and checks
// that the sum of the unexpired shares never exceeds the limit.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := amounts{
			rapid.Float64Range(0.5, 100).Draw(t, "requests"),
			rapid.Float64Range(1, 1e5).Draw(t, "tokens"),
			float64(rapid.IntRange(1, 20).Draw(t, "concurrent")),
		}
		type node struct {
			share amounts
			until tarragondeal.Instant
		}
		a := newAllocator()
		nodes := map[string]*node{"a": {}, "b": {}, "c": {}, "d": {}}
		var now tarragondeal.Instant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += tarragondeal.Instant(rapid.Int64Range(0, int64(1500*time.Millisecond)).Draw(t, "wait"))
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "node")
			demand := amounts{
				rapid.Float64Range(0, 200).Draw(t, "wants"), rapid.Float64Range(0, 1e6).Draw(t, "wantsTokens"),
				float64(rapid.IntRange(0, 30).Draw(t, "wantsAtOnce")),
			}
			n := nodes[name]
			held := amounts{}
			if now < n.until {
				held = n.share
				held[concurrent] = float64(rapid.IntRange(0, int(n.share[concurrent])).Draw(t, "runs"))
			}
			n.share, n.until = a.share(now, name, "workspace/w", limit, demand, held, len(nodes)), now.Add(shareTTL)
			var sum amounts
			for _, other := range nodes {
				for q := range sum {
					if now < other.until {
						sum[q] += other.share[q]
					}
				}
			}
			for q := range sum {
				if sum[q] > limit[q]*1.000001 {
					t.Fatalf("shares of amount %d sum to %g, limit %g", q, sum[q], limit[q])
				}
			}
		}
	})
}

// TestLittleDemand checks that when all nodes of a fleet request their first
// share at once, with a total demand far below the limit, each gets its demand.
func TestLittleDemand(t *testing.T) {
	const fleet = 16
	a := newAllocator()
	for n := range fleet {
		share := a.share(0, fmt.Sprintf("node%d", n), "workspace/w", amounts{1000, 1e5, 64}, amounts{5, 500, 2}, amounts{}, fleet)
		for q, demand := range (amounts{5, 500, 2}) {
			if share[q] < demand {
				t.Errorf("node%d wants %g of amount %d and gets %g", n, demand, q, share[q])
			}
		}
	}
}

// TestSubject checks that a node admits no more than its share with the
// permitted burst, and no more concurrent requests than its share.
func TestSubject(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &subject{limit: amounts{10, 1000, 5}}
		share := amounts{rapid.Float64Range(0.5, 10).Draw(t, "share"), 1000, float64(rapid.IntRange(1, 5).Draw(t, "atOnce"))}
		s.setShare(0, 0, share)
		var now tarragondeal.Instant
		admitted, running := 0, 0
		for range 200 {
			now += tarragondeal.Instant(rapid.Int64Range(0, int64(200*time.Millisecond)).Draw(t, "wait"))
			if _, ok := s.admit(now, 1); ok {
				admitted++
				running++
			}
			if float64(running) > share[concurrent] {
				t.Fatalf("%d concurrent requests, share %g", running, share[concurrent])
			}
			if most := share[requests]*(time.Duration(now).Seconds()+1) + 1; float64(admitted) > most+1e-6 {
				t.Fatalf("%d admitted by %s, at most %g", admitted, time.Duration(now), most)
			}
			if running > 0 && rapid.Bool().Draw(t, "end") {
				s.release(1, 1)
				running--
			}
		}
	})
}
