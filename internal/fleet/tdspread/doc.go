// Package tdspread broadcasts small messages from one node to all others by
// flooding the sparse graph of the membership.
//
// Each node forwards a new message once to each neighbour except the sender and
// the origin. Duplicates are recognised by origin, the origin's incarnation and a
// sequence number, and are not forwarded. The queue for each neighbour is bounded;
// the oldest messages are dropped when it is full.
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
