package tdqueue

import (
	"container/heap"
	"time"

	"tarragondeal"
)

// missedTargetInterval is how often, in starts of a workspace, a request that
// has missed its target runs before those that can still meet theirs.
const missedTargetInterval = 16

// item is a waiting request.
type item struct {
	Request
	latestStart    tarragondeal.Instant // Latest start that can meet the deadline.
	firstTokenLead time.Duration        // Lead time needed before the target.
	tier           *tier
	flow           *flow
	list           *list
	prev, next     *item
	deadlineIndex  int
	cost           float64 // Expected slot seconds divided by the number of copies.
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

// lowest returns the newest item of the lowest tier. It scans the list, so
// it suits short lists only.
func (l *list) lowest() *item {
	low := l.head
	for it := l.head; it != nil; it = it.next {
		if it.Tier >= low.Tier {
			low = it
		}
	}
	return low
}

// flow holds the waiting requests and the service of one workspace in one tier.
type flow struct {
	tier      *tier
	name      string
	weight    float64
	served    float64 // Tokens over weight, at least the tier's virtual time.
	onTime    list    // Can still meet their targets.
	missed    list
	starts    int
	running   int
	heapIndex [2]int // Positions in the tier's heaps.
}

func (f *flow) len() int { return f.onTime.n + f.missed.n }

func (f *flow) charge(tokens float64) {
	f.served += tokens / f.weight
	if f.len() > 0 {
		f.tier.fix(f)
	}
}

// peek returns the workspace's next request, or nil. It first moves requests
// that can no longer meet their target to the missed list.
func (f *flow) peek(now tarragondeal.Instant) *item {
	for f.onTime.head != nil && f.onTime.head.Target < now.Add(f.onTime.head.firstTokenLead) {
		it := f.onTime.head
		f.onTime.remove(it)
		f.missed.push(it)
	}
	switch {
	case f.onTime.head == nil:
		return f.missed.head
	case f.missed.head != nil && f.starts%missedTargetInterval == missedTargetInterval-1:
		return f.missed.head
	default:
		return f.onTime.head
	}
}

// oldest returns the oldest request that has missed its target, else the
// oldest request.
func (f *flow) oldest() *item {
	if f.missed.head != nil {
		return f.missed.head
	}
	return f.onTime.head
}

// newest returns the newest request that has missed its target, else the
// newest request. It is the first to be refused.
func (f *flow) newest() *item {
	if f.missed.tail != nil {
		return f.missed.tail
	}
	return f.onTime.tail
}

// tier holds the workspaces of one tier and the tier's credit.
type tier struct {
	number      int
	share       float64
	lastSeen    tarragondeal.Instant
	flows       map[string]*flow
	heaps       [2]flowHeap // Indexed by byLeastServed and byMostServed.
	virtualTime float64     // Service of the workspace started last; never decreases.
	queuedCost  float64     // Sum of the waiting requests' costs, in seconds.
	count       int
	credit      float64
	lastClass   string // Class of the latest request.
	refused     bool   // A request of the tier was refused at refusedAt.
	refusedAt   tarragondeal.Instant
}

const (
	byLeastServed = 0
	byMostServed  = 1
)

func newTier(number int) *tier {
	t := &tier{number: number, flows: make(map[string]*flow)}
	t.heaps[byLeastServed].kind, t.heaps[byMostServed].kind = byLeastServed, byMostServed
	return t
}

func (t *tier) len() int { return t.count }

func (t *tier) flow(name string, weight float64) *flow {
	f, ok := t.flows[name]
	if !ok {
		f = &flow{tier: t, name: name, served: t.virtualTime}
		t.flows[name] = f
	}
	if weight <= 0 {
		weight = 1
	}
	f.weight = weight
	return f
}

// active reports whether a request of the tier arrived within tierIdleTimeout.
func (t *tier) active(now tarragondeal.Instant) bool { return now.Sub(t.lastSeen) < tierIdleTimeout }

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
	f.onTime.push(it)
	if !idle {
		return
	}
	if f.running == 0 {
		f.served = max(f.served, t.virtualTime)
	}
	heap.Push(&t.heaps[byLeastServed], f)
	heap.Push(&t.heaps[byMostServed], f)
}

func (t *tier) remove(it *item) {
	f := it.flow
	it.list.remove(it)
	if f.len() == 0 {
		heap.Remove(&t.heaps[byLeastServed], f.heapIndex[byLeastServed])
		heap.Remove(&t.heaps[byMostServed], f.heapIndex[byMostServed])
	}
}

func (t *tier) fix(f *flow) {
	heap.Fix(&t.heaps[byLeastServed], f.heapIndex[byLeastServed])
	heap.Fix(&t.heaps[byMostServed], f.heapIndex[byMostServed])
}

func (t *tier) leastServed() *flow { return t.heaps[byLeastServed].first() }

func (t *tier) mostServed() *flow { return t.heaps[byMostServed].first() }

// prune removes workspaces that are idle and have no service above the
// tier's virtual time.
func (t *tier) prune() {
	for name, f := range t.flows {
		if f.len() == 0 && f.running == 0 && f.served <= t.virtualTime {
			delete(t.flows, name)
		}
	}
}

// flowHeap orders workspaces by their service.
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
	if h.kind == byMostServed {
		a, b = b, a
	}
	if h.flows[a].served != h.flows[b].served {
		return h.flows[a].served < h.flows[b].served
	}
	return h.flows[a].name < h.flows[b].name
}

func (h *flowHeap) Swap(a, b int) {
	h.flows[a], h.flows[b] = h.flows[b], h.flows[a]
	h.flows[a].heapIndex[h.kind], h.flows[b].heapIndex[h.kind] = a, b
}

// Push implements heap.Interface.
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex[h.kind] = len(h.flows)
	h.flows = append(h.flows, f)
}

// Pop implements heap.Interface.
func (h *flowHeap) Pop() any {
	n := len(h.flows) - 1
	f := h.flows[n]
	h.flows[n] = nil
	h.flows = h.flows[:n]
	return f
}

// deadlineHeap orders waiting requests by their latest start.
type deadlineHeap []*item

func (h deadlineHeap) Len() int           { return len(h) }
func (h deadlineHeap) Less(a, b int) bool { return h[a].latestStart < h[b].latestStart }
func (h deadlineHeap) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].deadlineIndex, h[b].deadlineIndex = a, b
}

// Push implements heap.Interface.
func (h *deadlineHeap) Push(x any) {
	it := x.(*item)
	it.deadlineIndex = len(*h)
	*h = append(*h, it)
}

// Pop implements heap.Interface.
func (h *deadlineHeap) Pop() any {
	old := *h
	n := len(old) - 1
	it := old[n]
	old[n] = nil
	*h = old[:n]
	return it
}
