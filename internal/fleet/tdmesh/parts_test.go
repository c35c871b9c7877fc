package tdmesh

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdmirror"
)

// randomValue returns bytes that can't be compressed.
func randomValue(size int) []byte {
	value := make([]byte, size)
	_, _ = rand.NewChaCha8([32]byte{1}).Read(value)
	return value
}

// TestLargeValueReachesLeaves guards against a value that leaves never receive: they
// gave up their relay while the value was arriving, and began again at another one.
func TestLargeValueReachesLeaves(t *testing.T) {
	for _, size := range []int{100 << 10, 600 << 10, 840 << 10, 1 << 20} {
		t.Run(fmt.Sprintf("%d bytes", size), func(t *testing.T) {
			t.Parallel()
			runLimitedFleet(t, 30, 5, leafRate, func(t *testing.T, f *liveFleet) {
				revision := f.store.put(versionKey, randomValue(size))
				time.Sleep(versionBound)
				if n, example := f.lacking(revision); n > 0 {
					t.Errorf("%d nodes lack revision %d, %s among them", n, revision, example)
				}
				if n := len(f.followers()); n != maxFollowers {
					t.Errorf("%d nodes follow the store", n)
				}
			})
		})
	}
}

// TestLargeValueReachesOldLeaves guards against the same at leaves of a version that
// does not read parts, during an upgrade: they must get the value from the store, and
// copies of what is written later.
func TestLargeValueReachesOldLeaves(t *testing.T) {
	runLimitedFleet(t, 30, 5, leafRate, func(t *testing.T, f *liveFleet) {
		for n, name := range f.leaves() {
			if n%2 == 0 {
				f.nodes[name].old.Store(true)
			}
		}
		time.Sleep(time.Second)
		for range 2 {
			revision := f.store.put(versionKey, randomValue(1<<20))
			time.Sleep(versionBound)
			if n, example := f.lacking(revision); n > 0 {
				t.Errorf("%d nodes lack revision %d, %s among them", n, revision, example)
			}
			time.Sleep(2 * time.Second)
			if n := len(f.followers()); n != maxFollowers {
				t.Errorf("%d nodes follow the store", n)
			}
		}
	})
}

// TestServerLeavesDuringLargeValues guards against requests to servers that are leaving:
// the change was queued behind large values on its way to the leaves.
func TestServerLeavesDuringLargeValues(t *testing.T) {
	const changes = 10
	for _, c := range []struct {
		name   string
		values int // Written one after the other.
		gap    time.Duration
	}{
		{"one value", 1, 0},
		{"two values", 2, 50 * time.Millisecond},
		{"a series of values", 12, 330 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runLimitedFleet(t, 30, 5, leafRate, func(t *testing.T, f *liveFleet) {
				value := randomValue(1 << 20)
				f.running.Go(func() {
					for range c.values {
						f.store.put(versionKey, value)
						time.Sleep(c.gap)
					}
				})
				time.Sleep(20 * time.Millisecond)
				for range changes {
					revision := f.store.put(serverKey, nil)
					f.running.Go(func() {
						time.Sleep(serverBound)
						if n, example := f.lackingServer(revision); n > 0 {
							t.Errorf("%d nodes lack the change of a server at revision %d, %s among them", n, revision, example)
						}
					})
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(2 * versionBound)
				if n, example := f.lacking(f.store.latest()); n > 0 {
					t.Errorf("%d nodes lack the last revision, %s among them", n, example)
				}
			})
		})
	}
}

// lackingServer returns how many nodes lack a change of serverKey, and one of them.
func (f *liveFleet) lackingServer(revision tarragondeal.Revision) (n int, example tarragondeal.NodeID) {
	for name, m := range f.nodes {
		if m.server.Load() < uint64(revision) {
			n++
			example = name
		}
	}
	return n, example
}

