package tdfit

import (
	"strconv"

	"tarragondeal"
)

// tierStarts holds when an engine last began to answer a request of each tier.
type tierStarts map[int]tarragondeal.Instant

// recordStart records that an engine of a pool began to answer a request of this
// node.
func (f *Fit) recordStart(pool string, tier int, now tarragondeal.Instant) {
	recordTier(f.lastStarts, pool, tier, now)
}

// recordTier records a request of a tier in starts, by pool.
func recordTier(starts map[string]tierStarts, pool string, tier int, now tarragondeal.Instant) {
	if starts[pool] == nil {
		starts[pool] = make(tierStarts)
	}
	starts[pool][tier] = now
}

// lowerStart returns when a request of a tier below tier last began, or zero.
func (t tierStarts) lowerStart(tier int) tarragondeal.Instant {
	var last tarragondeal.Instant
	for n, at := range t {
		if n > tier {
			last = max(last, at)
		}
	}
	return last
}

// outcomeNames are the names of failed outcomes in log lines. Of the others, only
// requests that callers cancelled before the engine began to answer are logged.
var outcomeNames = map[tarragondeal.OutcomeKind]string{
	tarragondeal.OutcomeRefused:     "refused",
	tarragondeal.OutcomeCrashed:     "crashed",
	tarragondeal.OutcomeLate:        "late",
	tarragondeal.OutcomeWrong:       "wrong",
	tarragondeal.OutcomeUnreachable: "unreachable",
}

// logFailure logs an attempt at an engine that failed, or that the caller cancelled
// before it was answered, with the load that this node assumes there and when a
// lower tier last began at the pool.
func (f *Fit) logFailure(open *openGrant, kind tarragondeal.OutcomeKind, now tarragondeal.Instant) {
	name, ok := outcomeNames[kind]
	if kind == tarragondeal.OutcomeCancelled && !open.started {
		name, ok = "cancelled", true
	}
	if !ok {
		return
	}
	s, a := open.server, open.request.ask
	t := f.totalUse(s, now)
	line := f.Log.Info().Str("request", string(a.Request)).Int("attempt", a.Attempt).Int("tier", a.Tier).Str("class", a.Class).Str("server", string(s.ID)).
		Str("outcome", name).Bool("answered", open.started).Dur("after", now.Sub(open.sent)).
		Int("running", t.running).Int("slots", s.slots()).Int("tokens", t.tokens).Int("capacity", s.engine.KVTokens).
		Dur("prefillBacklog", s.backlog(now)).Str("state", string(s.State))
	if kind == tarragondeal.OutcomeCrashed {
		line = line.Str("fingerprint", hexID(a.Fingerprint)).Strs("parts", sharedPartNames(a.Parts))
	}
	if lower := f.lastStarts[s.Pool].lowerStart(a.Tier); lower > 0 {
		line = line.Dur("sinceLowerTierStart", now.Sub(lower))
	}
	line.Msg("attempt at engine failed")
}

// maxLoggedParts bounds the parts of a prompt in a log line.
const maxLoggedParts = 16

// sharedPartNames returns the names of a prompt's parts in log lines, without the
// last one, which belongs to the request or its session.
func sharedPartNames(parts []tarragondeal.PromptPart) []string {
	var out []string
	for n := range min(len(parts)-1, maxLoggedParts) {
		out = append(out, hexID(parts[n].ID))
	}
	return out
}

func hexID(id uint64) string { return strconv.FormatUint(id, 16) }

// countBackoff returns how many servers a pool has, and how many of them get no
// requests for a while.
func (f *Fit) countBackoff(pool string, now tarragondeal.Instant) (listed, backoff int) {
	for _, s := range f.pools[pool] {
		listed++
		if now < s.backoffUntil {
			backoff++
		}
	}
	return listed, backoff
}

// logNoServer logs that no server could be granted to a request, and why.
func (f *Fit) logNoServer(a *tarragondeal.Ask) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	listed, leaving, backoff := 0, 0, 0
	for _, pool := range a.Pools {
		for _, s := range f.pools[pool] {
			listed++
			switch {
			case !s.isLive():
				leaving++
			case now < s.backoffUntil:
				backoff++
			}
		}
	}
	f.Log.Info().Str("request", string(a.Request)).Strs("pools", a.Pools).Int("tier", a.Tier).Int("listed", listed).Int("leaving", leaving).
		Int("backoff", backoff).Int("avoided", len(a.Avoid)).Msg("no server to send to")
}
