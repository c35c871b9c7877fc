package tdstore

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	minBurst = 8
	// urgentReserve is the fraction of the burst that only urgent calls may
	// use.
	urgentReserve       = 0.5
	reservePollInterval = 20 * time.Millisecond
)

// budget limits calls to this node's share of one of the fleet's rates.
type budget struct {
	fleetRate float64 // Calls per second of all nodes.
	limiter   *rate.Limiter
}

func newBudget(fleet float64) *budget {
	return &budget{fleetRate: fleet, limiter: rate.NewLimiter(rate.Limit(fleet), burst(fleet))}
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond)) }

// setNodes sets the share to that of one of n nodes.
func (b *budget) setNodes(n int) {
	share := b.fleetRate / float64(max(n, 1))
	if b.limiter.Limit() != rate.Limit(share) {
		b.limiter.SetLimit(rate.Limit(share))
		b.limiter.SetBurst(burst(share))
	}
}

// wait blocks until a call is permitted or ctx ends. Calls that are not urgent
// leave the reserve to those that are.
func (b *budget) wait(ctx context.Context, urgent bool) error {
	for !urgent && b.limiter.Tokens() < urgentReserve*float64(b.limiter.Burst()) {
		t := time.NewTimer(reservePollInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
	return b.limiter.Wait(ctx)
}
