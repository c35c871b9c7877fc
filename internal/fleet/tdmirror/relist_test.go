package tdmirror

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
)

// TestListingIsLeftToOthers guards against a listing by each node whose watch history has
// expired, although others list the keys and send copies, and against a node that lists
// nothing because it waits for them in vain.
func TestListingIsLeftToOthers(t *testing.T) {
	const delay = 300 * time.Millisecond
	for _, c := range []struct {
		name    string
		delay   time.Duration
		stops   time.Duration // After that it need not follow; zero means never.
		listed  bool
		revised bool // It holds what was written meanwhile.
	}{
		{"no delay", 0, 0, true, true},
		{"others have copies in time", delay, delay / 3, false, false},
		{"no other has copies", delay, 0, true, true},
		{"others have copies later", delay, 2 * delay, true, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := newFakeSource()
			s.put("a/1", "x")
			start := time.Now()
			follows := func() bool { return c.stops == 0 || time.Since(start) < c.stops }
			m := New(s, bubbleClock{start: time.Now()}, Options{
				Prefixes: []string{"a/"}, Follows: follows, RelistDelay: func() time.Duration { return c.delay }, Log: zerolog.Nop(),
			})
			if _, err := m.step(t.Context()); err != nil {
				t.Fatal(err)
			}
			s.put("a/1", "y")
			s.historyStart = s.rev
			start = time.Now()
			pages := 0
			s.onAnswer = func() { pages++ }
			for range 2 { // The watch that fails, and what follows.
				if _, err := m.step(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			if listed := pages > 1; listed != c.listed {
				t.Errorf("%s: listed %t", c.name, listed)
			}
			if c.listed && c.delay > 0 && time.Since(start) < c.delay {
				t.Errorf("%s: listed after %s", c.name, time.Since(start))
			}
			if revised := m.values()["a/1"] == "y"; revised != c.revised {
				t.Errorf("%s: holds %q", c.name, m.values()["a/1"])
			}
			m.Apply([]tarragondeal.Entry{{Key: "a/1", Value: []byte("z"), Revision: s.rev + 1}}, at(s.rev+1), false)
			if got := m.values()["a/1"]; got != "z" {
				t.Errorf("%s: holds %q after a copy", c.name, got)
			}
		})
	}
}

// TestPagesAreAppliedBeforeTheLast guards against a withdrawn key that is accepted for as long as
// other pages of a listing take.
func TestPagesAreAppliedBeforeTheLast(t *testing.T) {
	for _, c := range []struct {
		name    string
		rev     tarragondeal.Revision // Of the page.
		applied bool
	}{
		{"new", 9, true},
		{"older than what is known", 2, false},
	} {
		s := newFakeSource()
		m := newMirror(s, &fakeClock{now: 1})
		steps(t, m, 1)
		m.Apply([]tarragondeal.Entry{{Key: "a/1", Value: []byte("before"), Revision: 3}}, at(3), false)
		m.opt.Eras.Receive(at(3))
		s.items["a/1"] = tarragondeal.Entry{Key: "a/1", Value: []byte("after"), Revision: c.rev}
		s.rev = c.rev
		s.onAnswer = func() { s.unavailable = true } // No further page arrives.
		m.listed = false
		if err := m.list(t.Context()); err == nil {
			t.Fatal("the listing is complete")
		}
		if got := m.values()["a/1"] == "after"; got != c.applied {
			t.Errorf("%s: applied %t", c.name, got)
		}
	}
}
