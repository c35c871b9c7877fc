package tdtunnel

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"tarragondeal"
)

const (
	// maxPeers is how many other nodes are asked to connect to a server, one after the
	// other, and peerTimeout how long each may take.
	maxPeers    = 3
	peerTimeout = 300 * time.Millisecond
	// avoidTime is how long a node is asked last that couldn't reach a server which
	// another one reached.
	avoidTime = 2 * time.Second
	// bufferBytes is the size of a stream's buffers in each direction.
	bufferBytes = 4 << 10
	// redialDelay is the delay before a failed connection to a node is made again.
	redialDelay = 150 * time.Millisecond
)

var errNoPeer = errors.New("no other node is alive")

// links holds the connections to other nodes.
type links struct {
	dialer *net.Dialer

	mu      sync.Mutex
	conns   map[Peer]*grpc.ClientConn
	avoided map[tarragondeal.NodeID]tarragondeal.Instant // Until when.
}

func newLinks(d *net.Dialer) *links {
	return &links{dialer: d, conns: make(map[Peer]*grpc.ClientConn), avoided: make(map[tarragondeal.NodeID]tarragondeal.Instant)}
}

// client returns a client of a node.
func (l *links) client(p Peer) (TunnelClient, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if conn := l.conns[p]; conn != nil {
		return NewTunnelClient(conn), nil
	}
	conn, err := grpc.NewClient("passthrough:///"+p.Addr.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return l.dialer.DialContext(ctx, "tcp", addr)
		}),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialDelay, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
			MinConnectTimeout: peerTimeout,
		}),
	)
	if err != nil {
		return nil, err
	}
	l.conns[p] = conn
	return NewTunnelClient(conn), nil
}

// keep closes the connections to all nodes but the given ones.
func (l *links) keep(peers []Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p, conn := range l.conns {
		if !slices.Contains(peers, p) {
			_ = conn.Close()
			delete(l.conns, p)
		}
	}
}

func (l *links) close() { l.keep(nil) }

// avoid makes nodes be asked last for a while.
func (l *links) avoid(peers []Peer, until tarragondeal.Instant) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range peers {
		l.avoided[p.Node] = until
	}
}

// order returns the nodes to ask for a connection to a server, first those in its data
// centre.
func (l *links) order(peers []Peer, dataCentre string, now tarragondeal.Instant) []Peer {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := func(p Peer) int {
		n := 0
		if now < l.avoided[p.Node] {
			n += 2
		}
		if p.DataCentre != dataCentre {
			n++
		}
		return n
	}
	out := slices.Clone(peers)
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	slices.SortStableFunc(out, func(a, b Peer) int { return cmp.Compare(rank(a), rank(b)) })
	return out[:min(len(out), maxPeers)]
}

// connectThroughPeer connects to a server through another node.
func (t *Tunnels) connectThroughPeer(ctx context.Context, s tarragondeal.Server) (net.Conn, Peer, error) {
	err := errNoPeer
	var failed []Peer
	for _, p := range t.links.order(t.Peers(), s.DataCentre, t.Clock.Now()) {
		var conn net.Conn
		if conn, err = t.connect(ctx, p, s); err == nil {
			t.links.avoid(failed, t.Clock.Now().Add(avoidTime))
			return conn, p, nil
		}
		if ctx.Err() != nil {
			return nil, p, err
		}
		failed = append(failed, p)
	}
	return nil, Peer{}, err
}

// connect asks one node for a connection to a server.
func (t *Tunnels) connect(ctx context.Context, p Peer, s tarragondeal.Server) (net.Conn, error) {
	client, err := t.links.client(p)
	if err != nil {
		return nil, err
	}
	// The stream outlives the time for which the connection may take.
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	timer := time.AfterFunc(peerTimeout, cancel)
	stream, err := client.Connect(streamCtx)
	if err == nil {
		err = stream.Send(&Chunk{Server: string(s.ID)})
	}
	if err == nil {
		_, err = stream.Recv()
	}
	if !timer.Stop() || !stop() {
		err = errors.Join(err, context.DeadlineExceeded)
	}
	if err != nil {
		cancel()
		return nil, &PeerError{Peer: p.Node, Server: s.ID, Err: err}
	}
	t.opened.Add(1)
	return newConn(stream, p, s, func() {
		cancel()
		t.opened.Add(-1)
	}), nil
}
