package tdengine

import (
	"container/heap"
	"context"
	"sync"
)

// batch limits the number of concurrently running requests. Waiting requests
// start in ascending order of their priority number, and in order of arrival
// within a priority.
type batch struct {
	mu        sync.Mutex
	free      int // Unused slots.
	running   int
	nextOrder int // The order of the next waiter.
	waiting   waitQueue
}

type waiter struct {
	priority, order int
	start           chan struct{} // Closed when the waiter gets a slot.
	index           int           // Position in the waitQueue, or -1 once removed.
}

func newBatch(slots int) *batch { return &batch{free: slots} }

// acquire waits for a slot and reports whether it got one.
func (b *batch) acquire(ctx context.Context, priority int) bool {
	b.mu.Lock()
	if b.free > 0 {
		b.free--
		b.running++
		b.mu.Unlock()
		return true
	}
	w := &waiter{priority: priority, order: b.nextOrder, start: make(chan struct{})}
	b.nextOrder++
	heap.Push(&b.waiting, w)
	b.mu.Unlock()
	select {
	case <-w.start:
		return true
	case <-ctx.Done():
		return b.cancel(w)
	}
}

// cancel removes a waiter from the queue. If the waiter has just got a slot,
// cancel releases it. The result is that of acquire: false, as the waiter
// holds no slot.
func (b *batch) cancel(w *waiter) bool {
	b.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&b.waiting, w.index)
		b.mu.Unlock()
		return false
	}
	b.mu.Unlock()
	b.release()
	return false
}

// release frees a slot, or passes it to the first waiter. A slot that is
// passed on stays in use, so free and running don't change.
func (b *batch) release() {
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

// waitQueue is a heap of waiting requests.
type waitQueue []*waiter

func (w waitQueue) Len() int { return len(w) }

func (w waitQueue) Less(a, b int) bool {
	if w[a].priority != w[b].priority {
		return w[a].priority < w[b].priority
	}
	return w[a].order < w[b].order
}

func (w waitQueue) Swap(a, b int) {
	w[a], w[b] = w[b], w[a]
	w[a].index, w[b].index = a, b
}

// Push appends a waiter, as heap.Interface requires.
func (w *waitQueue) Push(x any) {
	e, _ := x.(*waiter)
	e.index = len(*w)
	*w = append(*w, e)
}

// Pop removes the last waiter, as heap.Interface requires.
func (w *waitQueue) Pop() any {
	old := *w
	e := old[len(old)-1]
	e.index = -1
	*w = old[:len(old)-1]
	return e
}
