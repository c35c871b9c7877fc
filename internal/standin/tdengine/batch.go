package tdengine

import (
	"container/heap"
	"context"
	"sync"
)

// batch lets a bounded number of requests run at once. Waiting ones start in
// order of priority, and of arrival within one.
type batch struct {
	mu      sync.Mutex
	free    int
	running int
	next    int
	waiting waiters
}

type waiter struct {
	priority, order int
	start           chan struct{}
	place           int
}

func newBatch(slots int) *batch { return &batch{free: slots} }

// enter waits for a slot and reports whether it got one.
func (b *batch) enter(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.free > 0 {
		b.free--
		b.running++
		b.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, order: b.next, start: make(chan struct{})}
	b.next++
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.start:
		return true
	case <-ctx.Done():
		return b.giveUp(w)
	}
}

// giveUp takes a waiter off the queue, unless it was started just now; then
// its slot goes to the next one.
func (b *batch) giveUp(w *waiter) bool {
	b.mu.Lock()
	if w.place >= 0 {
		heap.Remove(&b.waiting, w.place)
		b.mu.Unlock()
		return false
	}
	b.mu.Unlock()
	b.leave()
	return false
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.free++
		b.running--
		return
	}
	w, _ := heap.Pop(&b.waiting).(*waiter)
	close(w.start)
}

func (b *batch) counts() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.waiting)
}

// waiters is a heap of waiting requests.
type waiters []*waiter

func (w waiters) Len() int { return len(w) }

func (w waiters) Less(a, b int) bool {
	if w[a].priority != w[b].priority {
		return w[a].priority < w[b].priority
	}
	return w[a].order < w[b].order
}

func (w waiters) Swap(a, b int) {
	w[a], w[b] = w[b], w[a]
	w[a].place, w[b].place = a, b
}

// Push adds a waiter at the end, as the heap asks.
func (w *waiters) Push(x any) {
	e, _ := x.(*waiter)
	e.place = len(*w)
	*w = append(*w, e)
}

// Pop takes the last waiter off, as the heap asks.
func (w *waiters) Pop() any {
	old := *w
	e := old[len(old)-1]
	e.place = -1
	*w = old[:len(old)-1]
	return e
}
