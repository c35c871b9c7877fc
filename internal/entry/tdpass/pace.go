package tdpass

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
)

// pace follows the times of a stream's events.
type pace struct {
	first, last tarragondeal.Instant
	longest     time.Duration // Between two events.
	at          int           // The event after the longest pause.
	events      int
}

func (p *pace) event(now tarragondeal.Instant) {
	p.events++
	if p.first == 0 {
		p.first = now
	} else if pause := now.Sub(p.last); pause > p.longest {
		p.longest, p.at = pause, p.events
	}
	p.last = now
}

// logLate tells of a whole stream that came too late for its class.
func (x *Exchange) logLate(t *tdflow.Attempt) {
	class := t.Request.Class
	first := x.pace.first.Sub(t.Request.Arrived)
	late := first > time.Duration(class.FirstToken)
	gap := time.Duration(class.BetweenTokens)
	slow := gap > 0 && x.pace.longest > gap
	if !late && !slow {
		return
	}
	x.log.Info().Str("request", x.caller.ID).Str("class", class.Name).Str("server", string(t.Server.ID)).
		Dur("firstEvent", first).Dur("objective", time.Duration(class.FirstToken)).
		Dur("longestPause", x.pace.longest).Int("atEvent", x.pace.at).Dur("permittedPause", gap).
		Int("events", x.pace.events).Int("attempt", t.Number).Msg("stream late")
}
