package tarragondeal

import (
	"context"
	"fmt"
	"time"
)

// Leases runs duties that at most one node of the fleet may run at a time.
type Leases interface {
	// Hold waits for the lease called name, runs duty while the lease is held,
	// and starts over when it was lost. The duty's context ends with the lease.
	// Hold releases the lease and returns when ctx ends.
	Hold(ctx context.Context, name string, duty func(ctx context.Context, h Held) error) error
}

// Held is a lease that this node holds.
type Held interface {
	// Fence returns the fencing token of this acquisition.
	Fence() uint64
	// Predecessor returns the previous holder as recorded in the store, or ""
	// when there was none or it was this node's process.
	Predecessor() string
	// Check is called immediately before each write to another system. It
	// returns a *LeaseError unless the lease lasts longer than the time the
	// write may take plus a margin.
	Check(within time.Duration) error
}

// LeaseError reports a lease that may end before the time that is needed.
type LeaseError struct {
	Name string
	Left time.Duration
	Need time.Duration
}

func (e *LeaseError) Error() string {
	return fmt.Sprintf("lease %s: %s left, %s needed", e.Name, e.Left, e.Need)
}
