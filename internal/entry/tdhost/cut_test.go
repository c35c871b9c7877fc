package tdhost

import (
	"context"
	"errors"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
)

// TestLeavingHostAccepts guards against requests that a leaving host sends to a server and has to
// cut, and against refusals of those that have time to end.
func TestLeavingHostAccepts(t *testing.T) {
	const seconds = tarragondeal.Duration(time.Second)
	class := &tarragondeal.RequestClass{Deadline: 5 * seconds, Completion: seconds}
	streams := &tarragondeal.RequestClass{Deadline: 15 * seconds, FirstToken: 2 * seconds, Events: true}
	now := tarragondeal.Instant(time.Hour)
	for _, c := range []struct {
		name          string
		class         *tarragondeal.RequestClass
		nonIdempotent bool
		deadline      time.Duration
		age, left     time.Duration
		want          bool
	}{
		{"time for the deadline", class, true, 0, 0, 5 * time.Second, true},
		{"less, not idempotent", class, true, 0, 0, 5*time.Second - 1, false},
		{"less, its caller's deadline is earlier", class, true, time.Second, 0, time.Second, true},
		{"its caller's deadline is later", class, true, 9 * time.Second, 0, 5 * time.Second, true},
		{"most of its time has passed", class, true, 0, 4 * time.Second, time.Second, true},
		{"time for the target, idempotent", class, false, 0, 0, time.Second, true},
		{"less than the target, idempotent", class, false, 0, 0, time.Second - 1, false},
		{"a stream that can be resumed", streams, false, 0, 0, 2 * time.Second, true},
		{"a stream that can be resumed, too late for its first event", streams, false, 0, 0, time.Second, false},
		{"a stream that can't be resumed", streams, true, 0, 0, 7 * time.Second, false},
		{"the time of the cut has passed", class, false, 0, 0, -time.Second, false},
	} {
		cut := newCut()
		cut.at.Store(int64(now.Add(c.left)))
		q := &tdflow.Request{
			Class: c.class, Route: &tarragondeal.Route{NonIdempotent: c.nonIdempotent}, Arrived: now.Add(-c.age), Deadline: c.deadline,
		}
		err := cut.check(q, now)
		if (err == nil) != c.want {
			t.Errorf("%s: %v", c.name, err)
		}
		var refused *tarragondeal.RefusedError
		if err != nil && (!errors.As(err, &refused) || refused.Ran != tarragondeal.RanNot || refused.Reason != tarragondeal.ReasonLeaving) {
			t.Errorf("%s: refused with %v", c.name, err)
		}
	}
}

// TestCutEndsRequests guards against requests that wait on after the cut, and against one whose
// context is cut after it has ended.
func TestCutEndsRequests(t *testing.T) {
	h := New(Deps{})
	open, end := h.cut.bind(context.Background())
	defer end()
	done, endDone := h.cut.bind(context.Background())
	endDone()
	h.Cut()
	late, endLate := h.cut.bind(context.Background())
	defer endLate()
	for n, ctx := range []context.Context{open, late} {
		select {
		case <-ctx.Done():
		case <-time.After(time.Second):
			t.Fatalf("request %d goes on after the cut", n)
		}
		if got := tdflow.ContextFailure(ctx); got != tdflow.FailLeaving {
			t.Errorf("request %d ended as %v", n, got)
		}
	}
	if got := tdflow.ContextFailure(done); got == tdflow.FailLeaving {
		t.Error("a request that had ended was cut")
	}
}
