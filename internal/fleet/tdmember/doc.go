// Package tdmember maintains the list of nodes in the fleet.
//
// Membership is soft state. Nodes exchange heartbeats along the edges of a
// sparse graph, which each node computes from the names it knows, and forward
// updates about other nodes along the same edges. A node that misses
// heartbeats is first suspected, which it can refute by raising its
// incarnation number, and declared dead only after that. The platform's store
// is not required; a few anchor records in it let a node that knows no other
// node find the fleet.
//
// # Usage
//
//	m := tdmember.New(self, tdmember.Options{Clock: clock, Log: log})
//	m.Register(links.Server(), links)
//	go func() { done <- m.Run(ctx, links) }()
//	for _, n := range m.Members() {
//		// ...
//	}
//
// The state transitions (table) and the graph use no clocks or sockets.
package tdmember

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . member.proto
