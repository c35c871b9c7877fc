package tdlease

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"tarragondeal"
)

// term is the time from the acquisition of a lease to its loss. It implements
// tarragondeal.Held.
type term struct {
	clock        tarragondeal.Clock
	margin       time.Duration
	predecessors []string
	era          tarragondeal.Era // In which the lease was acquired.
	fence        uint64           // The fencing token.
	fenceBefore  uint64           // That of the holder before; zero for none.
	acted        atomic.Bool      // Whether Check has ever succeeded.
	cleared      bool             // The stored predecessors are cleared; used only by renewUntilLost.

	mu      sync.Mutex
	lease   tarragondeal.Lease
	ended   bool
	whenEnd func() // Called when the term ends; may be nil.
}

// Fence returns the fencing token of this acquisition.
func (t *term) Fence() uint64 { return t.fence }

// Predecessor returns the latest earlier holder that may still act, or "".
func (t *term) Predecessor() string {
	if len(t.predecessors) == 0 {
		return ""
	}
	return t.predecessors[len(t.predecessors)-1]
}

// Predecessors returns all earlier holders that may still act, oldest first.
// There is more than one if a predecessor did not act, that is, none of its
// Checks succeeded: it has not ruled out that its own predecessors still act,
// and they stay in the stored record.
func (t *term) Predecessors() []string { return slices.Clone(t.predecessors) }

// Check returns a *tarragondeal.LeaseError unless the time until the lease
// expires is longer than the duration within of a write plus the margin.
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
	left := remaining(t.lease, t.ended, t.clock.Now())
	if need := within + t.margin; left <= need {
		return &tarragondeal.LeaseError{Name: t.lease.Name, Left: left, Need: need}
	}
	return nil
}

// remaining returns the time until l expires, or 0 if the term has ended.
func remaining(l tarragondeal.Lease, ended bool, now tarragondeal.Instant) time.Duration {
	if ended {
		return 0
	}
	return l.Expires.Sub(now)
}

// usable returns the time until the holder must have stopped acting, which is
// the time until the lease expires minus the margin.
func (t *term) usable() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return remaining(t.lease, t.ended, t.clock.Now()) - t.margin
}

func (t *term) current() tarragondeal.Lease {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lease
}

// setLease stores the lease returned by a renewal.
func (t *term) setLease(l tarragondeal.Lease) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease = l
}

// end makes every later check fail.
func (t *term) end() {
	t.mu.Lock()
	t.ended = true
	do := t.whenEnd
	t.mu.Unlock()
	if do != nil {
		do()
	}
}

// onEnd calls do when the term ends, or at once if it has. The returned function stops that.
func (t *term) onEnd(do func()) (stop func()) {
	t.mu.Lock()
	t.whenEnd = do
	ended := t.ended
	t.mu.Unlock()
	if ended {
		do()
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.whenEnd = nil
	}
}
