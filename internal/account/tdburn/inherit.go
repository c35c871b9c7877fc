package tdburn

import (
	"time"

	"tarragondeal"
)

// merge adds a part of another node's hand-over. A malformed part is rejected as
// a whole. Buckets older than this node's rings are dropped. It returns
// errHandedOver after this node's own hand-over.
func (b *Recorder) merge(in *Legacy) error {
	if err := validateLegacy(in); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.handedOver {
		return errHandedOver
	}
	b.now = b.Clock.Now()
	b.predecessorsObserved = max(b.predecessorsObserved, time.Duration(in.LongestMillis)*time.Millisecond)
	for _, c := range in.Classes {
		to, _ := b.class(c.Class)
		to.merge(b.now, c)
	}
	for _, p := range in.Pairs {
		b.mergePair(p)
	}
	for _, w := range in.Waste {
		r := b.wasteRing(wasteKey{w.Cause, w.Class})
		for _, x := range w.Buckets {
			if to := r.atAge(b.now, x.Age); to != nil {
				to.requests += x.Requests
				to.tokens += x.Tokens
			}
		}
	}
	return nil
}

// validateLegacy returns an error for a malformed part of a hand-over. merge calls
// it before it changes anything, so that such a part is rejected as a whole.
func validateLegacy(in *Legacy) error {
	scratch := newBins()
	for _, c := range in.Classes {
		for _, list := range [][]*LatencyBucket{c.FineLatency, c.CoarseLatency} {
			for _, l := range list {
				if len(l.Measures) != int(latencyKinds) {
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

func (c *class) merge(now tarragondeal.Instant, in *ClassLegacy) {
	mergeCounts(now, c.fine, in.Fine)
	mergeCounts(now, c.coarse, in.Coarse)
	mergeLatency(now, c.latencies.fine, in.FineLatency)
	mergeLatency(now, c.latencies.coarse, in.CoarseLatency)
}

func mergeCounts(now tarragondeal.Instant, r *ring[counts], in []*CountsBucket) {
	for _, x := range in {
		if to := r.atAge(now, x.Age); to != nil {
			to.add(&counts{
				good: x.Good, bad: x.Bad, refused: x.Refused, failed: x.Failed, reclaimable: x.Reclaimable,
				work: time.Duration(x.WorkNanos), reclaimableWork: time.Duration(x.ReclaimableWorkNanos),
			})
		}
	}
}

func mergeLatency(now tarragondeal.Instant, r *ring[histBucket], in []*LatencyBucket) {
	for _, x := range in {
		to := r.atAge(now, x.Age)
		if to == nil {
			continue
		}
		for m, packed := range x.Measures {
			sum := newBins()
			// Fails only for a sum above maxBinCount, which real traffic doesn't reach.
			_ = sum.add(to.packed[m])
			_ = sum.add(packed) // Can't fail: validateLegacy has checked it.
			to.packed[m] = sum.pack()
		}
	}
}

func (b *Recorder) mergePair(in *PairLegacy) {
	var p *pair
	if in.Workspace == Other {
		p = b.otherPair(in.Class)
	} else {
		p = b.pair(pairKey{in.Workspace, in.Class})
	}
	mergeGoodBad(b.now, p.fine, in.Fine)
	mergeGoodBad(b.now, p.coarse, in.Coarse)
}

func mergeGoodBad(now tarragondeal.Instant, r *ring[goodBad], in []*GoodBad) {
	for _, x := range in {
		if to := r.atAge(now, x.Age); to != nil {
			to.good += x.Good
			to.bad += x.Bad
		}
	}
}
