package tdowner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdhealth"
	"tarragondeal/internal/dispatch/tdload"
	"tarragondeal/internal/dispatch/tdqueue"
)

// Times of the owner's duties.
const (
	// grantLife is how long a grant lasts of which nothing is heard.
	grantLife = 8 * time.Second
	// settleBound is how long a new owner waits for nodes to tell what runs.
	settleBound = 2 * time.Second
	// retryUnusable is when to ask again for a server that is down.
	retryUnusable = time.Second
)

const (
	// queueBound is how many requests may wait for one server.
	queueBound = 4096
	// headroomPart is the part of all places, one over this number, that only
	// the highest tier may use.
	headroomPart = 12
)

// queueOptions are those of one server's queue. The hash rounds the headroom
// up at some servers and down at others.
func queueOptions(id tarragondeal.ServerID) tdqueue.Options {
	const steps = 1 << 16
	round := float64(xxhash.Sum64String(string(id))%steps) / steps
	return tdqueue.Options{Bound: queueBound, HeadroomPart: headroomPart, HeadroomRound: round}
}

// Waiter is a request that waits at the owner.
type Waiter struct {
	// C gets the one reply.
	C chan *ReserveReply
}

// holder is the node that holds a grant.
type holder struct {
	node  tarragondeal.NodeID
	heard tarragondeal.Instant
	// The tokens it told of at an instant, from which its rate is measured.
	tokens int
	since  tarragondeal.Instant
}

// seat is one server that this node owns.
type seat struct {
	server    tarragondeal.Server
	epoch     uint64
	slots     int
	queue     *tdqueue.Queue
	load      *tdload.Ledger
	status    tdhealth.Status
	waiters   map[tdqueue.Ticket]*Waiter
	holders   map[tdqueue.Ticket]holder
	settled   bool
	settleBy  tarragondeal.Instant
	crashedAt tarragondeal.Instant
	crashed   bool
	lostAt    tarragondeal.Instant // Another node owns it since; zero if none does.
}

// Book is the state of the servers that this node owns. It has no clock, no
// socket and no goroutine, and is not safe for concurrent use.
type Book struct {
	seats   map[tarragondeal.ServerID]*seat
	epoch   uint64
	rates   *tdhealth.Rates
	crashes []tarragondeal.ServerID
}

// NewBook returns a book without servers. Epochs start after the given one.
func NewBook(epoch uint64, rates *tdhealth.Rates) *Book {
	return &Book{seats: make(map[tarragondeal.ServerID]*seat), epoch: epoch, rates: rates}
}

// Open makes this node the owner of a server. Nothing is granted until
// Settle, or until the time for it is over.
func (b *Book) Open(now tarragondeal.Instant, s tarragondeal.Server, slots int) {
	if old, ok := b.seats[s.ID]; ok {
		b.update(now, old, s, slots)
		return
	}
	b.epoch++
	b.seats[s.ID] = &seat{
		server: s, epoch: b.epoch, slots: slots,
		queue: tdqueue.New(queueOptions(s.ID)), load: tdload.New(),
		waiters: make(map[tdqueue.Ticket]*Waiter), holders: make(map[tdqueue.Ticket]holder),
		settleBy: now.Add(settleBound),
	}
	b.update(now, b.seats[s.ID], s, slots)
}

func (b *Book) update(now tarragondeal.Instant, st *seat, s tarragondeal.Server, slots int) {
	st.server, st.slots, st.lostAt = s, slots, 0
	st.status.Listed(s.State == tarragondeal.VMLeaving)
	b.serve(now, st)
}

// Owned returns the servers in the book.
func (b *Book) Owned() map[tarragondeal.ServerID]bool {
	out := make(map[tarragondeal.ServerID]bool, len(b.seats))
	for id := range b.seats {
		out[id] = true
	}
	return out
}

// Settled reports whether a server may be granted.
func (b *Book) Settled(id tarragondeal.ServerID) bool {
	st, ok := b.seats[id]
	return ok && st.settled
}

// Hold counts a grant as running that another node knows of.
func (b *Book) Hold(now tarragondeal.Instant, h *Held) {
	st, ok := b.seats[tarragondeal.ServerID(h.GetServer())]
	if !ok {
		return
	}
	st.adopt(now, tarragondeal.NodeID(h.GetNode()), h.GetRequest(), int(h.GetTokens()))
}

func (st *seat) adopt(now tarragondeal.Instant, node tarragondeal.NodeID, r *Request, tokens int) {
	k := tdqueue.Ticket(r.GetTicket())
	st.holders[k] = holder{node: node, heard: now}
	st.queue.Adopt(now, queued(now, r), tokens)
	st.load.Start(uint64(k), now)
}

// Settle lets a server be granted: everything that runs on it is known.
func (b *Book) Settle(now tarragondeal.Instant, id tarragondeal.ServerID) {
	if st, ok := b.seats[id]; ok {
		st.settled = true
		b.serve(now, st)
	}
}

