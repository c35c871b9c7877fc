package tdfit

import (
	"math/rand/v2"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdpace"
)

const (
	// latePauseCost is added for a stream whose pauses an engine would make longer than
	// permitted, as it is for the streams that a long prompt would make late.
	latePauseCost = 250 * time.Millisecond
	// nominalRunning is the number of requests at an engine for which a pool's pauses are
	// compared with the permitted ones.
	nominalRunning = 8
	// heavyShare is the time to read a prompt, as a share of the shortest pause that the classes
	// of its pool permit, from which it counts for tight streams.
	heavyShare = 0.15
	// tightPackShare is the share of an engine's slots up to which tight streams are packed
	// before another engine gets some. The rest is for those that other nodes send at the same
	// time.
	tightPackShare = 0.5
	// maxTightServers bounds the engines that are compared because they run tight streams.
	maxTightServers = 16
)

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
// permitted. Where servers are scarce, it is judged by the pauses that are learnt, and only the
// streams that permit the shortest ones are tight: kept together with others, they would
// delay one another by their prompts. Elsewhere packing them by these pauses made more of
// them late.
func (f *Fit) isTight(r *request, s *server) bool {
	gap := r.ask.Gap
	if gap <= 0 {
		return false
	}
	if f.opt.Scarce {
		if pause, learnt := f.paceOf(s.Pool, s.engine).Pause(nominalRunning); learnt {
			return gap == f.shortestGap[s.Pool] && float64(pause) > gapMargin*float64(gap)
		}
	}
	return prefillAllowance(gap, s.engine.TokensPerEvent, f.meanRate) < chunkTokens
}

// tightServers returns the engines of an adaptive pool that run tight streams, if the request
// is one. Few of them would be among the random ones of a large pool, and tight streams
// would spread over the engines that read long prompts.
func (f *Fit) tightServers(r *request, pool string) []*server {
	if !f.isAdaptive(pool) || len(f.pools[pool]) == 0 || f.pools[pool][0].engine == nil || !f.isTight(r, f.pools[pool][0]) {
		return nil
	}
	now := f.Clock.Now()
	var out []*server
	for _, s := range f.pools[pool] {
		if f.totalUse(s, now).tight > 0 {
			out = append(out, s)
		}
	}
	if len(out) > maxTightServers {
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxTightServers]
	}
	return out
}

// isHeavy reports whether the time in which an engine reads a prompt counts for tight streams.
// In an adaptive pool it does for all but the prompts of tight streams: several shorter ones
// delay a stream as one long one does.
func (f *Fit) isHeavy(s *server, fresh int) bool {
	gap := f.shortestGap[s.Pool]
	if gap <= 0 || !f.isAdaptive(s.Pool) {
		return fresh > f.heavyThreshold
	}
	return float64(s.prefillTime(fresh)) > heavyShare*float64(gap)
}

// pauseCost returns the cost of the pauses that a request at an engine of an adaptive pool must
// expect, and of those that it causes to the tight streams there.
func (f *Fit) pauseCost(r *request, s *server, t *use, read time.Duration, now tarragondeal.Instant) time.Duration {
	var c time.Duration
	backlog := s.backlog(now)
	if gap := r.ask.Gap; gap > 0 && float64(s.pace.Pause(t.running+1, backlog, now)) > gapMargin*float64(gap) {
		c += latePauseCost
	}
	if t.tight > 0 && f.delaysTight(s, t, backlog, read, now) {
		c += time.Duration(t.tight) * latePauseCost
	}
	return c
}

// delaysTight reports whether reading a prompt would make the pauses of the tight streams at an
// engine longer than permitted. A pool of which no class limits the pauses has no shortest one: its
// prompts are judged by their length alone.
func (f *Fit) delaysTight(s *server, t *use, backlog, read time.Duration, now tarragondeal.Instant) bool {
	gap := f.shortestGap[s.Pool]
	if gap <= 0 {
		return read > s.prefillTime(f.heavyThreshold)
	}
	return float64(s.pace.Pause(t.running+1, backlog+read, now)) > gapMargin*float64(gap)
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
