package tdfit

import (
	"fmt"
	"testing"
	"time"

	"tarragondeal"
)

// TestUsesOfPeersAreRemoved guards against uses that stay with each server after the requests of
// a peer have ended, or after the peer has left the fleet for good: each choice sums them all.
func TestUsesOfPeersAreRemoved(t *testing.T) {
	const nodes = 90
	w := newTestFit(1)
	s := w.servers["m0"]
	report := func(from tarragondeal.NodeID, running uint32) {
		w.lastHeard[from] = w.clock.now
		w.receiveUses(from, &Load{Uses: []*Use{{Server: "m0", Running: running}}})
	}
	for n := range nodes {
		report(tarragondeal.NodeID(fmt.Sprint("peer-", n)), 1)
	}
	if got := w.totalUse(s, w.clock.now).running; got != nodes {
		t.Errorf("%d requests of %d peers", got, nodes)
	}
	for n := range nodes - 1 {
		report(tarragondeal.NodeID(fmt.Sprint("peer-", n)), 0)
	}
	if got := w.totalUse(s, w.clock.now).running; got != 1 || len(s.others) != 1 {
		t.Errorf("%d requests, %d uses of peers", got, len(s.others))
	}
	w.clock.now = w.clock.now.Add(time.Hour)
	w.listServers(1)
	if len(s.others) != 0 || len(w.lastHeard) != 0 {
		t.Errorf("an hour later %d uses of peers and %d peers are known", len(s.others), len(w.lastHeard))
	}
}
