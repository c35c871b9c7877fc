package tdfit

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdpace"
)

// latePauseCost is added for a stream whose pauses an engine would make longer than permitted.
const latePauseCost = 250 * time.Millisecond

// paceOf returns what is known of the speed of the engines of a pool.
func (f *Fit) paceOf(pool string, e *tarragondeal.Engine) *tdpace.Pool {
	p := f.paces[pool]
	if p == nil {
		p = tdpace.NewPool(tdpace.Defaults{Event: time.Duration(max(1, e.TokensPerEvent)) * decodeStep})
		f.paces[pool] = p
	}
	return p
}

// ObserveEvent implements tarragondeal.ServerNotices.
func (f *Fit) ObserveEvent(s tarragondeal.Server, _ tarragondeal.RequestID, pause time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.isAdaptive(s.Pool) {
		return
	}
	if listed := f.listedRun(runOf(&s)); listed != nil && listed.engine != nil {
		now := f.Clock.Now()
		listed.pace.ObserveEvent(f.totalUse(listed, now).running, pause, now)
	}
}

// observeWait records for how long a request waited for its first event. Tight streams wait
// at engines of their own.
func (f *Fit) observeWait(open *openGrant, now tarragondeal.Instant) {
	if s := open.server; s.engine != nil && !open.request.tight && f.isAdaptive(s.Pool) {
		f.paceOf(s.Pool, s.engine).ObserveWait(open.estimated, now.Sub(open.sent), now)
	}
}

// isTight reports whether a long prompt beside a stream would make its pauses longer than
// permitted.
func (f *Fit) isTight(r *request, s *server) bool {
	gap := r.ask.Gap
	return gap > 0 && prefillAllowance(gap, s.engine.TokensPerEvent, f.meanRate) < chunkTokens
}

// isLive reports whether a request is a stream of the class that permits the shortest pauses at
// a pool. Such streams spread over the engines: sent to those that the node has used last, they
// would run beside the long prompts of the same node.
func (f *Fit) isLive(r *request, pool string) bool {
	return r.ask.Gap > 0 && r.ask.Gap == f.shortestGap[pool]
}

// pauseCost returns the cost of the pauses that a stream at an engine of an adaptive pool must
// expect.
func (f *Fit) pauseCost(r *request, s *server, t *use, now tarragondeal.Instant) time.Duration {
	if gap := r.ask.Gap; gap > 0 && float64(s.pace.Pause(t.running+1, s.backlog(now), now)) > gapMargin*float64(gap) {
		return latePauseCost
	}
	return 0
}

// setPoolClasses determines the shortest pause that the classes of each pool permit, their
// lowest tier, and the shortest target of each tier.
func (f *Fit) setPoolClasses(v *tarragondeal.View) {
	f.shortestGap, f.lowestTier = make(map[string]time.Duration), make(map[string]int)
	f.tierTargets = make(map[string]map[int]time.Duration)
	for n := range v.Set.Routes {
		r := &v.Set.Routes[n]
		c := v.RequestClasses[r.Class]
		if c == nil {
			continue
		}
		gap := time.Duration(c.BetweenTokens)
		for _, pool := range r.Pools {
			f.lowestTier[pool] = max(f.lowestTier[pool], c.Tier)
			if known, ok := f.shortestGap[pool]; c.Events && gap > 0 && (!ok || gap < known) {
				f.shortestGap[pool] = gap
			}
		}
	}
	for n := range v.Set.Routes {
		r := &v.Set.Routes[n]
		if c := v.RequestClasses[r.Class]; c != nil && c.FirstToken > 0 {
			f.setTierTargets(r.Pools, c)
		}
	}
}

func (f *Fit) setTierTargets(pools []string, c *tarragondeal.RequestClass) {
	target := time.Duration(c.FirstToken)
	for _, pool := range pools {
		if time.Duration(c.BetweenTokens) == f.shortestGap[pool] {
			continue
		}
		if f.tierTargets[pool] == nil {
			f.tierTargets[pool] = make(map[int]time.Duration)
		}
		if known, ok := f.tierTargets[pool][c.Tier]; !ok || target < known {
			f.tierTargets[pool][c.Tier] = target
		}
	}
}
