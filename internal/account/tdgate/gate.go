package tdgate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"tarragondeal"
)

// ClosedError is the error for a write that was not sent, because a later holder
// has closed the gate to its fencing token.
type ClosedError struct {
	Name  string
	Fence uint64
	Below uint64
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("%s: gate is closed to fencing token %d, lowest open token is %d", e.Name, e.Fence, e.Below)
}

// gate serialises the external writes of a duty in one process.
type gate struct {
	name           string
	clock          tarragondeal.Clock
	mu             sync.Mutex                      // Held while a write is sent.
	below          uint64                          // Writes with lower fencing tokens are rejected.
	lastUnanswered map[string]tarragondeal.Instant // Time of the last unanswered write to each receiver.
}

func newGate(name string, clock tarragondeal.Clock) *gate {
	return &gate{name: name, clock: clock, lastUnanswered: make(map[string]tarragondeal.Instant)}
}

// send checks the fencing token and the lease and sends one write, all under the
// lock. It returns a *ClosedError, the error of the lease check or that of do.
func (g *gate) send(ctx context.Context, h tarragondeal.Held, receiver string, timeout time.Duration, do func(context.Context) error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.Fence() < g.below {
		return &ClosedError{Name: g.name, Fence: h.Fence(), Below: g.below}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := h.Check(timeout); err != nil {
		return err
	}
	err := do(ctx)
	if !answered(err) {
		// Not deleted after a later answer: this write may still take effect.
		g.lastUnanswered[receiver] = g.clock.Now()
	}
	return err
}

// answered reports whether the receiver has certainly finished with a write, so
// that it can't act on it later.
func answered(err error) bool {
	var fence *tarragondeal.FenceError
	var platform *tarragondeal.PlatformError
	return err == nil || errors.As(err, &fence) || errors.As(err, &platform) && platform.Status != 0
}

// close closes the gate to tokens lower than below and returns how long ago the
// last unanswered write to each receiver ended. It waits for a write in progress.
func (g *gate) close(below uint64) map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.below = max(g.below, below)
	now := g.clock.Now()
	out := make(map[string]time.Duration, len(g.lastUnanswered))
	for r, at := range g.lastUnanswered {
		out[r] = now.Sub(at)
	}
	return out
}
