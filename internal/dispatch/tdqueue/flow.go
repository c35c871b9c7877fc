package tdqueue

import (
	"container/heap"
	"time"

	"tarragondeal"
)

// lateEvery is how many starts of a workspace there are for one that takes a
// request which has missed its target while others have not.
const lateEvery = 16

// item is a request that waits.
type item struct {
	Request
	last       tarragondeal.Instant // The latest start that is of any use.
	first      time.Duration        // From the start to the first token.
	tier       *tier
	flow       *flow
	list       *list
	prev, next *item
	deadlineAt int
	cost       float64 // Seconds of one place, over the number of copies.
}

// list is a doubly linked list of items, oldest first.
type list struct {
	head, tail *item
	n          int
}

func (l *list) push(it *item) {
	it.list, it.prev, it.next = l, l.tail, nil
	if l.tail == nil {
		l.head = it
	} else {
		l.tail.next = it
	}
	l.tail = it
	l.n++
}

func (l *list) remove(it *item) {
	if it.prev == nil {
		l.head = it.next
	} else {
		it.prev.next = it.next
	}
	if it.next == nil {
		l.tail = it.prev
	} else {
		it.next.prev = it.prev
	}
	it.list, it.prev, it.next = nil, nil, nil
	l.n--
}

// lowest returns the newest of the lowest tier. It looks at each item, so it
// is for short lists.
func (l *list) lowest() *item {
	low := l.head
	for it := l.head; it != nil; it = it.next {
		if it.Tier >= low.Tier {
			low = it
		}
	}
	return low
}

// flow is one workspace within one tier.
type flow struct {
	tier    *tier
	name    string
	weight  float64
	served  float64 // Tokens over weight, lifted to the tier's when idle.
	fresh   list    // Can still meet their targets.
	late    list
	starts  int
	running int
	at      [2]int // Positions in the heaps of the tier.
}

func (f *flow) len() int { return f.fresh.n + f.late.n }

func (f *flow) charge(tokens float64) {
	f.served += tokens / f.weight
	if f.len() > 0 {
		f.tier.fix(f)
	}
}

// peek returns the next request of the workspace.
func (f *flow) peek(now tarragondeal.Instant) *item {
	for f.fresh.head != nil && f.fresh.head.Target < now.Add(f.fresh.head.first) {
		it := f.fresh.head
		f.fresh.remove(it)
		f.late.push(it)
	}
	switch {
	case f.fresh.head == nil:
		return f.late.head
	case f.late.head != nil && f.starts%lateEvery == lateEvery-1:
		return f.late.head
	default:
		return f.fresh.head
	}
}

// oldest returns the request that has waited longest.
func (f *flow) oldest() *item {
	if f.late.head != nil {
		return f.late.head
	}
	return f.fresh.head
}

// newest returns the request that is refused first: one that has missed its
// target, else the last to come.
func (f *flow) newest() *item {
	if f.late.tail != nil {
		return f.late.tail
	}
	return f.fresh.tail
}

// tier holds the workspaces whose requests wait in one tier.
type tier struct {
	number int
	share  float64
	seen   tarragondeal.Instant
	flows  map[string]*flow
	heaps  [2]flowHeap // By least and by most served.
	floor  float64     // What the last started workspace had been served.
	queued float64     // Sum of the costs of waiting requests.
	count  int
	credit float64
	class  string // Of its last request.
	sheds  bool   // It was refused at shedAt.
	shedAt tarragondeal.Instant
}

const (
	byLeast = 0
	byMost  = 1
)

func newTier(number int) *tier {
	t := &tier{number: number, flows: make(map[string]*flow)}
	t.heaps[byLeast].kind, t.heaps[byMost].kind = byLeast, byMost
	return t
}

func (t *tier) len() int { return t.count }

func (t *tier) flow(name string, weight float64) *flow {
	f, ok := t.flows[name]
	if !ok {
		f = &flow{tier: t, name: name, served: t.floor}
		t.flows[name] = f
	}
	if weight <= 0 {
		weight = 1
	}
	f.weight = weight
	return f
}

// active reports whether the tier's requests have come of late.
func (t *tier) active(now tarragondeal.Instant) bool { return now.Sub(t.seen) < tierMemory }

func (t *tier) waiting(name string) int {
	if f, ok := t.flows[name]; ok {
		return f.len()
	}
	return 0
}

func (t *tier) push(it *item) {
	f := t.flow(it.Workspace, it.Weight)
	it.flow = f
	idle := f.len() == 0
	f.fresh.push(it)
	if !idle {
		return
	}
	if f.running == 0 {
		f.served = max(f.served, t.floor)
	}
	heap.Push(&t.heaps[byLeast], f)
	heap.Push(&t.heaps[byMost], f)
}

func (t *tier) remove(it *item) {
	f := it.flow
	it.list.remove(it)
	if f.len() == 0 {
		heap.Remove(&t.heaps[byLeast], f.at[byLeast])
		heap.Remove(&t.heaps[byMost], f.at[byMost])
	}
}

func (t *tier) fix(f *flow) {
	heap.Fix(&t.heaps[byLeast], f.at[byLeast])
	heap.Fix(&t.heaps[byMost], f.at[byMost])
}

func (t *tier) least() *flow { return t.heaps[byLeast].first() }

func (t *tier) most() *flow { return t.heaps[byMost].first() }

// prune forgets workspaces that owe nothing.
func (t *tier) prune() {
	for name, f := range t.flows {
		if f.len() == 0 && f.running == 0 && f.served <= t.floor {
			delete(t.flows, name)
		}
	}
}

// flowHeap orders workspaces by what they have been served.
type flowHeap struct {
	kind  int
	flows []*flow
}

func (h *flowHeap) first() *flow {
	if len(h.flows) == 0 {
		return nil
	}
	return h.flows[0]
}

func (h *flowHeap) Len() int { return len(h.flows) }

func (h *flowHeap) Less(a, b int) bool {
	if h.kind == byMost {
		a, b = b, a
	}
	if h.flows[a].served != h.flows[b].served {
		return h.flows[a].served < h.flows[b].served
	}
	return h.flows[a].name < h.flows[b].name
}

func (h *flowHeap) Swap(a, b int) {
	h.flows[a], h.flows[b] = h.flows[b], h.flows[a]
	h.flows[a].at[h.kind], h.flows[b].at[h.kind] = a, b
}

// Push is called by container/heap.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.at[h.kind] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop is called by container/heap.
func (h *flowHeap) Pop() any {
	n := len(h.flows) - 1
	f := h.flows[n]
	h.flows[n] = nil
	h.flows = h.flows[:n]
	return f
}

// deadlineHeap orders waiting requests by the latest useful start.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(a, b int) bool { return h[a].last < h[b].last }
func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].deadlineAt, h[b].deadlineAt = a, b
}

// Push is called by container/heap.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.deadlineAt = len(*h)
	*h = append(*h, it)
}

// Pop is called by container/heap.
func (h *deadlineHeap) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	*h = old[:n]
	return it
}
