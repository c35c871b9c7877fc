package tdconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdstore"
	"tarragondeal/internal/test/tdmemstore"
)

func mustJSON(t interface{ Fatal(...any) }, v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// fakeMembers is a membership with a fixed list of other nodes.
type fakeMembers struct {
	others []tarragondeal.Member
}

func (*fakeMembers) Self() tarragondeal.Member                 { return tarragondeal.Member{Node: "node1"} }
func (m *fakeMembers) Members() []tarragondeal.Member          { return m.others }
func (*fakeMembers) Changed() <-chan struct{}                  { return nil }
func (*fakeMembers) SetConfig(tarragondeal.Version)            {}
func (*fakeMembers) LastContact() (tarragondeal.Instant, bool) { return 0, false }
func (*fakeMembers) Known() int                                { return 0 }
func (*fakeMembers) Resumed() <-chan struct{}                  { return nil }
func (*fakeMembers) Paused() bool                              { return false }
func (*fakeMembers) Dial(a netip.AddrPort) (grpc.ClientConnInterface, error) {
	return grpc.NewClient("passthrough:///"+a.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
}

func newTestConfig(store tarragondeal.Store, keep int) *Config {
	m := &fakeMembers{}
	c := New(Deps{Store: store, Members: m, Links: m, Clock: tdclock.New(), Keep: keep})
	c.setConfirmed(true)
	return c
}

// attempt is one call of Publish and its result.
type attempt struct {
	note string
	v    tarragondeal.Version
	err  error
}

func (a attempt) check(t *rapid.T, published map[string]tarragondeal.Version) {
	v, ok := published[a.note]
	var failed *tarragondeal.StoreError
	var conflict *tarragondeal.ConflictError
	switch {
	case a.err == nil && (!ok || v != a.v):
		t.Fatalf("%s: Publish returned version %d, want version %d of the history", a.note, a.v, v)
	case errors.As(a.err, &conflict) && ok:
		t.Fatalf("%s: Publish returned a conflict, but the history has version %d", a.note, v)
	case errors.As(a.err, &failed) && failed.Settled && ok:
		t.Fatalf("%s: Publish returned a settled error, but the history has version %d", a.note, v)
	}
}

// TestPublishResultsMatchHistory publishes from two nodes in turn while the
// store loses requests and replies. The results must match the history,
// versions must have no gaps, and every kept version must be complete.
func TestPublishResultsMatchHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mem := tdmemstore.New()
		faults := true
		mem.Fault = func(string, string) tdmemstore.Fault {
			if !faults {
				return tdmemstore.None
			}
			return []tdmemstore.Fault{
				tdmemstore.None, tdmemstore.None, tdmemstore.None, tdmemstore.LoseAnswer, tdmemstore.LoseCall, tdmemstore.Refuse,
			}[rapid.IntRange(0, 5).Draw(t, "fault")]
		}
		fast := tdstore.Options{Reads: 1e9, Writes: 1e9, Backoff: 1, ProbeInterval: 1, RecoverySpread: 1}
		operators := []*Config{
			newTestConfig(tdstore.New(mem, tdclock.New(), fast), 100), newTestConfig(tdstore.New(mem, tdclock.New(), fast), 100),
		}
		for _, c := range operators {
			c.storeConcurrency = 1 // Concurrent calls would draw faults in random order.
		}
		ctx := context.Background()
		var attempts []attempt
		for n := range 8 {
			c := operators[rapid.IntRange(0, 1).Draw(t, "operator")]
			base := c.current.Load().version()
			if rapid.Bool().Draw(t, "informed") && len(attempts) > 0 {
				base = max(base, attempts[len(attempts)-1].v)
			}
			note := fmt.Sprintf("try%d", n)
			v, err := c.Publish(ctx, base, bigSet(n, 2*n), tarragondeal.Publication{Note: note})
			attempts = append(attempts, attempt{note: note, v: v, err: err})
		}
		faults = false
		history, err := operators[0].History(ctx, 100)
		if err != nil {
			t.Fatal(err)
		}
		published := make(map[string]tarragondeal.Version)
		reader := newTestConfig(mem, 100)
		for n, p := range history {
			if p.Version != tarragondeal.Version(len(history)-n) {
				t.Fatalf("history has a gap: %v", history)
			}
			published[p.Note] = p.Version
			if _, err := reader.Published(ctx, p.Version); err != nil {
				t.Fatalf("version %d is not complete: %v", p.Version, err)
			}
		}
		if e, err := mem.Get(ctx, rootKey); err != nil || e.Revision != 0 && reader.apply(ctx, e.Value) != nil {
			t.Fatalf("the published set is not complete: %v", err)
		}
		for _, a := range attempts {
			a.check(t, published)
		}
	})
}

func TestOldVersionsAreCleanedUp(t *testing.T) {
	mem := tdmemstore.New()
	c := newTestConfig(mem, 3)
	ctx := context.Background()
	set := bigSet(200, 600)
	for v := range tarragondeal.Version(10) {
		set.Keys[v].Withdrawn = true
		if _, err := c.Publish(ctx, v, set, tarragondeal.Publication{}); err != nil {
			t.Fatal(err)
		}
	}
	used := make(map[string]bool)
	for v := tarragondeal.Version(7); v <= 9; v++ { // Keep is 3 and version 10 is in force.
		r, err := c.archivedRoot(ctx, v)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range r.digests() {
			used[d.key()] = true
		}
	}
	for _, d := range c.current.Load().root.digests() {
		used[d.key()] = true
	}
	stored, err := mem.List(ctx, "config/", "", 10000)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range stored {
		if strings.HasPrefix(e.Key, piecePrefix) && !used[e.Key] {
			t.Errorf("%s is not used by any kept version", e.Key)
		}
		delete(used, e.Key)
	}
	if len(used) > 0 {
		t.Errorf("%d pieces of kept versions were removed", len(used))
	}
	if _, err := c.Published(ctx, 2); err == nil {
		t.Error("version 2 should no longer be kept")
	}
}

// forgingServer returns a piece that was not requested.
type forgingServer struct {
	UnimplementedConfigurationServer
	called chan struct{}
}

func (s *forgingServer) Pieces(_ *Want, stream grpc.ServerStreamingServer[Piece]) error {
	s.called <- struct{}{}
	return stream.Send(&Piece{Content: []byte(`{"base":0,"mark":"x","set":{"keys":[{"name":"forged"}]}}`)})
}

func TestForgedPieceIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	forger := &forgingServer{called: make(chan struct{}, 16)}
	srv := grpc.NewServer()
	RegisterConfigurationServer(srv, forger)
	go func() { _ = srv.Serve(ln) }()
	defer srv.Stop()
	mem := tdmemstore.New()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := newTestConfig(mem, 3).Publish(ctx, 0, bigSet(5, 5), tarragondeal.Publication{}); err != nil {
		t.Fatal(err)
	}
	c := newTestConfig(mem, 3)
	c.Members.(*fakeMembers).others = []tarragondeal.Member{
		{Node: "node2", Config: 1, Peer: netip.MustParseAddrPort(ln.Addr().String())},
	}
	e, err := mem.Get(ctx, rootKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.apply(ctx, e.Value); err != nil {
		t.Fatal(err)
	}
	if len(forger.called) == 0 {
		t.Error("no pieces were requested from the forging node")
	}
	if v := c.View(); v == nil || len(v.Keys) != 5 || v.Keys["forged"] != nil {
		t.Errorf("unexpected view: %+v", v)
	}
}
