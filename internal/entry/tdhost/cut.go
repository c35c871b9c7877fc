package tdhost

import (
	"context"
	"sync/atomic"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
)

// cut ends the requests that are open when the process must end, so that each caller gets an
// answer that says what is known of its run, or a stream that does not look complete.
type cut struct {
	at  atomic.Int64 // Instant of the cut; used only while the host is leaving.
	now context.Context
	end context.CancelCauseFunc
}

func newCut() *cut {
	c := &cut{}
	c.now, c.end = context.WithCancelCause(context.Background())
	return c
}

// errCut is the cause of a request's context that ends at the cut.
func errCut() error {
	return &tarragondeal.RefusedError{Reason: tarragondeal.ReasonLeaving, Ran: tarragondeal.RanNot, Detail: "the node is stopping"}
}

// Cut ends all requests that are open, and those that come later.
func (h *Host) Cut() { h.cut.end(errCut()) }

// bind returns a context for one request that ends at the cut too. The caller must call end.
func (c *cut) bind(parent context.Context) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(c.now, func() { cancel(context.Cause(c.now)) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// check returns an error if a request can't be expected to end before the cut. A request that may
// not be repeated is served only if it is certain to: its caller would not know whether it ran.
func (c *cut) check(q *tdflow.Request, now tarragondeal.Instant) error {
	left := tarragondeal.Instant(c.at.Load()).Sub(now)
	if c.now.Err() == nil && left >= timeNeeded(q, now) {
		return nil
	}
	return errCut()
}

// timeNeeded returns how much time must be left for a request to be served.
func timeNeeded(q *tdflow.Request, now tarragondeal.Instant) time.Duration {
	deadline := time.Duration(q.Class.Deadline)
	if q.Deadline > 0 && (deadline <= 0 || q.Deadline < deadline) {
		deadline = q.Deadline
	}
	need := deadline - now.Sub(q.Arrived)
	if q.Route.NonIdempotent {
		return need
	}
	target := time.Duration(q.Class.Completion)
	if q.Class.Events {
		target = time.Duration(q.Class.FirstToken)
	}
	return min(need, target)
}
