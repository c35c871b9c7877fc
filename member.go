package tarragondeal

import "net/netip"

// MemberState is what a node believes of another.
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
	Peer        netip.AddrPort // Where the node takes its peers' calls.
	Entry       netip.AddrPort // Where the node takes callers' requests.
	Config      Version        // The configuration it has in force.
	Load        float64        // Running requests over what it can carry.
}

// Members tells who the nodes are.
type Members interface {
	Self() Member
	// Members returns all known nodes but dead ones, self included, in the
	// order of their names.
	Members() []Member
	// Changed returns a channel that is closed at the next change of
	// membership. Ask again after each close.
	Changed() <-chan struct{}
}
