// Package tdpeer holds the links between nodes: one gRPC server and one
// connection to each peer that is talked to.
//
// With certificates the links are mutual TLS: both sides show a certificate
// that the nodes' authority signed for the nodes' common name. The files are
// read again when they change, so that certificates are renewed without a
// restart. Peers that are cut off or frozen are noticed by keepalive.
//
// # Usage
//
//	links, err := tdpeer.New(members, tdpeer.Options{Files: files, Log: log})
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
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"tarragondeal"
)

const (
	// maxMessageBytes bounds one message: a piece of configuration and a
	// margin.
	maxMessageBytes = 2 << 20
	// bufferBytes are kept for each connection and direction. Messages are
	// small and connections are many.
	bufferBytes    = 4 << 10
	connectTimeout = 2 * time.Second
	maxReconnect   = 2 * time.Second
	aliveEvery     = 10 * time.Second
	aliveTimeout   = 3 * time.Second
	// idleAfter closes the transport of a connection without calls; the next
	// call opens it again.
	idleAfter = time.Minute
	// dropAfter forgets connections to addresses that are no member's.
	dropAfter = 10 * time.Minute
	stopWait  = 5 * time.Second
)

// UnknownNodeError is a node that the membership does not know.
type UnknownNodeError struct{ Node tarragondeal.NodeID }

func (e *UnknownNodeError) Error() string { return "no live node is named " + string(e.Node) }

// Options are what links work with. All may be left out.
type Options struct {
	Files Files // Without them links are plain.
	Log   zerolog.Logger
	Scope tally.Scope
}

// Links is this node's links to its peers.
type Links struct {
	members tarragondeal.Members
	server  *grpc.Server
	creds   credentials.TransportCredentials
	count   *counters

	mu     sync.Mutex
	conns  map[netip.AddrPort]*link
	pruned time.Time
}

type link struct {
	conn *grpc.ClientConn
	used time.Time
}

// New returns links to the nodes that members knows. The error says which
// file of a certificate can't be used.
func New(members tarragondeal.Members, opt Options) (*Links, error) {
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	creds := insecure.NewCredentials()
	if opt.Files.given() {
		var err error
		if creds, err = newMutual(opt.Files, opt.Log); err != nil {
			return nil, err
		}
	} else {
		opt.Log.Warn().Msg("links between nodes are not encrypted")
	}
	count := newCounters(opt.Scope)
	l := &Links{members: members, creds: creds, count: count, conns: make(map[netip.AddrPort]*link), pruned: time.Now()}
	calls := &served{counters: count}
	l.server = grpc.NewServer(
		grpc.Creds(creds),
		grpc.StatsHandler(calls),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: aliveEvery, Timeout: aliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: aliveEvery / 2, PermitWithoutStream: true}),
	)
	calls.server = l.server
	return l, nil
}

// Server returns the server on which duties register before Serve.
func (l *Links) Server() *grpc.Server { return l.server }

// Serve takes peers' calls until the context ends, then finishes those that
// run, within a bound.
func (l *Links) Serve(ctx context.Context, ln net.Listener) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		l.stop()
	})
	err := l.server.Serve(counted{Listener: ln, count: l.count})
	if !stop() {
		<-stopped
	}
	l.Close()
	if err != nil && ctx.Err() == nil {
		return eris.Wrap(err, "serve peers")
	}
	return nil
}

func (l *Links) stop() {
	t := time.AfterFunc(stopWait, l.server.Stop)
	defer t.Stop()
	l.server.GracefulStop()
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
// name. Connections are kept and shared; callers ask again for each call.
func (l *Links) Dial(addr netip.AddrPort) (grpc.ClientConnInterface, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.prune(now)
	if c, ok := l.conns[addr]; ok {
		c.used = now
		return c.conn, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(l.creds),
		grpc.WithStatsHandler(l.count),
		grpc.WithContextDialer(l.count.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithIdleTimeout(idleAfter),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: aliveEvery, Timeout: aliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: connectTimeout,
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.5, MaxDelay: maxReconnect},
		}))
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	l.conns[addr] = &link{conn: c, used: now}
	return c, nil
}

// prune closes connections to addresses that are no member's and were not
// asked for in a while. The lock is held.
func (l *Links) prune(now time.Time) {
	if now.Sub(l.pruned) < dropAfter {
		return
	}
	l.pruned = now
	member := make(map[netip.AddrPort]bool)
	for _, m := range l.members.Members() {
		member[m.Peer] = true
	}
	for addr, c := range l.conns {
		if !member[addr] && now.Sub(c.used) > dropAfter {
			_ = c.conn.Close()
			delete(l.conns, addr)
		}
	}
}

// Close ends all connections.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, c := range l.conns {
		_ = c.conn.Close()
		delete(l.conns, addr)
	}
}
