// Package tdspread carries small messages from one node to all others along
// the sparse graph of the membership.
//
// Each node passes a message on once to each of its neighbours that did not
// have it first. A message that comes again is known by its origin, the
// origin's incarnation and a number, and goes no further. What waits for a
// neighbour is bounded; the oldest is dropped when it is too much.
//
// # Usage
//
//	s := tdspread.New(members, tdspread.Options{Log: log})
//	s.Register(links.Server())
//	s.Subscribe("crash", func(from tarragondeal.NodeID, payload []byte) { ... })
//	go func() { done <- s.Run(ctx, links) }()
//	ok := s.Send("crash", payload)
package tdspread

//go:generate protoc --go_out=../../.. --go_opt=module=tarragondeal --go-grpc_out=../../.. --go-grpc_opt=module=tarragondeal -I . spread.proto
