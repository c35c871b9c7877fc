// Package tdpeer manages the links between nodes: one gRPC server and one
// client connection to each peer in use.
//
// With certificates the links use mutual TLS: both sides present a certificate
// signed by the nodes' authority for the nodes' common name. The files are
// reloaded when they change, so that certificates are renewed without a
// restart. Keepalive detects peers that are unreachable or paused.
//
// # Usage
//
//	links, err := tdpeer.New(members, tdpeer.Options{Files: files, Log: log})
//	tdowner.RegisterOwnersServer(links.Server(), owner)
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
	// maxMessageBytes limits one message. The largest carry a piece of
	// configuration; the limit includes a margin.
	maxMessageBytes = 2 << 20
	// bufferBytes is the buffer size per connection and direction. It is small
	// because messages are small and connections are many.
	bufferBytes       = 4 << 10
	connectTimeout    = 2 * time.Second
	maxReconnectDelay = 2 * time.Second
	keepaliveInterval = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second
	// idleTimeout is how long a connection has no calls before its transport is
	// closed. The next call reopens it.
	idleTimeout = time.Minute
	// unusedTimeout is how long a connection to an address that belongs to no
	// member is kept after its last use.
	unusedTimeout = 10 * time.Minute
	stopTimeout   = 5 * time.Second
)

// UnknownNodeError reports a node that is not a member.
type UnknownNodeError struct{ Node tarragondeal.NodeID }

func (e *UnknownNodeError) Error() string { return "no live node is named " + string(e.Node) }

// Options configures Links. All fields are optional.
type Options struct {
	Files Files // If empty, links are not encrypted.
	Log   zerolog.Logger
	Scope tally.Scope
}

// Links holds this node's connections to its peers and the server for their
// calls. Its methods are safe for concurrent use.
type Links struct {
	members  tarragondeal.Members
	server   *grpc.Server
	creds    credentials.TransportCredentials
	counters *counters

	mu         sync.Mutex
	conns      map[netip.AddrPort]*link
	lastPruned time.Time
}

type link struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

// New returns links to the given members. If a certificate file can't be used,
// the error is a FileError that names it.
func New(members tarragondeal.Members, opt Options) (*Links, error) {
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	creds := insecure.NewCredentials()
	if opt.Files.configured() {
		var err error
		if creds, err = newMutualTLS(opt.Files, opt.Log); err != nil {
			return nil, err
		}
	} else {
		opt.Log.Warn().Msg("links between nodes are not encrypted")
	}
	count := newCounters(opt.Scope)
	l := &Links{members: members, creds: creds, counters: count, conns: make(map[netip.AddrPort]*link), lastPruned: time.Now()}
	calls := &serverCounters{counters: count}
	l.server = grpc.NewServer(
		grpc.Creds(creds),
		grpc.StatsHandler(calls),
		grpc.MaxRecvMsgSize(maxMessageBytes),
		grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes),
		grpc.ConnectionTimeout(connectTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}),
	)
	calls.server = l.server
	return l, nil
}

// Server returns the server on which services must be registered before Serve
// is called.
func (l *Links) Server() *grpc.Server { return l.server }

// Serve serves calls from peers until ctx ends. It then waits up to stopTimeout
// for running calls and closes all connections.
func (l *Links) Serve(ctx context.Context, ln net.Listener) error {
	stopped := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(stopped)
		l.stop()
	})
	err := l.server.Serve(countedListener{Listener: ln, counters: l.counters})
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
	t := time.AfterFunc(stopTimeout, l.server.Stop)
	defer t.Stop()
	l.server.GracefulStop()
}

// Conn returns the connection to a live node.
func (l *Links) Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	// Members are sorted by name.
	members := l.members.Members()
	at, ok := slices.BinarySearchFunc(members, n, func(m tarragondeal.Member, n tarragondeal.NodeID) int {
		return strings.Compare(string(m.Node), string(n))
	})
	if !ok {
		return nil, &UnknownNodeError{Node: n}
	}
	return l.Dial(members[at].Peer)
}

// Dial returns the connection to an address, for peers that are not yet known
// by name. Connections are cached and shared: callers must not keep them, but
// call Dial again for each RPC.
func (l *Links) Dial(addr netip.AddrPort) (grpc.ClientConnInterface, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.prune(now)
	if c, ok := l.conns[addr]; ok {
		c.lastUsed = now
		return c.conn, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(l.creds),
		grpc.WithStatsHandler(l.counters),
		grpc.WithContextDialer(l.counters.dial),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{
			MinConnectTimeout: connectTimeout,
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.5, MaxDelay: maxReconnectDelay},
		}))
	if err != nil {
		return nil, eris.Wrapf(err, "dial %s", addr)
	}
	l.conns[addr] = &link{conn: c, lastUsed: now}
	return c, nil
}

// prune closes connections to addresses that belong to no member and have not
// been used for unusedTimeout. l.mu must be held.
func (l *Links) prune(now time.Time) {
	if now.Sub(l.lastPruned) < unusedTimeout {
		return
	}
	l.lastPruned = now
	member := make(map[netip.AddrPort]bool)
	for _, m := range l.members.Members() {
		member[m.Peer] = true
	}
	for addr, c := range l.conns {
		if !member[addr] && now.Sub(c.lastUsed) > unusedTimeout {
			_ = c.conn.Close()
			delete(l.conns, addr)
		}
	}
}

// Close closes all client connections.
func (l *Links) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for addr, c := range l.conns {
		_ = c.conn.Close()
		delete(l.conns, addr)
	}
}
