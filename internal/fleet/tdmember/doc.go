// Package tdmember tells a node who the other nodes are.
//
// Membership is soft state. Nodes exchange heartbeats along a sparse graph
// that each works out from the names it knows, and pass on along the same
// edges what they learn of others. A node that misses heartbeats is first
// suspected, which it can refute by raising its incarnation number, and only
// then taken for dead. Nothing here needs the platform's store; a few
// anchors in it help nodes that know nobody to find the fleet.
//
// # Usage
//
//	m := tdmember.New(self, tdmember.Options{Clock: clock, Log: log})
//	m.Register(links.Server())
//	go func() { done <- m.Run(ctx, links) }()
//	for _, n := range m.Members() {
//		// ...
//	}
//
// The decisions (table, graph) are free of clocks and sockets.
package tdmember

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . member.proto
