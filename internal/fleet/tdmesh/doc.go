// Package tdmesh connects the entry VMs of a deployment with one another.
// Each node discovers the others in its copy of the store and keeps streams to
// some of them, on which it sends its state several times a second. Components of
// a node add their own sections to that state.
//
// In a small fleet every node has a stream to every other node. In a larger fleet
// the nodes of each data centre with the most processor share are relays: relays
// have streams to one another, and every other node is a leaf of one relay. A relay
// forwards the states of its leaves to the other relays, and the states of all
// nodes to each leaf. A leaf whose relay fails switches to another one.
//
// # Usage
//
//	mesh := tdmesh.New(tdmesh.Deps{...}, self)
//	mesh.Publish("load", func() tdmesh.Writer { ... })
//	mesh.Receive("load", func(from tarragondeal.NodeID, payload []byte) { ... }, nil)
//	err := mesh.Run(ctx, listener)
//
// A node that has sent no state for a while is not alive until it sends one again.
// A node that the store rejects, or that does not follow the store because only a
// few relays of a large fleet do, receives the changes from another node. Large changes
// are sent in parts, with small ones ahead of them, so that states go on arriving on
// slow links.
package tdmesh

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative mesh.proto
