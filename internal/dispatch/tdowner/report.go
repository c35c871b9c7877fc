package tdowner

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdhealth"
	"tarragondeal/internal/dispatch/tdqueue"
)

// maxHints is the maximum number of hints in one reply.
const maxHints = 4

// Report records a node's report. It returns the tickets of running grants that
// the table does not know, and the servers of ended grants that this node does
// not own.
func (t *Table) Report(now tarragondeal.Instant, r *ReportRequest) (unknown []uint64, elsewhere []string) {
	for _, p := range r.GetRunning() {
		if !t.recordProgress(now, tarragondeal.NodeID(r.GetNode()), p) {
			unknown = append(unknown, p.GetTicket())
		}
	}
	for _, e := range r.GetEnded() {
		if !t.recordEnd(now, e) {
			elsewhere = append(elsewhere, e.GetServer())
		}
	}
	return unknown, elsewhere
}

func (t *Table) recordProgress(now tarragondeal.Instant, node tarragondeal.NodeID, p *Progress) bool {
	st, ok := t.servers[tarragondeal.ServerID(p.GetServer())]
	if !ok {
		return true // The new owner asks for it with TakeOver.
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
	h.node, h.lastHeard = node, now
	st.holders[k] = t.measureRate(now, st, h, int(p.GetTokens()))
	st.queue.Progress(k, int(p.GetTokens()))
	return true
}

// rateInterval is the shortest time over which the rate of a running stream is
// measured.
const rateInterval = 500 * time.Millisecond

// measureRate measures the token rate of a running stream, so that a slow server
// is detected before its streams have ended. It returns the updated holder.
func (t *Table) measureRate(now tarragondeal.Instant, st *serverState, h holder, tokens int) holder {
	passed := now.Sub(h.tokensAt)
	if h.tokensAt != 0 && passed < rateInterval {
		return h
	}
	if h.tokens > 0 && h.tokensAt != 0 {
		t.rates.ObserveRate(now, st.server.ID, st.server.Pool, float64(tokens-h.tokens)/passed.Seconds())
	}
	h.tokens, h.tokensAt = tokens, now
	return h
}

// recordEnd records the end of a grant. It returns false if this node does not
// own the server.
func (t *Table) recordEnd(now tarragondeal.Instant, e *Ended) bool {
	st, ok := t.servers[tarragondeal.ServerID(e.GetServer())]
	if !ok {
		return false
	}
	k := tdqueue.Ticket(e.GetTicket())
	if e.GetKind() == OutcomeWithdrawn {
		t.Withdraw(now, GrantKey{Server: st.server.ID, Ticket: e.GetTicket()})
		return true
	}
	kind := tarragondeal.OutcomeKind(e.GetKind())
	switch kind {
	case tarragondeal.OutcomeCrashed:
		t.recordCrash(now, st, k)
	case tarragondeal.OutcomeRefused, tarragondeal.OutcomeUnused, tarragondeal.OutcomeUnreachable:
		// The server refused the request, or could not be reached.
		st.status.Refused(now)
	case tarragondeal.OutcomeServed:
		t.rates.Observe(now, st.server.ID, st.server.Pool, sample(e))
	}
	if run, ok := st.queue.Running()[k]; ok && e.GetFirstTokenMs() > 0 {
		st.queue.ObserveFirstToken(run.Class, milliseconds(e.GetFirstTokenMs()))
	}
	t.release(now, st, k, int(e.GetTokens()), kind == tarragondeal.OutcomeServed)
	return true
}

func sample(e *Ended) tdhealth.Sample {
	return tdhealth.Sample{
		Tokens: int(e.GetTokens()), FirstToken: milliseconds(e.GetFirstTokenMs()), Total: milliseconds(e.GetTotalMs()),
	}
}

// recordCrash marks a server as crashed and refuses its waiting requests. A
// request that started before the last recorded crash was ended by that crash
// and is not counted as another one.
func (t *Table) recordCrash(now tarragondeal.Instant, st *serverState, k tdqueue.Ticket) {
	run, ok := st.queue.Running()[k]
	if !ok || st.crashed && run.Started <= st.crashedAt {
		return
	}
	st.status.Crashed(now)
	st.crashed, st.crashedAt = true, now
	t.crashes = append(t.crashes, st.server.ID)
	st.refuseAll(t.unusableReply(st))
}

// Due returns the servers whose load should be read now.
func (t *Table) Due(now tarragondeal.Instant, every time.Duration) []tarragondeal.Server {
	var out []tarragondeal.Server
	for _, st := range t.servers {
		if st.status.Due(now, every) {
			out = append(out, st.server)
		}
	}
	return out
}

// UpdateLoad records the result of reading a server's load. It is ok if the
// server answered.
func (t *Table) UpdateLoad(now tarragondeal.Instant, id tarragondeal.ServerID, l tarragondeal.Load, ok bool) {
	st, found := t.servers[id]
	if !found {
		return
	}
	st.status.Probed(now, ok, l.Leaving)
	if ok {
		st.load.Report(now, l)
	}
	if !st.status.Usable() {
		st.refuseAll(t.unusableReply(st))
		return
	}
	t.grantWaiting(now, st)
}

// totals counts the owned servers, the waiting and running requests, and the
// unusable servers.
func (t *Table) totals() (owned, waiting, running, unusable int) {
	for _, st := range t.servers {
		owned++
		waiting += st.queue.Len()
		running += len(st.queue.Running())
		if !st.status.Usable() {
			unusable++
		}
	}
	return owned, waiting, running, unusable
}

// Usable reports whether this node owns a server and requests may wait for it.
func (t *Table) Usable(id tarragondeal.ServerID) bool {
	st, ok := t.servers[id]
	return ok && st.status.Usable()
}

func (t *Table) unusableReply(st *serverState) *ReserveReply {
	return &ReserveReply{
		Verdict: Verdict_VERDICT_UNUSABLE, RetryAfterMs: Milliseconds(unusableRetryAfter), Hints: []*Hint{t.hint(st)},
	}
}

func (t *Table) refusalReply(st *serverState, x *tdqueue.Refusal) *ReserveReply {
	return &ReserveReply{
		Verdict: Verdict_VERDICT_REFUSED, Reason: string(x.Reason),
		RetryAfterMs: Milliseconds(x.RetryAfter), Hints: []*Hint{t.hint(st)},
	}
}

// Hints returns hints about up to maxHints servers.
func (t *Table) Hints() []*Hint {
	var out []*Hint
	for _, st := range t.servers {
		if len(out) == maxHints {
			break
		}
		out = append(out, t.hint(st))
	}
	return out
}

func (t *Table) hint(st *serverState) *Hint {
	promised := uint32(0)
	for _, run := range st.queue.Running() {
		if run.Promised {
			promised++
		}
	}
	free := st.queue.Free() - st.queue.Len()
	return &Hint{
		Server: string(st.server.ID), Free: uint32(max(0, free)), Running: uint32(len(st.queue.Running())),
		Room: uint32(st.queue.Capacity()), WaitMs: Milliseconds(st.queue.Wait(lowestTier)),
		Unusable: !st.status.Usable(), PerSecond: float32(t.rates.PerSecond(st.server.ID)), Promised: promised,
	}
}

// lowestTier is lower than every tier, so that the wait in a hint includes all
// waiting requests.
const lowestTier = 1 << 20
