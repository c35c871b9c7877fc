package tdfit

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"tarragondeal"
)

// limitFleet is a fleet of nodes that exchange their load.
type limitFleet struct {
	clock *fakeClock
	nodes []*testFit
	links map[[2]int]func(func(tarragondeal.NodeID) bool) []byte
}

func newLimitFleet(size, engines int) *limitFleet {
	w := &limitFleet{clock: &fakeClock{now: tarragondeal.Instant(time.Hour)}, links: make(map[[2]int]func(func(tarragondeal.NodeID) bool) []byte)}
	names := make([]tarragondeal.NodeID, size)
	for n := range names {
		names[n] = nodeName(n)
	}
	for n := range names {
		w.nodes = append(w.nodes, newTestFitAt(names[n], names, w.clock, engines))
	}
	return w
}

func nodeName(n int) tarragondeal.NodeID { return tarragondeal.NodeID(fmt.Sprintf("node-%d", n)) }

// exchange sends the load of each node to each other node, as over a relay.
func (w *limitFleet) exchange() {
	for from := range w.nodes {
		for to := range w.nodes {
			if from == to || from != 0 && to != 0 {
				continue // Node 0 relays.
			}
			link := [2]int{from, to}
			if w.links[link] == nil {
				w.links[link] = w.nodes[from].Writer()
			}
			w.nodes[to].Receive(nodeName(from), w.links[link](ownOnly))
		}
	}
}

func (w *limitFleet) advance(d time.Duration) { w.clock.now = w.clock.now.Add(d) }

func (w *testFit) limited(id tarragondeal.ServerID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limitOf(w.servers[id]) != nil
}

// announce gives a node an answer of a server to a request that was sent at sent.
func (w *testFit) announce(id tarragondeal.ServerID, perSecond float64, sent tarragondeal.Instant) {
	w.ObserveLimit(w.servers[id].Server, "r", tarragondeal.ServerRate{Announced: perSecond > 0, PerSecond: perSecond}, sent)
}

// TestLimitHoldsForAllAttempts guards against a server that gets more requests than
// its limit permits, whichever node learned of the limit, and by attempts other
// than first ones.
func TestLimitHoldsForAllAttempts(t *testing.T) {
	for _, size := range []int{7, 59} {
		const (
			perSecond = 1.0
			bound     = int(1.5*4*perSecond) + 5
		)
		w := newLimitFleet(size, 3)
		w.nodes[size-1].announce("m0", perSecond, w.clock.now)
		w.exchange()
		w.exchange()
		var sent []tarragondeal.Instant
		for step := range 800 {
			for n, node := range w.nodes {
				a := liveStream()
				a.Attempt = 1 + (step+n)%3
				g, err := node.reserve(a)
				if err != nil {
					t.Fatal(err)
				}
				if g.Server.ID == "m0" {
					sent = append(sent, w.clock.now)
				}
				node.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
			}
			if step%5 == 0 {
				w.exchange()
			}
			w.advance(20 * time.Millisecond)
		}
		if n := mostWithin(sent, 4*time.Second); n > bound {
			t.Errorf("%d nodes: %d requests in 4s, %d permitted", size, n, bound)
		}
		if len(sent) < 8 {
			t.Errorf("%d nodes: only %d requests in 16s", size, len(sent))
		}
	}
}

