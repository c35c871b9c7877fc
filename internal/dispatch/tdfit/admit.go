package tdfit

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdadmit"
)

// lowerTierTime is how long after the last request of a tier began at a pool more urgent ones
// don't yield.
const lowerTierTime = 30 * time.Second

// admit decides whether a request is sent to an engine of a shared pool, the best one for it,
// is deferred there or is refused. The error is a *tarragondeal.RefusedError.
func (f *Fit) admit(r *request, s *server, now, start tarragondeal.Instant) error {
	r.deferred = false
	if s.engine == nil || !f.sharesMachines(s.Pool) || r.ask.Target <= 0 {
		return nil
	}
	t := f.totalUse(s, now)
	waited := now.Sub(start)
	fresh, _ := f.uncached(r, s, &t)
	read := time.Duration(float64(s.prefillTime(fresh)) * s.pace.RelativeSlowdown(now))
	e := tdadmit.Estimate{
		Begin: s.backlog(now) + read, DeferredBegin: s.fullBacklog(now) + read, Decode: f.decodeTime(r, s, t.running, now),
		Busy: 2*t.running >= s.slots() || s.fullBacklog(now) > 0 && t.running > 0,
	}
	d := tdadmit.Decide(tdadmit.Request{Target: r.ask.Target - waited, Left: r.ask.Deadline - waited, Yields: f.yields(r.ask, s.Pool, now)}, e)
	if d.Action == tdadmit.Send {
		return nil
	}
	f.Scope.Tagged(map[string]string{"action": d.Action.String(), "pool": s.Pool}).Counter("admission").Inc(1)
	f.Log.Info().Str("request", string(r.ask.Request)).Int("attempt", r.ask.Attempt).Int("tier", r.ask.Tier).Str("server", string(s.ID)).
		Stringer("action", d.Action).Dur("begin", e.Begin).Dur("end", d.End).Dur("target", r.ask.Target).Dur("left", r.ask.Deadline-waited).
		Int("running", t.running).Dur("reportAge", now.Sub(s.reported.at)).Dur("retryAfter", d.RetryAfter).Msg("request can't begin within its target")
	if d.Action == tdadmit.Defer {
		r.deferred = true
		return nil
	}
	return refused(tarragondeal.ReasonOverload, "the backend servers can't serve the request before its deadline", d.RetryAfter)
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
// request of a workspace has begun at the pool lately.
func (f *Fit) yields(a *tarragondeal.Ask, pool string, now tarragondeal.Instant) bool {
	if a.Tier < f.lowestTier[pool] {
		return false
	}
	lower := f.lastStarts[pool].lowerStart(a.Tier)
	return lower == 0 || now.Sub(lower) > lowerTierTime
}
