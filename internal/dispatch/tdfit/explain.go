package tdfit

import (
	"cmp"
	"errors"
	"slices"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdadmit"
)

// Explain adds to an explanation what this node would do now with a request. It changes nothing.
func (f *Fit) Explain(a tarragondeal.Ask, out *tarragondeal.Explanation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	r := newRequest(&a)
	var best *server
	var poisoned error
	for _, pool := range a.Pools {
		err := f.checkPoison(&a, pool)
		if err != nil {
			poisoned = err
		}
		for _, s := range f.pools[pool] {
			if s.engine != nil {
				r.tight = f.isTight(&r, s)
			}
			assessment := f.assess(&r, s, now)
			if err != nil && assessment.Excluded == "" {
				assessment.Excluded = "requests like this one crash the servers of its pool"
			}
			out.Servers = append(out.Servers, assessment)
		}
	}
	slices.SortFunc(out.Servers, func(a, b tarragondeal.ServerAssessment) int {
		return cmp.Or(cmp.Compare(min(len(a.Excluded), 1), min(len(b.Excluded), 1)), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Server, b.Server))
	})
	out.Node, out.Tight, out.Action = f.Self, r.tight, tdadmit.Send.String()
	if len(out.Servers) > 0 && out.Servers[0].Excluded == "" {
		best = f.servers[out.Servers[0].Server]
	}
	if best == nil && poisoned != nil {
		explainRefusal(poisoned, out)
		return
	}
	f.explainAction(&r, best, now, out)
}

// explainRefusal adds that a request is refused.
func explainRefusal(err error, out *tarragondeal.Explanation) {
	out.Action, out.Reason = tdadmit.Refuse.String(), err.Error()
	if e, ok := errors.AsType[*tarragondeal.RefusedError](err); ok {
		out.RetryAfter = tarragondeal.Duration(e.RetryAfter)
	}
}

// explainAction adds what happens to a request whose best server is s, or nil if it has none.
func (f *Fit) explainAction(r *request, s *server, now tarragondeal.Instant, out *tarragondeal.Explanation) {
	switch {
	case s == nil:
		out.Action, out.Reason = tdadmit.Hold.String(), "no server may be used"
	case f.shouldHold(r, s, now, now):
		out.Action, out.Reason = tdadmit.Hold.String(), "the best engine has a long prefill backlog"
	default:
		at, d, _ := f.admission(r, s, now, now)
		out.Action, out.RetryAfter = d.Action.String(), tarragondeal.Duration(d.RetryAfter)
		if d.Action == tdadmit.Hold {
			out.Reason = "the best engine has a long prefill backlog; the request may be refused after that"
		}
		if at != s {
			out.Reason = "the best engine can't serve the request before its deadline; it goes to another"
		}
	}
}

// assess returns what this node knows of a server for a request.
func (f *Fit) assess(r *request, s *server, now tarragondeal.Instant) tarragondeal.ServerAssessment {
	t := f.totalUse(s, now)
	c := f.cost(r, s, now)
	out := tarragondeal.ServerAssessment{
		Server: s.ID, Pool: s.Pool, DataCentre: s.DataCentre, Excluded: f.exclusion(r.ask, s, now),
		Running: t.running, Slots: s.slots(), Tight: t.tight, Cost: tarragondeal.Duration(c.sum()),
	}
	if s.reported.known {
		out.ReportAge = tarragondeal.Duration(now.Sub(s.reported.at))
	}
	if s.engine != nil {
		fresh, _ := f.uncached(r, s, &t)
		out.Tokens, out.KVTokens, out.Cached = t.tokens, s.engine.KVTokens, max(0, r.input-fresh)
		out.Backlog = tarragondeal.Duration(s.backlog(now))
	}
	for _, p := range []tarragondeal.Cost{
		{Name: "answer", Time: tarragondeal.Duration(c.answer)},
		{Name: "pauses", Time: tarragondeal.Duration(c.pauses)},
		{Name: "separation", Time: tarragondeal.Duration(c.separation)},
		{Name: "batch", Time: tarragondeal.Duration(c.batch)},
		{Name: "memory", Time: tarragondeal.Duration(c.memory)},
		{Name: "full", Time: tarragondeal.Duration(c.full)},
		{Name: "failures", Time: tarragondeal.Duration(c.failures)},
		{Name: "connect", Time: tarragondeal.Duration(c.connect)},
		{Name: "distance", Time: tarragondeal.Duration(c.distance)},
		{Name: "warmUp", Time: tarragondeal.Duration(c.warmUp)},
	} {
		if p.Time != 0 {
			out.Parts = append(out.Parts, p)
		}
	}
	return out
}

// exclusion returns why a request may not be sent to a server now, or an empty string.
func (f *Fit) exclusion(a *tarragondeal.Ask, s *server, now tarragondeal.Instant) string {
	switch {
	case s.evacuated:
		return "its data centre is evacuated"
	case !s.isLive():
		return "it is leaving"
	case !eligible(a, s):
		return "it is not permitted for the request"
	case now < s.backoffUntil:
		return "it failed a short time ago"
	case now < s.pausedUntil:
		return "it accepts no requests of this node for a while"
	case !f.withinLimit(a, s, now):
		return "this node has no permit within its limit"
	case !f.hasRoom(a, s, now):
		return "it is brittle and full"
	}
	return ""
}
