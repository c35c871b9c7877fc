package tdqueue

import (
	"container/heap"
	"time"

	"tarragondeal"
)

// Ticket names one request in one queue.
type Ticket uint64

// Request is a request that wants to run on the queue's server.
type Request struct {
	Ticket    Ticket
	Tier      int
	Class     string
	MinShare  float64 // Of its class; zero counts as DefaultMinShare.
	Workspace string
	Weight    float64 // Of its workspace; zero counts as one.
	Work      float64 // Estimated tokens.
	Copies    int     // The number of queues in which it waits.
	Suspect   bool    // A server crashed while it ran.
	Promised  bool    // Its class has a target.
	Target    tarragondeal.Instant
	Deadline  tarragondeal.Instant
}

// Refusal is a request that will not run on this server.
type Refusal struct {
	Request    Request
	Reason     tarragondeal.Reason
	RetryAfter time.Duration
}

// Options bound a queue.
type Options struct {
	// Bound is how many requests may wait.
	Bound int
	// HeadroomPart is the part of the room, one over this number, that only
	// the highest tier of late may use. Zero keeps nothing.
	HeadroomPart int
	// HeadroomRound, from zero to one, is added before the part is rounded
	// down.
	HeadroomRound float64
}

// Running is a request that runs on the server.
type Running struct {
	Request
	Started tarragondeal.Instant
	Tokens  int
	flow    *flow
	charged float64
	cost    float64
}

// Queue is one server's queue. It is not safe for concurrent use.
type Queue struct {
	opt       Options
	room      int
	foreign   int // Places taken by work that the queue did not start.
	tiers     []*tier
	items     map[Ticket]*item
	deadlines deadlineHeap
	suspects  list
	running   map[Ticket]*Running
	suspected int     // Running suspects.
	busy      float64 // Expected seconds of the running requests.
	classes   map[string]*class
}

// New returns an empty queue for a server without room.
func New(o Options) *Queue {
	return &Queue{
		opt:     o,
		items:   make(map[Ticket]*item),
		running: make(map[Ticket]*Running),
		classes: make(map[string]*class),
	}
}

// SetRoom sets how many requests may run at once.
func (q *Queue) SetRoom(n int) { q.room = max(0, n) }

// SetForeign sets how many places are taken by work that the queue did not
// start.
func (q *Queue) SetForeign(n int) { q.foreign = max(0, n) }

// Free returns how many requests could start now.
func (q *Queue) Free() int { return max(0, q.room-q.foreign-len(q.running)) }

// Room returns how many requests may run at once.
func (q *Queue) Room() int { return q.room }

// Len returns how many requests wait.
func (q *Queue) Len() int { return len(q.items) }

// Running returns the requests that run. The caller must not change the map.
func (q *Queue) Running() map[Ticket]*Running { return q.running }

// LowestTier returns the largest tier number that waits, or zero.
func (q *Queue) LowestTier() int {
	for n := len(q.tiers) - 1; n >= 0; n-- {
		if q.tiers[n].len() > 0 {
			return q.tiers[n].number
		}
	}
	return 0
}

// Add queues a request. It returns the requests that were refused on its
// account, and why it was refused itself if it was.
func (q *Queue) Add(now tarragondeal.Instant, r Request) ([]Refusal, *Refusal) {
	t := q.tier(r.Tier)
	t.seen, t.class = now, r.Class
	t.share = max(t.share, r.MinShare)
	if q.shedding(now, r.Tier) && !q.onCredit(t, &r) {
		return q.purge(now, r.Tier), &Refusal{Request: r, Reason: tarragondeal.ReasonOverload, RetryAfter: q.later(&r)}
	}
	if wait, late := q.late(&r, now); late {
		return q.purge(now, r.Tier), &Refusal{Request: r, Reason: tarragondeal.ReasonDeadline, RetryAfter: wait}
	}
	var shed []Refusal
	if len(q.items) >= q.opt.Bound {
		victim := q.victim(&r)
		if victim == nil {
			return q.purge(now, r.Tier), &Refusal{Request: r, Reason: tarragondeal.ReasonOverload, RetryAfter: q.later(&r)}
		}
		shed = append(shed, q.shed(victim))
	}
	q.insert(now, t, r)
	return shed, nil
}

