package tdfit

import (
	"math/rand/v2"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdadmit"
)

// lowerTierTime is how long after the last request of a tier was sent to a pool, or began there, more urgent
// ones don't yield.
const lowerTierTime = 30 * time.Second

// admit decides whether a request is sent to an engine of an adaptive pool, the best one for
// it. It returns the server to send to, which is another one if only that may get it, or nil if
// the request is held for a moment. The error is a *tarragondeal.RefusedError.
func (f *Fit) admit(r *request, s *server, now, start tarragondeal.Instant) (*server, error) {
	s, d, e := f.admission(r, s, now, start)
	switch d.Action {
	case tdadmit.Send:
		return s, nil
	case tdadmit.Hold:
		if !r.held {
			r.held = true
			f.Scope.Tagged(map[string]string{"action": d.Action.String(), "pool": s.Pool}).Counter("admission").Inc(1)
		}
		return nil, nil
	}
	f.Scope.Tagged(map[string]string{"action": d.Action.String(), "pool": s.Pool}).Counter("admission").Inc(1)
	f.Log.Info().Str("request", string(r.ask.Request)).Int("attempt", r.ask.Attempt).Int("tier", r.ask.Tier).Str("server", string(s.ID)).
		Dur("backlog", e.Backlog).Dur("read", e.Read).Dur("limit", d.Limit).Dur("target", r.ask.Target).Dur("left", r.ask.Deadline).
		Dur("waited", now.Sub(start)).Int("running", f.totalUse(s, now).running).Int("reportedWaiting", s.reported.Waiting).
		Dur("reportAge", now.Sub(s.reported.at)).Dur("retryAfter", d.RetryAfter).Msg("request refused: it would be late, or make more urgent ones late")
	return nil, refused(tarragondeal.ReasonOverload, "the backend servers can't serve the request in its time", d.RetryAfter)
}

// admission returns what happens to a request whose best server is s, and at which server. A large
// pool has servers that were not compared: a request is refused only if none of them may get it.
func (f *Fit) admission(r *request, s *server, now, start tarragondeal.Instant) (at *server, d tdadmit.Decision, e tdadmit.Estimate) {
	d, e = f.decideAdmission(r, s, now, start)
	if d.Action != tdadmit.Refuse {
		return s, d, e
	}
	all := f.pools[s.Pool]
	first := rand.IntN(len(all)) // Nodes that search at the same time start at different servers.
	for n := range all {
		other := all[(first+n)%len(all)]
		if other == s || !f.mayUse(r.ask, other, now) {
			continue
		}
		if o, oe := f.decideAdmission(r, other, now, start); o.Action != tdadmit.Refuse {
			return other, o, oe
		}
	}
	return s, d, e
}

// decideAdmission returns what happens to a request whose best server is s.
func (f *Fit) decideAdmission(r *request, s *server, now, start tarragondeal.Instant) (tdadmit.Decision, tdadmit.Estimate) {
	if s.engine == nil || !f.isAdaptive(s.Pool) || r.ask.Target <= 0 {
		return tdadmit.Decision{}, tdadmit.Estimate{}
	}
	t := f.totalUse(s, now)
	waited := now.Sub(start)
	fresh, _ := f.uncached(r, s, &t)
	yields := f.yields(r.ask, s.Pool, now)
	backlog := s.backlog(now)
	if yields { // Others would be held for the sake of a mean.
		backlog += f.paceOf(s.Pool, s.engine).UnexpectedWait(now)
	}
	e := tdadmit.Estimate{
		Backlog: backlog, Read: time.Duration(float64(s.prefillTime(fresh)) * s.pace.RelativeSlowdown(now)),
		Busy: 2*t.running >= s.slots() || t.running > 0 && (s.backlog(now) > 0 || s.reported.Waiting > 0),
	}
	return tdadmit.Decide(tdadmit.Request{
		Target: r.ask.Target, Left: r.ask.Deadline - waited, Waited: waited, Tight: r.tight,
		Urgent: f.urgentTarget(r.ask, s.Pool), Yields: yields,
	}, e), e
}

// urgentTarget returns the shortest target of the more urgent classes of a pool whose streams
// are not kept apart from long prompts, or zero.
func (f *Fit) urgentTarget(a *tarragondeal.Ask, pool string) time.Duration {
	var least time.Duration
	own := f.classTier(a)
	for tier, target := range f.tierTargets[pool] {
		if tier < own && (least == 0 || target < least) {
			least = target
		}
	}
	return least
}

// classTier returns the tier of a request's class, which ranks the requests of one workspace. The
// tier of the request is the workspace's, if that has one.
func (f *Fit) classTier(a *tarragondeal.Ask) int {
	if f.view != nil {
		if c := f.view.RequestClasses[a.Class]; c != nil {
			return c.Tier
		}
	}
	return a.Tier
}

// yields reports whether no class of a pool is less urgent than that of a request, and no request of
// a lower tier has begun at the pool lately, or was sent there and may be about to begin.
func (f *Fit) yields(a *tarragondeal.Ask, pool string, now tarragondeal.Instant) bool {
	if f.classTier(a) < f.lowestTier[pool] {
		return false
	}
	lower := max(f.lastStarts[pool].lowerStart(a.Tier), f.lastSent[pool].lowerStart(a.Tier))
	return lower == 0 || now.Sub(lower) > lowerTierTime
}
