package tdcheck

import (
	"fmt"
	"time"

	"tarragondeal"
)

// Request is one request as its caller saw it. A repeat of a request by its
// caller is a request of its own with the same Body.
type Request struct {
	ID         string // Unique in the run; it stands in the request's body.
	Body       string // Names what is asked for; equal for repeats.
	Workspace  string
	Route      string
	Class      string
	Tier       int
	Pools      []string
	Permitted  []string // Data centres.
	Idempotent bool
	KeyText    string
	Withdrawn  time.Time // When its key's withdrawal was accepted, if ever.

	Intended   time.Time // When the schedule wanted it sent.
	Sent       time.Time
	FirstToken time.Time
	LongestGap time.Duration // Between tokens.
	Ended      time.Time
	Status     int // Zero when no answer came.
	Code       string
	Ran        tarragondeal.Ran
	RetryAfter time.Duration
	ServedIn   string // The data centre that the answer names.
	ServedBy   string
	Node       string
	Tokens     int
	Whole      bool // The answer came to its end.
	Mine       bool // The answer is the one to this request.
	Broken     bool // An answer began and did not come to its end.
	GaveUp     bool // The caller went away first.
	Replayed   bool // The answer is the recorded one of an earlier request.
}

// heldUp reports whether the request's node stood still while it had it. No
// order of service reaches such a request.
func (q *Request) heldUp(pauses []Pause) bool {
	for _, p := range pauses {
		if p.Node == q.Node && q.Sent.Before(p.To) && q.Ended.After(p.From) {
			return true
		}
	}
	return false
}

// Refused reports whether the system refused the request.
func (q *Request) Refused() bool { return q.Code != "" }

// Run is one execution at a backend server.
type Run struct {
	Request    string // The id in the body; empty when there was none.
	Server     string
	Pool       string
	DataCentre string
	At         time.Time
	Started    time.Time
	Tokens     int
	Done       bool
	Crasher    string // Names the request if it is one that crashes servers.
	Seen       string // Everything the server saw: headers, URL and body.
}

// Order is an order that a receiver got.
type Order struct {
	Receiver string
	Duty     string // Orders of one duty must not interleave.
	Sender   string
	Fence    uint64
	At       time.Time
	Accepted bool
}

// Report is a usage report that the platform got.
type Report struct {
	Window   time.Time
	Figures  string // The figures in a form that can be compared.
	Sender   string
	Fence    uint64
	At       time.Time
	Accepted bool
}

// InForce says that a node had a version in force at some time.
type InForce struct {
	Node    string
	Version tarragondeal.Version
	At      time.Time
}

// Leaving says when a backend server first showed that it leaves.
type Leaving struct {
	Server string
	Since  time.Time
}

// Stop is a planned stop of a node.
type Stop struct {
	Node     string
	From, To time.Time
	ExitCode int
}

// Pause says that a node's process stood still.
type Pause struct {
	Node     string
	From, To time.Time
}

// History is what was recorded in a run.
type History struct {
	Requests []Request
	Runs     []Run
	Orders   []Order
	Reports  []Report
	InForce  []InForce
	Leaving  []Leaving
	Stops    []Stop
	Pauses   []Pause
	// WithdrawalBound is within what a withdrawn key must stop working.
	WithdrawalBound time.Duration
	// LeavingBound is within what a leaving server must get no new work.
	LeavingBound time.Duration
	// OpenRoutes names the routes that take no key.
	OpenRoutes []string
}

// Violation is a place where a promise was broken.
type Violation struct {
	Promise string
	Detail  string
}

func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// collector gathers the violations of one promise.
type collector struct {
	promise string
	found   []Violation
}

func (c *collector) add(format string, args ...any) {
	c.found = append(c.found, Violation{Promise: c.promise, Detail: fmt.Sprintf(format, args...)})
}
