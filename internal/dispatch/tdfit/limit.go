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
	// limitTTL is how long the limit of a server that is not listed is kept: its
	// entry may come back. An ended limit is kept as long, for peers that have not
	// learned of its end.
	limitTTL = time.Minute
	// fleetTTL is how long the list of nodes and the offset of the common clock
	// are kept.
	fleetTTL = 100 * time.Millisecond
	// anyTierSlots is the number of slots of which one has permits that a request
	// may use although more urgent ones wait, so that no tier starves.
	anyTierSlots = 10
)

// serverRun identifies one run of a backend server. A server that starts again
// under the same name has announced nothing yet.
type serverRun struct {
	id      tarragondeal.ServerID
	started int64 // Unix milliseconds; zero if unknown.
}

func runOf(s *tarragondeal.Server) serverRun {
	if s.StartedAt.IsZero() {
		return serverRun{id: s.ID}
	}
	return serverRun{id: s.ID, started: s.StartedAt.UnixMilli()}
}

// serverLimit is the limit that a backend server announced last, to this node or to
// another one.
type serverLimit struct {
	tarragondeal.ServerLimit
	at    tarragondeal.Instant // When a node received the answer that says so.
	share *tdshare.Share
}

// rate returns the rate of requests to the server, in requests per second.
func (l *serverLimit) rate() float64 { return max(l.PerSecond, minLimit) }

// ObserveLimit implements tarragondeal.ServerLimits. The answers to requests that were
// sent before a limit was announced may have overtaken the announcement, so they
// don't end it.
func (f *Fit) ObserveLimit(s tarragondeal.Server, request tarragondeal.RequestID, l tarragondeal.ServerLimit, sent tarragondeal.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run := runOf(&s)
	if known := f.limits[run]; !l.Announced && (known == nil || sent < known.at) {
		return
	}
	f.setLimit(run, l, f.Clock.Now(), "request", string(request))
}

// setLimit records a limit, and logs it with its source if it has changed.
func (f *Fit) setLimit(run serverRun, l tarragondeal.ServerLimit, at tarragondeal.Instant, sourceKind, source string) {
	known := f.limits[run]
	if known == nil {
		f.evictLimits()
		known = &serverLimit{share: tdshare.New(string(run.id))}
		f.limits[run] = known
	}
	before := known.ServerLimit
	known.ServerLimit, known.at = l, at
	if before != l {
		f.Log.Info().Str(sourceKind, source).Str("server", string(run.id)).Bool("limited", l.Announced).
			Float64("perSecond", l.PerSecond).Bool("before", before.Announced).Float64("perSecondBefore", before.PerSecond).
			Dur("age", f.Clock.Now().Sub(at)).Msg("limit of server changed")
	}
}

// evictLimits deletes limits that are no longer needed.
func (f *Fit) evictLimits() {
	now := f.Clock.Now()
	for run, l := range f.limits {
		s := f.servers[run.id]
		listed := s != nil && runOf(&s.Server) == run
		if now.Sub(l.at) > limitTTL && (!listed || !l.Announced) {
			delete(f.limits, run)
		}
	}
}

// limitOf returns the limit of a server, or nil if it has none.
func (f *Fit) limitOf(s *server) *serverLimit {
	if l := f.limits[runOf(&s.Server)]; l != nil && l.Announced {
		return l
	}
	return nil
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
	if !l.share.Available(f.currentFleet(now), l.rate()) {
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
			if l.share.Available(fleet, l.rate()) || l.share.AvailableBefore(fleet, l.rate(), fleet.Now.Add(until.Sub(now))) {
				return nil
			}
			limited++
			rate += l.rate()
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