// TestSectionsDuringLargeValue guards against nodes that refuse urgent requests since
// they choose servers blindly: while a large value was on its way to the leaves, no
// section with the others' reports on the servers arrived there.
func TestSectionsDuringLargeValue(t *testing.T) {
	runLimitedFleet(t, 30, 5, leafRate, func(t *testing.T, f *liveFleet) {
		for _, m := range f.nodes {
			m.sections.reset()
		}
		f.store.put(versionKey, randomValue(1<<20))
		time.Sleep(2 * versionBound)
		for name, m := range f.nodes {
			if gap := m.sections.end(); gap > parentTimeout {
				t.Errorf("%s received no section for %s", name, gap)
			}
		}
	})
}

// oldRelay serves streams like a node of a version that does not send parts.
type oldRelay struct {
	UnimplementedMeshServer
	name  tarragondeal.NodeID
	value []byte
}

// Exchange sends a state each 100 ms, with the value in one of them.
func (r *oldRelay) Exchange(s grpc.BidiStreamingServer[State, State]) error {
	for n := 0; ; n++ {
		state := &State{Node: string(r.name), Incarnation: 1, Ready: true, Follows: true, Revision: 1}
		if n == 10 {
			state.Copy = &Copy{Revision: 2, After: 1, Items: []*Item{{Key: versionKey, Value: r.value, Revision: 2}}}
		}
		if n >= 10 {
			state.Revision = 2
		}
		if err := s.Send(state); err != nil {
			return err
		}
		if !tdclock.Sleep(s.Context(), 100*time.Millisecond) {
			return nil
		}
	}
}

// slowListener accepts connections that send no more than rate bytes a second.
type slowListener struct {
	net.Listener
	rate float64
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{Conn: c, rate: l.rate}, err
}

type slowConn struct {
	net.Conn
	rate float64
}

func (c slowConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(float64(len(b)) / c.rate * float64(time.Second)))
	return c.Conn.Write(b)
}

// emptyStore is a store that answers no watch.
type emptyStore struct{}

func (emptyStore) Page(context.Context, string, string) (tarragondeal.Page, error) {
	return tarragondeal.Page{Revision: 1}, nil
}

func (emptyStore) Watch(ctx context.Context, _ string, _ tarragondeal.Revision, _ time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

var errNoLease = errors.New("no lease")

// noLeases is a store that grants no lease.
type noLeases struct{ tarragondeal.Store }

func (noLeases) Acquire(context.Context, string, string, time.Duration) (tarragondeal.Lease, error) {
	return tarragondeal.Lease{}, errNoLease
}

// TestLargeStateFromOldRelay guards against a leaf that gives up a relay of a version
// that does not send parts, while a large state is arriving from it, and against
// states that are too large for a stream.
func TestLargeStateFromOldRelay(t *testing.T) {
	for _, c := range []struct {
		name string
		size int
		rate float64 // In bytes a second.
	}{
		{"slow link", 1 << 20, leafRate},
		{"over 4 MiB", 5 << 20, 20 * leafRate},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			checkStateFromOldRelay(t, c.size, c.rate)
		})
	}
}

