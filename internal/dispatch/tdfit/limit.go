package tdfit

import (
	"time"

	"tarragondeal"
)

// serverRun identifies one run of a backend server. A server that starts again
// under the same name has announced nothing yet.
type serverRun struct {
	id      tarragondeal.ServerID
	started time.Time
}

func runOf(s *tarragondeal.Server) serverRun {
	return serverRun{id: s.ID, started: s.StartedAt.UTC()}
}

// serverLimit is the limit that a backend server announced last.
type serverLimit struct {
	tarragondeal.ServerLimit
	at tarragondeal.Instant // When the answer that announced it was received.
}

// ObserveLimit implements tarragondeal.ServerLimits.
func (f *Fit) ObserveLimit(s tarragondeal.Server, request tarragondeal.RequestID, l tarragondeal.ServerLimit, sent tarragondeal.Instant) {
	f.mu.Lock()
	defer f.mu.Unlock()
	run := runOf(&s)
	known := f.limits[run]
	if known == nil && !l.Announced || known != nil && !l.Announced && sent < known.at {
		return
	}
	if known == nil {
		known = &serverLimit{}
		f.limits[run] = known
	}
	before := known.ServerLimit
	known.ServerLimit, known.at = l, f.Clock.Now()
	if before != l {
		f.Log.Info().Str("request", string(request)).Str("server", string(s.ID)).Bool("limited", l.Announced).
			Float64("perSecond", l.PerSecond).Bool("before", before.Announced).Float64("perSecondBefore", before.PerSecond).
			Msg("limit of server changed")
	}
}

// logLimited logs a request that is sent to a server with a limit.
func (f *Fit) logLimited(a *tarragondeal.Ask, s *server, now tarragondeal.Instant) {
	l := f.limits[runOf(&s.Server)]
	if l == nil || !l.Announced {
		return
	}
	f.Log.Info().Str("request", string(a.Request)).Int("attempt", a.Attempt).Int("tier", a.Tier).Str("server", string(s.ID)).
		Float64("perSecond", l.PerSecond).Dur("limitAge", now.Sub(l.at)).Msg("request sent to a server with a limit")
}
