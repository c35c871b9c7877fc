package tdfit

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdreuse"
)

const (
	// chunkTokens is the maximum number of prompt tokens that an engine reads
	// in one step.
	chunkTokens = 2048
	// gapMargin is the share of a stream's permitted pause between events that
	// one step may take.
	gapMargin = 0.85
	// remoteCost is added for a server in another data centre, to which traffic
	// is charged.
	remoteCost = 4 * time.Millisecond
	// tightCost is added to a long prompt's estimate for each tight stream on
	// the engine: a stream whose pauses the prompt would make too long.
	tightCost = 50 * time.Millisecond
	// heavyCost, in milliseconds, is added to a tight stream's estimate for
	// each millisecond of long prompts that the engine read recently.
	heavyCost = 1.2
	// firstTightCost is added to a tight stream's estimate for an engine that
	// runs no other: packing tight streams leaves more engines to long prompts.
	firstTightCost = 100 * time.Millisecond
	// backlogShare is the largest prefill backlog of the best engine, as a share
	// of a request's target, with which the request is sent at once. Otherwise
	// it is held back, for at most holdShare of its target.
	backlogShare = 0.35
	holdShare    = 0.25
	// duplicatePrefillCost weighs the prefill of tokens that the engine doesn't
	// have cached, but another one may have.
	duplicatePrefillCost = 2
	// overloadCost is added for each full batch of requests beyond the slots of
	// a server, and for each full KV cache of tokens beyond that of an engine;
	// a part of one adds a part of the cost.
	overloadCost = 4 * time.Second
	// failureCost is added for a server at which all of this node's requests
	// fail, in proportion if some do. Half of it is added if any node reports
	// the server as failing.
	failureCost = 3 * time.Second
	// plainCallTime is the assumed duration of a call to a plain server. Its
	// value matters little, as all calls are assumed to take equally long.
	plainCallTime = 15 * time.Millisecond
	// coldCost weighs the remaining warm-up time of a server.
	coldCost = 0.2
)

// request is an ask with the figures that the estimate needs.
type request struct {
	ask      *tarragondeal.Ask
	prefixes []prefix
	held     bool // It has been kept for a moment.
	tight    bool // A concurrent long prompt would make its pauses too long.
	total    int  // KV cache tokens that it uses when it ends.
	input    int
	mostHeld float64 // Most tokens that one of the engines compared is expected to have cached.
}

func newRequest(a *tarragondeal.Ask) request {
	r := request{ask: a, prefixes: prefixesOf(a.Parts), input: a.Input}
	if r.input == 0 {
		for _, p := range a.Parts {
			r.input += p.Tokens
		}
	}
	r.total = r.input + a.Output
	return r
}

// prefillAllowance returns how many prompt tokens an engine may read in each
// step without exceeding a stream's permitted pause between events. A gap of zero
// means that there is no limit.
func prefillAllowance(gap time.Duration, stride int, rate float64) int {
	if gap <= 0 {
		return chunkTokens
	}
	step := gap/time.Duration(max(1, stride)) - decodeStep
	return int(gapMargin * max(0, step.Seconds()*1000) * rate)
}

// uncachedTokens returns how many tokens of the request the engine must read.
func (r *request) uncachedTokens(s *server) int {
	return max(1, r.input-s.cache.cachedTokens(r.prefixes))
}

// cost is the estimated cost of sending a request to a server, by its causes. It is the time
// until the server begins to answer, plus the delay that the request causes to others there.
type cost struct {
	warmUp, distance, connect, full, failures time.Duration
	answer                                    time.Duration // Waiting for the prompts before it, and reading its own.
	memory, batch, pauses, separation         time.Duration
	held                                      tdreuse.Held // What the engine is expected to have cached.
}

func (c *cost) sum() time.Duration {
	return c.warmUp + c.distance + c.connect + c.full + c.failures + c.answer + c.memory + c.batch + c.pauses + c.separation
}

// cost returns the estimated cost of sending a request to a server.
func (f *Fit) cost(r *request, s *server, now tarragondeal.Instant) cost {
	t := f.totalUse(s, now)
	c := f.commonCost(r, s, &t, now)
	if s.engine == nil {
		c.answer = plainCallTime * time.Duration(t.running) / time.Duration(s.slots())
		return c
	}
	fresh, held := f.uncached(r, s, &t)
	c.held = held
	r.mostHeld = max(r.mostHeld, held.Tokens)
	read := s.prefillTime(fresh)
	step := decodeStep
	if f.isAdaptive(s.Pool) {
		read = time.Duration(float64(read) * s.pace.RelativeSlowdown(now))
		step = s.pace.Event(t.running, now) / time.Duration(max(1, s.engine.TokensPerEvent))
		c.pauses = f.pauseCost(r, s, &t, now)
	}
	c.answer = f.engineCost(r, s, read, now)
	if over := t.tokens + r.total - s.engine.KVTokens; over > 0 {
		c.memory = time.Duration(float64(overloadCost) * float64(over) / float64(s.engine.KVTokens))
	}
	c.batch = time.Duration(t.running) * step / 10
	switch {
	case r.tight:
		c.separation = time.Duration(heavyCost * s.heavyPrefill.now(now) * float64(time.Millisecond))
		if t.tight == 0 {
			c.separation += firstTightCost
		}
	case fresh > f.heavyThreshold:
		c.separation = time.Duration(t.tight) * tightCost
	}
	return c
}

// shouldHold reports whether a request that isn't tight waits for the engine's
// prefill backlog to shrink, rather than add to it and delay tight streams.
func (f *Fit) shouldHold(r *request, s *server, now, start tarragondeal.Instant) bool {
	if s.engine == nil || f.isAdaptive(s.Pool) || r.tight || r.ask.Target <= 0 {
		return false
	}
	if now.Sub(start) > time.Duration(holdShare*float64(r.ask.Target)) {
		return false
	}
	return s.backlog(now) > time.Duration(backlogShare*float64(r.ask.Target))
}

// commonCost returns the part of the cost that engines and plain servers share.
func (f *Fit) commonCost(r *request, s *server, t *use, now tarragondeal.Instant) cost {
	c := cost{warmUp: time.Duration(coldCost * float64(f.warmUpLeft(s, now))), connect: f.connectCost(r, s)}
	if s.DataCentre != f.opt.DataCentre {
		c.distance = remoteCost
	}
	if over := t.running - s.slots() + 1; over > 0 {
		c.full = overloadCost * time.Duration(over) / time.Duration(s.slots())
	}
	c.failures = time.Duration(s.failureShare(now) * float64(failureCost))
	if t.failing {
		c.failures += failureCost / 2
	}
	return c
}
