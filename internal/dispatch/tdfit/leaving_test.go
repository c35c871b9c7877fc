package tdfit

import (
	"errors"
	"testing"
	"time"

	"tarragondeal"
)

// says gives a node an answer in which a server says that it is leaving.
func (w *testFit) says(id tarragondeal.ServerID) { w.ObserveLeaving(w.servers[id].Server, "r") }

// chosen counts the grants of each server in n attempts.
func (w *testFit) chosen(t *testing.T, n int, a tarragondeal.Ask) map[tarragondeal.ServerID]int {
	t.Helper()
	out := make(map[tarragondeal.ServerID]int)
	for range n {
		g, err := w.reserve(a)
		if err != nil {
			t.Fatal(err)
		}
		out[g.Server.ID]++
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
	return out
}

// started returns a list of the servers of pool m that started at the given times.
func started(at ...time.Time) []tarragondeal.Server {
	var out []tarragondeal.Server
	for n, s := range at {
		out = append(out, tarragondeal.Server{
			ID: tarragondeal.ServerID([]string{"m0", "m1", "m2"}[n]), Pool: "m", DataCentre: "a", State: tarragondeal.VMLive, StartedAt: s,
		})
	}
	return out
}

// TestLeavingServerGetsNoRequests guards against nodes that go on sending to a server that
// has announced to another node that it leaves, and against attempts other than first ones.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	for _, size := range []int{1, 7, 30, 60} {
		w := newLimitFleet(size, 3)
		w.exchange() // All streams of states are open.
		w.nodes[size-1].says("m0")
		if got := w.nodes[size-1].chosen(t, 100, liveStream())["m0"]; got > 0 {
			t.Errorf("%d nodes: %d requests of the node that was told", size, got)
		}
		w.exchange()
		w.exchange()
		for n, node := range w.nodes {
			for _, a := range []tarragondeal.Ask{
				{}, {Attempt: 2}, {Attempt: 3, Avoid: []tarragondeal.ServerID{"m1"}}, {Software: &tarragondeal.Software{Pool: "m", Version: "v1"}},
			} {
				for _, s := range node.servers {
					s.SoftwareVersion = "v1"
				}
				a.Pools, a.Input, a.Gap = []string{"m"}, 600, 250*time.Millisecond
				if got := node.chosen(t, 20, a)["m0"]; got > 0 {
					t.Errorf("%d nodes, node %d: %d requests with %+v", size, n, got, a)
				}
			}
		}
	}
}

// TestGrantOfLeavingServerIsRevoked guards against a request that is sent to a server that has
// left since the grant, and against a grant that is revoked although its server is live.
func TestGrantOfLeavingServerIsRevoked(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(w *testFit, list []tarragondeal.Server)
		valid bool
	}{
		{"nothing", func(*testFit, []tarragondeal.Server) {}, true},
		{"its entry was written again", func(w *testFit, list []tarragondeal.Server) { list[0].Slots = 7; w.SetServers(list) }, true},
		{"an answer says that it leaves", func(w *testFit, _ []tarragondeal.Server) { w.says("m0") }, false},
		{"its entry says that it leaves", func(w *testFit, list []tarragondeal.Server) {
			list[0].State = tarragondeal.VMLeaving
			w.SetServers(list)
		}, false},
		{"its entry is gone", func(w *testFit, list []tarragondeal.Server) { w.SetServers(list[1:]) }, false},
		{"another run is listed", func(w *testFit, list []tarragondeal.Server) {
			list[0].StartedAt = list[0].StartedAt.Add(time.Minute)
			w.SetServers(list)
		}, false},
	} {
		w := newTestFit(0)
		wall := w.clock.Wall()
		list := started(wall.Add(-time.Minute), wall.Add(-time.Minute))
		w.SetServers(list)
		g, err := w.reserve(tarragondeal.Ask{Pools: []string{"m"}, Avoid: []tarragondeal.ServerID{"m1"}})
		if err != nil || !w.Valid(g) {
			t.Fatalf("%s: %v, valid %t", c.name, err, w.Valid(g))
		}
		c.event(w, list)
		if got := w.Valid(g); got != c.valid {
			t.Errorf("%s: valid %t", c.name, got)
		}
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeUnused})
		if w.Valid(g) {
			t.Errorf("%s: valid after its end", c.name)
		}
	}
}

