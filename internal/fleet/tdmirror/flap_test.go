package tdmirror

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
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
	calls  int
	writes int
}

func (s *flappingSource) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	time.Sleep(10 * time.Millisecond)
	s.calls++
	if s.stale {
		return s.copied.Watch(ctx, prefix, after, wait)
	}
	if s.calls%200 == 0 {
		s.rev, s.items, s.events = s.copied.rev, maps.Clone(s.copied.items), nil
	}
	s.put("a/2", "y")
	return s.fakeSource.Watch(ctx, prefix, after, wait)
}

func (s *flappingSource) Swap(_ context.Context, key string, value []byte, _ tarragondeal.Revision) (tarragondeal.Entry, error) {
	s.writes++
	s.put(key, string(value))
	return s.items[key], nil
}

// TestLinesOfFlappingServiceAreBounded guards against lines and writes without end while the
// service goes back again and again, or reports earlier revisions now and then.
func TestLinesOfFlappingServiceAreBounded(t *testing.T) {
	const minutes, maxLines, maxWrites = 10, 60, 600
	for _, stale := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			s := &flappingSource{fakeSource: newFakeSource(), copied: newFakeSource(), stale: stale}
			s.put("a/1", "x")
			var out bytes.Buffer
			clock, log := bubbleClock{time.Now()}, zerolog.New(&out)
			m := New(s, clock, Options{Prefixes: []string{"a/", "held/"}, Recorder: s, Eras: tdera.New(clock, log, nil), Log: log})
			ctx, cancel := context.WithTimeout(t.Context(), minutes*time.Minute)
			defer cancel()
			if err := m.Run(ctx); err != nil {
				t.Fatal(err)
			}
			lines, kinds := 0, make(map[string]int)
			for line := range bytes.Lines(out.Bytes()) {
				var l struct{ Message string }
				if err := json.Unmarshal(line, &l); err != nil {
					t.Fatal(err)
				}
				lines++
				kinds[l.Message]++
			}
			t.Logf("stale %t: %d writes, %v", stale, s.writes, kinds)
			if lines > maxLines || s.writes > maxWrites {
				t.Errorf("stale %t: %d writes and lines %v in %d minutes", stale, s.writes, kinds, minutes)
			}
		})
	}
}
