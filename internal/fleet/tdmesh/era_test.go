package tdmesh

import (
	"context"
	"slices"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

// aheadAnswer is how a store answers a watch from a revision that it has not reached.
type aheadAnswer int

const (
	aheadWaits   aheadAnswer = iota // After the whole wait, without events.
	aheadGone                       // The history has expired.
	aheadAnswers                    // At once, without events.
)

// Swap implements tdmirror.Recorder.
func (a access) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	a.mu.Lock()
	a.calls[a.node]++
	cut, delay := a.cut[a.node], a.delay
	held := tarragondeal.Entry{Key: key}
	for _, e := range a.entries() {
		if e.Key == key {
			held = e
		}
	}
	a.mu.Unlock()
	switch {
	case cut:
		return held, errReset
	case held.Revision != prev:
		return held, &tarragondeal.ConflictError{Key: key, Current: held}
	}
	e := tarragondeal.Entry{Key: key, Value: value, Revision: a.put(key, value)}
	if !tdclock.Sleep(ctx, delay) {
		return e, ctx.Err()
	}
	return e, nil
}

// setAhead changes how watches from after the revision are answered.
func (s *liveStore) setAhead(how aheadAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ahead = how
}

// restore makes the store hold what it held at an earlier revision.
func (s *liveStore) restore(rev tarragondeal.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = slices.DeleteFunc(slices.Clone(s.events), func(e tarragondeal.Entry) bool { return e.Revision > rev })
	s.revision, s.historyStart = rev, rev
	close(s.changed)
	s.changed = make(chan struct{})
}

// stripEras makes a state one of a version without eras.
func stripEras(s *State) {
	s.Era, s.ReadsEras = 0, false
	if c := s.GetCopy(); c != nil {
		c.Era = 0
	}
}

// differing returns how many nodes that read eras do not hold what the store holds, and one of
// them.
func (f *liveFleet) differing() (n int, example tarragondeal.NodeID) {
	f.store.mu.Lock()
	entries, revision := f.store.entries(), f.store.revision
	f.store.mu.Unlock()
	want := make(map[string]tarragondeal.Revision)
	for _, e := range entries {
		want[e.Key] = e.Revision
	}
	for name, m := range f.nodes {
		held, at, _ := m.Mirror.Since(tarragondeal.Position{})
		if at.Era > 0 {
			held, _, _ = m.Mirror.Since(tarragondeal.Position{Era: at.Era})
		}
		same := at.Revision == revision && len(held) == len(want)
		for _, e := range held {
			same = same && want[e.Key] == e.Revision
		}
		if !same && !m.old.Load() {
			n++
			example = name
		}
	}
	return n, example
}

// TestStoreComesBack guards against nodes that keep what a store lost that comes back from an
// earlier copy, and against a flood of calls then: all nodes must have what is written within
// the usual bound.
func TestStoreComesBack(t *testing.T) {
	const (
		lost = 20
		// The store permits 2,000 reads a second, and a fleet has up to 350 nodes.
		maxCalls     = 2000 * 30 / 350
		examineDelay = 2 * time.Second
		maxWhole     = 8 // From some sources, when the node starts and for each return.
	)
	relays := func(f *liveFleet) []tarragondeal.NodeID { return f.relays() }
	leaves := func(f *liveFleet) []tarragondeal.NodeID { return f.leaves() }
	for _, c := range []struct {
		name   string
		ahead  aheadAnswer
		empty  bool
		times  int
		passes bool // The revision of before, until the nodes reach the store again.
		old    func(f *liveFleet) []tarragondeal.NodeID
	}{
		{"watches wait", aheadWaits, false, 1, false, nil},
		{"history expired", aheadGone, false, 1, false, nil},
		{"watches get no events", aheadAnswers, false, 1, false, nil},
		{"empty, watches wait", aheadWaits, true, 1, false, nil},
		{"empty, history expired", aheadGone, true, 1, false, nil},
		{"twice, watches get no events", aheadAnswers, false, 2, false, nil},
		{"passes the revision of before", aheadWaits, false, 1, true, nil},
		{"relays of a version before, history expired", aheadGone, false, 1, false, relays},
		{"relays of a version before, watches wait", aheadWaits, true, 1, false, relays},
		{"leaves of a version before", aheadGone, false, 1, false, leaves},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			runLiveFleet(t, 30, 5, func(t *testing.T, f *liveFleet) {
				f.store.setAhead(c.ahead)
				if c.old != nil {
					for _, name := range c.old(f) {
						f.nodes[name].old.Store(true)
					}
				}
				f.store.put(serverKey, []byte("before"))
				saved := f.store.latest()
				for range lost {
					f.store.write()
				}
				time.Sleep(versionBound)
				for range c.times {
					f.store.cutOff(slices.Concat(f.relays(), f.leaves())...)
					time.Sleep(time.Second)
					if c.empty {
						saved = 1
					}
					f.store.restore(saved)
					for range lost + 5 {
						if c.passes {
							f.store.put(serverKey, []byte("after"))
						}
					}
					calls := f.store.totalCalls()
					f.store.cutOff()
					f.store.write()
					time.Sleep(time.Second)
					if n := f.store.totalCalls() - calls; n > maxCalls {
						t.Errorf("%d calls in the first second", n)
					}
				}
				time.Sleep(versionBound - time.Second)
				if c.old != nil { // Nodes that have copies from them examine the return late, since others may.
					time.Sleep(examineDelay)
				}
				for name, m := range f.nodes {
					if n := m.whole.Load(); n > maxWhole {
						t.Errorf("%s received %d whole copies", name, n)
					}
				}
				if n, example := f.differing(); n > 0 {
					t.Errorf("%d nodes differ, %s among them at %v, the store at %d", n, example, f.nodes[example].Mirror.Position(), f.store.latest())
				}
				f.store.write()
				time.Sleep(versionBound)
				if n, example := f.differing(); n > 0 {
					t.Errorf("%d nodes differ later, %s among them", n, example)
				}
			})
		})
	}
}
