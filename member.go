package tarragondeal

import "net/netip"

// MemberState is the state of a node as another node sees it.
type MemberState int

// The states of a member, in the order in which they override each other
// within one incarnation.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

// Member is one node as the others see it.
type Member struct {
	Node        NodeID
	DataCentre  string
	Incarnation uint64
	State       MemberState
	Peer        netip.AddrPort // Address for calls of peers.
	Entry       netip.AddrPort // Address for requests of callers.
	Config      Version        // The configuration version in force.
	Load        float64        // Running requests divided by the node's capacity.
}

// Members lists the nodes of the fleet.
type Members interface {
	Self() Member
	// Members returns all known nodes except dead ones, including this node,
	// sorted by name.
	Members() []Member
	// Changed returns a channel that is closed at the next change of
	// membership. Call Changed again after each close.
	Changed() <-chan struct{}
}
