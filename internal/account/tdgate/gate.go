package tdgate

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"tarragondeal"
)

// ClosedError is a write that was not sent, since a later holder has been
// told that none will come.
type ClosedError struct {
	Name  string
	Fence uint64
	Below uint64
}

func (e *ClosedError) Error() string {
	return fmt.Sprintf("%s: fencing token %d is closed below %d", e.Name, e.Fence, e.Below)
}

// gate is the one way out of a duty at one process.
type gate struct {
	name      string
	clock     tarragondeal.Clock
	mu        sync.Mutex                      // Held while a write is sent.
	below     uint64                          // Fencing tokens below it are closed.
	unsettled map[string]tarragondeal.Instant // When each receiver last left a write unanswered.
}

func newGate(name string, clock tarragondeal.Clock) *gate {
	return &gate{name: name, clock: clock, unsettled: make(map[string]tarragondeal.Instant)}
}

// send checks and sends one write under the lock.
func (g *gate) send(ctx context.Context, h tarragondeal.Held, receiver string, within time.Duration, do func(context.Context) error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.Fence() < g.below {
		return &ClosedError{Name: g.name, Fence: h.Fence(), Below: g.below}
	}
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	if err := h.Check(within); err != nil {
		return err
	}
	err := do(ctx)
	if !answered(err) {
		// A later write that is answered does not settle this one.
		g.unsettled[receiver] = g.clock.Now()
	}
	return err
}

// answered reports whether the receiver has surely dealt with a write, so
// that it can't act on it later.
func answered(err error) bool {
	var fence *tarragondeal.FenceError
	var platform *tarragondeal.PlatformError
	return err == nil || errors.As(err, &fence) || errors.As(err, &platform) && platform.Status != 0
}

// close closes the gate below a token and returns how long ago each receiver
// left a write unanswered. It waits for the write that is being sent.
func (g *gate) close(below uint64) map[string]time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.below = max(g.below, below)
	now := g.clock.Now()
	out := make(map[string]time.Duration, len(g.unsettled))
	for r, at := range g.unsettled {
		out[r] = now.Sub(at)
	}
	return out
}
