package tdqueue

import (
	"container/heap"
	"time"

	"tarragondeal"
)

// Ticket identifies one request in one queue.
type Ticket uint64

// Request is a request to run on the queue's server.
type Request struct {
	Ticket    Ticket
	Tier      int
	Class     string
	MinShare  float64 // Of its class; zero means DefaultMinShare.
	Workspace string
	Weight    float64 // Of its workspace; zero means one.
	Work      float64 // Estimated tokens.
	Copies    int     // Number of queues in which it waits.
	Suspect   bool    // A server crashed while running it.
	Promised  bool    // Its class has a target.
	Target    tarragondeal.Instant
	Deadline  tarragondeal.Instant
}

// Refusal describes a request that will not run on this server.
type Refusal struct {
	Request    Request
	Reason     tarragondeal.Reason
	RetryAfter time.Duration
}

// Options configures a queue.
type Options struct {
	// Bound is the maximum number of waiting requests.
	Bound int
	// HeadroomDivisor is the divisor of the headroom: one slot in this many is
	// left free for the highest active tier. Zero disables headroom.
	HeadroomDivisor int
	// HeadroomRound, from zero to one, is added to the headroom before it is
	// rounded down.
	HeadroomRound float64
}

// Running is a request running on the server.
type Running struct {
	Request
	Started tarragondeal.Instant
	Tokens  int
	flow    *flow
	charged float64
	cost    float64
}

// Queue is the queue of one backend server. It is not safe for concurrent use.
type Queue struct {
	opt             Options
	capacity        int
	external        int // Slots used by work that the queue did not start.
	tiers           []*tier
	items           map[Ticket]*item
	deadlines       deadlineHeap
	suspects        list
	running         map[Ticket]*Running
	runningSuspects int     // Number of running suspects.
	runningCost     float64 // Sum of the mean durations of the running requests, in seconds.
	classes         map[string]*classStats
}

// New returns an empty queue with no capacity.
func New(o Options) *Queue {
	return &Queue{
		opt:     o,
		items:   make(map[Ticket]*item),
		running: make(map[Ticket]*Running),
		classes: make(map[string]*classStats),
	}
}

// SetCapacity sets how many requests may run at once.
func (q *Queue) SetCapacity(n int) { q.capacity = max(0, n) }

// SetExternal sets how many slots are used by work that the queue did not
// start.
func (q *Queue) SetExternal(n int) { q.external = max(0, n) }

// Free returns how many requests could start now.
func (q *Queue) Free() int { return max(0, q.capacity-q.external-len(q.running)) }

// Capacity returns how many requests may run at once.
func (q *Queue) Capacity() int { return q.capacity }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// Running returns the running requests. The caller must not change the map.
func (q *Queue) Running() map[Ticket]*Running { return q.running }

// LowestTier returns the largest tier number with a waiting request, or zero.
func (q *Queue) LowestTier() int {
	for n := len(q.tiers) - 1; n >= 0; n-- {
		if q.tiers[n].len() > 0 {
			return q.tiers[n].number
		}
	}
	return 0
}

// Add queues a request. It returns the waiting requests that were refused
// because of it and, if it was refused itself, its refusal.
func (q *Queue) Add(now tarragondeal.Instant, r Request) ([]Refusal, *Refusal) {
	t := q.tier(r.Tier)
	t.lastSeen, t.lastClass = now, r.Class
	t.share = max(t.share, r.MinShare)
	if q.shedding(now, r.Tier) && !q.canRunOnCredit(t, &r) {
		return q.shedLowerTiers(now, r.Tier), &Refusal{Request: r, Reason: tarragondeal.ReasonOverload, RetryAfter: q.retryAfter(&r)}
	}
	if wait, late := q.missesDeadline(&r, now); late {
		return q.shedLowerTiers(now, r.Tier), &Refusal{Request: r, Reason: tarragondeal.ReasonDeadline, RetryAfter: wait}
	}
	var shed []Refusal
	if len(q.items) >= q.opt.Bound {
		victim := q.victim(&r)
		if victim == nil {
			return q.shedLowerTiers(now, r.Tier), &Refusal{Request: r, Reason: tarragondeal.ReasonOverload, RetryAfter: q.retryAfter(&r)}
		}
		shed = append(shed, q.shed(victim))
	}
	q.insert(now, t, r)
	return shed, nil
}

