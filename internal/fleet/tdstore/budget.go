package tdstore

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

const (
	minBurst = 8
	// reserve is the part of the burst that only urgent calls may use.
	reserve     = 0.5
	budgetCheck = 20 * time.Millisecond
)

// budget is this node's share of one of the fleet's rates.
type budget struct {
	fleet   float64 // Calls a second of all nodes.
	limiter *rate.Limiter
}

func newBudget(fleet float64) *budget {
	return &budget{fleet: fleet, limiter: rate.NewLimiter(rate.Limit(fleet), burst(fleet))}
}

func burst(perSecond float64) int { return max(minBurst, int(perSecond)) }

// fit makes the share that of one of n nodes.
func (b *budget) fit(n int) {
	share := b.fleet / float64(max(n, 1))
	if b.limiter.Limit() != rate.Limit(share) {
		b.limiter.SetLimit(rate.Limit(share))
		b.limiter.SetBurst(burst(share))
	}
}

// take waits for a call's turn. Calls that are not urgent leave a reserve to
// those that are.
func (b *budget) take(ctx context.Context, urgent bool) error {
	for !urgent && b.limiter.Tokens() < reserve*float64(b.limiter.Burst()) {
		t := time.NewTimer(budgetCheck)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
	return b.limiter.Wait(ctx)
}