// Close gives a server up. It returns what runs there. Those who wait are
// told to ask another node.
func (b *Book) Close(id tarragondeal.ServerID) []*Held {
	st, ok := b.seats[id]
	if !ok {
		return nil
	}
	delete(b.seats, id)
	st.refuseAll(&ReserveReply{Verdict: Verdict_VERDICT_NOT_OWNER})
	out := make([]*Held, 0, len(st.holders))
	for _, run := range st.queue.Running() {
		out = append(out, held(st, run))
	}
	return out
}

func (st *seat) refuseAll(reply *ReserveReply) {
	for _, r := range st.queue.Clear() {
		st.reply(r.Ticket, reply)
	}
}

func (st *seat) reply(k tdqueue.Ticket, reply *ReserveReply) {
	if w, ok := st.waiters[k]; ok {
		delete(st.waiters, k)
		w.C <- reply // It has room for one.
	}
}

// Ask queues a request for a server. It returns a reply, or a waiter that
// will get one.
func (b *Book) Ask(now tarragondeal.Instant, a Asked) (*Waiter, *ReserveReply) {
	st, ok := b.seats[a.Server]
	if !ok {
		return nil, &ReserveReply{Verdict: Verdict_VERDICT_NOT_OWNER}
	}
	if a.DataCentre != st.server.DataCentre {
		return nil, &ReserveReply{Verdict: Verdict_VERDICT_REFUSED, Reason: string(tarragondeal.ReasonNoPlace)}
	}
	if !st.status.Usable() {
		return nil, b.unusable(st)
	}
	r := queued(now, a.Request)
	if mean := b.mean(r.Class, st.server.Pool); mean > 0 {
		st.queue.Learn(r.Class, mean)
	}
	shed, refusal := st.queue.Add(now, r)
	for n := range shed {
		st.reply(shed[n].Request.Ticket, b.refusal(st, &shed[n]))
	}
	if refusal != nil {
		return nil, b.refusal(st, refusal)
	}
	w := &Waiter{C: make(chan *ReserveReply, 1)}
	st.waiters[r.Ticket] = w
	st.holders[r.Ticket] = holder{node: a.Node, heard: now}
	b.serve(now, st)
	return w, nil
}

// mean returns what a class's runs take on the pool's other servers here.
func (b *Book) mean(class, pool string) time.Duration {
	for _, st := range b.seats {
		if st.server.Pool == pool {
			if m := st.queue.Mean(class); m > 0 {
				return m
			}
		}
	}
	return 0
}

// serve grants as much as there is room for.
func (b *Book) serve(now tarragondeal.Instant, st *seat) {
	if !st.settled || !st.status.Grantable() {
		return
	}
	st.queue.SetRoom(b.rates.Room(st.server.ID, st.slots))
	st.queue.SetForeign(st.load.Foreign())
	for {
		r, ok := st.queue.Next(now)
		if !ok {
			return
		}
		st.load.Start(uint64(r.Ticket), now)
		h := st.holders[r.Ticket]
		h.heard = now
		st.holders[r.Ticket] = h
		st.reply(r.Ticket, &ReserveReply{Verdict: Verdict_VERDICT_GRANTED, Epoch: st.epoch, Hints: []*Hint{b.hint(st)}})
	}
}

// Withdraw takes back a request that waits, or a grant that nobody will use.
func (b *Book) Withdraw(now tarragondeal.Instant, k Key) {
	st, ok := b.seats[k.Server]
	if !ok {
		return
	}
	ticket := tdqueue.Ticket(k.Ticket)
	if st.queue.Cancel(ticket) {
		delete(st.waiters, ticket)
		delete(st.holders, ticket)
		return
	}
	b.finish(now, st, ticket, 0, false)
}

func (b *Book) finish(now tarragondeal.Instant, st *seat, k tdqueue.Ticket, tokens int, served bool) {
	if !st.queue.End(now, k, tokens, served) {
		return
	}
	delete(st.holders, k)
	st.load.End(uint64(k), now)
	b.serve(now, st)
}

// Tick refuses requests whose time is over, ends grants of which nothing is
// heard, and stops waiting for nodes that do not tell what runs.
func (b *Book) Tick(now tarragondeal.Instant) {
	for _, st := range b.seats {
		if !st.settled && now > st.settleBy {
			st.settled = true
		}
		for _, x := range st.queue.Expire(now) {
			st.reply(x.Request.Ticket, b.refusal(st, &x))
			delete(st.holders, x.Request.Ticket)
		}
		for k := range st.queue.Running() {
			if now.Sub(st.holders[k].heard) > grantLife {
				b.finish(now, st, k, 0, false)
			}
		}
		b.serve(now, st)
	}
}

// Lost ends the grants of nodes that have died.
func (b *Book) Lost(now tarragondeal.Instant, died func(tarragondeal.NodeID) bool) {
	for _, st := range b.seats {
		for k := range st.queue.Running() {
			if died(st.holders[k].node) {
				b.finish(now, st, k, 0, false)
			}
		}
	}
}

// Crashes returns the servers that crashed since the last call.
func (b *Book) Crashes() []tarragondeal.ServerID {
	out := b.crashes
	b.crashes = nil
	return out
}
