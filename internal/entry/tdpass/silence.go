package tdpass

import (
	"context"
	"sync"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
)

// responseTimer cancels an attempt whose server doesn't begin to answer, while
// there is time for another one. Either the timer or stop decides, not both.
type responseTimer struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	stopped bool // The attempt continues.
	fired   bool // The attempt has been cancelled.
}

// startResponseTimer returns the context of an attempt. The timer runs only if
// the request may be retried.
func (x *Exchange) startResponseTimer(ctx context.Context, t *tdflow.Attempt) (context.Context, *responseTimer) {
	inner, cancel := context.WithCancelCause(ctx)
	rt := &responseTimer{cancel: cancel}
	if t.Last || t.Request.Route.NonIdempotent {
		return inner, rt
	}
	wait := max(minResponseTimeout, responseTimeoutTargets*t.Target)
	wait = min(wait, time.Duration(maxResponseTimeoutShare*float64(t.Left)))
	rt.timer = time.AfterFunc(wait, func() { rt.fire(t.MayRetry) })
	return inner, rt
}

// fire cancels the attempt if it may be retried. Without a retry, the attempt
// continues.
func (rt *responseTimer) fire(mayRetry func() bool) {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	if rt.stopped || !mayRetry() {
		return
	}
	rt.fired = true
	rt.cancel(errResponseTimeout)
}

// stop stops the timer and reports whether the attempt continues. After stop the
// timer has no effect.
func (rt *responseTimer) stop() bool {
	if rt.timer != nil {
		rt.timer.Stop()
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.stopped = true
	return !rt.fired
}

// end stops the timer and releases the attempt's context. It reports whether the
// timer has taken a retry from the budget.
func (rt *responseTimer) end() bool {
	continues := rt.stop()
	rt.cancel(nil)
	return !continues
}

// result stops the timer. It returns r, or a response timeout if the timer has
// cancelled the attempt.
func (rt *responseTimer) result(r tdflow.Result) tdflow.Result {
	if rt.stop() {
		return r
	}
	return timedOut()
}

func timedOut() tdflow.Result {
	return tdflow.Result{Failure: tdflow.FailResponseTimeout, Ran: tarragondeal.RanUnknown, Err: errResponseTimeout}
}
