// Package tdring joins duties by bounded rings.
//
// # Usage
//
//	r := tdring.New[Message](1024)
//	if !r.Push(m) {
//		// The ring is full; the message was counted as dropped.
//	}
//	m, err := r.Pop(ctx)
package tdring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded queue of messages from one duty to another. It is safe
// for concurrent use.
type Ring[T any] struct {
	c       chan T
	dropped atomic.Int64
}

// New returns a ring that holds up to n messages.
func New[T any](n int) *Ring[T] { return &Ring[T]{c: make(chan T, n)} }

// Push adds a message without blocking. It reports false, and counts the
// message as dropped, when the ring is full.
func (r *Ring[T]) Push(m T) bool {
	select {
	case r.c <- m:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Send adds a message, waiting for room until the context ends.
func (r *Ring[T]) Send(ctx context.Context, m T) error {
	select {
	case r.c <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop takes the oldest message, waiting for one until the context ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case m := <-r.c:
		return m, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel of messages, for use in a select.
func (r *Ring[T]) C() <-chan T { return r.c }

// Len returns how many messages wait.
func (r *Ring[T]) Len() int { return len(r.c) }

// Dropped returns how many messages found the ring full.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }
