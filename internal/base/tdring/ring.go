// Package tdring provides bounded queues between goroutines.
//
// # Usage
//
//	r := tdring.New[Message](1024)
//	if !r.Push(m) {
//		// The queue is full; the message was counted as dropped.
//	}
//	m, err := r.Pop(ctx)
package tdring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in, first-out queue of messages. It is safe for
// concurrent use.
type Ring[T any] struct {
	c       chan T
	dropped atomic.Int64
}

// New returns a queue that holds up to n messages.
func New[T any](n int) *Ring[T] { return &Ring[T]{c: make(chan T, n)} }

// Push adds a message without blocking. If the queue is full, it counts the
// message as dropped and returns false.
func (r *Ring[T]) Push(m T) bool {
	select {
	case r.c <- m:
		return true
	default:
		r.dropped.Add(1)
		return false
	}
}

// Send adds a message. It waits until the queue has space or the context ends.
func (r *Ring[T]) Send(ctx context.Context, m T) error {
	select {
	case r.c <- m:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest message. It waits until there is one or the context
// ends.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	select {
	case m := <-r.c:
		return m, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// C returns the channel of messages, for use in a select statement.
func (r *Ring[T]) C() <-chan T { return r.c }

// Len returns the number of queued messages.
func (r *Ring[T]) Len() int { return len(r.c) }

// Dropped returns how many messages Push has dropped.
func (r *Ring[T]) Dropped() int64 { return r.dropped.Load() }
