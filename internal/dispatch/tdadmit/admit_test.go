package tdadmit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"tarragondeal/internal/dispatch/tdadmit"
)

func TestDecide(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name    string
		request tdadmit.Request
		best    tdadmit.Estimate
		want    tdadmit.Action
	}{
		{"short backlog", tdadmit.Request{Target: 1200 * ms, Left: 4000 * ms, Yields: true}, tdadmit.Estimate{Backlog: 300 * ms, Busy: true}, tdadmit.Send},
		{"long backlog", tdadmit.Request{Target: 1200 * ms, Left: 4000 * ms, Yields: true}, tdadmit.Estimate{Backlog: 600 * ms, Busy: true}, tdadmit.Hold},
		{"held, in time", tdadmit.Request{Target: 1200 * ms, Left: 3700 * ms, Waited: 300 * ms, Yields: true}, tdadmit.Estimate{Backlog: 600 * ms, Read: 160 * ms, Busy: true}, tdadmit.Send},
		{"held, late", tdadmit.Request{Target: 1200 * ms, Left: 3700 * ms, Waited: 300 * ms, Yields: true}, tdadmit.Estimate{Backlog: 800 * ms, Read: 160 * ms, Busy: true}, tdadmit.Refuse},
		{"held, late, others are less urgent", tdadmit.Request{Target: 400 * ms, Left: 2900 * ms, Waited: 100 * ms}, tdadmit.Estimate{Backlog: 800 * ms, Busy: true}, tdadmit.Send},
		{"held, makes others late", tdadmit.Request{Target: 1200 * ms, Left: 3700 * ms, Waited: 300 * ms, Urgent: 400 * ms, Yields: true}, tdadmit.Estimate{Backlog: 350 * ms, Busy: true}, tdadmit.Refuse},
		{"others have time", tdadmit.Request{Target: 1200 * ms, Left: 3700 * ms, Waited: 300 * ms, Urgent: 400 * ms, Yields: true}, tdadmit.Estimate{Backlog: 200 * ms, Read: 100 * ms, Busy: true}, tdadmit.Send},
		{"idle engine", tdadmit.Request{Target: 1200 * ms, Left: 4000 * ms, Yields: true}, tdadmit.Estimate{Backlog: 9000 * ms}, tdadmit.Send},
		{"tight stream", tdadmit.Request{Target: 250 * ms, Left: 9000 * ms, Tight: true, Yields: true}, tdadmit.Estimate{Backlog: 9000 * ms, Busy: true}, tdadmit.Send},
		{"no time left", tdadmit.Request{Target: 1200 * ms, Waited: 5000 * ms, Left: -1000 * ms, Yields: true}, tdadmit.Estimate{Backlog: 9000 * ms, Busy: true}, tdadmit.Refuse},
	} {
		got := tdadmit.Decide(c.request, c.best)
		if got.Action != c.want {
			t.Errorf("%s: %v, want %v", c.name, got.Action, c.want)
		}
		if got.RetryAfter < 0 || got.RetryAfter > max(0, c.request.Left)/3 {
			t.Errorf("%s: retry after %v", c.name, got.RetryAfter)
		}
	}
}

// TestOverloadKeepsMostInTime answers the load of long prompts that come faster than an engine
// reads them for some seconds, beside short urgent ones: served in the order in which they
// come, nearly all of both are late.
func TestOverloadKeepsMostInTime(t *testing.T) {
	const (
		longTarget, longDeadline = 1200 * time.Millisecond, 4 * time.Second
		urgentTarget             = 400 * time.Millisecond
		// Work that comes, relative to what the engine can do.
		longUse, urgentUse = 1.1, 0.4
		length             = 10 * time.Second
		poll               = 20 * time.Millisecond
	)
	type prompt struct {
		at     time.Duration
		read   time.Duration
		urgent bool
	}
	for _, c := range []struct {
		name         string
		decides      bool
		long, urgent float64 // Shares that must be in time.
	}{
		{"in the order in which they come", false, 0, 0},
		{"decided", true, 0.4, 0.6},
	} {
		r := rand.New(rand.NewPCG(1, 2))
		var held []prompt
		var free time.Duration // When the engine has read what it was sent.
		sent, inTime, refused := map[bool]int{}, map[bool]int{}, 0
		// offer decides on a prompt, and reports whether it is held.
		offer := func(p prompt, now time.Duration) bool {
			e := tdadmit.Estimate{Backlog: max(0, free-now), Read: p.read, Busy: free > now}
			q := tdadmit.Request{Target: urgentTarget, Left: time.Minute, Waited: now - p.at}
			if !p.urgent {
				q.Target, q.Left, q.Urgent, q.Yields = longTarget, longDeadline-q.Waited, urgentTarget, true
			}
			d := tdadmit.Decision{}
			if c.decides {
				d = tdadmit.Decide(q, e)
			}
			switch d.Action {
			case tdadmit.Hold:
				return true
			case tdadmit.Refuse:
				refused++
				return false
			}
			free = max(free, now) + p.read
			if free-p.at <= q.Target {
				inTime[p.urgent]++
			}
			return false
		}
		var next [2]time.Duration
		for now := time.Duration(0); now < length; now += poll {
			waiting := held
			held = nil
			for _, p := range waiting {
				if offer(p, now) {
					held = append(held, p)
				}
			}
			for n, urgent := range []bool{true, false} {
				read, use := 160*time.Millisecond, longUse
				if urgent {
					read, use = 40*time.Millisecond, urgentUse
				}
				for ; next[n] <= now; next[n] += time.Duration(r.ExpFloat64() * float64(read) / use) {
					sent[urgent]++
					if p := (prompt{at: now, read: read, urgent: urgent}); offer(p, now) {
						held = append(held, p)
					}
				}
			}
		}
		t.Logf("%s: in time %d of %d urgent, %d of %d long prompts; %d refused", c.name, inTime[true], sent[true], inTime[false], sent[false], refused)
		if float64(inTime[false]) < c.long*float64(sent[false]) || float64(inTime[true]) < c.urgent*float64(sent[true]) {
			t.Errorf("%s: in time %d of %d urgent, %d of %d long prompts", c.name, inTime[true], sent[true], inTime[false], sent[false])
		}
	}
}
