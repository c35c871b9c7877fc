// Package tdtunnel connects a node to backend servers, through another node while it
// can't reach them itself.
//
// A node dials a server directly. If that fails or takes long, it also asks another
// node to connect, and uses the connection that is made first. A server that only the
// other node could reach is cut off from this one: the next connections to it go
// through other nodes at once, until a direct connection succeeds again. A server that
// no node reaches is unreachable as before.
//
// The other node copies bytes between a stream of the nodes and a connection of its
// own. It knows nothing of requests: the node that received them chooses servers,
// keeps deadlines and budgets, and counts usage. A tunnel whose stream breaks reads as
// a broken connection, never as the end of an answer. Nodes connect directly to
// servers for others, so that tunnels never chain.
//
// # Usage
//
//	t := tdtunnel.New(tdtunnel.Deps{...})
//	t.Register(grpcServer)
//	t.SetServers(servers)
//	conn, err := t.DialContext(ctx, "tcp", address)
//
// Run must run as long as the node: it finds out when servers are in reach again.
package tdtunnel

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative tunnel.proto
