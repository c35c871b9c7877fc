package tdcheck

import (
	"fmt"
	"time"

	"tarragondeal"
)

// Request is one request as its caller saw it. A repeat by the caller is a
// separate Request with the same Body.
type Request struct {
	ID         string // Unique in the run; contained in the request's body.
	Body       string // Identifies the request across repeats.
	Workspace  string
	Route      string
	Class      string
	Tier       int
	Pools      []string
	Permitted  []string // Data centres.
	Idempotent bool
	KeyText    string
	Withdrawn  time.Time // When its key's withdrawal was accepted, if ever.

	Intended   time.Time // Scheduled time of sending.
	Sent       time.Time
	FirstToken time.Time
	LongestGap time.Duration // Between tokens.
	Ended      time.Time
	Status     int // Zero without an answer.
	Code       string
	Ran        tarragondeal.Ran
	RetryAfter time.Duration
	ServedIn   string // Data centre named in the answer.
	ServedBy   string
	Node       string
	Tokens     int
	Complete   bool `json:"Whole"` // The answer is complete.
	Matches    bool `json:"Mine"`  // The answer belongs to this request.
	Broken     bool // The answer began and broke off.
	Cancelled  bool `json:"GaveUp"` // The caller cancelled the request.
	Replayed   bool // The answer is the recorded answer to an earlier request.
}

// duringPause reports whether the request's node was paused while it had the
// request. Scheduling can't affect such a request.
func (q *Request) duringPause(pauses []Pause) bool {
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
	Request    string // ID in the body; empty if there was none.
	Server     string
	Pool       string
	DataCentre string
	At         time.Time
	Started    time.Time
	Tokens     int
	Done       bool
	Crasher    string // Identifies the request if it crashes servers, else empty.
	Seen       string // Everything the server received: headers, URL and body.
}

// Order is an order as its receiver recorded it.
type Order struct {
	Receiver string
	Duty     string // Orders of one duty must not interleave.
	Sender   string
	Fence    uint64
	At       time.Time
	Accepted bool
}

// Report is a usage report as the platform recorded it.
type Report struct {
	Window   time.Time
	Figures  string // The reported figures in a comparable form.
	Sender   string
	Fence    uint64
	At       time.Time
	Accepted bool
}

// InForce is the configuration version in force at a node at one time.
type InForce struct {
	Node    string
	Version tarragondeal.Version
	At      time.Time
}

// Leaving is the time at which a backend server first reported that it is
// leaving.
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

// Pause is a time during which a node's process was paused.
type Pause struct {
	Node     string
	From, To time.Time
}

// History contains all records of a run.
type History struct {
	Requests []Request
	Runs     []Run
	Orders   []Order
	Reports  []Report
	InForce  []InForce
	Leaving  []Leaving
	Stops    []Stop
	Pauses   []Pause
	// WithdrawalBound is the time after which a withdrawn key must no longer
	// work.
	WithdrawalBound time.Duration
	// LeavingBound is the time after which a leaving server must get no new
	// work.
	LeavingBound time.Duration
	// OpenRoutes names the routes that need no key.
	OpenRoutes []string
}

// Violation is one violation of an invariant.
type Violation struct {
	Invariant string
	Detail    string
}

func (v Violation) String() string { return v.Invariant + ": " + v.Detail }

// collector collects the violations of one invariant.
type collector struct {
	invariant string
	found     []Violation
}

func (c *collector) add(format string, args ...any) {
	c.found = append(c.found, Violation{Invariant: c.invariant, Detail: fmt.Sprintf(format, args...)})
}
