package tdpass

import (
	"context"
	"errors"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
)

// silence gives up on a try whose server does not begin to answer, while
// there is time for another one.
type silence struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	ctx    context.Context
}

// watchSilence returns the context of a try. Only a request that may run again
// is given up on.
func (x *Exchange) watchSilence(ctx context.Context, t *tdflow.Attempt) (context.Context, *silence) {
	inner, cancel := context.WithCancelCause(ctx)
	s := &silence{cancel: cancel, ctx: inner}
	if t.Last || t.Request.Route.NonIdempotent {
		return inner, s
	}
	wait := max(silentLeast, silentTargets*t.Target)
	wait = min(wait, time.Duration(silentShare*float64(t.Left)))
	s.timer = time.AfterFunc(wait, func() {
		if t.MayRetry() { // Without another try the wait goes on.
			cancel(errSilent)
		}
	})
	return inner, s
}

// stop ends the watch; the try goes on.
func (s *silence) stop() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

// end ends the try.
func (s *silence) end() {
	s.stop()
	s.cancel(nil)
}

// result corrects what a try ended with when the silence ended it.
func (s *silence) result(r tdflow.Result) tdflow.Result {
	if r.Failure != tdflow.FailNone && errors.Is(context.Cause(s.ctx), errSilent) {
		return tdflow.Result{Failure: tdflow.FailResponseTimeout, Ran: tarragondeal.RanUnknown, Err: errSilent}
	}
	return r
}
