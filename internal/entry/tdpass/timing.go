package tdpass

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
)

// eventTiming records the arrival times of a stream's events.
type eventTiming struct {
	first, last tarragondeal.Instant
	longest     time.Duration // Longest pause between two events.
	longestAt   int           // Number of the event after the longest pause.
	events      int
}

// event records an event and returns the pause before it, which is zero for the first one.
func (p *eventTiming) event(now tarragondeal.Instant) time.Duration {
	p.events++
	if p.first == 0 {
		p.first, p.last = now, now
	}
	pause := now.Sub(p.last)
	if pause > p.longest {
		p.longest, p.longestAt = pause, p.events
	}
	p.last = now
	return pause
}

// logLate logs a complete stream that missed the objectives of its class.
func (x *Exchange) logLate(t *tdflow.Attempt) {
	class := t.Request.Class
	first := x.timing.first.Sub(t.Request.Arrived)
	late := first > time.Duration(class.FirstToken)
	gap := time.Duration(class.BetweenTokens)
	slow := gap > 0 && x.timing.longest > gap
	if !late && !slow {
		return
	}
	x.Log.Info().Str("request", x.caller.ID).Str("class", class.Name).Str("server", string(t.Server.ID)).
		Dur("firstEvent", first).Dur("objective", time.Duration(class.FirstToken)).
		Dur("longestPause", x.timing.longest).Int("atEvent", x.timing.longestAt).Dur("permittedPause", gap).
		Int("events", x.timing.events).Int("attempt", t.Number).Msg("stream missed the targets of its class")
}
