package tdowner

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdqueue"
)

// Reservation is one request for a slot on one server.
type Reservation struct {
	Node       tarragondeal.NodeID
	Server     tarragondeal.ServerID
	Request    *Request
	DataCentre string // The permitted data centre for which the server was chosen.
}

// GrantKey identifies a grant. The ticket alone is not enough, since the same
// ticket may wait for several servers.
type GrantKey struct {
	Server tarragondeal.ServerID
	Ticket uint64
}

// OutcomeWithdrawn is the Ended.Kind of a grant that arrived too late to be used
// and of a cancelled reservation. The other kinds are those of
// tarragondeal.OutcomeKind.
const OutcomeWithdrawn = 100

// Upper bounds of the values that a peer may send with a request.
const (
	maxWeight = 1e6
	maxWork   = 1e9 // Tokens.
	maxCopies = 1024
)

// clamp limits a value from a peer to the range [0, limit]. NaN becomes 0, since
// it would have no defined order in a queue.
func clamp(x float32, limit float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(float64(x), limit)
}

// queueRequest converts a message to a request of the queue.
func queueRequest(now tarragondeal.Instant, r *Request) tdqueue.Request {
	deadline := milliseconds(r.GetDeadlineMs())
	target := milliseconds(r.GetTargetMs())
	if target == 0 {
		target = deadline / 2
	}
	return tdqueue.Request{
		Ticket: tdqueue.Ticket(r.GetTicket()), Tier: int(r.GetTier()), Class: r.GetClass(),
		MinShare: clamp(r.GetMinShare(), 1), Workspace: r.GetWorkspace(), Weight: clamp(r.GetWeight(), maxWeight),
		Work: clamp(r.GetWork(), maxWork), Copies: int(min(max(r.GetCopies(), 0), maxCopies)),
		Suspect: r.GetSuspect(), Promised: r.GetPromised(),
		Target: now.Add(target), Deadline: now.Add(deadline),
	}
}

// heldMessage converts a running request to a message.
func heldMessage(s *serverState, run *tdqueue.Running) *Held {
	return &Held{
		Node: string(s.holders[run.Ticket].node), Server: string(s.server.ID), Tokens: uint32(run.Tokens),
		Request: &Request{
			Ticket: uint64(run.Ticket), Tier: int32(run.Tier), Class: run.Class, MinShare: float32(run.MinShare),
			Workspace: run.Workspace, Weight: float32(run.Weight), Work: float32(run.Work),
			Suspect: run.Suspect, Promised: run.Promised,
		},
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// Milliseconds converts a duration to the whole milliseconds used in messages. A
// negative duration becomes 0; the maximum is 1<<31.
func Milliseconds(d time.Duration) uint32 {
	return uint32(max(0, min(d.Milliseconds(), 1<<31)))
}
