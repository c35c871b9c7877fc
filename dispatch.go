package tarragondeal

import (
	"context"
	"time"
)

// Ask is what a node needs a backend server for.
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
	// Shares spread requests over Pools, in their order; empty spreads none.
	Shares []int
	// DataCentres are the permitted places. It is never empty: with no
	// permitted place there is nothing to ask for.
	DataCentres []string
	// Target is when the first token, or the whole answer of a service, is
	// due, and Deadline when it is of no use, both counted from now.
	Target   time.Duration
	Deadline time.Duration
	// Work is the estimated work in tokens.
	Work float64
	// Prefix are digests of growing prefixes of the prompt, salted with the
	// workspace, shortest first.
	Prefix []uint64
	// Fingerprint names body and workspace, to tell requests that crash
	// backend servers.
	Fingerprint uint64
	// Idempotent requests may be run again.
	Idempotent bool
	// Avoid are servers that failed this request already.
	Avoid []ServerID

	// Parts are the prompt's parts in order, where the caller names them,
	// and Input and Output the tokens that it announces.
	Parts  []PromptPart
	Input  int
	Output int
	// Gap is the longest pause between events that is in time; zero without.
	Gap time.Duration
}

// PromptPart is a piece of a prompt that other requests may share.
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
	Epoch   uint64 // The owner's, to tell grants of a lost owner.
	Tier    int
	Expires Instant // By this node's clock; renewed while progress is told.
}

// OutcomeKind says how an attempt ended.
type OutcomeKind int

// The ways an attempt ends.
const (
	OutcomeServed      OutcomeKind = iota // The whole answer came.
	OutcomeUnused                         // The grant was not used: no byte was sent.
	OutcomeCancelled                      // The caller went away.
	OutcomeRefused                        // The server answered that it won't.
	OutcomeCrashed                        // The connection broke mid-way.
	OutcomeLate                           // The deadline passed.
	OutcomeWrong                          // The answer was another request's, or short.
	OutcomeUnreachable                    // The server could not be reached: no byte was sent.
)

// Outcome tells the owner of a server how an attempt ended.
type Outcome struct {
	Kind       OutcomeKind
	Tokens     int // Output tokens delivered.
	Input      int // Input tokens, where known.
	FirstToken time.Duration
	Total      time.Duration
	CachedHint int // Input tokens that the engine said it had cached.
}

// Dispatcher finds backend servers for requests.
type Dispatcher interface {
	// Reserve waits for a grant. The error is a *RefusedError.
	Reserve(ctx context.Context, a Ask) (Grant, error)
	// Progress tells how many tokens a running attempt has delivered in all,
	// which keeps the grant alive.
	Progress(g Grant, tokens int)
	// Done ends a grant. It does not block.
	Done(g Grant, o Outcome)
	// MayRetry takes one retry from the fleet's budget.
	MayRetry(a Ask) bool
}
