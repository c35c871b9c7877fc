package tdlimit

import (
	"time"

	"tarragondeal"
)

const (
	// saveUp is how long a rate may be saved up.
	saveUp = time.Second
	// demandWeight is the weight of the last second in a node's demand.
	demandWeight = 0.5
	// idleAfter is how long a subject is kept that is not used.
	idleAfter = 10 * time.Second
)

// bucket is a rate that can be saved up for saveUp, and that can go into
// debt, since the tokens of a request are known only when it has ended.
type bucket struct {
	level float64
	at    tarragondeal.Instant
}

func (b *bucket) fill(now tarragondeal.Instant, perSecond float64) {
	most := max(1, perSecond*saveUp.Seconds())
	b.level = min(most, b.level+now.Sub(b.at).Seconds()*perSecond)
	b.at = now
}

// wait returns how long until the level is at least n.
func (b *bucket) wait(perSecond, n float64) time.Duration {
	switch {
	case b.level >= n:
		return 0
	case perSecond <= 0:
		return saveUp
	default:
		return time.Duration((n - b.level) / perSecond * float64(time.Second))
	}
}

// subject is one limited workspace, key or route at this node.
type subject struct {
	name    string
	limit   amounts
	share   amounts
	until   tarragondeal.Instant // The share lapses then.
	asked   bool                 // There was a share at some time.
	buckets [2]bucket
	running int
	wanted  int // The most at once since the last report, refused ones too.
	arrived amounts
	demand  amounts
	used    tarragondeal.Instant
	told    tarragondeal.Instant
}

// admit takes one request, or returns how long to wait.
func (s *subject) admit(now tarragondeal.Instant, estimate float64) (time.Duration, bool) {
	s.used = now
	s.arrived[requests]++
	s.arrived[tokens] += estimate
	s.wanted = max(s.wanted, s.running+1)
	if s.limit[concurrent] > 0 && float64(s.running+1) > s.share[concurrent] {
		return saveUp, false
	}
	for n := range s.buckets {
		if s.limit[n] <= 0 {
			continue
		}
		s.buckets[n].fill(now, s.share[n])
		if wait := s.buckets[n].wait(s.share[n], 1); wait > 0 {
			return wait, false
		}
	}
	s.buckets[requests].level--
	s.buckets[tokens].level -= estimate
	s.running++
	return 0, true
}

// undo gives back what admit took.
func (s *subject) undo(estimate float64) {
	s.buckets[requests].level++
	s.buckets[tokens].level += estimate
	s.running--
}

// release ends a request that took more or less than was estimated.
func (s *subject) release(estimate, used float64) {
	s.running--
	s.buckets[tokens].level += estimate - used
}

// report returns the demand to tell the keeper.
func (s *subject) report(now tarragondeal.Instant) amounts {
	if passed := now.Sub(s.told).Seconds(); s.told > 0 && passed > 0 {
		for n := range s.buckets {
			s.demand[n] += demandWeight * (s.arrived[n]/passed - s.demand[n])
		}
	} else {
		s.demand = s.arrived
	}
	s.arrived = amounts{}
	s.demand[concurrent] = float64(max(s.wanted, s.running))
	s.wanted = s.running
	s.told = now
	return s.demand
}

// take takes a new share, which lapses after the time since it was asked for.
func (s *subject) take(now, asked tarragondeal.Instant, share amounts) {
	first := !s.asked
	s.share, s.until, s.asked = share, asked.Add(shareLife), true
	for n := range s.buckets {
		if first {
			s.buckets[n] = bucket{level: max(1, share[n]*saveUp.Seconds()), at: now}
		}
	}
}

// equal is the share of a node that can't reach the keeper.
func (s *subject) equal(nodes int) amounts {
	var out amounts
	for n := range out {
		out[n] = s.limit[n] / float64(max(1, nodes))
	}
	out[concurrent] = float64(int(out[concurrent]))
	return out
}
