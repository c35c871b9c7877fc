package tdfit

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdreuse"
)

const (
	// minReuseSample is the difference in the time to the first event by which it shows
	// whether a prefix was cached.
	minReuseSample = 15 * time.Millisecond
	// minReuseShare is the share of its known prefix that an engine must be expected to have
	// cached for a sample.
	minReuseShare = 0.5
	// maxMissShare is the time to the first event, relative to that without a cached prefix, up
	// to which it shows that the prefix was not cached.
	maxMissShare = 1.3
	// minRoomShare is the least share of an engine's memory that is taken for room. The tokens of
	// running requests count the parts that they share with others, which stay cached.
	minRoomShare = 0.5
	// elsewhereShare is the share of the tokens expected at the best holder below which a
	// request counts as sent elsewhere.
	elsewhereShare = 0.5
)

// freeTokens returns the memory, in tokens, that the running requests of an engine leave to
// cached parts.
func (s *server) freeTokens(t *use) int {
	return max(s.engine.KVTokens-t.tokens, int(minRoomShare*float64(s.engine.KVTokens)))
}

// uncached returns how many tokens of the request an engine must be expected to read, and
// what it is expected to have cached if its pool is shared.
func (f *Fit) uncached(r *request, s *server, t *use) (int, tdreuse.Held) {
	if !f.isAdaptive(s.Pool) {
		return r.uncachedTokens(s), tdreuse.Held{}
	}
	h := s.held.Expect(r.prefixes, s.freeTokens(t))
	return max(1, r.input-int(h.Tokens)), h
}

// observeReuse records, at the first event of a request, whether the engine had cached the
// prefix that was expected there. Only requests without a backlog before them show it.
func (f *Fit) observeReuse(open *openGrant, took time.Duration) {
	s, h := open.server, open.held
	if float64(h.Known) == 0 || h.Tokens < minReuseShare*float64(h.Known) {
		return
	}
	slowdown := s.pace.RelativeSlowdown(f.Clock.Now())
	read := func(tokens int) time.Duration { return time.Duration(slowdown * float64(s.prefillTime(tokens))) }
	ifHeld := firstTokenOverhead + read(open.request.input-h.Known)
	ifNot := firstTokenOverhead + read(open.request.input)
	if ifNot-ifHeld < minReuseSample || f.paceOf(s.Pool, s.engine).UnexpectedWait(f.Clock.Now()) > (ifNot-ifHeld)/4 {
		return // Prefill and queueing time cannot be distinguished.
	}
	hit := took < (ifHeld+ifNot)/2
	if !hit && took > time.Duration(maxMissShare*float64(ifNot)) {
		return // It waited behind requests that this node doesn't know of.
	}
	before := s.held.Trust()
	s.held.Observe(h, hit)
	outcome := "hit"
	if !hit {
		outcome = "miss"
		f.Log.Info().Str("request", string(open.request.ask.Request)).Str("server", string(s.ID)).Int("known", h.Known).
			Float64("expected", h.Tokens).Float64("distance", h.Distance).Dur("took", took).Dur("ifCached", ifHeld).
			Float64("trust", s.held.Trust()).Float64("before", before).Msg("prefix was not cached where it was expected")
	}
	f.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("expectedPrefixTokens").Inc(int64(h.Tokens))
}

// countReuse counts whether a request goes to the engine that is expected to have most of its
// prompt cached, of those compared.
func (f *Fit) countReuse(r *request, h tdreuse.Held) {
	if r.mostHeld <= minIndexedTokens {
		return
	}
	to := "holder"
	if h.Tokens < elsewhereShare*r.mostHeld {
		to = "elsewhere"
	}
	f.Scope.Tagged(map[string]string{"to": to}).Counter("prefixChoices").Inc(1)
}

// engineCost returns the cost of the time until an engine begins to answer, of which it
// reads the prompt for a part.
func (f *Fit) engineCost(r *request, s *server, read time.Duration, now tarragondeal.Instant) time.Duration {
	wait := s.backlog(now)
	if !f.isAdaptive(s.Pool) {
		return wait + read + time.Duration(duplicatePrefillCost*float64(read))
	}
	return tdreuse.Offer{Wait: wait, Read: read}.Cost(r.ask.Target)
}
