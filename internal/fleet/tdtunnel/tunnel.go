package tdtunnel

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// directRetryInterval is how often a direct connection is tried to a server that is
	// cut off.
	directRetryInterval = 500 * time.Millisecond
	// maintainInterval is the time between two checks for servers in reach again.
	maintainInterval = 500 * time.Millisecond
	// probeTimeout bounds a direct connection that is only made to see whether it
	// succeeds.
	probeTimeout = 400 * time.Millisecond
)

// Peer is another node.
type Peer struct {
	Node       tarragondeal.NodeID
	DataCentre string
	Addr       netip.AddrPort
}

// Deps are the dependencies of a Tunnels.
type Deps struct {
	Clock tarragondeal.Clock
	// Direct connects without another node.
	Direct func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialer connects to other nodes.
	Dialer *net.Dialer
	// Peers returns the other nodes that are alive.
	Peers func() []Peer
	Log   zerolog.Logger
	Scope tally.Scope
}

// Tunnels connects to backend servers, for this node and for others. It is safe for
// concurrent use.
type Tunnels struct {
	Deps
	UnimplementedTunnelServer
	hedge   time.Duration // How long a direct connection may take before another node is asked as well.
	links   *links
	opened  atomic.Int64 // Open connections of this node through others.
	served  atomic.Int64 // Open connections for other nodes.
	leaving atomic.Bool

	mu        sync.Mutex
	paths     map[netip.AddrPort]*path
	servers   map[tarragondeal.ServerID]tarragondeal.Server
	cutAt     tarragondeal.Instant // When a server was last found to be cut off; zero if none was.
	reachedAt tarragondeal.Instant // When a server was last reached directly.
}

// path is what is known of the way to a server.
type path struct {
	server     tarragondeal.Server
	cut        bool                 // Another node reached it, this one didn't.
	directAt   tarragondeal.Instant // When it was last tried directly.
	failedAt   tarragondeal.Instant // When that failed last; zero if it hasn't.
	directNext bool                 // The next connection is tried directly as well.
}

// New returns a Tunnels without servers.
func New(d Deps) *Tunnels {
	return &Tunnels{
		Deps: d, hedge: hedgeDelay, links: newLinks(d.Dialer),
		paths: make(map[netip.AddrPort]*path), servers: make(map[tarragondeal.ServerID]tarragondeal.Server),
	}
}

// SetServers replaces the list of servers that may be connected to.
func (t *Tunnels) SetServers(list []tarragondeal.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	paths := make(map[netip.AddrPort]*path, len(list))
	clear(t.servers)
	for _, s := range list {
		t.servers[s.ID] = s
		p := t.paths[s.Addr]
		if p == nil || p.server.ID != s.ID {
			p = &path{}
		}
		p.server = s
		paths[s.Addr] = p
	}
	t.paths = paths
}

// Leave makes the node refuse new connections for other nodes.
func (t *Tunnels) Leave() { t.leaving.Store(true) }

// Serving returns the number of open connections for other nodes.
func (t *Tunnels) Serving() int { return int(t.served.Load()) }

// Run looks for servers that are in reach again until ctx ends. It calls retire while
// connections through other nodes are open that are no longer needed.
func (t *Tunnels) Run(ctx context.Context, retire func()) error {
	defer t.links.close()
	for tdclock.Sleep(ctx, maintainInterval) {
		t.links.keep(t.Peers())
		cut := t.cutOff()
		t.Scope.Gauge("serversCutOff").Update(float64(len(cut)))
		t.Scope.Gauge("connectionsThroughPeers").Update(float64(t.opened.Load()))
		t.Scope.Gauge("connectionsForPeers").Update(float64(t.served.Load()))
		switch {
		case len(cut) > 0:
			t.probe(ctx, cut[rand.IntN(len(cut))])
		case t.opened.Load() > 0:
			retire()
		}
	}
	return nil
}

// cutOff returns the addresses of the servers that are cut off.
func (t *Tunnels) cutOff() []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []netip.AddrPort
	for addr, p := range t.paths {
		if p.cut {
			out = append(out, addr)
		}
	}
	return out
}

// probe connects directly to a server that is cut off. If that succeeds, the next
// connections to the others are tried directly as well.
func (t *Tunnels) probe(ctx context.Context, addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := t.dialDirect(ctx, "tcp", addr.String())
	if err != nil {
		return
	}
	_ = conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range t.paths {
		p.directNext = p.cut
	}
}

// dialDirect connects to a server without another node, and records whether that
// succeeded.
func (t *Tunnels) dialDirect(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := t.Direct(ctx, network, address)
	addr, perr := netip.ParseAddrPort(address)
	if perr != nil {
		return conn, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[addr]
	switch {
	case p == nil:
	case err != nil:
		p.failedAt = t.Clock.Now()
	default:
		p.failedAt = 0
		t.reachedAt = t.Clock.Now()
		if p.cut {
			p.cut = false
			t.Log.Info().Str("server", string(p.server.ID)).Msg("server is in reach again")
		}
	}
	return conn, err
}

// isolated reports whether this node may be cut off from all servers: one was found to
// be since this node reached any.
func (t *Tunnels) isolated() bool { return t.cutAt > t.reachedAt }

// setCut records that another node reached a server that this one can't reach.
func (t *Tunnels) setCut(addr netip.AddrPort, via tarragondeal.NodeID, directErr error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[addr]
	if p == nil {
		return
	}
	t.cutAt = t.Clock.Now()
	if p.cut {
		return
	}
	p.cut = true
	t.Log.Info().Err(directErr).Str("server", string(p.server.ID)).Str("peer", string(via)).Msg("server is out of reach; connections to it go through other nodes")
}
