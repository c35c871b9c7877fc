// Package tdretry bounds the retries of the fleet. Every node may retry a
// part of the requests that it takes, so the fleet retries that part of all
// its requests, and no node needs to ask another.
//
// # Usage
//
//	b := tdretry.New(tdretry.Options{Part: 0.1, Burst: 10}, clock)
//	b.Seen()
//	if b.Take() {
//		// Retry.
//	}
package tdretry

import (
	"sync"

	"tarragondeal"
)

// Options bound a node's retries.
type Options struct {
	// Part is how many retries there may be for each request.
	Part float64
	// Burst is how many retries may be saved up.
	Burst float64
	// PerSecond is what is added with time, so that a node with few requests
	// may retry at all.
	PerSecond float64
}

// Budget is one node's budget. It is safe for concurrent use.
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

// Seen counts a new request.
func (b *Budget) Seen() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.opt.Burst, b.tokens+b.opt.Part)
}

// Take takes one retry, if the budget has it.
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