func (q *Queue) insert(now tarragondeal.Instant, t *tier, r Request) {
	it := &item{Request: r, tier: t, cost: q.perQueueCost(&r), firstTokenLead: q.firstTokenLead(now, &r)}
	it.latestStart = r.Deadline.Add(-q.deadlineLead(now, &r))
	q.items[r.Ticket] = it
	heap.Push(&q.deadlines, it)
	t.queuedCost += it.cost
	t.count++
	if r.Suspect {
		q.suspects.push(it)
		return
	}
	t.push(it)
}

// victim returns the request to refuse in place of r, or nil: one of the
// lowest tier, if that is lower than r's; else, in the same tier, one of the
// most-served workspace, if more of its requests wait than of r's.
func (q *Queue) victim(r *Request) *item {
	s := q.suspects.lowest()
	for n := len(q.tiers) - 1; n >= 0; n-- {
		t := q.tiers[n]
		if t.number < r.Tier {
			return nil
		}
		if s != nil && s.Tier == t.number && s.Tier > r.Tier {
			return s
		}
		f := t.mostServed()
		if f == nil {
			continue
		}
		if t.number == r.Tier && f.len() <= t.waiting(r.Workspace)+1 {
			return nil
		}
		return f.newest()
	}
	return nil
}

// Cancel removes a waiting request. It reports whether the request was waiting.
func (q *Queue) Cancel(k Ticket) bool {
	it, ok := q.items[k]
	if ok {
		q.remove(it)
	}
	return ok
}

func (q *Queue) remove(it *item) {
	delete(q.items, it.Ticket)
	heap.Remove(&q.deadlines, it.deadlineIndex)
	it.tier.queuedCost = max(0, it.tier.queuedCost-it.cost)
	it.tier.count--
	if it.Suspect {
		q.suspects.remove(it)
		return
	}
	it.tier.remove(it)
}

// Expire refuses the waiting requests that can no longer meet their deadline,
// and with them the waiting requests of lower tiers.
func (q *Queue) Expire(now tarragondeal.Instant) []Refusal {
	var out []Refusal
	for len(q.deadlines) > 0 {
		it := q.deadlines[0]
		if it.latestStart > now {
			break
		}
		q.remove(it)
		out = append(out, Refusal{Request: it.Request, Reason: tarragondeal.ReasonDeadline, RetryAfter: q.estimatedWait(&it.Request)})
		out = append(out, q.shedLowerTiers(now, it.Tier)...)
	}
	for _, t := range q.tiers {
		t.prune()
	}
	return out
}

// Clear removes and returns all waiting requests.
func (q *Queue) Clear() []Request {
	out := make([]Request, 0, len(q.items))
	for _, it := range q.items {
		out = append(out, it.Request)
		q.remove(it)
	}
	return out
}

// Adopt records a running request that was started elsewhere.
func (q *Queue) Adopt(now tarragondeal.Instant, r Request, tokens int) {
	if run, ok := q.running[r.Ticket]; ok {
		run.Tokens = max(run.Tokens, tokens)
		return
	}
	q.start(now, q.tier(r.Tier).flow(r.Workspace, r.Weight), r)
	q.Progress(r.Ticket, tokens)
}

func (q *Queue) start(now tarragondeal.Instant, f *flow, r Request) {
	run := &Running{Request: r, Started: now, flow: f, charged: r.Work, cost: q.meanSeconds(r.Class)}
	q.runningCost += run.cost
	q.running[r.Ticket] = run
	f.running++
	f.charge(r.Work)
	if r.Suspect {
		q.runningSuspects++
	}
}

// Progress records the total number of tokens that a running request has
// delivered.
func (q *Queue) Progress(k Ticket, tokens int) {
	run, ok := q.running[k]
	if !ok || tokens <= run.Tokens {
		return
	}
	run.Tokens = tokens
	if extra := float64(tokens) - run.charged; extra > 0 {
		run.charged += extra
		run.flow.charge(extra)
	}
}

// End removes a running request that delivered tokens in total, and reports
// whether it was running. If served is set, the request ran to completion and
// its duration counts towards the mean of its class.
func (q *Queue) End(now tarragondeal.Instant, k Ticket, tokens int, served bool) bool {
	run, ok := q.running[k]
	if !ok {
		return false
	}
	delete(q.running, k)
	q.runningCost = max(0, q.runningCost-run.cost)
	used := float64(max(tokens, run.Tokens))
	run.flow.charge(used - run.charged)
	run.flow.running--
	q.chargeLowerTiers(run.flow, used)
	if run.Suspect {
		q.runningSuspects--
	}
	if served {
		q.stats(run.Class).observe(now.Sub(run.Started))
	}
	return true
}