func (q *Queue) insert(now tarragondeal.Instant, t *tier, r Request) {
	it := &item{Request: r, tier: t, cost: q.share(&r), first: q.untilFirst(now, &r)}
	it.last = r.Deadline.Add(-q.shortest(now, &r))
	q.items[r.Ticket] = it
	heap.Push(&q.deadlines, it)
	t.queued += it.cost
	t.count++
	if r.Suspect {
		q.suspects.push(it)
		return
	}
	t.push(it)
}

// victim chooses the request that makes room for r: one of the lowest tier,
// if that is lower than r's; else, in the same tier, one of the workspace
// that has been served most, if more of its requests wait than of r's.
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
		f := t.most()
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

// Cancel takes a waiting request out. It reports whether it waited.
func (q *Queue) Cancel(k Ticket) bool {
	it, ok := q.items[k]
	if ok {
		q.remove(it)
	}
	return ok
}

func (q *Queue) remove(it *item) {
	delete(q.items, it.Ticket)
	heap.Remove(&q.deadlines, it.deadlineAt)
	it.tier.queued = max(0, it.tier.queued-it.cost)
	it.tier.count--
	if it.Suspect {
		q.suspects.remove(it)
		return
	}
	it.tier.remove(it)
}

// Expire refuses the waiting requests that can't meet their deadline any
// more, and with them the lower ones that wait.
func (q *Queue) Expire(now tarragondeal.Instant) []Refusal {
	var out []Refusal
	for len(q.deadlines) > 0 {
		it := q.deadlines[0]
		if it.last > now {
			break
		}
		q.remove(it)
		out = append(out, Refusal{Request: it.Request, Reason: tarragondeal.ReasonDeadline, RetryAfter: q.wait(&it.Request)})
		out = append(out, q.purge(now, it.Tier)...)
	}
	for _, t := range q.tiers {
		t.prune()
	}
	return out
}

// Clear takes all waiting requests out and returns them.
func (q *Queue) Clear() []Request {
	out := make([]Request, 0, len(q.items))
	for _, it := range q.items {
		out = append(out, it.Request)
		q.remove(it)
	}
	return out
}

// Adopt counts a request as running that was started elsewhere.
func (q *Queue) Adopt(now tarragondeal.Instant, r Request, tokens int) {
	if run, ok := q.running[r.Ticket]; ok {
		run.Tokens = max(run.Tokens, tokens)
		return
	}
	q.start(now, q.tier(r.Tier).flow(r.Workspace, r.Weight), r)
	q.Progress(r.Ticket, tokens)
}

func (q *Queue) start(now tarragondeal.Instant, f *flow, r Request) {
	run := &Running{Request: r, Started: now, flow: f, charged: r.Work, cost: q.known(r.Class)}
	q.busy += run.cost
	q.running[r.Ticket] = run
	f.running++
	f.charge(r.Work)
	if r.Suspect {
		q.suspected++
	}
}

// Progress charges the tokens that a running request has delivered in all.
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

// End ends a running request that delivered tokens in all. Served says that
// it ended by itself, so that its duration says something about its class.
func (q *Queue) End(now tarragondeal.Instant, k Ticket, tokens int, served bool) bool {
	run, ok := q.running[k]
	if !ok {
		return false
	}
	delete(q.running, k)
	q.busy = max(0, q.busy-run.cost)
	used := float64(max(tokens, run.Tokens))
	run.flow.charge(used - run.charged)
	run.flow.running--
	q.chargeLower(run.flow, used)
	if run.Suspect {
		q.suspected--
	}
	if served {
		q.class(run.Class).observe(now.Sub(run.Started))
	}
	return true
}
