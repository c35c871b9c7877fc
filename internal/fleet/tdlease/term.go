package tdlease

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tarragondeal"
)

// term is one holding of a lease, from its acquisition to its loss.
type term struct {
	clock        tarragondeal.Clock
	margin       time.Duration
	predecessors []string
	acted        atomic.Bool // A check before a write has passed.
	settled      bool        // The record was told so; the keeper's own.

	mu    sync.Mutex
	lease tarragondeal.Lease
	over  bool
}

// Fence returns the fencing token of this acquisition.
func (t *term) Fence() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease.Fence
}

// Predecessor returns who held the lease before, and may still act.
func (t *term) Predecessor() string {
	if len(t.predecessors) == 0 {
		return ""
	}
	return t.predecessors[len(t.predecessors)-1]
}

// Predecessors returns all who held the lease before and may still act,
// oldest first: holders that never acted did not make sure of theirs.
func (t *term) Predecessors() []string { return slices.Clone(t.predecessors) }

// Check returns an error unless a write that takes up to within, begun now,
// ends before the lease does.
func (t *term) Check(within time.Duration) error {
	if err := t.check(within); err != nil {
		return err
	}
	t.acted.Store(true)
	return nil
}

func (t *term) check(within time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	left := remaining(t.lease, t.over, t.clock.Now())
	if need := within + t.margin; left <= need {
		return &tarragondeal.LeaseError{Name: t.lease.Name, Left: left, Need: need}
	}
	return nil
}

// remaining is the decision on how long a lease is held yet.
func remaining(l tarragondeal.Lease, over bool, now tarragondeal.Instant) time.Duration {
	if over {
		return 0
	}
	return l.Expires.Sub(now)
}

// left returns the time until the holder must have stopped acting.
func (t *term) left() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return remaining(t.lease, t.over, t.clock.Now()) - t.margin
}

func (t *term) now() tarragondeal.Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease
}

// extend takes in the answer to a renewal.
func (t *term) extend(l tarragondeal.Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease = l
}

// end makes every later check fail.
func (t *term) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.over = true
}
