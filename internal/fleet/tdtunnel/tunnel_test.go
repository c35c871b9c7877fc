package tdtunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"go.uber.org/goleak"
	"google.golang.org/grpc"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/base/tddial"
)

// TestMain guards against goroutines that outlast the connections that they make. A
// direct connection that another one has overtaken may go on for dialTimeout.
func TestMain(m *testing.M) {
	code := m.Run()
	deadline := time.Now().Add(2 * dialTimeout)
	err := goleak.Find()
	for err != nil && time.Now().Before(deadline) {
		err = goleak.Find()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		code = max(code, 1)
	}
	os.Exit(code)
}

var errCut = errors.New("cut off")

// testNode is a node that can be cut off from all servers.
type testNode struct {
	*Tunnels
	peer Peer
	srv  *grpc.Server

	mu    sync.Mutex
	cut   bool
	hangs bool // While it is cut off, connections hang instead of being refused.
	dials int
}

func (n *testNode) direct(ctx context.Context, network, address string) (net.Conn, error) {
	n.mu.Lock()
	n.dials++
	cut, hangs := n.cut, n.hangs
	n.mu.Unlock()
	switch {
	case cut && hangs:
		<-ctx.Done()
		return nil, ctx.Err()
	case cut:
		return nil, errCut
	}
	return (&net.Dialer{}).DialContext(ctx, network, address)
}

func (n *testNode) set(cut, hangs bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.hangs = cut, hangs
}

func (n *testNode) dialled() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dials
}

// testFleet is a fleet of nodes before one server.
type testFleet struct {
	nodes  []*testNode
	server tarragondeal.Server
	conns  chan net.Conn // Accepted by the server.
}

func newTestFleet(t *testing.T, size int) *testFleet {
	t.Helper()
	ln := listen(t)
	f := &testFleet{conns: make(chan net.Conn, 100)}
	f.server = tarragondeal.Server{ID: "s1", Pool: "p", DataCentre: "a", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			f.conns <- c
		}
	}()
	for k := range size {
		n := &testNode{srv: grpc.NewServer()}
		ln := listen(t)
		n.peer = Peer{Node: tarragondeal.NodeID("node-" + strconv.Itoa(k)), DataCentre: "a", Addr: netip.MustParseAddrPort(ln.Addr().String())}
		n.Tunnels = New(Deps{
			Clock: tdclock.New(), Direct: n.direct, Dialer: tddial.New(), Log: zerolog.Nop(), Scope: tally.NoopScope,
			Peers: func() []Peer {
				var out []Peer
				for _, other := range f.nodes {
					if other != n {
						out = append(out, other.peer)
					}
				}
				return out
			},
		})
		n.SetServers([]tarragondeal.Server{f.server})
		n.Register(n.srv)
		go func() { _ = n.srv.Serve(ln) }()
		f.nodes = append(f.nodes, n)
		t.Cleanup(n.srv.Stop)
		t.Cleanup(n.links.close)
	}
	return f
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// dial connects from a node and returns both ends of the connection.
func (f *testFleet) dial(t *testing.T, n int) (client, server net.Conn) {
	t.Helper()
	client, err := f.nodes[n].DialContext(context.Background(), "tcp", f.server.Addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() })
	select {
	case server = <-f.conns:
	case <-time.After(2 * time.Second):
		t.Fatal("the server has no connection")
	}
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

func throughPeer(c net.Conn) bool {
	_, ok := c.(*conn)
	return ok
}

// exchange sends bytes in both directions.
func exchange(t *testing.T, client, server net.Conn, size int) {
	t.Helper()
	sent := make([]byte, size)
	for n := range sent {
		sent[n] = byte(n * 7)
	}
	for _, way := range [][2]net.Conn{{client, server}, {server, client}} {
		ended := make(chan error, 1)
		go func() {
			_, err := way[0].Write(sent)
			ended <- err
		}()
		got := make([]byte, size)
		if _, err := io.ReadFull(way[1], got); err != nil || !slices.Equal(got, sent) {
			t.Fatalf("%d bytes arrive damaged, error %v", size, err)
		}
		if err := <-ended; err != nil {
			t.Fatal(err)
		}
	}
}

