// Package tdpeer holds the links between nodes: one gRPC server and one
// connection to each peer that is talked to.
//
// # Usage
//
//	links := tdpeer.New(members, tdpeer.Credentials{})
//	RegisterDispatchServer(links.Server(), owner)
//	go func() { done <- links.Serve(ctx, listener) }()
//	conn, err := links.Conn("node2")
package tdpeer

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"tarragondeal"
)

// maxMessageBytes bounds one message: a piece of configuration and a margin.
const maxMessageBytes = 2 << 20

// UnknownNodeError is a node that the membership does not know.
type UnknownNodeError struct{ Node tarragondeal.NodeID }

func (e *UnknownNodeError) Error() string { return "no live node is named " + string(e.Node) }

// Links is this node's links to its peers.
type Links struct {
	members tarragondeal.Members
	server  *grpc.Server
	mu      sync.Mutex
	conns   map[netip.AddrPort]*grpc.ClientConn
}

// New returns links to the nodes that members knows.
func New(members tarragondeal.Members) *Links {
	return &Links{
		members: members,
		server:  grpc.NewServer(grpc.MaxRecvMsgSize(maxMessageBytes)),
		conns:   make(map[netip.AddrPort]*grpc.ClientConn),
	}
}

// Server returns the server on which duties register before Serve.
func (l *Links) Server() *grpc.Server { return l.server }

// Serve takes peers' calls until the context ends, then finishes those that
// run.
func (l *Links) Serve(ctx context.Context, ln net.Listener) error {
	stop := context.AfterFunc(ctx, l.server.GracefulStop)
	defer stop()
	if err := l.server.Serve(ln); err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve peers")
	}
	return nil
}

// Conn returns the connection to a live node.
func (l *Links) Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	// Members are in the order of their names.
	members := l.members.Members()
	at, ok := slices.BinarySearchFunc(members, n, func(m tarragondeal.Member, n tarragondeal.NodeID) int {
		return strings.Compare(string(m.Node), string(n))
	})
	if !ok {
		return nil, &UnknownNodeError{Node: n}
	}
	return l.Dial(members[at].Peer)
}

// Dial returns the connection to an address, for peers not yet known by
// name. Connections are kept and shared.
func (l *Links) Dial(addr netip.AddrPort) (grpc.ClientConnInterface, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.conns[addr]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)))
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	l.conns[addr] = c
	return c, nil
}

// Close ends all connections.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, c := range l.conns {
		_ = c.Close()
		delete(l.conns, addr)
	}
}
