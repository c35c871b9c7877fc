package tdfit

import (
	"fmt"
	"testing"
	"time"

	"tarragondeal"
)

// TestBacklogOfEndedRequests guards against a backlog that outlasts the requests it consists of:
// after an overload in which requests are cut at their deadlines, an idle engine would refuse others.
func TestBacklogOfEndedRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(w *testFit)
	}{
		{"of this node", func(w *testFit) {
			var grants []tarragondeal.Grant
			for n := range uint64(100) {
				g, err := w.reserve(longPrompt(n))
				if err != nil {
					t.Fatal(err)
				}
				grants = append(grants, g)
			}
			w.clock.now = w.clock.now.Add(4 * time.Second)
			for _, g := range grants {
				w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeLate})
			}
		}},
		{"of a peer", func(w *testFit) {
			w.lastHeard["peer"] = w.clock.now
			w.receiveUses("peer", &Load{Uses: []*Use{{Server: "m0", Running: 100, Tokens: 900_000}}})
			for range 100 {
				w.receiveSent("peer", []*Sent{{Server: "m0", Fresh: 9000}}, w.clock.now)
			}
			w.clock.now = w.clock.now.Add(4 * time.Second)
			w.lastHeard["peer"] = w.clock.now
			w.receiveUses("peer", &Load{Uses: []*Use{{Server: "m0"}}})
		}},
	} {
		w := newTestFit(1)
		w.opt.Scarce = true
		c.cut(w)
		if got := w.servers["m0"].backlog(w.clock.now); got > 0 {
			t.Errorf("requests %s: a backlog of %v is left of requests that have ended", c.name, got)
		}
	}
}

// overloaded returns a Fit of an adaptive pool all of whose engines have work for some time.
func overloaded(engines int, backlog time.Duration) *testFit {
	w := newTestFit(engines)
	w.opt.Scarce = true
	for n := range engines {
		overload(w, w.servers[tarragondeal.ServerID(fmt.Sprint("m", n))], backlog)
	}
	return w
}

func overload(w *testFit, s *server, backlog time.Duration) {
	s.prefilledAt = w.clock.now.Add(backlog)
	s.own.running, s.own.tokens = 40, 200_000
}

// due returns an ask whose first event is due soon.
func due() tarragondeal.Ask {
	a := longPrompt(1)
	a.Target, a.Deadline = 500*time.Millisecond, 4*time.Second
	return a
}

// decide returns the server to which a request would be sent after it was held back, and the error
// if it is refused.
func decide(w *testFit, a tarragondeal.Ask) (tarragondeal.ServerID, error) {
	r := newRequest(&a)
	start := w.clock.now.Add(-a.Target / 2)
	g, ok, err := w.choose(&r, start, true)
	if !ok && err == nil {
		return "", fmt.Errorf("no server")
	}
	return g.Server.ID, err
}

// TestRefusedOnlyIfLateEverywhere guards against the refusal of a request that an engine which was not
// among those compared, or another pool, can serve before its deadline.
func TestRefusedOnlyIfLateEverywhere(t *testing.T) {
	const (
		engines = 140
		late    = 10 * time.Second
		tries   = 20
	)
	for range tries {
		w := overloaded(engines, late)
		if id, err := decide(w, due()); err == nil {
			t.Fatalf("sent to %s, which is late", id)
		}
		idle := w.servers["m77"]
		idle.prefilledAt, idle.own = 0, use{}
		if id, err := decide(w, due()); err != nil || id != idle.ID {
			t.Fatalf("sent to %q, %v; %s has nothing to do", id, err, idle.ID)
		}
	}
	w := overloaded(1, late)
	a := due()
	a.Pools = []string{"m", "p"}
	if id, err := decide(w, a); err != nil || id[0] != 'p' {
		t.Errorf("sent to %q, %v; the other pool has nothing to do", id, err)
	}
}

// TestUrgentAfterLessUrgentWasSent guards against the refusal of a request while a less urgent one
// that this node has sent to the pool has yet to begin.
func TestUrgentAfterLessUrgentWasSent(t *testing.T) {
	w := overloaded(1, 0)
	low := due()
	low.Tier = 5
	g, err := w.reserve(low)
	if err != nil {
		t.Fatal(err)
	}
	overload(w, w.servers["m0"], 10*time.Second)
	urgent := due()
	urgent.Tier = 3
	if _, err := decide(w, urgent); err != nil {
		t.Errorf("the urgent request is refused before the other begins: %v", err)
	}
	w.Progress(g, 1)
	if _, err := decide(w, urgent); err != nil {
		t.Errorf("the urgent request is refused after the other has begun: %v", err)
	}
}

// TestWorkspacesWithTiers guards against requests that are never refused where workspaces have tiers
// of their own: those are no tiers of classes. Among the workspaces, only the least urgent yield.
func TestWorkspacesWithTiers(t *testing.T) {
	w := overloaded(1, 0)
	w.SetView(tarragondeal.NewView(1, &tarragondeal.Set{
		ServerPools: []tarragondeal.ServerPool{{Name: "m", Engine: &tarragondeal.Engine{Slots: 64, KVTokens: 250_000, TokensPerEvent: 4}}},
		Routes:      []tarragondeal.Route{{Name: "live", Class: "live", Pools: []string{"m"}}, {Name: "long", Class: "long", Pools: []string{"m"}}},
		RequestClasses: []tarragondeal.RequestClass{
			{Name: "live", Tier: 1, Events: true, BetweenTokens: tarragondeal.Duration(250 * time.Millisecond)},
			{Name: "long", Tier: 3, Events: true, FirstToken: tarragondeal.Duration(time.Second)},
		},
	}))
	second := due()
	second.Class, second.Tier = "long", 2
	if _, err := w.reserve(second); err != nil {
		t.Fatal(err)
	}
	overload(w, w.servers["m0"], 10*time.Second)
	for _, c := range []struct {
		class   string
		tier    int
		refused bool
	}{{"long", 2, true}, {"long", 1, false}, {"live", 2, false}} {
		a := due()
		a.Class, a.Tier = c.class, c.tier
		if _, err := decide(w, a); (err != nil) != c.refused {
			t.Errorf("%s of a workspace of tier %d: %v", c.class, c.tier, err)
		}
	}
}