func checkStateFromOldRelay(t *testing.T, size int, rate float64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	relay := &oldRelay{name: "a", value: randomValue(size)}
	relayLn := listen(t)
	srv := grpc.NewServer()
	RegisterMeshServer(srv, relay)
	go func() { _ = srv.Serve(slowListener{Listener: relayLn, rate: rate}) }()
	defer srv.Stop()

	clock := tdclock.New()
	mirror := tdmirror.New(emptyStore{}, clock, tdmirror.Options{
		Prefixes: []string{versionKey}, Follows: func() bool { return false }, Log: zerolog.Nop(),
	})
	m := New(Deps{
		Store: noLeases{}, Mirror: mirror, Clock: clock, Dialer: new(net.Dialer), TTL: time.Second,
		Ready: func() bool { return true }, Log: zerolog.Nop(),
	}, Node{Name: "z", Incarnation: 1, DataCentre: "dc0", Processor: 0.1})
	m.addListed(Node{Name: "a", Incarnation: 1, DataCentre: "dc0", Processor: 1, Peer: netip.MustParseAddrPort(relayLn.Addr().String())})
	for n := range fullMeshSize { // Makes the fleet large. No server listens at their addresses.
		m.addListed(Node{Name: tarragondeal.NodeID(fmt.Sprintf("b%d", n)), Incarnation: 1, DataCentre: "dc0", Processor: 0.5})
	}
	go func() { _ = mirror.Run(ctx) }()
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx, listen(t)) }()
	deadline := time.Now().Add(versionBound + 2*time.Second)
	for mirror.Position().Revision < 2 && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	if rev := mirror.Position().Revision; rev != 2 {
		t.Errorf("holds revision %d", rev)
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// TestPartsAreChecked guards against a copy that is put together from parts of two
// copies, or with one missing.
func TestPartsAreChecked(t *testing.T) {
	c := &Copy{Revision: 7, Items: []*Item{{Key: versionKey, Value: randomValue(3 * maxPart), Revision: 7}}}
	packed, err := compress(c)
	if err != nil {
		t.Fatal(err)
	}
	parts := split(packed)
	for _, tc := range []struct {
		name    string
		parts   []*Part
		errors  int
		applied bool
	}{
		{"in order", parts, 0, true},
		{"one is missing", slices.Delete(slices.Clone(parts), 1, 2), len(parts) - 2, false},
		{"begun again", append(slices.Clone(parts[:2]), parts...), 0, true},
		{"the first is missing", parts[1:], len(parts) - 1, false},
	} {
		w := newMesh("a", &fakeClock{now: 1}).newStateWriter("b")
		var got *Copy
		failed := 0
		for _, p := range tc.parts {
			c, err := w.collect(p)
			var gap *partError
			if errors.As(err, &gap) {
				failed++
			}
			if c != nil {
				got = c
			}
		}
		if failed != tc.errors || (got != nil) != tc.applied {
			t.Errorf("%s: %d errors, complete %t", tc.name, failed, got != nil)
		}
		if got != nil && !proto.Equal(got, c) {
			t.Errorf("%s: the copy differs", tc.name)
		}
	}
}

func split(packed []byte) []*Part {
	var out []*Part
	for offset := 0; offset < len(packed); offset += maxPart {
		out = append(out, &Part{
			Offset: uint64(offset), Size: uint64(len(packed)), Data: packed[offset:min(offset+maxPart, len(packed))],
		})
	}
	return out
}

// BenchmarkPack measures the compression of a configuration of 4,200 routes with random
// names, and the size of what is sent.
func BenchmarkPack(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	routes := make([]map[string]any, 4200)
	for n := range routes {
		name := strconv.FormatUint(rng.Uint64(), 36)
		routes[n] = map[string]any{
			"name": "r-" + name[:7], "host": name[:4] + ".example", "prefix": "/" + name[4:] + "/", "kind": "idempotent", "timeoutMs": 800,
			"sloMs": 100, "priority": 1, "service": "pool-" + name[:2], "maxAttempts": 2, "public": false, "resumable": false,
		}
	}
	value, err := json.Marshal(map[string]any{"version": 1, "routes": routes})
	if err != nil {
		b.Fatal(err)
	}
	c := &Copy{Revision: 1, Items: []*Item{{Key: versionKey, Value: value, Revision: 1}}}
	var packed []byte
	for b.Loop() {
		if packed, err = compress(c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value)), "bytes")
	b.ReportMetric(float64(len(packed)), "packedBytes")
}

// BenchmarkUnpack measures the receiver's part.
func BenchmarkUnpack(b *testing.B) {
	packed, err := compress(&Copy{Revision: 1, Items: []*Item{{Key: versionKey, Value: bytes.Repeat([]byte("configuration "), 60000), Revision: 1}}})
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := unpack(packed); err != nil {
			b.Fatal(err)
		}
	}
}
