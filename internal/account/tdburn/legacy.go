package tdburn

import (
	"tarragondeal"
)

// partPairs is how many pairs of workspace and class travel in one part of a
// legacy, so that a part stays below the bound of a message.
const partPairs = 1000

// legacy takes everything out that this node has measured. Afterwards the
// node answers with nothing, so that no request is counted twice.
func (b *Burn) legacy(from tarragondeal.NodeID) []*Legacy {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left {
		return nil
	}
	b.left = true
	b.now = b.Clock.Now()
	first := &Legacy{From: string(from), LongestMillis: max(b.now.Sub(b.start), b.longest).Milliseconds()}
	for name, c := range b.classes {
		first.Classes = append(first.Classes, c.legacy(b.now, name))
	}
	for key, r := range b.waste {
		first.Waste = append(first.Waste, wasteLegacy(b.now, key, r))
	}
	out := []*Legacy{first}
	pairs := b.pairsLegacy()
	for len(pairs) > 0 {
		n := min(len(pairs), partPairs)
		out = append(out, &Legacy{From: string(from), Pairs: pairs[:n]})
		pairs = pairs[n:]
	}
	return out
}

func (b *Burn) pairsLegacy() []*PairLegacy {
	var out []*PairLegacy
	for _, key := range b.pairs.Keys() {
		p, _ := b.pairs.Peek(key)
		out = append(out, p.legacy(b.now, key))
	}
	for name, p := range b.others {
		out = append(out, p.legacy(b.now, pairKey{Other, name}))
	}
	return out
}

func (c *class) legacy(now tarragondeal.Instant, name string) *ClassLegacy {
	return &ClassLegacy{
		Class: name, Fine: countsLegacy(now, c.fine), Coarse: countsLegacy(now, c.coarse),
		FineLatency: latencyLegacy(now, c.latencies.fine), CoarseLatency: latencyLegacy(now, c.latencies.coarse),
	}
}

func countsLegacy(now tarragondeal.Instant, r *ring[counts]) (out []*CountsBucket) {
	r.all(now, func(age uint32, c *counts) {
		if *c != (counts{}) {
			out = append(out, &CountsBucket{
				Age: age, Good: c.good, Bad: c.bad, Refused: c.refused, Failed: c.failed, Reclaimable: c.reclaimable,
				WorkNanos: int64(c.work), ReclaimableWorkNanos: int64(c.reclaimableWork),
			})
		}
	})
	return out
}

func latencyLegacy(now tarragondeal.Instant, r *ring[bucket]) (out []*LatencyBucket) {
	r.all(now, func(age uint32, b *bucket) {
		if *b == (bucket{}) {
			return
		}
		l := &LatencyBucket{Age: age}
		for m := range measures {
			c := newCells()
			b.addTo(m, c)
			l.Measures = append(l.Measures, c.pack())
		}
		out = append(out, l)
	})
	return out
}

func (p *pair) legacy(now tarragondeal.Instant, key pairKey) *PairLegacy {
	return &PairLegacy{
		Workspace: key.workspace, Class: key.class,
		Fine: goodBadLegacy(now, p.fine), Coarse: goodBadLegacy(now, p.coarse),
	}
}

func goodBadLegacy(now tarragondeal.Instant, r *ring[goodBad]) (out []*GoodBad) {
	r.all(now, func(age uint32, b *goodBad) {
		if *b != (goodBad{}) {
			out = append(out, &GoodBad{Age: age, Good: b.good, Bad: b.bad})
		}
	})
	return out
}

func wasteLegacy(now tarragondeal.Instant, key wasteKey, r *ring[wasted]) *WasteLegacy {
	out := &WasteLegacy{Cause: key.cause, Class: key.class}
	r.all(now, func(age uint32, w *wasted) {
		if *w != (wasted{}) {
			out.Buckets = append(out.Buckets, &WasteBucket{Age: age, Requests: w.requests, Tokens: w.tokens})
		}
	})
	return out
}
