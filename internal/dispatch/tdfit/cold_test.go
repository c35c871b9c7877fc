package tdfit

import (
	"slices"
	"testing"
	"time"

	"tarragondeal"
)

// coldFleet is a fleet before engines that bear few requests while they are cold.
func coldFleet(size, engines int, perSecond float64) *limitFleet {
	w := newLimitFleet(size, engines)
	for _, node := range w.nodes {
		node.opt.Bounds.ColdExcess, node.opt.Bounds.ColdSlack = 1.5, 5
		node.view.ServerPools["m"].ColdRate = perSecond
	}
	return w
}

// listCold lists a server as cold for a time at all nodes.
func (w *limitFleet) listCold(id tarragondeal.ServerID, left time.Duration) {
	for _, node := range w.nodes {
		var list []tarragondeal.Server
		for _, s := range node.Servers() {
			if s.ID == id {
				s.WarmUpLeft = left
			}
			list = append(list, s)
		}
		node.SetServers(list)
	}
}

// TestColdServerGetsFewRequests answers the load of a burst of all nodes when a server comes
// back cold and the others are full: it crashes again under the requests of all of them.
func TestColdServerGetsFewRequests(t *testing.T) {
	const perSecond = 9.1
	bound := 1.5*perSecond + 5
	for _, size := range []int{7, 88} {
		w := coldFleet(size, 3, perSecond)
		w.listCold("m0", 3*time.Second)
		var sent []tarragondeal.Instant
		warm := 0
		for step := range 300 {
			for _, node := range w.nodes {
				a := liveStream()
				a.Attempt, a.Avoid = 1, []tarragondeal.ServerID{"m1", "m2"}
				r := newRequest(&a)
				g, ok, err := node.choose(&r, w.clock.now, true)
				switch {
				case err != nil:
					t.Fatal(err)
				case !ok:
				case step < 150:
					sent = append(sent, w.clock.now)
				default:
					warm++
				}
				node.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
			}
			if step == 100 {
				w.listCold("m0", 3*time.Second) // Another server's entry changes; its own is the same.
			}
			w.advance(20 * time.Millisecond)
		}
		if n := mostWithin(sent, time.Second); float64(n) > bound {
			t.Errorf("%d nodes: %d requests in a second, %.0f permitted", size, n, bound)
		}
		if len(sent) < 5 {
			t.Errorf("%d nodes: only %d requests in 3s", size, len(sent))
		}
		if warm < 100 {
			t.Errorf("%d nodes: only %d requests when it is warm again", size, warm)
		}
	}
}

// TestServerColdAgain guards against a server that turns cold again while it runs, for as long
// as after its start, and gets as many requests as a warm one; against one that a list with
// other changes makes cold once more; and against one that stays cold although its entry says
// that it is warm.
func TestServerColdAgain(t *testing.T) {
	w := coldFleet(1, 3, 9)
	node := w.nodes[0]
	list := node.Servers()
	at := slices.IndexFunc(list, func(s tarragondeal.Server) bool { return s.ID == "m0" })
	write := func(left time.Duration) {
		list[at].WarmUpLeft, list[at].ListedAt = left, w.clock.now
		node.SetServers(slices.Clone(list))
	}
	write(3 * time.Second)
	w.advance(4 * time.Second)
	node.SetServers(slices.Clone(list))
	node.SetView(node.view)
	if node.limited("m0") {
		t.Error("a server is cold after the time that its entry said")
	}
	write(3 * time.Second)
	if !node.limited("m0") {
		t.Error("a server whose entry says again that it is cold has no limit")
	}
	w.advance(time.Second)
	write(time.Second) // Written again with less time left.
	w.advance(900 * time.Millisecond)
	if !node.limited("m0") {
		t.Error("a server is warm before the time left in its entry")
	}
	w.advance(200 * time.Millisecond)
	if node.limited("m0") {
		t.Error("a server is cold after the time left in its entry")
	}
	write(3 * time.Second)
	write(0)
	if node.limited("m0") {
		t.Error("a server is cold whose entry says that it is warm")
	}
}

