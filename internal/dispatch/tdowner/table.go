package tdowner

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdhealth"
	"tarragondeal/internal/dispatch/tdload"
	"tarragondeal/internal/dispatch/tdqueue"
)

// Lifetimes and timeouts of an owner's state.
const (
	// grantTTL is how long a grant lasts without a report from its node.
	grantTTL = 8 * time.Second
	// syncTimeout is how long a new owner waits for the other nodes to report
	// the grants that run on a server.
	syncTimeout = 2 * time.Second
	// unusableRetryAfter is the retry delay returned for a server that is down
	// or leaving.
	unusableRetryAfter = time.Second
)

const (
	// maxQueueLength is the maximum number of requests waiting for one server.
	maxQueueLength = 4096
	// headroomDivisor sets the share of the slots that only the highest tier may
	// use: one over this number.
	headroomDivisor = 12
)

// queueOptions returns the options of one server's queue. A hash of the server's
// ID decides whether its headroom is rounded up or down, so that the rounding
// differs between servers.
func queueOptions(id tarragondeal.ServerID) tdqueue.Options {
	const steps = 1 << 16
	fraction := float64(xxhash.Sum64String(string(id))%steps) / steps
	return tdqueue.Options{Bound: maxQueueLength, HeadroomDivisor: headroomDivisor, HeadroomRound: fraction}
}

// Waiter is a request that is queued at its owner.
type Waiter struct {
	// C receives at most one reply. It is buffered.
	C chan *ReserveReply
}

// holder is the node that holds a grant or waits for one.
type holder struct {
	node      tarragondeal.NodeID
	lastHeard tarragondeal.Instant
	// tokens is the token count reported at tokensAt, the start of the current
	// rate measurement.
	tokens   int
	tokensAt tarragondeal.Instant
}

// serverState is the state of one server that this node owns.
type serverState struct {
	server       tarragondeal.Server
	epoch        uint64
	slots        int
	queue        *tdqueue.Queue
	load         *tdload.Ledger
	status       tdhealth.Status
	waiters      map[tdqueue.Ticket]*Waiter
	holders      map[tdqueue.Ticket]holder
	synced       bool
	syncDeadline tarragondeal.Instant
	crashedAt    tarragondeal.Instant
	crashed      bool
	lostAt       tarragondeal.Instant // When another node became the owner, or zero.
}

// Table holds the state of the servers that this node owns. It uses no clock,
// socket or goroutine, and is not safe for concurrent use.
type Table struct {
	servers map[tarragondeal.ServerID]*serverState
	epoch   uint64
	rates   *tdhealth.Rates
	crashes []tarragondeal.ServerID
}

// NewTable returns an empty table. The first epoch is epoch+1.
func NewTable(epoch uint64, rates *tdhealth.Rates) *Table {
	return &Table{servers: make(map[tarragondeal.ServerID]*serverState), epoch: epoch, rates: rates}
}

// Add makes this node the owner of a server, or updates a server that it owns
// already. Nothing is granted until SetSynced is called or the sync timeout has
// passed.
func (t *Table) Add(now tarragondeal.Instant, s tarragondeal.Server, slots int) {
	if old, ok := t.servers[s.ID]; ok {
		t.update(now, old, s, slots)
		return
	}
	t.epoch++
	t.servers[s.ID] = &serverState{
		server: s, epoch: t.epoch, slots: slots,
		queue: tdqueue.New(queueOptions(s.ID)), load: tdload.New(),
		waiters: make(map[tdqueue.Ticket]*Waiter), holders: make(map[tdqueue.Ticket]holder),
		syncDeadline: now.Add(syncTimeout),
	}
	t.update(now, t.servers[s.ID], s, slots)
}

func (t *Table) update(now tarragondeal.Instant, st *serverState, s tarragondeal.Server, slots int) {
	st.server, st.slots, st.lostAt = s, slots, 0
	st.status.SetListedLeaving(s.State == tarragondeal.VMLeaving)
	t.grantWaiting(now, st)
}

// Owned returns the IDs of the servers in the table.
func (t *Table) Owned() map[tarragondeal.ServerID]bool {
	out := make(map[tarragondeal.ServerID]bool, len(t.servers))
	for id := range t.servers {
		out[id] = true
	}
	return out
}

// Synced reports whether a server's running grants are known, or the wait for
// them has timed out, so that it may be granted.
func (t *Table) Synced(id tarragondeal.ServerID) bool {
	st, ok := t.servers[id]
	return ok && st.synced
}

// AddRunning adds a running grant that a node reported during a takeover.
func (t *Table) AddRunning(now tarragondeal.Instant, h *Held) {
	st, ok := t.servers[tarragondeal.ServerID(h.GetServer())]
	if !ok {
		return
	}
	st.adopt(now, tarragondeal.NodeID(h.GetNode()), h.GetRequest(), int(h.GetTokens()))
}

func (st *serverState) adopt(now tarragondeal.Instant, node tarragondeal.NodeID, r *Request, tokens int) {
	k := tdqueue.Ticket(r.GetTicket())
	st.holders[k] = holder{node: node, lastHeard: now}
	st.queue.Adopt(now, queueRequest(now, r), tokens)
	st.load.Start(uint64(k), now)
}

// SetSynced marks all running grants of a server as known, so that it may be
// granted.
func (t *Table) SetSynced(now tarragondeal.Instant, id tarragondeal.ServerID) {
	if st, ok := t.servers[id]; ok {
		st.synced = true
		t.grantWaiting(now, st)
	}
}

