package tdburn

import (
	"time"

	"tarragondeal"
)

// inherit adds what another node kept. A malformed part is refused as a
// whole. Buckets that lie further back than this node's rings are dropped.
func (b *Burn) inherit(in *Legacy) error {
	if err := checkLegacy(in); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.left {
		return errLeft
	}
	b.now = b.Clock.Now()
	b.longest = max(b.longest, time.Duration(in.LongestMillis)*time.Millisecond)
	for _, c := range in.Classes {
		to, _ := b.class(c.Class)
		to.inherit(b.now, c)
	}
	for _, p := range in.Pairs {
		b.inheritPair(p)
	}
	for _, w := range in.Waste {
		r := b.wasteOf(wasteKey{w.Cause, w.Class})
		for _, x := range w.Buckets {
			if to := r.back(b.now, x.Age); to != nil {
				to.requests += x.Requests
				to.tokens += x.Tokens
			}
		}
	}
	return nil
}

// checkLegacy decodes what can fail before anything is added.
func checkLegacy(in *Legacy) error {
	scratch := newCells()
	for _, c := range in.Classes {
		for _, list := range [][]*LatencyBucket{c.FineLatency, c.CoarseLatency} {
			for _, l := range list {
				if len(l.Measures) != int(measures) {
					return errMalformed
				}
				for _, m := range l.Measures {
					if err := scratch.add(m); err != nil {
						return err
					}
				}
			}
		}
	}
	return nil
}

func (c *class) inherit(now tarragondeal.Instant, in *ClassLegacy) {
	inheritCounts(now, c.fine, in.Fine)
	inheritCounts(now, c.coarse, in.Coarse)
	inheritLatency(now, c.latencies.fine, in.FineLatency)
	inheritLatency(now, c.latencies.coarse, in.CoarseLatency)
}

func inheritCounts(now tarragondeal.Instant, r *ring[counts], in []*CountsBucket) {
	for _, x := range in {
		if to := r.back(now, x.Age); to != nil {
			to.add(&counts{
				good: x.Good, bad: x.Bad, refused: x.Refused, failed: x.Failed, reclaimable: x.Reclaimable,
				work: time.Duration(x.WorkNanos), reclaimableWork: time.Duration(x.ReclaimableWorkNanos),
			})
		}
	}
}

func inheritLatency(now tarragondeal.Instant, r *ring[bucket], in []*LatencyBucket) {
	for _, x := range in {
		to := r.back(now, x.Age)
		if to == nil {
			continue
		}
		for m, packed := range x.Measures {
			sum := newCells()
			_ = sum.add(to.packed[m]) // Both were checked.
			_ = sum.add(packed)
			to.packed[m] = sum.pack()
		}
	}
}

func (b *Burn) inheritPair(in *PairLegacy) {
	var p *pair
	if in.Workspace == Other {
		p = b.other(in.Class)
	} else {
		p = b.pair(pairKey{in.Workspace, in.Class})
	}
	inheritGoodBad(b.now, p.fine, in.Fine)
	inheritGoodBad(b.now, p.coarse, in.Coarse)
}

func inheritGoodBad(now tarragondeal.Instant, r *ring[goodBad], in []*GoodBad) {
	for _, x := range in {
		if to := r.back(now, x.Age); to != nil {
			to.good += x.Good
			to.bad += x.Bad
		}
	}
}