// TestLimitHoldsWhileNodesStartAgain guards against a server that gets more requests
// than its limit permits since nodes that start again have no permits used, and
// against a limit that is lost with the node that learned of it.
func TestLimitHoldsWhileNodesStartAgain(t *testing.T) {
	const (
		size      = 11
		perSecond = 2.0
		bound     = int(1.5*4*perSecond) + 5
	)
	w := newLimitFleet(size, 3)
	w.nodes[size-1].announce("m0", perSecond, w.clock.now)
	names := w.nodes[0].Nodes()
	var sent []tarragondeal.Instant
	for step := range 1500 {
		if step%25 == 10 { // Twice a second.
			n := 1 + step/25%(size-1)
			w.nodes[n] = newTestFitAt(names[n], names, w.clock, 3)
			delete(w.links, [2]int{n, 0})
			delete(w.links, [2]int{0, n})
		}
		for _, node := range w.nodes {
			if !node.limited("m0") {
				continue // Doesn't know of it yet.
			}
			g, err := node.reserve(liveStream())
			if err != nil {
				t.Fatal(err)
			}
			if g.Server.ID == "m0" {
				sent = append(sent, w.clock.now)
			}
			node.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
		}
		if step%5 == 0 {
			w.exchange()
		}
		w.advance(20 * time.Millisecond)
	}
	if n := mostWithin(sent, 4*time.Second); n > bound {
		t.Errorf("%d requests in 4s, %d permitted", n, bound)
	}
	for n, node := range w.nodes {
		if !node.limited("m0") {
			t.Errorf("node %d has lost the limit", n)
		}
	}
}

// mostWithin returns the largest number of instants within a time.
func mostWithin(at []tarragondeal.Instant, d time.Duration) int {
	most := 0
	for n, first := range at {
		end := slices.IndexFunc(at, func(i tarragondeal.Instant) bool { return i.Sub(first) > d })
		if end < 0 {
			end = len(at)
		}
		most = max(most, end-n)
	}
	return most
}

// TestLimitIsKnownToAllNodes guards against nodes that send as before since another
// one learned of the limit, of its change or of its end.
func TestLimitIsKnownToAllNodes(t *testing.T) {
	w := newLimitFleet(5, 2)
	spread := func(want bool) {
		t.Helper()
		for range 3 {
			w.exchange()
			w.advance(100 * time.Millisecond)
		}
		for n, node := range w.nodes {
			if node.limited("m0") != want {
				t.Errorf("node %d: limited %t, want %t", n, !want, want)
			}
		}
	}
	w.nodes[3].announce("m0", 2, w.clock.now)
	spread(true)
	w.nodes[4].announce("m0", 0, w.clock.now)
	spread(false)
	w.nodes[1].announce("m0", 3, w.clock.now)
	spread(true)

	w.nodes = append(w.nodes, newTestFitAt("node-5", []tarragondeal.NodeID{"node-5"}, w.clock, 2)) // Starts later.
	spread(true)
}

// TestLimitEndsOnlyByLaterRequest guards against a limit that is dropped since the
// answer to an earlier request arrives after its announcement.
func TestLimitEndsOnlyByLaterRequest(t *testing.T) {
	w := newTestFit(2)
	early := w.clock.now
	w.clock.now = w.clock.now.Add(time.Second)
	w.announce("m0", 2, w.clock.now)
	w.announce("m0", 0, early)
	if !w.limited("m0") {
		t.Error("the answer to an earlier request ended the limit")
	}
	w.announce("m0", 0, w.clock.now)
	if w.limited("m0") {
		t.Error("the answer to a later request did not end the limit")
	}
}

// TestLimitOfServerThatStartsAgain guards against a limit that outlasts the run of its
// server, and one that is lost with the server's entry.
func TestLimitOfServerThatStartsAgain(t *testing.T) {
	w := newTestFit(0)
	run := func(started int64) tarragondeal.Server {
		return tarragondeal.Server{ID: "m0", Pool: "m", DataCentre: "a", State: tarragondeal.VMLive, StartedAt: time.UnixMilli(started)}
	}
	w.SetServers([]tarragondeal.Server{run(1)})
	w.announce("m0", 2, w.clock.now)
	w.SetServers(nil)
	w.clock.now = w.clock.now.Add(3 * time.Second)
	w.SetServers([]tarragondeal.Server{run(1)})
	if !w.limited("m0") {
		t.Error("the limit was lost with the entry of the server")
	}
	w.SetServers([]tarragondeal.Server{run(2)})
	if w.limited("m0") {
		t.Error("the limit of the run before holds for the new one")
	}
	w.SetServers(nil)
	w.clock.now = w.clock.now.Add(2 * rateTTL)
	w.SetServers(nil)
	if len(w.limits.byRun) > 0 {
		t.Errorf("%d limits are kept", len(w.limits.byRun))
	}
}

