package tdmesh

import (
	"testing"
	"time"
)

// TestStandingStillIsNotSilence guards against a node that leaves a relay which is well because it
// stood still itself, and against one that stays with a silent relay for that reason.
func TestStandingStillIsNotSilence(t *testing.T) {
	for _, c := range []struct {
		name   string
		stalls []time.Duration // One after another, with a check between them.
		silent time.Duration   // After them, with checks as usual.
		leaves bool
	}{
		{"no stall", nil, parentTimeout / 2, false},
		{"silent relay", nil, parentTimeout + 2*reconcileInterval, true},
		{"stood still for longer than a relay may be silent", []time.Duration{parentTimeout + time.Second}, 0, false},
		{"stood still twice", []time.Duration{parentTimeout, parentTimeout}, reconcileInterval, false},
		{"stood still before the relay was silent", []time.Duration{time.Second}, parentTimeout + 2*reconcileInterval, true},
		{"slow for as long", []time.Duration{2 * reconcileInterval, 2 * reconcileInterval, 2 * reconcileInterval}, parentTimeout / 2, true},
	} {
		f := newFleet(t, 12)
		f.runUntil("all nodes see all others alive", 6, f.allConnected)
		leaf := f.nodes["n009"]
		leaf.Mesh.reconcileStreams()
		f.clock.now = f.clock.now.Add(reconcileInterval)
		leaf.Mesh.reconcileStreams()
		before := leaf.parent
		if before == "" {
			t.Fatal("the node is no leaf")
		}
		for _, d := range c.stalls {
			f.clock.now = f.clock.now.Add(d)
			leaf.Mesh.reconcileStreams()
		}
		for range c.silent / reconcileInterval {
			f.clock.now = f.clock.now.Add(reconcileInterval)
			leaf.Mesh.reconcileStreams()
		}
		if left := leaf.parent != before; left != c.leaves {
			t.Errorf("%s: left the relay: %t", c.name, left)
		}
	}
}
