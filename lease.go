package tarragondeal

import (
	"context"
	"fmt"
	"time"
)

// Leases runs duties that only one node of the fleet may have.
type Leases interface {
	// Hold waits for the lease called name, runs duty while it is held, and
	// starts over when it was lost. The duty's context ends when the lease
	// does. Hold returns when ctx ends, and releases the lease then.
	Hold(ctx context.Context, name string, duty func(ctx context.Context, h Held) error) error
}

// Held is a lease that is held now.
type Held interface {
	// Fence returns the fencing token of this acquisition.
	Fence() uint64
	// Predecessor returns who held the lease before, as the store named the
	// holder, or "" when nobody did or this node's process did.
	Predecessor() string
	// Check is called immediately before each write to the outside. It
	// returns a *LeaseError unless now plus the time the write may take, and
	// a margin, lies before the lease's end.
	Check(within time.Duration) error
}

// LeaseError is a lease that is not surely held for as long as is needed.
type LeaseError struct {
	Name string
	Left time.Duration
	Need time.Duration
}

func (e *LeaseError) Error() string {
	return fmt.Sprintf("lease %s: %s left, %s needed", e.Name, e.Left, e.Need)
}
