// Package tdadmit decides whether a request is sent to an engine while engines have more work
// than they can do in time.
//
// If all requests are served in the order in which they come, a burst makes all of them late.
// Requests that can't begin within their target are therefore deferred: they are sent at once,
// and engines serve them after those that can. A request that would end after its deadline
// even then is refused, since the work on it would be lost to others.
//
// # Usage
//
//	d := tdadmit.Decide(tdadmit.Request{Target: target, Left: left, Yields: true}, tdadmit.Estimate{
//		Begin: begin, DeferredBegin: after, Decode: decode, Busy: true,
//	})
//	switch d.Action {
//	case tdadmit.Refuse:
//		// Not run; the caller may come back after d.RetryAfter.
//	case tdadmit.Defer:
//		// Send it behind the others of its tier.
//	}
//
// The decision has no state, and depends on nothing but its arguments.
package tdadmit

import "time"

// Action is what happens to a request.
type Action int

// The actions.
const (
	Send   Action = iota
	Defer         // Send it behind the requests of its tier that can be in time.
	Refuse        // Refuse it at once: it can't be served before its deadline.
)

// String returns the name of an action in log lines and metrics.
func (a Action) String() string {
	switch a {
	case Defer:
		return "defer"
	case Refuse:
		return "refuse"
	}
	return "send"
}

const (
	// deadlineMargin is the estimated time of a request, as a share of the time left, from
	// which it is refused. Estimates of long backlogs err in both directions, and a request
	// that could have been served must not be refused.
	deadlineMargin = 1.2
	// retryShare is the longest delay after which a refused caller returns, as a share of the
	// time that it has left.
	retryShare = 1.0 / 3
	// minRetryAfter is the shortest one.
	minRetryAfter = 50 * time.Millisecond
)

// Request is what the caller of a request needs.
type Request struct {
	Target time.Duration // Time left until the first event is due.
	Left   time.Duration // Time left until the deadline.
	// Yields is set if no less urgent requests use the pool: only such requests are deferred
	// or refused.
	Yields bool
}

// Estimate is what the best engine for a request can do, counted from now.
type Estimate struct {
	Begin         time.Duration // Until the first event.
	DeferredBegin time.Duration // The same if it is deferred.
	Decode        time.Duration // From the first event to the last.
	// Busy is set if the engine has half of its slots taken, or work that waits.
	Busy bool
}

// Decision is what happens to a request, and why.
type Decision struct {
	Action     Action
	Begin      time.Duration // When it begins, by the estimate.
	End        time.Duration // When it ends.
	RetryAfter time.Duration // Of a refused request.
}

// Decide returns what happens to a request.
func Decide(r Request, e Estimate) Decision {
	send := Decision{Action: Send, Begin: e.Begin, End: e.Begin + e.Decode}
	if !r.Yields || !e.Busy || e.Begin <= r.Target {
		return send
	}
	out := Decision{Action: Defer, Begin: e.DeferredBegin, End: e.DeferredBegin + e.Decode}
	if float64(out.End) > deadlineMargin*float64(r.Left) {
		out.Action = Refuse
		longest := time.Duration(retryShare * float64(r.Left))
		out.RetryAfter = min(max(out.End-r.Left, minRetryAfter), longest)
	}
	return out
}
