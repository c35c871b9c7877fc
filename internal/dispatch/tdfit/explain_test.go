package tdfit

import (
	"fmt"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdpoison"
)

// TestExplain guards against explanations that name another server than the one to which a
// request goes, or that change what happens next.
func TestExplain(t *testing.T) {
	w := newTestFit(4)
	w.opt.Scarce = true
	w.SetEvacuated([]string{"b"})
	w.servers["m0"].evacuated = true
	w.servers["m1"].backoffUntil = w.clock.now.Add(time.Minute)
	w.servers["m2"].prefilledAt = w.clock.now.Add(3 * time.Second)
	a := longPrompt(1)
	a.Target, a.Deadline = time.Second, 4*time.Second
	var first, second tarragondeal.Explanation
	w.Explain(a, &first)
	w.Explain(a, &second)
	if len(first.Servers) != 4 || first.Action != "send" || first.Servers[0].Server != "m3" || first.Servers[1].Server != "m2" {
		t.Errorf("%+v", first)
	}
	for n, s := range first.Servers {
		if excluded := s.Server == "m0" || s.Server == "m1"; excluded != (s.Excluded != "") {
			t.Errorf("%s: %q", s.Server, s.Excluded)
		}
		if second.Servers[n].Server != s.Server || second.Servers[n].Cost != s.Cost {
			t.Errorf("a second explanation has %+v instead of %+v", second.Servers[n], s)
		}
	}
	if g, err := w.reserve(a); err != nil || g.Server.ID != first.Servers[0].Server {
		t.Errorf("the request goes to %s, %v", g.Server.ID, err)
	}
}

// TestExplainOverload guards against explanations that say of a request which is held that it
// would be sent.
func TestExplainOverload(t *testing.T) {
	for _, c := range []struct {
		backlog time.Duration
		want    string
	}{{0, "send"}, {10 * time.Second, "hold"}} {
		w := newTestFit(1)
		w.opt.Scarce = true
		s := w.servers["m0"]
		s.prefilledAt = w.clock.now.Add(c.backlog)
		s.own.running = 40
		a := longPrompt(1)
		a.Target, a.Deadline, a.Tier = 500*time.Millisecond, 4*time.Second, 3
		var e tarragondeal.Explanation
		w.Explain(a, &e)
		if e.Action != c.want {
			t.Errorf("backlog of %v: %s, want %s", c.backlog, e.Action, c.want)
		}
	}
}

// TestExplainPoisonedPool guards against an explanation that says of a request which goes to another pool
// that it would be refused, since requests like it crash the servers of one pool.
func TestExplainPoisonedPool(t *testing.T) {
	w := newTestFit(1)
	a := longPrompt(1)
	a.Fingerprint = 7
	a.Pools = []string{"m", "p"}
	for n := range 40 {
		w.clock.now = w.clock.now.Add(100 * time.Millisecond)
		run := tdpoison.Run{Server: tarragondeal.ServerID(fmt.Sprint("old", n)), Started: int64(n)}
		w.Poison.Sent(traitsOf(&a, "m"))
		w.Poison.Broke(traitsOf(&a, "m"), tdpoison.Break{Run: run, Sent: w.clock.now.Add(-time.Millisecond), At: w.clock.now})
	}
	if w.checkPoison(&a, "m") == nil || w.checkPoison(&a, "p") != nil {
		t.Fatalf("%v, %v", w.checkPoison(&a, "m"), w.checkPoison(&a, "p"))
	}
	var e tarragondeal.Explanation
	w.Explain(a, &e)
	g, err := w.reserve(a)
	if err != nil || g.Server.Pool != "p" {
		t.Fatalf("the request goes to %s, %v", g.Server.ID, err)
	}
	if e.Action != "send" || e.Servers[0].Pool != "p" || e.Servers[len(e.Servers)-1].Excluded == "" {
		t.Errorf("%s (%s), %+v", e.Action, e.Reason, e.Servers)
	}
}
