package tdpass

import (
	"context"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
)

// logContinuation logs how a server answers a request to continue a broken stream.
func (x *Exchange) logContinuation(t *tdflow.Attempt, answer *tarragondeal.Answer) {
	x.Log.Info().Str("request", x.caller.ID).Str("server", string(t.Server.ID)).Int("attempt", t.Number).
		Str("afterEvent", x.order.last).Int("status", answer.Status).Str("media", answer.Header.Get("Content-Type")).
		Int64("length", answer.Length).Str("version", t.Server.SoftwareVersion).
		Str("begunAt", string(x.begunAt.ID)).Str("begunVersion", x.begunAt.SoftwareVersion).Msg("broken stream continued at another server")
}

// logResumed logs which server answers the request of a caller that resumes a stream.
func (x *Exchange) logResumed(t *tdflow.Attempt, answer *tarragondeal.Answer) {
	x.Log.Info().Str("request", x.caller.ID).Str("resumes", x.caller.Resumes).Str("afterEvent", x.caller.Resume).
		Str("server", string(t.Server.ID)).Str("version", t.Server.SoftwareVersion).Int("attempt", t.Number).
		Int("status", answer.Status).Msg("stream resumed by its caller")
}

// logPart logs an attempt that broke off a stream, or that completed one that
// another attempt had begun.
func (x *Exchange) logPart(ctx context.Context, t *tdflow.Attempt, out tdflow.Result, continues bool) {
	if !x.headSent || out.Failure == tdflow.FailNone && !continues {
		return
	}
	message := "stream broke"
	if out.Failure == tdflow.FailNone {
		message = "continued stream is complete"
	}
	line := x.Log.Info().Str("request", x.caller.ID).Str("server", string(t.Server.ID)).Int("attempt", t.Number).
		Str("lastEvent", x.order.last).Int("events", x.timing.events)
	if out.Failure != tdflow.FailNone {
		line = line.Stringer("failure", out.Failure).AnErr("error", out.Err).AnErr("cause", context.Cause(ctx))
	}
	line.Msg(message)
}
