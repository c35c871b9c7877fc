package tarragondeal

import (
	"context"
	"time"
)

// Ask describes an attempt that needs a backend server.
type Ask struct {
	Request   RequestID
	Attempt   int
	Workspace string
	Weight    float64 // The workspace's; zero counts as one.
	Route     string
	Class     string
	Tier      int
	MinShare  float64
	Pools     []string
	// Shares are the relative weights of Pools, in the same order; empty means
	// that requests are not split by weight.
	Shares []int
	// DataCentres are the permitted data centres. It is never empty: a request
	// without a permitted data centre is refused earlier.
	DataCentres []string
	// Target is the time until the first token, or the complete answer of a
	// service, is due. After Deadline the answer is useless. Both count from
	// now.
	Target   time.Duration
	Deadline time.Duration
	// Work is the estimated work in tokens.
	Work float64
	// Prefix are digests of increasingly long prefixes of the prompt, salted
	// with the workspace, shortest first.
	Prefix []uint64
	// Fingerprint is a hash of body and workspace. It identifies requests that
	// crash backend servers.
	Fingerprint uint64
	// Idempotent requests may be run again.
	Idempotent bool
	// Avoid are servers that this request has already failed at.
	Avoid []ServerID

	// Parts are the prompt's parts in order, if the caller lists them. Input
	// and Output are the numbers of tokens that the caller announces.
	Parts  []PromptPart
	Input  int
	Output int
	// OutputHint is the caller's estimate of the output tokens; zero if there is none. It may
	// be far off.
	OutputHint int
	// Gap is the longest permitted pause between events; zero means no limit.
	Gap time.Duration
	// Software, if set, is the only software that may answer: the one that began
	// the stream of which the caller has a part.
	Software *Software
}

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Grant is permission to run one attempt on one server.
type Grant struct {
	ID      GrantID
	Request RequestID
	Attempt int
	Server  Server
	Owner   NodeID
	Epoch   uint64 // The owner's epoch, which identifies grants of a lost owner.
	Tier    int
	Expires Instant // By this node's clock; extended by calls of Progress.
	// MaxIdle is how long a connection may have been idle that is used for a request which
	// may run once; zero means that such requests have connections of their own.
	MaxIdle time.Duration
}

// OutcomeKind says how an attempt ended.
type OutcomeKind int

// The ways an attempt ends.
const (
	OutcomeServed      OutcomeKind = iota // The complete answer was received.
	OutcomeUnused                         // The grant was not used: no byte was sent.
	OutcomeCancelled                      // The caller closed the connection.
	OutcomeRefused                        // The server refused the request.
	OutcomeCrashed                        // The connection broke during the answer.
	OutcomeLate                           // The deadline passed.
	OutcomeWrong                          // The answer belonged to another request, or was truncated.
	OutcomeUnreachable                    // The server could not be reached: no byte was sent.
)

// Outcome reports to the owner of a server how an attempt ended.
type Outcome struct {
	Kind       OutcomeKind
	Rejected   bool // The server states that it has not run the request and never will.
	Tokens     int  // Output tokens delivered.
	Input      int  // Input tokens, where known.
	FirstToken time.Duration
	Total      time.Duration
	CachedHint int // Input tokens that the engine reported as cached.
}

// Dispatcher finds backend servers for requests.
type Dispatcher interface {
	// Reserve waits for a grant. The error is a *RefusedError.
	Reserve(ctx context.Context, a Ask) (Grant, error)
	// Valid reports whether the request of a grant may still be sent to its server.
	Valid(g Grant) bool
	// Progress reports the total number of tokens that a running attempt has
	// delivered, which extends the grant.
	Progress(g Grant, tokens int)
	// Done ends a grant. It does not block.
	Done(g Grant, o Outcome)
	// MayRetry takes one retry from the fleet's budget and reports whether the
	// budget allowed it.
	MayRetry(a Ask) bool
}
