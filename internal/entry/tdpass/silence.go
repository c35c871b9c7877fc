package tdpass

import (
	"context"
	"errors"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
)

// responseTimer cancels an attempt whose server doesn't begin to answer, while
// there is time for another one.
type responseTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	ctx    context.Context
}

// startResponseTimer returns the context of an attempt. The timer runs only if
// the request may be retried.
func (x *Exchange) startResponseTimer(ctx context.Context, t *tdflow.Attempt) (context.Context, *responseTimer) {
	inner, cancel := context.WithCancelCause(ctx)
	rt := &responseTimer{cancel: cancel, ctx: inner}
	if t.Last || t.Request.Route.NonIdempotent {
		return inner, rt
	}
	wait := max(minResponseTimeout, responseTimeoutTargets*t.Target)
	wait = min(wait, time.Duration(maxResponseTimeoutShare*float64(t.Left)))
	rt.timer = time.AfterFunc(wait, func() {
		if t.MayRetry() { // Without a retry, keep waiting.
			cancel(errResponseTimeout)
		}
	})
	return inner, rt
}

// stop stops the timer. The attempt continues.
func (rt *responseTimer) stop() {
	if rt.timer != nil {
		rt.timer.Stop()
	}
}

// end stops the timer and releases the attempt's context.
func (rt *responseTimer) end() {
	rt.stop()
	rt.cancel(nil)
}

// result returns r, or a response timeout if the timer has cancelled the attempt.
func (rt *responseTimer) result(r tdflow.Result) tdflow.Result {
	if r.Failure != tdflow.FailNone && errors.Is(context.Cause(rt.ctx), errResponseTimeout) {
		return tdflow.Result{Failure: tdflow.FailResponseTimeout, Ran: tarragondeal.RanUnknown, Err: errResponseTimeout}
	}
	return r
}
