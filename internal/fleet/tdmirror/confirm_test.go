package tdmirror

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"tarragondeal"
)

// heldSource is a source whose answers are read a while after they were made.
type heldSource struct {
	*fakeSource
	mu    sync.Mutex
	delay time.Duration
	calls int
}

func (s *heldSource) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	s.mu.Lock()
	s.calls++
	entries, rev, err := s.fakeSource.Watch(ctx, prefix, after, wait)
	s.mu.Unlock()
	time.Sleep(s.delay)
	entries = slices.DeleteFunc(entries, func(e tarragondeal.Entry) bool { return !strings.HasPrefix(e.Key, prefix) })
	return entries, rev, err
}

func (s *heldSource) write(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value)
}

// newConfirmed returns a mirror that has listed a source, and the keys that it passed on since.
func newConfirmed(t *testing.T, s *heldSource) (m *Mirror, passed func() []string) {
	t.Helper()
	s.put("servers/a", "1")
	m = New(s, bubbleClock{time.Now()}, Options{Prefixes: []string{"servers/", "config"}, Confirmed: "servers/"})
	if err := m.list(t.Context()); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var keys []string
	m.Subscribe(func(c Changes) {
		mu.Lock()
		defer mu.Unlock()
		for _, e := range c.Entries {
			keys = append(keys, e.Key)
		}
	})
	return m, func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(keys)
	}
}

// TestConfirm guards against a copy that counts as up to date although the service had more when
// that was asked, and against a change that is passed on again or never when it comes by the watch.
func TestConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &heldSource{fakeSource: newFakeSource()}
		m, passed := newConfirmed(t, s)
		s.write("servers/b", "1")
		s.write("config", "2")
		if err := m.Confirm(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := passed(); !slices.Equal(got, []string{"servers/b"}) {
			t.Errorf("confirmed: %q were passed on", got)
		}
		if _, err := m.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		if got := passed(); !slices.Equal(got, []string{"servers/b", "config"}) {
			t.Errorf("then watched: %q were passed on", got)
		}
		s.unavailable = true
		if err := m.Confirm(t.Context()); !errors.Is(err, errUnavailable) {
			t.Errorf("unavailable: confirmed with %v", err)
		}
	})
}

// TestConfirmSharesCalls guards against a call to the service for each lookup, and against an answer
// to a call that began before the lookup.
func TestConfirmSharesCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &heldSource{fakeSource: newFakeSource(), delay: 30 * time.Millisecond}
		m, passed := newConfirmed(t, s)
		s.calls = 0
		var wg sync.WaitGroup
		for range 1000 {
			wg.Go(func() {
				if err := m.Confirm(t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
		time.Sleep(10 * time.Millisecond) // The first call has its answer, which is on its way.
		s.write("servers/b", "1")
		if err := m.Confirm(t.Context()); err != nil {
			t.Error(err)
		}
		if got := passed(); !slices.Equal(got, []string{"servers/b"}) {
			t.Errorf("%q were passed on before the copy was confirmed", got)
		}
		wg.Wait()
		if s.calls > 3 {
			t.Errorf("%d calls", s.calls)
		}
	})
}

// TestConfirmEnds guards against a lookup that waits for a service that does not answer.
func TestConfirmEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &heldSource{fakeSource: newFakeSource()}
		m, _ := newConfirmed(t, s)
		<-m.confirmation.turn // A call is under way and stays so.
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := m.Confirm(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("confirmed with %v", err)
		}
		unlisted := New(s, bubbleClock{time.Now()}, Options{Confirmed: "servers/"})
		if err := unlisted.Confirm(t.Context()); err == nil {
			t.Error("confirmed a copy that was never listed")
		}
	})
}
