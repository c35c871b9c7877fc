package tdmirror

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdera"
)

// callTime is how long a call takes of a service in a bubble.
const callTime = time.Millisecond

// restoredSource is a service that can go back, and of which some answers are old.
type restoredSource struct {
	*fakeSource
	oldWatches bool // Watches report the revision before the one that they were asked for.
	oldRest    bool // Pages after the first are older than the others.
	beforeSwap func()
	calls      int
	pages      int
	writes     int
}

func (s *restoredSource) Page(ctx context.Context, prefix, after string) (tarragondeal.Page, error) {
	s.calls++
	s.pages++
	time.Sleep(callTime)
	p, err := s.fakeSource.Page(ctx, prefix, after)
	if s.oldRest && after != "" {
		p.Revision -= 2
		for n := range p.Entries {
			p.Entries[n].Revision--
		}
	}
	return p, err
}

func (s *restoredSource) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	s.calls++
	time.Sleep(callTime)
	if s.oldWatches {
		return nil, after - 1, nil
	}
	entries, rev, err := s.fakeSource.Watch(ctx, prefix, after, wait)
	if len(entries) == 0 {
		time.Sleep(wait)
	}
	return entries, rev, err
}

func (s *restoredSource) Swap(_ context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	s.calls++
	s.writes++
	time.Sleep(callTime)
	if s.beforeSwap != nil {
		s.beforeSwap()
	}
	if current := s.items[key]; current.Revision != prev {
		return tarragondeal.Entry{}, &tarragondeal.ConflictError{Op: "swap", Key: key, Current: current}
	}
	s.put(key, string(value))
	return s.items[key], nil
}

func newRestoredMirror(s *restoredSource) *Mirror {
	c := bubbleClock{start: time.Now()}
	return New(s, c, Options{
		Prefixes: []string{"a/", "held/"}, Eras: tdera.New(c, zerolog.Nop(), nil), Recorder: s, Self: "n", Log: zerolog.Nop(),
	})
}

// TestRevisionPassedDuringExamination guards against a copy that keeps what a restored service
// lacks, and lacks what it has, since the service had passed the copy's revision when the
// suspicion was examined.
func TestRevisionPassedDuringExamination(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredSource{fakeSource: newFakeSource()}
		s.put("a/kept", "x")
		before, rev := s.items["a/kept"], s.rev
		m := newRestoredMirror(s)
		steps(t, m, 1)
		s.put("a/lost", "x")
		s.put("a/other", "x")
		steps(t, m, 1)
		s.events, s.rev = nil, rev
		clear(s.items)
		s.items["a/kept"] = before
		s.put("a/new", "y") // At the revision of what was lost.
		s.beforeSwap = func() { s.put("a/busy", "y"); s.put("a/busy", "z") }
		for n := range 6 {
			if _, err := m.step(t.Context()); err != nil {
				t.Fatal(n, err)
			}
		}
		for key, want := range map[string]string{"a/kept": "x", "a/new": "y", "a/lost": "", "a/other": ""} {
			if got := m.values()[key]; got != want {
				t.Errorf("%s is %q, not %q", key, got, want)
			}
		}
	})
}

// TestEntryThatAWatchLeftOutIsCopied guards against nodes that receive copies and never get an entry
// that the one that sends them has found in a listing, since they are at a later revision already.
func TestEntryThatAWatchLeftOutIsCopied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredSource{fakeSource: newFakeSource()}
		s.put("a/1", "x")
		m, leaf := newRestoredMirror(s), newRestoredMirror(s)
		steps(t, m, 1)
		steps(t, leaf, 1)
		s.put("a/1", "y")
		s.events = nil // What wrote it is not known to a watch.
		s.put("a/2", "x")
		steps(t, m, 1)
		steps(t, leaf, 1)
		m.listed = false
		steps(t, m, 6)
		leaf.Apply(m.Since(leaf.Position()))
		if got := leaf.values()["a/1"]; got != "y" || leaf.Position().Era != 0 {
			t.Errorf("the copy holds %q in era %d", got, leaf.Position().Era)
		}
	})
}

// TestExaminationsAreBounded guards against a node that lists and writes without a pause while
// the service answers its watches with old revisions.
func TestExaminationsAreBounded(t *testing.T) {
	const (
		runTime   = 20 * time.Second
		maxWrites = 20
		maxCalls  = 200
	)
	synctest.Test(t, func(t *testing.T) {
		s := &restoredSource{fakeSource: newFakeSource()}
		s.put("a/1", "x")
		m := newRestoredMirror(s)
		steps(t, m, 1)
		s.oldWatches = true
		for start := time.Now(); time.Since(start) < runTime; {
			if _, err := m.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if s.writes > maxWrites || s.calls > maxCalls {
			t.Errorf("%d writes and %d calls in %s", s.writes, s.calls, runTime)
		}
		s.oldWatches = false
		s.put("a/1", "y")
		steps(t, m, 6)
		if got := m.values()["a/1"]; got != "y" {
			t.Errorf("the copy holds %q", got)
		}
	})
}

// TestOldPageIsNoProof guards against an era that begins although the service has not gone back,
// since a page after the first was old.
func TestOldPageIsNoProof(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredSource{fakeSource: newFakeSource()}
		for n := range 5 {
			s.put(fmt.Sprint("a/", n), "x")
		}
		m := newRestoredMirror(s)
		steps(t, m, 2)
		s.oldRest = true
		m.listed = false
		for range 4 {
			if _, err := m.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if era := m.Position().Era; era != 0 {
			t.Errorf("in era %d", era)
		}
	})
}