// fastest returns the shortest time of several calls, so that a slow machine doesn't
// look like a node that waits.
func fastest(calls int, call func(n int)) time.Duration {
	least := time.Hour
	for n := range calls {
		start := time.Now()
		call(n)
		least = min(least, time.Since(start))
	}
	return least
}

// TestWayToServer guards against a node that can't serve its callers although another
// node reaches the server, and against connections through other nodes that aren't
// needed.
func TestWayToServer(t *testing.T) {
	const patient = time.Minute // Other nodes are asked only if the direct way fails.
	for _, c := range []struct {
		name      string
		cut       []int // The nodes that are cut off.
		hangs     bool
		hedge     time.Duration
		through   bool
		unreached bool
	}{
		{"in reach", nil, false, patient, false, false},
		{"refused", []int{0}, false, patient, true, false},
		{"hangs", []int{0}, true, hedgeDelay, true, false},
		{"refused at all but one", []int{0, 1, 2}, false, patient, true, false},
		{"hangs at all but one", []int{0, 1, 2}, true, hedgeDelay, true, false},
		{"refused at all", []int{0, 1, 2, 3}, false, patient, false, true},
		{"hangs at all", []int{0, 1, 2, 3}, true, hedgeDelay, false, true},
	} {
		f := newTestFleet(t, 4)
		for _, n := range f.nodes {
			n.hedge = c.hedge
		}
		for _, n := range c.cut {
			f.nodes[n].set(true, c.hangs)
		}
		if c.unreached {
			if _, err := f.nodes[0].DialContext(context.Background(), "tcp", f.server.Addr.String()); err == nil {
				t.Errorf("%s: connected", c.name)
			}
			continue
		}
		client, server := f.dial(t, 0)
		exchange(t, client, server, 100_000)
		again := fastest(5, func(int) {
			next, _ := f.dial(t, 0)
			if throughPeer(client) != c.through || throughPeer(next) != c.through {
				t.Errorf("%s: through a peer %t and %t", c.name, throughPeer(client), throughPeer(next))
			}
		})
		if again > hedgeDelay*8/10 {
			t.Errorf("%s: the next connections take %s", c.name, again)
		}
		if !c.through && f.nodes[0].dialled() != 6 {
			t.Errorf("%s: %d direct connections for 6", c.name, f.nodes[0].dialled())
		}
	}
}

// TestOtherServersOfIsolatedNode guards against requests that wait for each server once
// more at a node that is cut off from all of them, and against other nodes that wait for
// such a node.
func TestOtherServersOfIsolatedNode(t *testing.T) {
	f := newTestFleet(t, 3)
	list := []tarragondeal.Server{f.server}
	for k := range 10 {
		addr := netip.MustParseAddrPort(listen(t).Addr().String())
		list = append(list, tarragondeal.Server{ID: tarragondeal.ServerID("other-" + strconv.Itoa(k)), Pool: "p", DataCentre: "a", Addr: addr})
	}
	for _, n := range f.nodes {
		n.SetServers(list)
	}
	f.nodes[0].set(true, true)
	f.nodes[1].set(true, true)
	for n := range 2 {
		f.dial(t, n)
	}
	for n := range 2 {
		took := fastest(5, func(k int) {
			c, err := f.nodes[n].DialContext(context.Background(), "tcp", list[1+5*n+k].Addr.String())
			if err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
		})
		if took > hedgeDelay*8/10 {
			t.Errorf("node %d connects to other servers after %s and more", n, took)
		}
	}
}

