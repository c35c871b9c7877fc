package tdstore

import (
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// Options configures the client. Zero values select defaults.
type Options struct {
	// Reads and Writes are the permitted calls per second of the whole fleet.
	Reads  float64
	Writes float64
	// Nodes returns the number of nodes that share the rates.
	Nodes func() int
	// Timeout limits one attempt, and Total a call with its retries.
	Timeout time.Duration
	Total   time.Duration
	// Urgent lists the prefixes of keys whose calls precede others, as calls
	// for leases always do.
	Urgent []string
	// Bulk lists the prefixes of keys that are written in bursts by one node
	// at a time, like those of published sets. These writes have a separate
	// share of the rate, which is not divided among the nodes.
	Bulk []string
	// Backoff limits the delay before the first retry.
	Backoff time.Duration
	// ProbeInterval is the average time between probes while the service is
	// unavailable. RecoverySpread is the period over which the nodes resume
	// calls that are not urgent once it is available again.
	ProbeInterval  time.Duration
	RecoverySpread time.Duration
	Log            zerolog.Logger
	Scope          tally.Scope
}

const (
	defaultReads          = 1800
	defaultWrites         = 300
	defaultTimeout        = time.Second
	defaultTotal          = 4 * time.Second
	defaultBackoff        = 50 * time.Millisecond
	defaultProbeInterval  = 2 * time.Second
	defaultRecoverySpread = 5 * time.Second
	maxBackoff            = time.Second
	maxAttempts           = 5
	maxFailures           = 4
	bulkShare             = 0.2                   // Fraction of the write rate.
	probeWatchWait        = 50 * time.Millisecond // Wait of a watch that serves as a probe.
)

// UnavailableError reports a call that was not made because the service is
// unavailable.
type UnavailableError struct{}

func (*UnavailableError) Error() string { return "the key-value service is away" }

// BudgetError reports a call that was not made because no budget was left for
// it before its deadline.
type BudgetError struct{ Err error }

func (e *BudgetError) Error() string { return "no budget for the call: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BudgetError) Unwrap() error { return e.Err }

// OverwrittenError reports a write that got no reply and whose key has since
// been written by another one. The write may have taken effect before that.
type OverwrittenError struct{ Current tarragondeal.Entry }

func (*OverwrittenError) Error() string { return "no reply, and the key was written since" }

func (o Options) defaults() Options {
	o.Reads = valueOr(o.Reads, defaultReads)
	o.Writes = valueOr(o.Writes, defaultWrites)
	o.Timeout = valueOr(o.Timeout, defaultTimeout)
	o.Total = valueOr(o.Total, defaultTotal)
	o.Backoff = valueOr(o.Backoff, defaultBackoff)
	o.ProbeInterval = valueOr(o.ProbeInterval, defaultProbeInterval)
	o.RecoverySpread = valueOr(o.RecoverySpread, defaultRecoverySpread)
	if o.Nodes == nil {
		o.Nodes = func() int { return 1 }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

func valueOr[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}
