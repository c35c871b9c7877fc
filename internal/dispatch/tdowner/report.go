package tdowner

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdhealth"
	"tarragondeal/internal/dispatch/tdqueue"
)

// maxHints bounds the hints in one reply.
const maxHints = 4

// Report takes a node's report. It returns the tickets of running grants
// that the book does not know, and the servers of ended ones that this node
// does not own.
func (b *Book) Report(now tarragondeal.Instant, r *ReportRequest) (unknown []uint64, elsewhere []string) {
	for _, p := range r.GetRunning() {
		if !b.progress(now, tarragondeal.NodeID(r.GetNode()), p) {
			unknown = append(unknown, p.GetTicket())
		}
	}
	for _, e := range r.GetEnded() {
		if !b.ended(now, e) {
			elsewhere = append(elsewhere, e.GetServer())
		}
	}
	return unknown, elsewhere
}

func (b *Book) progress(now tarragondeal.Instant, node tarragondeal.NodeID, p *Progress) bool {
	st, ok := b.seats[tarragondeal.ServerID(p.GetServer())]
	if !ok {
		return true // Its new owner will ask.
	}
	k := tdqueue.Ticket(p.GetTicket())
	if _, runs := st.queue.Running()[k]; !runs {
		if p.GetRequest() == nil {
			return false
		}
		st.adopt(now, node, p.GetRequest(), int(p.GetTokens()))
		return true
	}
	h := st.holders[k]
	h.node, h.heard = node, now
	st.holders[k] = b.pace(now, st, h, int(p.GetTokens()))
	st.queue.Progress(k, int(p.GetTokens()))
	return true
}

// paceOver is the time over which the rate of a running stream is measured.
const paceOver = 500 * time.Millisecond

// pace takes the rate of a running stream, so that a straggler is found
// before its streams have ended.
func (b *Book) pace(now tarragondeal.Instant, st *seat, h holder, tokens int) holder {
	passed := now.Sub(h.since)
	if h.since != 0 && passed < paceOver {
		return h
	}
	if h.tokens > 0 && h.since != 0 {
		b.rates.Running(now, st.server.ID, st.server.Pool, float64(tokens-h.tokens)/passed.Seconds())
	}
	h.tokens, h.since = tokens, now
	return h
}

// ended takes the end of a grant, and reports false when another node owns
// the server.
func (b *Book) ended(now tarragondeal.Instant, e *Ended) bool {
	st, ok := b.seats[tarragondeal.ServerID(e.GetServer())]
	if !ok {
		return false
	}
	k := tdqueue.Ticket(e.GetTicket())
	if e.GetKind() == Withdrawn {
		b.Withdraw(now, Key{Server: st.server.ID, Ticket: e.GetTicket()})
		return true
	}
	kind := tarragondeal.OutcomeKind(e.GetKind())
	switch kind {
	case tarragondeal.OutcomeCrashed:
		b.crash(now, st, k)
	case tarragondeal.OutcomeRefused, tarragondeal.OutcomeUnused, tarragondeal.OutcomeUnreachable:
		// The server refused the request, or could not be reached.
		st.status.Refused(now)
	case tarragondeal.OutcomeServed:
		b.rates.Observe(now, st.server.ID, st.server.Pool, sample(e))
	}
	if run, ok := st.queue.Running()[k]; ok && e.GetFirstTokenMs() > 0 {
		st.queue.FirstToken(run.Class, milliseconds(e.GetFirstTokenMs()))
	}
	b.finish(now, st, k, int(e.GetTokens()), kind == tarragondeal.OutcomeServed)
	return true
}

func sample(e *Ended) tdhealth.Sample {
	return tdhealth.Sample{
		Tokens: int(e.GetTokens()), FirstToken: milliseconds(e.GetFirstTokenMs()), Total: milliseconds(e.GetTotalMs()),
	}
}

// crash takes the server out. Requests that were started before the last
// crash met that one.
func (b *Book) crash(now tarragondeal.Instant, st *seat, k tdqueue.Ticket) {
	run, ok := st.queue.Running()[k]
	if !ok || st.crashed && run.Started <= st.crashedAt {
		return
	}
	st.status.Crashed(now)
	st.crashed, st.crashedAt = true, now
	b.crashes = append(b.crashes, st.server.ID)
	st.refuseAll(b.unusable(st))
}

// Due returns the servers whose load should be read now.
func (b *Book) Due(now tarragondeal.Instant, every time.Duration) []tarragondeal.Server {
	var out []tarragondeal.Server
	for _, st := range b.seats {
		if st.status.Due(now, every) {
			out = append(out, st.server)
		}
	}
	return out
}

// Probed takes the result of reading a server's load.
func (b *Book) Probed(now tarragondeal.Instant, id tarragondeal.ServerID, l tarragondeal.Load, ok bool) {
	st, found := b.seats[id]
	if !found {
		return
	}
	st.status.Probed(now, ok, l.Leaving)
	if ok {
		st.load.Report(now, l)
	}
	if !st.status.Usable() {
		st.refuseAll(b.unusable(st))
		return
	}
	b.serve(now, st)
}

// sums counts the servers, and what waits and runs there.
func (b *Book) sums() (owned, waiting, running, unusable int) {
	for _, st := range b.seats {
		owned++
		waiting += st.queue.Len()
		running += len(st.queue.Running())
		if !st.status.Usable() {
			unusable++
		}
	}
	return owned, waiting, running, unusable
}

// Usable reports whether requests may wait for a server.
func (b *Book) Usable(id tarragondeal.ServerID) bool {
	st, ok := b.seats[id]
	return ok && st.status.Usable()
}

func (b *Book) unusable(st *seat) *ReserveReply {
	return &ReserveReply{
		Verdict: Verdict_VERDICT_UNUSABLE, RetryAfterMs: Milliseconds(retryUnusable), Hints: []*Hint{b.hint(st)},
	}
}

func (b *Book) refusal(st *seat, x *tdqueue.Refusal) *ReserveReply {
	return &ReserveReply{
		Verdict: Verdict_VERDICT_REFUSED, Reason: string(x.Reason),
		RetryAfterMs: Milliseconds(x.RetryAfter), Hints: []*Hint{b.hint(st)},
	}
}

// Hints tells of some servers.
func (b *Book) Hints() []*Hint {
	var out []*Hint
	for _, st := range b.seats {
		if len(out) == maxHints {
			break
		}
		out = append(out, b.hint(st))
	}
	return out
}

func (b *Book) hint(st *seat) *Hint {
	promised := uint32(0)
	for _, run := range st.queue.Running() {
		if run.Promised {
			promised++
		}
	}
	free := st.queue.Free() - st.queue.Len()
	return &Hint{
		Server: string(st.server.ID), Free: uint32(max(0, free)), Running: uint32(len(st.queue.Running())),
		Room: uint32(st.queue.Room()), WaitMs: Milliseconds(st.queue.Wait(lowestTier)),
		Unusable: !st.status.Usable(), PerSecond: float32(b.rates.PerSecond(st.server.ID)), Promised: promised,
	}
}

// lowestTier is below every tier, so that a hint's wait counts all of them.
const lowestTier = 1 << 20