// TestLeavingOutlivesListing guards against a run that is taken for a live one after its
// entry was gone, changed, or read by a node that has just started.
func TestLeavingOutlivesListing(t *testing.T) {
	w := newLimitFleet(3, 0)
	wall := w.clock.Wall()
	list := started(wall.Add(-time.Minute), wall.Add(-time.Minute))
	setAll := func(list []tarragondeal.Server) {
		for _, n := range w.nodes {
			n.SetServers(list)
		}
	}
	setAll(list)
	w.nodes[1].says("m0")
	w.exchange()
	w.exchange()
	check := func(what string) {
		t.Helper()
		for n, node := range w.nodes {
			if got := node.chosen(t, 20, liveStream())["m0"]; got > 0 {
				t.Errorf("%s, node %d: %d requests", what, n, got)
			}
		}
	}
	list[0].Slots = 7
	setAll(list)
	check("entry written again")
	w.advance(5 * time.Minute) // During an outage of the store, say.
	setAll(list[1:])
	w.advance(leavingTTL)
	setAll(list)
	check("entry gone and back")
	names := w.nodes[0].Nodes()
	w.nodes[2] = newTestFitAt(names[2], names, w.clock, 0)
	w.links = make(map[[2]int]func(func(tarragondeal.NodeID) bool) []byte)
	w.nodes[2].SetServers(list)
	w.exchange()
	check("node started")
	w.advance(5 * time.Minute)
	setAll(list[1:])
	w.advance(2 * leavingTTL)
	setAll(list[1:])
	for n, node := range w.nodes {
		if got := len(node.leaving); got > 0 {
			t.Errorf("node %d keeps %d notices of servers that are gone", n, got)
		}
	}
}

// TestLeavingBindsOneRun guards against a server that is never used again after one of
// its runs has left, and against a notice that is taken for that of the run before.
func TestLeavingBindsOneRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		start   time.Duration // Of the new run, after the notice.
		leaving bool
	}{
		{"run that started after the notice", 3 * time.Second, false},
		{"run that gave the notice before it was listed", -5 * time.Second, true},
	} {
		w := newTestFit(0)
		wall := w.clock.Wall()
		w.SetServers(started(wall.Add(-time.Minute), wall.Add(-time.Minute)))
		w.says("m0")
		w.clock.now = w.clock.now.Add(10 * time.Second)
		w.SetServers(started(wall.Add(c.start), wall.Add(-time.Minute)))
		if got := w.chosen(t, 100, liveStream())["m0"]; (got == 0) != c.leaving {
			t.Errorf("%s: %d requests", c.name, got)
		}
	}
}

// TestListedLeavingHoldsForRun guards against a server that is used again since a late write
// lists it as live, a node that goes on since its list is old, and a run that is taken for the
// one before.
func TestListedLeavingHoldsForRun(t *testing.T) {
	w := newLimitFleet(7, 0)
	wall := w.clock.Wall()
	list := started(wall.Add(-time.Minute), wall.Add(-time.Minute))
	for _, n := range w.nodes {
		n.SetServers(list)
	}
	leaving := started(wall.Add(-time.Minute), wall.Add(-time.Minute))
	leaving[0].State = tarragondeal.VMLeaving
	w.nodes[3].SetServers(leaving) // The others' lists are old.
	w.exchange()
	w.exchange()
	w.nodes[3].SetServers(list)
	for n, node := range w.nodes {
		if got := node.chosen(t, 20, liveStream())["m0"]; got > 0 {
			t.Errorf("node %d: %d requests", n, got)
		}
	}
	w.advance(10 * time.Second) // Node 5 learns of the old run only now, and then of the new one.
	w.nodes[5] = newTestFitAt(nodeName(5), w.nodes[0].Nodes(), w.clock, 0)
	w.nodes[5].SetServers(leaving)
	again := started(wall.Add(5*time.Second), wall.Add(-time.Minute))
	for n, node := range w.nodes {
		node.SetServers(again)
		if got := node.chosen(t, 40, liveStream())["m0"]; got == 0 {
			t.Errorf("node %d: the new run gets no requests", n)
		}
	}
}

// TestNoticesOfLeavingExpire guards against notices of runs that are gone and that nodes
// repeat to one another whenever a stream of states between them is opened.
func TestNoticesOfLeavingExpire(t *testing.T) {
	w := newLimitFleet(2, 0)
	wall := w.clock.Wall()
	list := started(wall.Add(-time.Minute), wall.Add(-time.Minute))
	w.nodes[0].SetServers(list)
	w.nodes[0].says("m0")
	for k := range 2 * int(maxLeavingAge/leavingTTL) {
		from := k % 2
		w.nodes[1-from].Receive(nodeName(from), w.nodes[from].Writer()(ownOnly))
		w.advance(leavingTTL - time.Second)
		for _, n := range w.nodes {
			n.SetServers(list[1:])
		}
	}
	for n, node := range w.nodes {
		if got := len(node.leaving); got > 0 {
			t.Errorf("node %d keeps %d notices", n, got)
		}
	}
}

// TestAllServersLeaving guards against a request that is sent to a leaving server since
// there is no other one, and against one that waits to its deadline.
func TestAllServersLeaving(t *testing.T) {
	w := newTestFit(2)
	w.says("m0")
	w.says("m1")
	_, err := w.reserve(liveStream()) // With no target, it waits for no time.
	var refused *tarragondeal.RefusedError
	if !errors.As(err, &refused) || refused.Reason != tarragondeal.ReasonNoServer || refused.Ran != tarragondeal.RanNot || refused.RetryAfter <= 0 {
		t.Errorf("%v", err)
	}
	for _, s := range w.Servers() {
		if s.Pool == "m" && s.State != tarragondeal.VMLeaving {
			t.Errorf("%s counts as live", s.ID)
		}
	}
}
