package tdmirror

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdera"
)

// flappingSource is a service that goes back to a copy of its data again and again, or whose
// watches are answered from that copy.
type flappingSource struct {
	*fakeSource
	stale  bool
	copied *fakeSource
	every  int    // Watches after which it goes back; zero for never.
	answer func() // Called after a watch, if set.
	calls  int
	writes int
}

func (s *flappingSource) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	time.Sleep(10 * time.Millisecond)
	s.calls++
	if s.stale {
		return s.copied.Watch(ctx, prefix, after, wait)
	}
	if s.answer != nil {
		defer s.answer()
	}
	if s.every > 0 {
		if s.calls%s.every == 0 {
			s.rev, s.items, s.events = s.copied.rev, maps.Clone(s.copied.items), nil
		}
		s.put("a/2", "y")
	}
	return s.fakeSource.Watch(ctx, prefix, after, wait)
}

func (s *flappingSource) Swap(_ context.Context, key string, value []byte, _ tarragondeal.Revision) (tarragondeal.Entry, error) {
	s.writes++
	s.put(key, string(value))
	return s.items[key], nil
}

// linesOf returns how many lines of each message there are.
func linesOf(t *testing.T, out *bytes.Buffer) map[string]int {
	t.Helper()
	lines := make(map[string]int)
	for line := range bytes.Lines(out.Bytes()) {
		var l struct{ Message string }
		if err := json.Unmarshal(line, &l); err != nil {
			t.Fatal(err)
		}
		lines[l.Message]++
	}
	return lines
}

// TestLinesTellCausesApart guards against logs of one node from which a service that went back and
// one that held changes back look the same.
func TestLinesTellCausesApart(t *testing.T) {
	const (
		back, anew = "era of the store changed: it came back from an earlier copy", "copy of the store starts anew"
		upToDate   = "copy of the store is up to date in its era"
		heldBack   = "the store had held changes back from a watch"
	)
	for _, c := range []struct {
		name   string
		change func(s *flappingSource)
		lines  []string // Those that appear, once each.
	}{
		{"nothing", func(*flappingSource) {}, nil},
		{"went back", func(s *flappingSource) { s.rev, s.items, s.events = 1, map[string]tarragondeal.Entry{}, nil }, []string{back, anew, upToDate}},
		{"held changes back", func(s *flappingSource) {
			s.put("a/1", "y")
			s.events, s.rev = nil, s.rev+1
			s.answer = func() { s.historyStart, s.answer = s.rev, nil }
		}, []string{heldBack}},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &flappingSource{fakeSource: newFakeSource()}
			s.put("a/1", "x")
			s.put("a/2", "x")
			var out bytes.Buffer
			clock, log := bubbleClock{time.Now()}, zerolog.New(&out)
			m := New(s, clock, Options{Prefixes: []string{"a/", "held/"}, Recorder: s, Eras: tdera.New(clock, log, nil), Log: log})
			steps(t, m, 3)
			c.change(s)
			for range 6 {
				if _, err := m.step(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			lines := linesOf(t, &out)
			for _, l := range []string{back, anew, upToDate, heldBack} {
				want := 0
				if slices.Contains(c.lines, l) {
					want = 1
				}
				if lines[l] != want {
					t.Errorf("%s: %d lines %q: %s", c.name, lines[l], l, out.String())
				}
			}
		})
	}
}

// TestLinesOfFlappingServiceAreBounded guards against lines and writes without end while the
// service goes back again and again, or reports earlier revisions now and then.
func TestLinesOfFlappingServiceAreBounded(t *testing.T) {
	const minutes, maxLines, maxWrites = 10, 60, 600
	for _, stale := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &flappingSource{fakeSource: newFakeSource(), copied: newFakeSource(), stale: stale, every: 200}
			s.put("a/1", "x")
			var out bytes.Buffer
			clock, log := bubbleClock{time.Now()}, zerolog.New(&out)
			m := New(s, clock, Options{Prefixes: []string{"a/", "held/"}, Recorder: s, Eras: tdera.New(clock, log, nil), Log: log})
			ctx, cancel := context.WithTimeout(t.Context(), minutes*time.Minute)
			defer cancel()
			if err := m.Run(ctx); err != nil {
				t.Fatal(err)
			}
			kinds, lines := linesOf(t, &out), bytes.Count(out.Bytes(), []byte("\n"))
			t.Logf("stale %t: %d writes, %v", stale, s.writes, kinds)
			if lines > maxLines || s.writes > maxWrites {
				t.Errorf("stale %t: %d writes and lines %v in %d minutes", stale, s.writes, kinds, minutes)
			}
		})
	}
}
