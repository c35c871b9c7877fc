package tdfit

import (
	"math/rand/v2"
	"time"

	"tarragondeal"
)

// pauseSpread is the random part of the retry delay of requests that are refused during
// a pause, as a share of what is left of it.
const pauseSpread = 0.5

// ObservePause implements tarragondeal.ServerNotices. It binds this node alone, for one
// run of the server.
func (f *Fit) ObservePause(s tarragondeal.Server, request tarragondeal.RequestID, d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	for run, until := range f.pauses {
		if until <= now {
			delete(f.pauses, run)
		}
	}
	run := runOf(&s)
	until := max(f.pauses[run], now.Add(d))
	f.pauses[run] = until
	if listed := f.listedRun(run); listed != nil {
		listed.pausedUntil = until
	}
	f.Scope.Counter("pauses").Inc(1)
	f.Log.Info().Str("request", string(request)).Str("server", string(s.ID)).Str("pool", s.Pool).Dur("for", d).
		Msg("server accepts no requests of this node for a while")
}

// refusePaused returns a refusal if all servers to which a request may be sent accept
// none of this node until then. Callers that are refused at the same time return at
// different times.
func (f *Fit) refusePaused(a *tarragondeal.Ask, until tarragondeal.Instant) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	now, paused := f.Clock.Now(), 0
	var least time.Duration
	for _, pool := range a.Pools {
		for _, s := range f.pools[pool] {
			if !eligible(a, s) {
				continue
			}
			if s.pausedUntil <= until {
				return nil
			}
			if left := s.pausedUntil.Sub(now); paused == 0 || left < least {
				least = left
			}
			paused++
		}
	}
	if paused == 0 {
		return nil
	}
	after := least + time.Duration(pauseSpread*rand.Float64()*float64(least))
	f.Log.Info().Str("request", string(a.Request)).Int("tier", a.Tier).Int("paused", paused).Dur("retryAfter", after).
		Msg("no server to send to during their pauses")
	return refused(tarragondeal.ReasonOverload, "the backend servers accept no requests now", after)
}
