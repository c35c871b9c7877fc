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

// fakeMembers are this node and others that the test names.
type fakeMembers struct {
	others []tarragondeal.Member
}

func (*fakeMembers) Self() tarragondeal.Member           { return tarragondeal.Member{Node: "node1"} }
func (m *fakeMembers) Members() []tarragondeal.Member    { return m.others }
func (*fakeMembers) Changed() <-chan struct{}            { return nil }
func (*fakeMembers) SetConfig(tarragondeal.Version)      {}
func (*fakeMembers) Heard() (tarragondeal.Instant, bool) { return 0, false }
func (*fakeMembers) Known() int                          { return 0 }
func (*fakeMembers) Resumed() <-chan struct{}            { return nil }
func (*fakeMembers) Late() bool                          { return false }
func (*fakeMembers) Dial(a netip.AddrPort) (grpc.ClientConnInterface, error) {
	return grpc.NewClient("passthrough:///"+a.String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
}

func publisher(store tarragondeal.Store, keep int) *Config {
	m := &fakeMembers{}
	c := New(Deps{Store: store, Members: m, Links: m, Clock: tdclock.New(), Keep: keep})
	c.confirm(true)
	return c
}

// try is one publication and what was said of it.
type try struct {
	note string
	v    tarragondeal.Version
	err  error
}

func (c try) check(t *rapid.T, published map[string]tarragondeal.Version) {
	v, ok := published[c.note]
	var failed *tarragondeal.StoreError
	var conflict *tarragondeal.ConflictError
	switch {
	case c.err == nil && (!ok || v != c.v):
		t.Fatalf("%s was said to be version %d and is version %d", c.note, c.v, v)
	case errors.As(c.err, &conflict) && ok:
		t.Fatalf("%s was said to conflict and is version %d", c.note, v)
	case errors.As(c.err, &failed) && failed.Settled && ok:
		t.Fatalf("%s was said not to be published and is version %d", c.note, v)
	}
}

// TestPublishTruth lets two operators publish in turn over a store that loses
// calls and answers. What they are told is true, versions have no gap, and
// every kept version is whole.
func TestPublishTruth(t *testing.T) {
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
		fast := tdstore.Options{Reads: 1e9, Writes: 1e9, Backoff: 1, Probe: 1, Spread: 1}
		operators := []*Config{
			publisher(tdstore.New(mem, tdclock.New(), fast), 100), publisher(tdstore.New(mem, tdclock.New(), fast), 100),
		}
		for _, c := range operators {
			c.parallel = 1 // Draws must come in one order.
		}
		ctx := context.Background()
		var tries []try
		for n := range 8 {
			c := operators[rapid.IntRange(0, 1).Draw(t, "operator")]
			base := c.now.Load().version()
			if rapid.Bool().Draw(t, "informed") && len(tries) > 0 {
				base = max(base, tries[len(tries)-1].v)
			}
			note := fmt.Sprintf("try%d", n)
			v, err := c.Publish(ctx, base, bigSet(n, 2*n), tarragondeal.Publication{Note: note})
			tries = append(tries, try{note: note, v: v, err: err})
		}
		faults = false
		history, err := operators[0].History(ctx, 100)
		if err != nil {
			t.Fatal(err)
		}
		published := make(map[string]tarragondeal.Version)
		reader := publisher(mem, 100)
		for n, p := range history {
			if p.Version != tarragondeal.Version(len(history)-n) {
				t.Fatalf("history has a gap: %v", history)
			}
			published[p.Note] = p.Version
			if _, err := reader.Published(ctx, p.Version); err != nil {
				t.Fatalf("version %d is not whole: %v", p.Version, err)
			}
		}
		if e, err := mem.Get(ctx, rootKey); err != nil || e.Revision != 0 && reader.take(ctx, e.Value) != nil {
			t.Fatalf("the published set is not whole: %v", err)
		}
		for _, c := range tries {
			c.check(t, published)
		}
	})
}

func TestOldVersionsAreCleanedUp(t *testing.T) {
	mem := tdmemstore.New()
	c := publisher(mem, 3)
	ctx := context.Background()
	set := bigSet(200, 600)
	for v := range tarragondeal.Version(10) {
		set.Keys[v].Withdrawn = true
		if _, err := c.Publish(ctx, v, set, tarragondeal.Publication{}); err != nil {
			t.Fatal(err)
		}
	}
	used := make(map[string]bool)
	for v := tarragondeal.Version(7); v <= 9; v++ { // Keep is 3 and 10 is in force.
		r, err := c.archived(ctx, v)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range r.digests() {
			used[d.key()] = true
		}
	}
	for _, d := range c.now.Load().root.digests() {
		used[d.key()] = true
	}
	there, err := mem.List(ctx, "config/", "", 10000)
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range there {
		if strings.HasPrefix(e.Key, piecePrefix) && !used[e.Key] {
			t.Errorf("%s is in no kept version", e.Key)
		}
		delete(used, e.Key)
	}
	if len(used) > 0 {
		t.Errorf("%d pieces of kept versions are gone", len(used))
	}
	if _, err := c.Published(ctx, 2); err == nil {
		t.Error("version 2 should no longer be kept")
	}
}

// liar serves pieces that are not what was asked for.
type liar struct {
	UnimplementedConfigurationServer
	asked chan struct{}
}

func (l *liar) Pieces(_ *Want, stream grpc.ServerStreamingServer[Piece]) error {
	l.asked <- struct{}{}
	return stream.Send(&Piece{Content: []byte(`{"base":0,"mark":"x","set":{"keys":[{"name":"forged"}]}}`)})
}

func TestForgedPieceIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &liar{asked: make(chan struct{}, 16)}
	srv := grpc.NewServer()
	RegisterConfigurationServer(srv, l)
	go func() { _ = srv.Serve(ln) }()
	defer srv.Stop()
	mem := tdmemstore.New()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	if _, err := publisher(mem, 3).Publish(ctx, 0, bigSet(5, 5), tarragondeal.Publication{}); err != nil {
		t.Fatal(err)
	}
	c := publisher(mem, 3)
	c.Members.(*fakeMembers).others = []tarragondeal.Member{
		{Node: "node2", Config: 1, Peer: netip.MustParseAddrPort(ln.Addr().String())},
	}
	e, err := mem.Get(ctx, rootKey)
	if err != nil {
		t.Fatal(err)
	}
	if err := c.take(ctx, e.Value); err != nil {
		t.Fatal(err)
	}
	if len(l.asked) == 0 {
		t.Error("the forger was not asked")
	}
	if v := c.View(); v == nil || len(v.Keys) != 5 || v.Keys["forged"] != nil {
		t.Errorf("wrong view %+v", v)
	}
}