// TestColdServerWhoseLimitEnds guards against a cold server that has announced a limit below that
// of cold ones and no longer does: the permits of both limits together are too many.
func TestColdServerWhoseLimitEnds(t *testing.T) {
	const perSecond = 9.1
	bound := 1.5*perSecond + 5
	for _, coldFirst := range []bool{true, false} {
		w := coldFleet(7, 3, perSecond)
		if coldFirst {
			w.listCold("m0", time.Minute)
			w.nodes[0].limited("m0")
		}
		for _, node := range w.nodes {
			node.announce("m0", 8, w.clock.now)
		}
		w.listCold("m0", time.Minute)
		w.advance(3 * time.Second) // Permits of a second are there.
		var sent []tarragondeal.Instant
		for step := range 100 {
			for _, node := range w.nodes {
				if step == 10 {
					node.announce("m0", 0, w.clock.now)
				}
				for range 10 {
					a := liveStream()
					a.Attempt, a.Avoid = 1, []tarragondeal.ServerID{"m1", "m2"}
					r := newRequest(&a)
					g, ok, err := node.choose(&r, w.clock.now, true)
					if err != nil {
						t.Fatal(err)
					}
					if ok {
						sent = append(sent, w.clock.now)
					}
					node.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
				}
			}
			w.advance(20 * time.Millisecond)
		}
		if n := mostWithin(sent, time.Second); float64(n) > bound || n < 8 {
			t.Errorf("cold first %t: %d requests in a second, %.0f permitted", coldFirst, n, bound)
		}
	}
}

// TestColdServerWhenAllNodesStart guards against a cold server that gets too many requests when all
// nodes start at once: each knows only those that have registered before it.
func TestColdServerWhenAllNodesStart(t *testing.T) {
	const perSecond = 6.0
	bound := 1.5*perSecond + 5
	w := coldFleet(11, 3, perSecond)
	start := w.clock.now
	for n, node := range w.nodes {
		all := node.Nodes()
		node.Nodes = func() []tarragondeal.NodeID {
			if w.clock.now.Sub(start) < 400*time.Millisecond {
				return all[:n+1]
			}
			return all
		}
	}
	w.listCold("m0", time.Minute)
	var sent []tarragondeal.Instant
	for range 200 {
		for _, node := range w.nodes {
			a := liveStream()
			a.Attempt, a.Avoid = 1, []tarragondeal.ServerID{"m1", "m2"}
			r := newRequest(&a)
			g, ok, err := node.choose(&r, w.clock.now, true)
			if err != nil {
				t.Fatal(err)
			}
			if ok {
				sent = append(sent, w.clock.now)
			}
			node.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
		}
		w.advance(20 * time.Millisecond)
	}
	if n := mostWithin(sent, time.Second); float64(n) > bound || len(sent) < 10 {
		t.Errorf("%d requests in a second, %.0f permitted; %d in 4s", n, bound, len(sent))
	}
}

// TestServersWithoutColdRate guards against limits at servers that bear any number of requests
// while they are slow after their start.
func TestServersWithoutColdRate(t *testing.T) {
	w := coldFleet(1, 3, 0)
	w.listCold("m0", 3*time.Second)
	if w.nodes[0].limited("m0") {
		t.Error("a server has a limit without a rate")
	}
}

// TestEvacuatedDataCentre guards against requests to the servers of a data centre that operators
// have evacuated, those among them whose connection is being made, and against servers
// that get none after the evacuation.
func TestEvacuatedDataCentre(t *testing.T) {
	w := newTestFit(3)
	list := w.Servers()
	for n := range list {
		if list[n].ID == "m0" {
			list[n].DataCentre = "b"
		}
	}
	w.SetServers(list)
	var connecting tarragondeal.Grant
	for connecting.Server.ID != "m0" {
		g, err := w.reserve(liveStream())
		if err != nil {
			t.Fatal(err)
		}
		connecting = g
	}
	w.SetEvacuated([]string{"z", "b"})
	if w.Valid(connecting) {
		t.Error("a request may be sent that was connecting at the evacuation")
	}
	if n := w.chosen(t, 100, liveStream())["m0"]; n > 0 {
		t.Errorf("%d requests went to an evacuated data centre", n)
	}
	list = append(list, tarragondeal.Server{ID: "m9", Pool: "m", DataCentre: "b", State: tarragondeal.VMLive})
	w.SetServers(list)
	if n := w.chosen(t, 100, liveStream())["m9"]; n > 0 {
		t.Errorf("%d requests went to a new server of an evacuated data centre", n)
	}
	w.SetEvacuated(nil)
	if got := w.chosen(t, 200, liveStream()); got["m0"]+got["m9"] == 0 {
		t.Error("no request went to the data centre after its evacuation")
	}
}

// TestHomes guards against requests that run outside of their homes.
func TestHomes(t *testing.T) {
	w := newTestFit(3)
	list := w.Servers()
	for n := range list {
		if list[n].ID != "m0" {
			list[n].DataCentre = "b"
		}
	}
	w.SetServers(list)
	a := liveStream()
	a.DataCentres = []string{"a"}
	if got := w.chosen(t, 50, a); got["m0"] != 50 {
		t.Errorf("requests went to %v", got)
	}
}
