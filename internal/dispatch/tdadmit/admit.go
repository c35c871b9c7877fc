// Package tdadmit decides whether a request is sent to a server while servers have more work
// than they can do in time.
//
// An engine reads prompts in the order in which it gets them, whatever their priority. If all
// requests are sent at once, a burst makes all of them late, the urgent ones among them, and
// in the end they are cut at their deadlines while they run. Requests of the least urgent
// tier are therefore held for a moment, and then refused, while the prompts before them
// would make them late, or would make more urgent requests late that come after them.
//
// # Usage
//
//	d := tdadmit.Decide(tdadmit.Request{Target: target, Left: left, Yields: true}, tdadmit.Estimate{
//		Backlog: backlog, Read: read, Busy: true,
//	})
//	switch d.Action {
//	case tdadmit.Hold:
//		// Ask again soon.
//	case tdadmit.Refuse:
//		// Not run; the caller may come back after d.RetryAfter.
//	}
//
// The decisions have no state, and depend on nothing but their arguments.
package tdadmit

import "time"

// Action is what happens to a request.
type Action int

// The actions.
const (
	Send   Action = iota
	Hold          // Keep it for a moment: the servers may have room soon.
	Refuse        // Refuse it at once: it would be late, or make more urgent requests late.
)

// String returns the name of an action in log lines and metrics.
func (a Action) String() string {
	switch a {
	case Hold:
		return "hold"
	case Refuse:
		return "refuse"
	}
	return "send"
}

const (
	// backlogShare is the prefill backlog, as a share of the target, up to which a request is
	// sent at once.
	backlogShare = 0.35
	// holdShare is how long a request is held, as a share of its target.
	holdShare = 0.25
	// urgentShare is the time to read a prompt and those before it, as a share of the target of
	// more urgent requests, that leaves these enough time for their own.
	urgentShare = 0.8
	// retryShare is the longest delay after which a refused caller returns, as a share of the
	// time that it has left.
	retryShare = 1.0 / 3
	// minRetryAfter is the shortest one.
	minRetryAfter = 50 * time.Millisecond
)

// Request is what the caller of a request needs.
type Request struct {
	Target time.Duration // From its arrival until the first event is due.
	Left   time.Duration // Time left until the deadline.
	Waited time.Duration // Since its arrival.
	// Urgent is the shortest target of more urgent requests that use the same engines; zero
	// if there are none.
	Urgent time.Duration
	// Yields is set if no less urgent requests use the pool: only such requests are refused.
	Yields bool
	Tight  bool // It is a stream that is kept apart from long prompts, and is not held.
}

// Estimate is the state of the best engine for a request.
type Estimate struct {
	Backlog time.Duration // Time to read the prompts before it.
	Read    time.Duration // Time to read its own.
	// Busy is set if the engine has half of its slots taken, or requests that wait.
	Busy bool
}

// Decision is what happens to a request.
type Decision struct {
	Action     Action
	Limit      time.Duration // The backlog up to which it is sent at once.
	RetryAfter time.Duration // Of a refused request.
}

// Decide returns what happens to a request.
func Decide(r Request, e Estimate) Decision {
	limit := time.Duration(backlogShare * float64(r.Target))
	urgent := time.Duration(urgentShare * float64(r.Urgent))
	if r.Urgent > 0 {
		limit = min(limit, max(0, urgent-e.Read))
	}
	out := Decision{Action: Send, Limit: limit}
	switch {
	case r.Tight || !e.Busy || e.Backlog <= limit:
	case r.Waited < time.Duration(holdShare*float64(r.Target)):
		out.Action = Hold
	case !r.Yields:
	case r.Waited+e.Backlog+e.Read > r.Target || r.Urgent > 0 && e.Backlog+e.Read > urgent:
		out.Action = Refuse
		out.RetryAfter = min(max(e.Backlog-limit, minRetryAfter), time.Duration(retryShare*float64(max(0, r.Left))))
	}
	return out
}
