package tdowner

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdqueue"
)

// Asked is one request for one server.
type Asked struct {
	Node       tarragondeal.NodeID
	Server     tarragondeal.ServerID
	Request    *Request
	DataCentre string // The permitted place for which it was chosen.
}

// Key names a grant: the same ticket may wait for several servers.
type Key struct {
	Server tarragondeal.ServerID
	Ticket uint64
}

// Withdrawn is the kind of end of a grant that came too late to be used, and
// of a reservation that is not wanted any more. The other kinds are those of
// tarragondeal.OutcomeKind.
const Withdrawn = 100

// Bounds of what a peer may tell of a request.
const (
	mostWeight = 1e6
	mostWork   = 1e9 // Tokens.
	mostCopies = 1024
)

// bounded returns what a peer tells, within its bound. What is no number counts as nothing, since
// it would have no place in the order of a queue.
func bounded(x float32, most float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(float64(x), most)
}

// queued turns a message into what the queue keeps.
func queued(now tarragondeal.Instant, r *Request) tdqueue.Request {
	deadline := milliseconds(r.GetDeadlineMs())
	target := milliseconds(r.GetTargetMs())
	if target == 0 {
		target = deadline / 2
	}
	return tdqueue.Request{
		Ticket: tdqueue.Ticket(r.GetTicket()), Tier: int(r.GetTier()), Class: r.GetClass(),
		MinShare: bounded(r.GetMinShare(), 1), Workspace: r.GetWorkspace(), Weight: bounded(r.GetWeight(), mostWeight),
		Work: bounded(r.GetWork(), mostWork), Copies: int(min(max(r.GetCopies(), 0), mostCopies)),
		Suspect: r.GetSuspect(), Promised: r.GetPromised(),
		Target: now.Add(target), Deadline: now.Add(deadline),
	}
}

// held turns a running request into a message.
func held(s *seat, run *tdqueue.Running) *Held {
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

// Milliseconds returns a duration as messages carry it.
func Milliseconds(d time.Duration) uint32 {
	return uint32(max(0, min(d.Milliseconds(), 1<<31)))
}
