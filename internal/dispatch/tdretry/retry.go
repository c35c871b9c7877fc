// Package tdretry limits the retries of the fleet. Every node may retry a fixed
// ratio of the requests that it receives, so that the ratio holds for the fleet
// without coordination between nodes.
//
// # Usage
//
//	b := tdretry.New(tdretry.Options{Ratio: 0.1, Burst: 10}, clock)
//	b.CountRequest()
//	if b.Take() {
//		// Retry.
//	}
package tdretry

import (
	"sync"

	"tarragondeal"
)

// Options limit a node's retries.
type Options struct {
	// Ratio is the ratio of retries to requests.
	Ratio float64
	// Burst is the maximum number of retries that can accumulate.
	Burst float64
	// PerSecond is the number of retries added per second, so that a node with
	// few requests may retry at all.
	PerSecond float64
}

// Budget is the retry budget of one node, a token bucket. It is safe for
// concurrent use.
type Budget struct {
	opt    Options
	clock  tarragondeal.Clock
	mu     sync.Mutex
	tokens float64
	last   tarragondeal.Instant
}

// New returns a full budget.
func New(o Options, c tarragondeal.Clock) *Budget {
	return &Budget{opt: o, clock: c, tokens: o.Burst, last: c.Now()}
}

// CountRequest counts a new request.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.opt.Burst, b.tokens+b.opt.Ratio)
}

// Take takes one retry from the budget. It reports whether there was one.
func (b *Budget) Take() bool {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.opt.Burst, b.tokens+now.Sub(b.last).Seconds()*b.opt.PerSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
