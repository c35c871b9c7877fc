package tdburn

import (
	"tarragondeal"
)

// pairsPerPart limits the pairs of workspace and class in one part of a
// hand-over, so that a part stays below the size limit of a message.
const pairsPerPart = 1000

// handOver returns all figures of this node, in parts. Afterwards the node's
// snapshots contain no requests and no waste, so that no request is counted twice.
func (b *Recorder) handOver(from tarragondeal.NodeID) []*Legacy {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.handedOver {
		return nil
	}
	b.handedOver = true
	b.now = b.Clock.Now()
	first := &Legacy{From: string(from), LongestMillis: max(b.now.Sub(b.start), b.predecessorsObserved).Milliseconds()}
	for name, c := range b.classes {
		first.Classes = append(first.Classes, c.export(b.now, name))
	}
	for key, r := range b.waste {
		first.Waste = append(first.Waste, exportWaste(b.now, key, r))
	}
	out := []*Legacy{first}
	pairs := b.exportPairs()
	for len(pairs) > 0 {
		n := min(len(pairs), pairsPerPart)
		out = append(out, &Legacy{From: string(from), Pairs: pairs[:n]})
		pairs = pairs[n:]
	}
	return out
}

func (b *Recorder) exportPairs() []*PairLegacy {
	var out []*PairLegacy
	for _, key := range b.pairs.Keys() {
		p, _ := b.pairs.Peek(key)
		out = append(out, p.export(b.now, key))
	}
	for name, p := range b.otherPairs {
		out = append(out, p.export(b.now, pairKey{Other, name}))
	}
	return out
}

func (c *class) export(now tarragondeal.Instant, name string) *ClassLegacy {
	return &ClassLegacy{
		Class: name, Fine: exportCounts(now, c.fine), Coarse: exportCounts(now, c.coarse),
		FineLatency: exportLatency(now, c.latencies.fine), CoarseLatency: exportLatency(now, c.latencies.coarse),
	}
}

func exportCounts(now tarragondeal.Instant, r *ring[counts]) (out []*CountsBucket) {
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

func exportLatency(now tarragondeal.Instant, r *ring[histBucket]) (out []*LatencyBucket) {
	r.all(now, func(age uint32, b *histBucket) {
		if *b == (histBucket{}) {
			return
		}
		l := &LatencyBucket{Age: age}
		for m := range latencyKinds {
			c := newBins()
			b.addTo(m, c)
			l.Measures = append(l.Measures, c.pack())
		}
		out = append(out, l)
	})
	return out
}

func (p *pair) export(now tarragondeal.Instant, key pairKey) *PairLegacy {
	return &PairLegacy{
		Workspace: key.workspace, Class: key.class,
		Fine: exportGoodBad(now, p.fine), Coarse: exportGoodBad(now, p.coarse),
	}
}

func exportGoodBad(now tarragondeal.Instant, r *ring[goodBad]) (out []*GoodBad) {
	r.all(now, func(age uint32, b *goodBad) {
		if *b != (goodBad{}) {
			out = append(out, &GoodBad{Age: age, Good: b.good, Bad: b.bad})
		}
	})
	return out
}

func exportWaste(now tarragondeal.Instant, key wasteKey, r *ring[wasteCounts]) *WasteLegacy {
	out := &WasteLegacy{Cause: key.cause, Class: key.class}
	r.all(now, func(age uint32, w *wasteCounts) {
		if *w != (wasteCounts{}) {
			out.Buckets = append(out.Buckets, &WasteBucket{Age: age, Requests: w.requests, Tokens: w.tokens})
		}
	})
	return out
}