// TestStartAfterReturnIsNoOutage guards against removals that a node ignores after its start for
// as long as if they were entries that expired in an outage, since the service once went back.
func TestStartAfterReturnIsNoOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredSource{fakeSource: newFakeSource()}
		s.put(tdera.Key, `{"era":5}`)
		s.put("a/1", "x")
		m := newRestoredMirror(s)
		var got []Changes
		m.Subscribe(func(c Changes) { got = append(got, c) })
		steps(t, m, 1)
		s.remove("a/1")
		steps(t, m, 1)
		if m.Position().Era != 5 {
			t.Fatalf("in era %d", m.Position().Era)
		}
		for _, c := range got {
			if c.AfterOutage {
				t.Errorf("after an outage: %v", c.Entries)
			}
		}
	})
}

// TestVerificationIsLeftToOthers guards against a listing by each node of a large fleet after an
// outage, although others list the keys and send copies.
func TestVerificationIsLeftToOthers(t *testing.T) {
	const delay = 300 * time.Millisecond
	for _, c := range []struct {
		name   string
		stops  time.Duration // After that it need not follow; zero means never.
		listed bool
	}{
		{"others have copies in time", delay / 2, false},
		{"no other has copies", 0, true},
	} {
		for range 20 { // Delays are random.
			synctest.Test(t, func(t *testing.T) {
				s := &restoredSource{fakeSource: newFakeSource()}
				s.put("a/1", "x")
				m := newRestoredMirror(s)
				steps(t, m, 2)
				time.Sleep(minVerifyInterval)
				m.recordFailure(errUnavailable)
				returned := time.Now()
				m.opt.RelistDelay = func() time.Duration { return delay }
				m.opt.Follows = func() bool { return c.stops == 0 || time.Since(returned) < c.stops }
				pages := s.pages
				for time.Since(returned) < 3*time.Second {
					s.put("a/1", "y") // Watches return.
					steps(t, m, 1)
				}
				if listed := s.pages > pages; listed != c.listed {
					t.Fatalf("%s: listed %t", c.name, listed)
				}
			})
		}
	}
}

// TestVerificationIsInTime guards against a copy that is verified only when a watch without changes
// ends.
func TestVerificationIsInTime(t *testing.T) {
	const maxTime = verifyDelay + 200*time.Millisecond // With calls and the pauses of short watches.
	for range 20 {                                     // Delays are random.
		synctest.Test(t, func(t *testing.T) {
			s := &restoredSource{fakeSource: newFakeSource()}
			s.put("a/1", "x")
			m := newRestoredMirror(s)
			steps(t, m, 2)
			time.Sleep(minVerifyInterval)
			m.recordFailure(errUnavailable)
			returned, pages := time.Now(), s.pages
			for s.pages == pages {
				steps(t, m, 1)
			}
			if took := time.Since(returned); took > maxTime {
				t.Fatalf("after %s", took)
			}
		})
	}
}

// TestPageBeforeReturn guards against an entry that stays for good, since a page had it that
// arrived before the service went back, and the listing was not complete.
func TestPageBeforeReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredSource{fakeSource: newFakeSource()}
		s.put("a/1", "x")
		before, rev := s.items["a/1"], s.rev
		m := newRestoredMirror(s)
		steps(t, m, 1)
		s.put("a/3", "x")
		s.put("a/2", "x")
		pages := s.pages
		s.onAnswer = func() { s.unavailable = s.pages == pages+2 } // After the first of the keys in a.
		m.listed = false
		if err := m.list(t.Context()); err == nil {
			t.Fatal("the listing is complete")
		}
		s.onAnswer, s.unavailable = nil, false
		s.rev, s.events = rev, nil
		clear(s.items)
		s.items["a/1"] = before
		s.put("a/1", "y")
		steps(t, m, 6)
		if got := m.values(); got["a/2"] != "" || got["a/1"] != "y" {
			t.Errorf("the copy holds %v", got)
		}
	})
}

// TestFirstCopyIsVerified guards against a node that starts with the copy of another one from before
// the service went back, and never notices: it knows of no outage, and the service has passed the
// revision of the copy.
func TestFirstCopyIsVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &restoredSource{fakeSource: newFakeSource()}
		m := newRestoredMirror(s)
		m.Apply([]tarragondeal.Entry{{Key: "a/lost", Value: []byte("x"), Revision: 3}}, at(3), true)
		s.put("a/new", "y")
		s.put("a/busy", "y")
		s.put("a/busy", "z")
		for start := time.Now(); time.Since(start) < 2*verifyDelay; {
			steps(t, m, 1)
		}
		if got := m.values(); got["a/lost"] != "" || got["a/new"] != "y" {
			t.Errorf("the copy holds %v", got)
		}
	})
}
