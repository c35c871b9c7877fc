package tdfit

import (
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
			for n := range uint64(100) {
				w.receiveSent("peer", []*Sent{{Server: "m0", Fresh: 9000, Deferred: n%2 == 0}}, w.clock.now)
			}
			w.clock.now = w.clock.now.Add(4 * time.Second)
			w.lastHeard["peer"] = w.clock.now
			w.receiveUses("peer", &Load{Uses: []*Use{{Server: "m0"}}})
		}},
	} {
		w := newTestFit(1)
		w.opt.Scarce = true
		c.cut(w)
		if got := w.servers["m0"].fullBacklog(w.clock.now); got > 0 {
			t.Errorf("requests %s: a backlog of %v is left of requests that have ended", c.name, got)
		}
	}
}
