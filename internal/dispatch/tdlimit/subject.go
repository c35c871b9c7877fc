package tdlimit

import (
	"time"

	"tarragondeal"
)

const (
	// burstWindow is how long an unused rate accumulates.
	burstWindow = time.Second
	// demandWeight is the weight of the interval since the last report in a
	// node's average demand.
	demandWeight = 0.5
	// idleTimeout is how long an unused subject is kept.
	idleTimeout = 10 * time.Second
)

// bucket is a token bucket that holds at most the rate of one burstWindow. Its
// level can become negative, because the number of tokens that a request uses
// is known only when it ends.
type bucket struct {
	level   float64
	updated tarragondeal.Instant
}

func (b *bucket) fill(now tarragondeal.Instant, perSecond float64) {
	capacity := max(1, perSecond*burstWindow.Seconds())
	b.level = min(capacity, b.level+now.Sub(b.updated).Seconds()*perSecond)
	b.updated = now
}

// wait returns how long it takes until the level is at least n.
func (b *bucket) wait(perSecond, n float64) time.Duration {
	switch {
	case b.level >= n:
		return 0
	case perSecond <= 0:
		return burstWindow
	default:
		return time.Duration((n - b.level) / perSecond * float64(time.Second))
	}
}

// subject is one limited workspace, key or route on this node.
type subject struct {
	name        string
	limit       amounts
	share       amounts
	expires     tarragondeal.Instant // End of validity of the share.
	initialised bool                 // A share has been set before.
	buckets     [2]bucket
	running     int
	peak        int // Peak concurrency since the last report, including refused requests.
	arrived     amounts
	demand      amounts
	lastUsed    tarragondeal.Instant
	lastReport  tarragondeal.Instant
}

// admit admits one request, or returns how long to wait before a retry and
// false.
func (s *subject) admit(now tarragondeal.Instant, estimate float64) (time.Duration, bool) {
	s.lastUsed = now
	s.arrived[requests]++
	s.arrived[tokens] += estimate
	s.peak = max(s.peak, s.running+1)
	if s.limit[concurrent] > 0 && float64(s.running+1) > s.share[concurrent] {
		return burstWindow, false
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

// undo reverts a successful admit.
func (s *subject) undo(estimate float64) {
	s.buckets[requests].level++
	s.buckets[tokens].level += estimate
	s.running--
}

// release ends a request and corrects its estimated tokens to those used.
func (s *subject) release(estimate, used float64) {
	s.running--
	s.buckets[tokens].level += estimate - used
}

// report updates and returns the demand to send to the allocator.
func (s *subject) report(now tarragondeal.Instant) amounts {
	if elapsed := now.Sub(s.lastReport).Seconds(); s.lastReport > 0 && elapsed > 0 {
		for n := range s.buckets {
			s.demand[n] += demandWeight * (s.arrived[n]/elapsed - s.demand[n])
		}
	} else {
		s.demand = s.arrived
	}
	s.arrived = amounts{}
	s.demand[concurrent] = float64(max(s.peak, s.running))
	s.peak = s.running
	s.lastReport = now
	return s.demand
}

// setShare sets a new share, which expires shareTTL after it was requested.
func (s *subject) setShare(now, requested tarragondeal.Instant, share amounts) {
	first := !s.initialised
	s.share, s.expires, s.initialised = share, requested.Add(shareTTL), true
	for n := range s.buckets {
		if first {
			s.buckets[n] = bucket{level: max(1, share[n]*burstWindow.Seconds()), updated: now}
		}
	}
}

// equalShare returns the share that a node uses when it can't reach the
// allocator.
func (s *subject) equalShare(nodes int) amounts {
	var out amounts
	for n := range out {
		out[n] = s.limit[n] / float64(max(1, nodes))
	}
	out[concurrent] = float64(int(out[concurrent]))
	return out
}