// TestNoServerWithinLimits guards against requests that wait although no server accepts
// them in time, and against refusals without a delay that grows with the queue.
func TestNoServerWithinLimits(t *testing.T) {
	w := newTestFit(2)
	for _, id := range []tarragondeal.ServerID{"m0", "m1"} {
		w.announce(id, 0.1, w.clock.now)
	}
	a := liveStream()
	a.Target = 100 * time.Millisecond
	for range 100 {
		g, err := w.reserve(a)
		if err == nil {
			w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
			continue
		}
		var refusal *tarragondeal.RefusedError
		if !errors.As(err, &refusal) || refusal.Reason != tarragondeal.ReasonOverload || refusal.Ran != tarragondeal.RanNot {
			t.Fatalf("refused with %v", err)
		}
		if refusal.RetryAfter < 5*time.Second {
			t.Errorf("retry after %s, the next request is accepted in 5s on average", refusal.RetryAfter)
		}
		return
	}
	t.Error("100 requests were sent to servers that accept 0.2 a second")
}

// TestUrgentRequestsUseTheLimitFirst guards against a less urgent request that is sent
// to a server with a limit while a more urgent one waits.
func TestUrgentRequestsUseTheLimitFirst(t *testing.T) {
	w := newTestFit(1)
	w.announce("m0", 10, w.clock.now)
	urgent := tarragondeal.Ask{Pools: []string{"m"}, Tier: 1}
	w.addWaiting(&urgent, 1)
	const length = 20 * time.Second
	sent := 0
	for end := w.clock.now.Add(length); w.clock.now < end; {
		w.clock.now = w.clock.now.Add(10 * time.Millisecond)
		a := liveStream()
		a.Tier = 2
		r := newRequest(&a)
		g, ok, err := w.choose(&r, w.clock.now, true)
		if err != nil {
			t.Fatal(err)
		}
		if ok {
			sent++
			w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
		}
	}
	w.addWaiting(&urgent, -1)
	if sent == 0 || sent > int(0.2*10*length.Seconds()) {
		t.Errorf("%d requests of the lower tier were sent, with %g permits", sent, 10*length.Seconds())
	}
	if len(w.waiting) > 0 {
		t.Errorf("requests still wait: %v", w.waiting)
	}
}

// TestLimitOverSlowLinks guards against a limit that two nodes repeat to one another for ever
// as if it had just been announced, so that it neither expires nor ends.
func TestLimitOverSlowLinks(t *testing.T) {
	w := newLimitFleet(3, 2)
	w.exchangeAll()
	w.nodes[1].announce("m0", 3, w.clock.now)
	writers := []func(func(tarragondeal.NodeID) bool) []byte{nil, w.nodes[1].Writer(), w.nodes[2].Writer()}
	for range 20 { // Between nodes 1 and 2; what they send takes 600 ms.
		toSecond, toFirst := writers[1](ownOnly), writers[2](ownOnly)
		w.advance(600 * time.Millisecond)
		w.nodes[1].Receive(nodeName(2), toFirst)
		w.nodes[2].Receive(nodeName(1), toSecond)
	}
	for _, n := range w.nodes[1:] {
		for run, l := range n.limits.byRun {
			if age := w.clock.now.Sub(l.at); age < 11*time.Second {
				t.Errorf("%s: the limit of %s was announced 12 s ago, its age is %s", n.Self, run.id, age)
			}
		}
	}
	w.nodes[2].announce("m0", 0, w.clock.now)
	for range 3 {
		toFirst := writers[2](ownOnly)
		w.advance(600 * time.Millisecond)
		w.nodes[1].Receive(nodeName(2), toFirst)
	}
	if w.nodes[1].limited("m0") || w.nodes[2].limited("m0") {
		t.Error("the limit has not ended")
	}
}
