package tdstore

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// Options are what the client works with. Zero values stand for defaults.
type Options struct {
	// Reads and Writes are what the whole fleet may call a second.
	Reads  float64
	Writes float64
	// Nodes returns how many nodes share the rates.
	Nodes func() int
	// Timeout bounds one try, and Total a call with its repeats.
	Timeout time.Duration
	Total   time.Duration
	// Urgent are the prefixes of keys whose calls go before others, as those
	// of leases do.
	Urgent []string
	// Bulk are the prefixes of keys whose writes come many at once from one
	// node at a time, as those of published sets do. They have a share of
	// the rate of their own, which is not divided among the nodes.
	Bulk []string
	// Backoff bounds the first wait before a repeat.
	Backoff time.Duration
	// Probe is the time between tries while the service is away, and Spread
	// that over which the nodes return to it.
	Probe  time.Duration
	Spread time.Duration
	Log    zerolog.Logger
	Scope  tally.Scope
}

const (
	defaultReads   = 1800
	defaultWrites  = 300
	defaultTimeout = time.Second
	defaultTotal   = 4 * time.Second
	defaultBackoff = 50 * time.Millisecond
	defaultProbe   = 2 * time.Second
	defaultSpread  = 5 * time.Second
	maxBackoff     = time.Second
	maxTries       = 5
	awayFailures   = 4
	bulkShare      = 0.2                   // Of the writes.
	probeWait      = 50 * time.Millisecond // Of a watch while the service is away.
)

// AwayError is a call that was not made because the service is away.
type AwayError struct{}

func (*AwayError) Error() string { return "the key-value service is away" }

// BudgetError is a call that was not made for want of budget.
type BudgetError struct{ Err error }

func (e *BudgetError) Error() string { return "no budget for the call: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BudgetError) Unwrap() error { return e.Err }

// OverwrittenError is a write whose answer was lost and in whose place
// another one stands: it may have taken effect before that one.
type OverwrittenError struct{ Current tarragondeal.Entry }

func (*OverwrittenError) Error() string { return "the answer was lost and another write came since" }

func (o Options) defaults() Options {
	o.Reads = or(o.Reads, defaultReads)
	o.Writes = or(o.Writes, defaultWrites)
	o.Timeout = or(o.Timeout, defaultTimeout)
	o.Total = or(o.Total, defaultTotal)
	o.Backoff = or(o.Backoff, defaultBackoff)
	o.Probe = or(o.Probe, defaultProbe)
	o.Spread = or(o.Spread, defaultSpread)
	if o.Nodes == nil {
		o.Nodes = func() int { return 1 }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