// Remove releases ownership of a server and returns its running grants. Waiting
// requests get VERDICT_NOT_OWNER, so that they are sent to the new owner.
func (t *Table) Remove(id tarragondeal.ServerID) []*Held {
	st, ok := t.servers[id]
	if !ok {
		return nil
	}
	delete(t.servers, id)
	st.refuseAll(&ReserveReply{Verdict: Verdict_VERDICT_NOT_OWNER})
	out := make([]*Held, 0, len(st.holders))
	for _, run := range st.queue.Running() {
		out = append(out, heldMessage(st, run))
	}
	return out
}

func (st *serverState) refuseAll(reply *ReserveReply) {
	for _, r := range st.queue.Clear() {
		st.reply(r.Ticket, reply)
	}
}

func (st *serverState) reply(k tdqueue.Ticket, reply *ReserveReply) {
	if w, ok := st.waiters[k]; ok {
		delete(st.waiters, k)
		w.C <- reply // Never blocks: C has a buffer of one.
	}
}

// Reserve queues a request for a server. It returns an immediate reply, or a
// waiter that receives one later.
func (t *Table) Reserve(now tarragondeal.Instant, a Reservation) (*Waiter, *ReserveReply) {
	st, ok := t.servers[a.Server]
	if !ok {
		return nil, &ReserveReply{Verdict: Verdict_VERDICT_NOT_OWNER}
	}
	if a.DataCentre != st.server.DataCentre {
		return nil, &ReserveReply{Verdict: Verdict_VERDICT_REFUSED, Reason: string(tarragondeal.ReasonNoPlace)}
	}
	if !st.status.Usable() {
		return nil, t.unusableReply(st)
	}
	r := queueRequest(now, a.Request)
	if mean := t.meanDuration(r.Class, st.server.Pool); mean > 0 {
		st.queue.SeedMean(r.Class, mean)
	}
	shed, refusal := st.queue.Add(now, r)
	for n := range shed {
		st.reply(shed[n].Request.Ticket, t.refusalReply(st, &shed[n]))
	}
	if refusal != nil {
		return nil, t.refusalReply(st, refusal)
	}
	w := &Waiter{C: make(chan *ReserveReply, 1)}
	st.waiters[r.Ticket] = w
	st.holders[r.Ticket] = holder{node: a.Node, lastHeard: now}
	t.grantWaiting(now, st)
	return w, nil
}

// meanDuration returns the mean duration of a class's requests, as measured on
// any of the pool's servers that this node owns, or 0 if none has measured it.
func (t *Table) meanDuration(class, pool string) time.Duration {
	for _, st := range t.servers {
		if st.server.Pool == pool {
			if m := st.queue.Mean(class); m > 0 {
				return m
			}
		}
	}
	return 0
}

// grantWaiting grants waiting requests while the server has free slots.
func (t *Table) grantWaiting(now tarragondeal.Instant, st *serverState) {
	if !st.synced || !st.status.Grantable() {
		return
	}
	st.queue.SetCapacity(t.rates.UsableSlots(st.server.ID, st.slots))
	st.queue.SetExternal(st.load.External())
	for {
		r, ok := st.queue.Next(now)
		if !ok {
			return
		}
		st.load.Start(uint64(r.Ticket), now)
		h := st.holders[r.Ticket]
		h.lastHeard = now
		st.holders[r.Ticket] = h
		st.reply(r.Ticket, &ReserveReply{Verdict: Verdict_VERDICT_GRANTED, Epoch: st.epoch, Hints: []*Hint{t.hint(st)}})
	}
}

// Withdraw cancels a waiting request, or ends a grant that will not be used.
func (t *Table) Withdraw(now tarragondeal.Instant, k GrantKey) {
	st, ok := t.servers[k.Server]
	if !ok {
		return
	}
	ticket := tdqueue.Ticket(k.Ticket)
	if st.queue.Cancel(ticket) {
		delete(st.waiters, ticket)
		delete(st.holders, ticket)
		return
	}
	t.release(now, st, ticket, 0, false)
}

func (t *Table) release(now tarragondeal.Instant, st *serverState, k tdqueue.Ticket, tokens int, served bool) {
	if !st.queue.End(now, k, tokens, served) {
		return
	}
	delete(st.holders, k)
	st.load.End(uint64(k), now)
	t.grantWaiting(now, st)
}

// Tick refuses requests whose deadline has passed, ends grants without recent
// reports, and stops waiting for nodes that have not answered a takeover in
// time.
func (t *Table) Tick(now tarragondeal.Instant) {
	for _, st := range t.servers {
		if !st.synced && now > st.syncDeadline {
			st.synced = true
		}
		for _, x := range st.queue.Expire(now) {
			st.reply(x.Request.Ticket, t.refusalReply(st, &x))
			delete(st.holders, x.Request.Ticket)
		}
		for k := range st.queue.Running() {
			if now.Sub(st.holders[k].lastHeard) > grantTTL {
				t.release(now, st, k, 0, false)
			}
		}
		t.grantWaiting(now, st)
	}
}

// ReleaseNodes ends the grants of nodes that have died.
func (t *Table) ReleaseNodes(now tarragondeal.Instant, died func(tarragondeal.NodeID) bool) {
	for _, st := range t.servers {
		for k := range st.queue.Running() {
			if died(st.holders[k].node) {
				t.release(now, st, k, 0, false)
			}
		}
	}
}

// Crashes returns the servers that have crashed since the last call.
func (t *Table) Crashes() []tarragondeal.ServerID {
	out := t.crashes
	t.crashes = nil
	return out
}
