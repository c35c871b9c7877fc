package tdfit

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"tarragondeal"
)

// TestPausedServerGetsNoRequests guards against requests to a server that has asked this
// node for a pause, by any kind of attempt, and against a pause that binds other nodes,
// outlasts its time or is passed on to a new run.
func TestPausedServerGetsNoRequests(t *testing.T) {
	for _, size := range []int{2, 7, 30, 60} {
		t.Run(fmt.Sprint(size), func(t *testing.T) { testPausedServer(t, size) })
	}
}

func testPausedServer(t *testing.T, size int) {
	w := newLimitFleet(size, 0)
	wall := w.clock.Wall()
	list := started(wall.Add(-time.Minute), wall.Add(-time.Minute))
	for _, n := range w.nodes {
		n.SetServers(list)
	}
	told := w.nodes[0]
	count := func(node *testFit, a tarragondeal.Ask) int {
		a.Pools, a.Input, a.Gap = []string{"m"}, 600, 250*time.Millisecond
		return node.chosen(t, 40, a)["m0"]
	}
	told.ObservePause(told.servers["m0"].Server, "r", 3*time.Second, "")
	told.ObservePause(told.servers["m0"].Server, "r", time.Second, "") // The longer one holds.
	w.exchange()
	for _, a := range []tarragondeal.Ask{{}, {Attempt: 2}, {Tier: 1}} {
		if n := count(told, a); n > 0 {
			t.Errorf("%d requests with %+v", n, a)
		}
	}
	for _, node := range w.nodes[1:] {
		if n := count(node, tarragondeal.Ask{}); n == 0 {
			t.Errorf("the pause binds %s, which was not rejected", node.Self)
		}
	}
	told.SetServers(list[1:])
	told.SetServers(list)
	w.advance(2900 * time.Millisecond)
	if n := count(told, tarragondeal.Ask{}); n > 0 {
		t.Errorf("%d requests after the entry was gone and back", n)
	}
	w.advance(200 * time.Millisecond)
	if n := count(told, tarragondeal.Ask{}); n == 0 {
		t.Error("no requests after the pause")
	}
	told.ObservePause(told.servers["m0"].Server, "r", time.Hour, "")
	list[0].StartedAt = wall
	told.SetServers(list)
	if n := count(told, tarragondeal.Ask{}); n == 0 {
		t.Error("the pause binds a new run of the server")
	}
}

// TestAllServersPaused guards against requests that wait, or are sent all the same, while
// all servers have asked for pauses, and against callers that return too early or together.
func TestAllServersPaused(t *testing.T) {
	w := newTestFit(2)
	for id, d := range map[tarragondeal.ServerID]time.Duration{"m0": 2 * time.Second, "m1": 5 * time.Second} {
		w.ObservePause(w.servers[id].Server, "r", d, "")
	}
	delays := make(map[time.Duration]bool)
	for range 20 {
		a := liveStream()
		a.Target = time.Second // It could wait for half of it.
		_, err := w.reserve(a)
		var refused *tarragondeal.RefusedError
		if !errors.As(err, &refused) || refused.Reason != tarragondeal.ReasonOverload || refused.Ran != tarragondeal.RanNot {
			t.Fatalf("%v", err)
		}
		if refused.RetryAfter < 2*time.Second || refused.RetryAfter > 3*time.Second {
			t.Errorf("retry after %s", refused.RetryAfter)
		}
		delays[refused.RetryAfter] = true
	}
	if len(delays) < 10 {
		t.Errorf("%d delays of 20", len(delays))
	}
}

// TestPauseThroughAnotherNode guards against a pause that doesn't reach the node through which
// the request went over a relay, that binds the relay, or that grows on its way.
func TestPauseThroughAnotherNode(t *testing.T) {
	w := newLimitFleet(3, 2) // Node 0 relays.
	w.exchangeAll()
	w.nodes[1].ObservePause(w.nodes[1].servers["m0"].Server, "r", 2*time.Second, nodeName(2))
	for range 3 {
		w.advance(100 * time.Millisecond)
		w.exchangeAll()
	}
	for n, want := range []time.Duration{0, 1700 * time.Millisecond, 1900 * time.Millisecond} {
		node := w.nodes[n]
		if left := max(0, node.servers["m0"].pausedUntil.Sub(w.clock.now)); left > want || left < want-300*time.Millisecond {
			t.Errorf("node %d: %s are left, want %s or a little less", n, left, want)
		}
	}
}

// TestPauseOverSlowLinks guards against a pause that two nodes repeat to one another for ever,
// each time longer by what the link takes.
func TestPauseOverSlowLinks(t *testing.T) {
	w := newLimitFleet(4, 2)
	w.exchangeAll()
	w.nodes[1].ObservePause(w.nodes[1].servers["m0"].Server, "r", 2*time.Second, nodeName(3))
	var late [][2]any
	deliver := func() {
		for _, m := range late {
			to := m[0].(int)
			w.nodes[to].Receive(nodeName(3-to), m[1].([]byte))
		}
		late = nil
	}
	writers := []func(func(tarragondeal.NodeID) bool) []byte{nil, w.nodes[1].Writer(), w.nodes[2].Writer()}
	for range 20 { // Nodes 1 and 2; what they send takes 600 ms.
		for from := 1; from <= 2; from++ {
			late = append(late, [2]any{3 - from, writers[from](ownOnly)})
		}
		w.advance(600 * time.Millisecond)
		deliver()
	}
	for _, n := range w.nodes[1:3] {
		for p, until := range n.otherPauses {
			if left := until - n.Wall().UnixMilli(); left > 0 {
				t.Errorf("%+v: %d ms are left after 12 s", p, left)
			}
		}
	}
}
