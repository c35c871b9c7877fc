package tdtunnel

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	// dialTimeout bounds a connection to a server, by whichever way.
	dialTimeout = 1500 * time.Millisecond
	// hedgeDelay is the default of Tunnels.hedge.
	hedgeDelay = 100 * time.Millisecond
)

var errNoWay = errors.New("server is out of reach of this node and of the others that were asked")

// outcome is the result of one way to connect.
type outcome struct {
	conn   net.Conn
	via    Peer
	direct bool
	err    error
}

// dial is one connection to a server that is being made.
type dial struct {
	t         *Tunnels
	addr      netip.AddrPort
	p         path // As it was at the start.
	results   chan outcome
	running   int
	direct    bool // The direct way has been tried.
	tunnel    bool // Another node has been asked.
	directErr error
}

// DialContext connects to a server: directly or, if that fails or takes long, through
// another node.
func (t *Tunnels) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return t.Direct(ctx, network, address)
	}
	p, direct, tunnel, ok := t.begin(addr)
	if !ok {
		return t.Direct(ctx, network, address)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	d := &dial{t: t, addr: addr, p: p, results: make(chan outcome, 2)}
	if direct {
		d.startDirect(ctx, network)
	}
	if tunnel {
		d.startTunnel(ctx)
	}
	return d.wait(ctx, network)
}

// begin returns the path to a server, and which ways to it are tried at once.
func (t *Tunnels) begin(addr netip.AddrPort) (p path, direct, tunnel, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.paths[addr]
	if known == nil {
		return path{}, false, false, false
	}
	now := t.Clock.Now()
	direct = !known.cut || known.directNext || now.Sub(known.directAt) >= directRetryInterval
	if direct {
		known.directAt, known.directNext = now, false
	}
	return *known, direct, known.cut || t.isolated(), true
}

func (d *dial) startDirect(ctx context.Context, network string) {
	d.direct = true
	d.running++
	go func() {
		// It goes on when another way was faster: its end shows whether the server is in
		// reach.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dialTimeout)
		defer cancel()
		conn, err := d.t.dialDirect(ctx, network, d.addr.String())
		d.results <- outcome{conn: conn, direct: true, err: err}
	}()
}

func (d *dial) startTunnel(ctx context.Context) {
	d.tunnel = true
	d.running++
	go func() {
		conn, via, err := d.t.connectThroughPeer(ctx, d.p.server)
		d.results <- outcome{conn: conn, via: via, err: err}
	}()
}

// wait returns the connection that is made first. A way that fails starts the other
// one.
func (d *dial) wait(ctx context.Context, network string) (net.Conn, error) {
	hedge := time.NewTimer(d.t.hedge)
	defer hedge.Stop()
	failure := errNoWay
	for d.running > 0 {
		select {
		case <-hedge.C:
			if !d.tunnel {
				d.startTunnel(ctx)
			}
		case r := <-d.results:
			d.running--
			if r.err == nil {
				d.finish(r)
				return r.conn, nil
			}
			if r.direct {
				failure, d.directErr = r.err, r.err
			}
			if !d.tunnel {
				d.startTunnel(ctx)
			}
			if !d.direct {
				d.startDirect(ctx, network)
			}
		}
	}
	return nil, failure
}

// finish records how the connection was made, and closes another one that is still
// being made.
func (d *dial) finish(r outcome) {
	if !r.direct {
		d.t.setCut(d.addr, r.via.Node, d.directErr)
	}
	if d.running == 0 {
		return
	}
	go func() {
		if late := <-d.results; late.conn != nil {
			_ = late.conn.Close()
		}
	}()
}
