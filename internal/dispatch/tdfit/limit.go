package tdfit

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdshare"
)

const (
	// minLimit is the rate at which a server gets requests that accepts none, in
	// requests per second. Its answers show when it accepts some again.
	minLimit = 1.0 / 30
	// fleetTTL is how long the list of nodes and the offset of the common clock
	// are kept.
	fleetTTL = 100 * time.Millisecond
	// anyTierSlots is the number of slots of which one has permits that a request
	// may use although more urgent ones wait, so that no tier starves.
	anyTierSlots = 10
)

// limitRate returns the rate of requests to a server with a limit, in requests per second.
func limitRate(l *rateNotice) float64 { return max(l.PerSecond, minLimit) }

// ObserveLimit implements tarragondeal.ServerNotices.
func (f *Fit) ObserveLimit(s tarragondeal.Server, request tarragondeal.RequestID, l tarragondeal.ServerRate, sent tarragondeal.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observeRate(f.limits, runOf(&s), request, l, sent)
}

// limitOf returns the limit of a server, or nil if it has none: the one that it has announced,
// or the lower one while it is cold. Both use the same permits, so that a change from one to the
// other gives none in addition to those that were used.
func (f *Fit) limitOf(s *server) *rateNotice {
	cold := f.coldLimit(s)
	l := f.limits.byRun[runOf(&s.Server)]
	if l != nil && s.cold.rate != nil {
		l.share = s.cold.rate.share
	}
	if l != nil && l.Announced && (cold == nil || l.PerSecond < cold.PerSecond) {
		return l
	}
	return cold
}

// currentFleet returns the nodes of the fleet and the time on which they agree.
func (f *Fit) currentFleet(now tarragondeal.Instant) tdshare.Fleet {
	if f.fleetAt == 0 || now.Sub(f.fleetAt) >= fleetTTL {
		f.fleet, f.fleetAt = tdshare.Fleet{Self: f.Self, Nodes: f.Nodes(), Now: f.Wall()}, now
	}
	out := f.fleet
	out.Now = out.Now.Add(now.Sub(f.fleetAt))
	return out
}

// withinLimit reports whether a request may be sent to a server by the server's
// limit, of which this node has a share. More urgent requests that wait at this node
// go first.
func (f *Fit) withinLimit(a *tarragondeal.Ask, s *server, now tarragondeal.Instant) bool {
	l := f.limitOf(s)
	if l == nil {
		return true
	}
	if now < f.coldFrom && f.coldLimit(s) != nil {
		return false
	}
	if !l.share.Available(f.currentFleet(now), limitRate(l)) {
		return false
	}
	return l.share.Slot()%anyTierSlots == 0 || !f.moreUrgentWaits(s.Pool, a.Tier)
}

// takePermit uses this node's permit for a server with a limit.
func (f *Fit) takePermit(a *tarragondeal.Ask, s *server, now tarragondeal.Instant) {
	l := f.limitOf(s)
	if l == nil {
		return
	}
	l.share.Take()
	f.Log.Info().Str("request", string(a.Request)).Int("attempt", a.Attempt).Int("tier", a.Tier).Str("server", string(s.ID)).
		Float64("perSecond", l.PerSecond).Dur("limitAge", now.Sub(l.at)).Int("nodes", len(f.fleet.Nodes)).
		Msg("request sent to a server with a limit")
}

// addWaiting adds n to the requests that wait for a server.
func (f *Fit) addWaiting(a *tarragondeal.Ask, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, pool := range a.Pools {
		if f.waiting[pool] == nil {
			f.waiting[pool] = make(map[int]int)
		}
		if f.waiting[pool][a.Tier] += n; f.waiting[pool][a.Tier] == 0 {
			delete(f.waiting[pool], a.Tier)
		}
		if len(f.waiting[pool]) == 0 {
			delete(f.waiting, pool)
		}
	}
}

// moreUrgentWaits reports whether a request of a tier above the given one waits for
// a server of a pool.
func (f *Fit) moreUrgentWaits(pool string, tier int) bool {
	for n := range f.waiting[pool] {
		if n < tier {
			return true
		}
	}
	return false
}

// refuseLimited returns a refusal if no server becomes available until then by the
// limits that the servers announce, so that the caller need not wait for it. The
// retry delay grows with the requests that wait here for a part of the limits.
func (f *Fit) refuseLimited(a *tarragondeal.Ask, until tarragondeal.Instant) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	limited, rate, waiting := 0, 0.0, 0
	for _, pool := range a.Pools {
		for _, s := range f.pools[pool] {
			if !eligible(a, s) {
				continue
			}
			l := f.limitOf(s)
			if l == nil {
				return nil
			}
			fleet := f.currentFleet(now)
			if l.share.Available(fleet, limitRate(l)) || l.share.AvailableBefore(fleet, limitRate(l), fleet.Now.Add(until.Sub(now))) {
				return nil
			}
			limited++
			rate += limitRate(l)
		}
		for _, n := range f.waiting[pool] {
			waiting += n
		}
	}
	if limited == 0 {
		return nil
	}
	after := time.Duration(float64(waiting*len(f.fleet.Nodes)) / rate * float64(time.Second))
	f.Log.Info().Str("request", string(a.Request)).Int("tier", a.Tier).Int("limited", limited).Float64("perSecond", rate).
		Int("waiting", waiting).Dur("retryAfter", after).Msg("no server to send to within the limits")
	return refused(tarragondeal.ReasonOverload, "the backend servers accept only a few requests now", max(after, noServerRetryAfter))
}
