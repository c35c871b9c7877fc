package tdfit

import (
	"context"
	"math/rand/v2"
	"time"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/dispatch/tdadmit"
)

// lowerTierTime is how long after the last request of a tier was sent to a pool, or began there, more urgent
// ones don't yield.
const lowerTierTime = 30 * time.Second

// rejectionLogTime is how long after a rejection by plain servers the next one is logged.
const rejectionLogTime = 3 * time.Second

// admit decides whether a request is sent to an engine of an adaptive pool, the best one for it,
// is deferred there or is refused. It returns the server to send to, which is another one if only
// that can serve the request before its deadline. The error is a *tarragondeal.RefusedError.
func (f *Fit) admit(r *request, s *server, now, start tarragondeal.Instant) (*server, error) {
	r.deferred = false
	s, d, decided := f.admission(r, s, now, start)
	if !decided || d.Action == tdadmit.Send {
		return s, nil
	}
	f.Scope.Tagged(map[string]string{"action": d.Action.String(), "pool": s.Pool}).Counter("admission").Inc(1)
	f.Log.Info().Str("request", string(r.ask.Request)).Int("attempt", r.ask.Attempt).Int("tier", r.ask.Tier).Str("server", string(s.ID)).
		Stringer("action", d.Action).Dur("begin", d.Begin).Dur("end", d.End).Dur("target", r.ask.Target).Dur("left", r.ask.Deadline).
		Dur("waited", now.Sub(start)).Int("running", f.totalUse(s, now).running).Dur("backlog", s.backlog(now)).Dur("fullBacklog", s.fullBacklog(now)).
		Dur("reportAge", now.Sub(s.reported.at)).Dur("retryAfter", d.RetryAfter).Msg("request can't begin within its target")
	if d.Action == tdadmit.Defer {
		r.deferred = true
		return s, nil
	}
	return nil, refused(tarragondeal.ReasonOverload, "the backend servers can't serve the request before its deadline", d.RetryAfter)
}

// admission returns what happens to a request whose best server is s, and at which server. A large
// pool has servers that were not compared: a request is refused only if all of them are too late.
func (f *Fit) admission(r *request, s *server, now, start tarragondeal.Instant) (at *server, d tdadmit.Decision, decided bool) {
	d, decided = f.decideAdmission(r, s, now, start)
	if !decided || d.Action != tdadmit.Refuse {
		return s, d, decided
	}
	all := f.pools[s.Pool]
	first := rand.IntN(len(all)) // Nodes that search at the same time start at different servers.
	for n := range all {
		other := all[(first+n)%len(all)]
		if other == s || !f.mayUse(r.ask, other, now) {
			continue
		}
		if o, _ := f.decideAdmission(r, other, now, start); o.Action != tdadmit.Refuse {
			return other, o, true
		}
	}
	return s, d, true
}

// decideAdmission returns what happens to a request whose best server is s. Decided is false
// if it is sent anyway.
func (f *Fit) decideAdmission(r *request, s *server, now, start tarragondeal.Instant) (d tdadmit.Decision, decided bool) {
	if s.engine == nil || !f.isAdaptive(s.Pool) || r.ask.Target <= 0 {
		return tdadmit.Decision{}, false
	}
	t := f.totalUse(s, now)
	waited := now.Sub(start)
	fresh, _ := f.uncached(r, s, &t)
	read := time.Duration(float64(s.prefillTime(fresh)) * s.pace.RelativeSlowdown(now))
	e := tdadmit.Estimate{
		Begin: s.backlog(now) + read, DeferredBegin: s.fullBacklog(now) + read, Decode: f.decodeTime(r, s, t.running, now),
		Busy: 2*t.running >= s.slots() || s.fullBacklog(now) > 0 && t.running > 0,
	}
	return tdadmit.Decide(tdadmit.Request{Target: r.ask.Target - waited, Left: r.ask.Deadline - waited, Yields: f.yields(r.ask, s.Pool, now)}, e), true
}

// spread holds a request to plain servers back for a short time while they reject requests. It
// reports whether the request still wants a server.
func (f *Fit) spread(ctx context.Context, a *tarragondeal.Ask) bool {
	longest := f.spreadTime(a)
	if longest <= 0 {
		return true
	}
	f.Scope.Counter("spreadRequests").Inc(1)
	return tdclock.Sleep(ctx, rand.N(longest))
}

// spreadTime returns the longest time for which a request is held back.
func (f *Fit) spreadTime(a *tarragondeal.Ask) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	var longest time.Duration
	for _, pool := range a.Pools {
		p := tdadmit.Plain{Rejected: -1, RoomAge: -1}
		if at, ok := f.rejectedAt[pool]; ok {
			p.Rejected = now.Sub(at)
		}
		for _, s := range f.pools[pool] {
			if r := &s.reported; r.known && r.Waiting == 0 && r.Running < r.Slots && eligible(a, s) {
				if age := now.Sub(r.at); p.RoomAge < 0 || age < p.RoomAge {
					p.RoomAge = age
				}
			}
		}
		longest = max(longest, tdadmit.Spread(a.Target, p))
	}
	return longest
}

// recordPlainRejection records that a plain server rejected a request of this node.
func (f *Fit) recordPlainRejection(s *server, now tarragondeal.Instant) {
	if s.engine != nil {
		return
	}
	if at, ok := f.rejectedAt[s.Pool]; !ok || now.Sub(at) > rejectionLogTime {
		f.Log.Info().Str("server", string(s.ID)).Str("pool", s.Pool).Int("running", s.reported.Running).Int("waiting", s.reported.Waiting).
			Int("slots", s.reported.Slots).Msg("plain servers reject requests; those of this node are spread over a part of their target")
	}
	f.rejectedAt[s.Pool] = now
}

// decodeTime returns the estimated time from the first event of a request to the last.
func (f *Fit) decodeTime(r *request, s *server, running int, now tarragondeal.Instant) time.Duration {
	output := r.ask.OutputHint
	if output <= 0 {
		output = r.ask.Output
	}
	return time.Duration(output/max(1, s.engine.TokensPerEvent)) * s.pace.Event(running+1, now)
}

// yields reports whether no class of a pool is less urgent than a request, and no less urgent
// request of a workspace has begun at the pool lately, or was sent there and may be about to begin.
func (f *Fit) yields(a *tarragondeal.Ask, pool string, now tarragondeal.Instant) bool {
	if a.Tier < f.lowestTier[pool] {
		return false
	}
	lower := max(f.lastStarts[pool].lowerStart(a.Tier), f.lastSent[pool].lowerStart(a.Tier))
	return lower == 0 || now.Sub(lower) > lowerTierTime
}