// TestDirectAgain guards against a node that goes on to use other nodes after its links
// have come back, whether it opens connections or not.
func TestDirectAgain(t *testing.T) {
	f := newTestFleet(t, 2)
	f.nodes[0].set(true, false)
	client, _ := f.dial(t, 0)
	if !throughPeer(client) {
		t.Fatal("not through a peer")
	}
	ctx, cancel := context.WithCancel(context.Background())
	retired, ended := make(chan struct{}, 100), make(chan error, 1)
	go func() { ended <- f.nodes[0].Run(ctx, func() { retired <- struct{}{} }) }()
	time.Sleep(maintainInterval + 100*time.Millisecond)
	select {
	case <-retired:
		t.Error("connections are given up while the server is out of reach")
	default:
	}
	f.nodes[0].set(false, false)
	deadline := time.Now().Add(3 * time.Second)
	for {
		client, _ := f.dial(t, 0)
		if !throughPeer(client) {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("still through a peer")
		}
		time.Sleep(50 * time.Millisecond)
	}
	select {
	case <-retired:
	case <-time.After(3 * time.Second):
		t.Error("the connections through the peer are not given up")
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// TestEndOfConnection guards against a broken connection that reads as one that the
// server has closed in order, so that a truncated answer looks complete.
func TestEndOfConnection(t *testing.T) {
	for _, c := range []struct {
		name  string
		end   func(f *testFleet, server net.Conn)
		clean bool
	}{
		{"the server closes it", func(_ *testFleet, server net.Conn) { _ = server.Close() }, true},
		{"the server resets it", func(_ *testFleet, server net.Conn) {
			_ = server.(*net.TCPConn).SetLinger(0)
			_ = server.Close()
		}, false},
		{"the other node ends", func(f *testFleet, _ net.Conn) { f.nodes[1].srv.Stop() }, false},
	} {
		f := newTestFleet(t, 2)
		f.nodes[0].set(true, false)
		client, server := f.dial(t, 0)
		if _, err := server.Write([]byte("part")); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, 4)
		if _, err := io.ReadFull(client, buf); err != nil {
			t.Fatal(err)
		}
		c.end(f, server)
		_, err := client.Read(buf)
		var broken *PeerError
		if c.clean != errors.Is(err, io.EOF) || c.clean == errors.As(err, &broken) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestCloseReachesServer guards against servers that work on for callers that are gone.
func TestCloseReachesServer(t *testing.T) {
	f := newTestFleet(t, 2)
	f.nodes[0].set(true, false)
	client, server := f.dial(t, 0)
	if n := f.nodes[1].Serving(); n != 1 {
		t.Errorf("%d connections for other nodes", n)
	}
	_ = client.Close()
	_ = client.Close()
	_ = server.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := server.Read(make([]byte, 1)); err == nil || errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("the server reads %v", err)
	}
	if n := f.nodes[0].opened.Load(); n != 0 {
		t.Errorf("%d connections are open", n)
	}
}

// TestPeerRefuses guards against a node that connects to whatever address another one
// names, takes on connections while it leaves, or passes them on to a third node.
func TestPeerRefuses(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(f *testFleet)
	}{
		{"server not listed", func(f *testFleet) { f.nodes[1].SetServers(nil) }},
		{"leaving", func(f *testFleet) { f.nodes[1].Leave() }},
		{"cut off itself", func(f *testFleet) { f.nodes[1].set(true, false) }},
		{"out of reach a short time ago", func(f *testFleet) {
			f.nodes[1].set(true, false)
			_, _ = f.nodes[1].dialDirect(context.Background(), "tcp", f.server.Addr.String())
			f.nodes[1].set(false, false)
		}},
		{"serves as many as it may", func(f *testFleet) { f.nodes[1].served.Store(maxServed) }},
	} {
		f := newTestFleet(t, 3)
		f.nodes[0].set(true, false)
		f.nodes[2].set(true, false)
		c.prepare(f)
		if _, err := f.nodes[0].DialContext(context.Background(), "tcp", f.server.Addr.String()); !errors.Is(err, errCut) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}

// TestOrderOfPeers guards against nodes that are asked again and again although they
// don't reach servers, and against needless bytes between data centres.
func TestOrderOfPeers(t *testing.T) {
	l := newLinks(nil)
	peers := []Peer{{Node: "a1", DataCentre: "a"}, {Node: "a2", DataCentre: "a"}, {Node: "b1", DataCentre: "b"}, {Node: "b2", DataCentre: "b"}}
	l.avoid(peers[:1], tarragondeal.Instant(time.Second))
	for range 20 {
		got := l.order(peers, "a", 0)
		if len(got) != maxPeers || got[0].Node != "a2" || got[1].DataCentre != "b" || got[2].DataCentre != "b" {
			t.Fatalf("%v", got)
		}
		if got = l.order(peers, "a", tarragondeal.Instant(time.Second)); got[2].DataCentre != "b" {
			t.Fatalf("after a while: %v", got)
		}
	}
}
