package tdmirror

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

type fakeClock struct{ now tarragondeal.Instant }

func (c *fakeClock) Now() tarragondeal.Instant { return c.now }
func (c *fakeClock) Wall() time.Time           { return time.Unix(0, int64(c.now)).UTC() }

// fakeSource is an in-memory key-value service.
type fakeSource struct {
	rev          tarragondeal.Revision
	items        map[string]tarragondeal.Entry
	events       []tarragondeal.Entry
	historyStart tarragondeal.Revision // Watches from before this revision fail.
	unavailable  bool
}

func newFakeSource() *fakeSource {
	return &fakeSource{rev: 1, items: make(map[string]tarragondeal.Entry)}
}

var errUnavailable = errors.New("unavailable")

func (s *fakeSource) put(key, value string) {
	s.rev++
	e := tarragondeal.Entry{Key: key, Value: []byte(value), Revision: s.rev}
	s.items[key] = e
	s.events = append(s.events, e)
}

func (s *fakeSource) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, tarragondeal.Entry{Key: key, Revision: s.rev, Deleted: true})
}

func (s *fakeSource) Page(_ context.Context, prefix, after string) (tarragondeal.Page, error) {
	if s.unavailable {
		return tarragondeal.Page{}, errUnavailable
	}
	var p tarragondeal.Page
	p.Revision = s.rev
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(p.Entries) == 2 {
			p.More = true
			break
		}
		p.Entries = append(p.Entries, s.items[key])
	}
	return p, nil
}

func (s *fakeSource) Watch(_ context.Context, _ string, after tarragondeal.Revision, _ time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	if s.unavailable {
		return nil, 0, errUnavailable
	}
	if after < s.historyStart {
		return nil, 0, &tarragondeal.HistoryError{After: after}
	}
	var out []tarragondeal.Entry
	for _, e := range s.events {
		if e.Revision > after {
			out = append(out, e)
		}
	}
	return out, s.rev, nil
}

func newMirror(s *fakeSource, c *fakeClock) *Mirror {
	return New(s, c, Options{Prefixes: []string{"a/", "b/"}, Log: zerolog.Nop()})
}

func (m *Mirror) values() map[string]string {
	out := make(map[string]string)
	for key, e := range m.items {
		out[key] = string(e.Value)
	}
	return out
}

func (s *fakeSource) values() map[string]string {
	out := make(map[string]string)
	for key, e := range s.items {
		if strings.HasPrefix(key, "a/") || strings.HasPrefix(key, "b/") {
			out[key] = string(e.Value)
		}
	}
	return out
}

// TestCopiesAgree checks a mirror that follows the service, and one that receives
// copies from it, through changes, expired watch history and outages. Both must hold
// the same entries as the service once they have caught up, and no entry may go back
// to an earlier revision.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, clock := newFakeSource(), &fakeClock{now: 1}
		direct, second := newMirror(s, clock), newMirror(s, clock)
		newest := make(map[string]tarragondeal.Revision)
		direct.Subscribe(func(c Changes) {
			for _, e := range c.Entries {
				if e.Revision < newest[e.Key] {
					t.Fatalf("%s goes back from %d to %d", e.Key, newest[e.Key], e.Revision)
				}
				newest[e.Key] = e.Revision
			}
		})
		step := func(m *Mirror) {
			if _, err := m.step(context.Background()); err == nil {
				m.recordSuccess()
			} else {
				m.recordFailure(errUnavailable)
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			key := fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "prefix"), rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.IntRange(0, 6).Draw(t, "what") {
			case 0, 1:
				s.put(key, fmt.Sprint(s.rev))
			case 2:
				s.remove(key)
			case 3:
				s.historyStart = s.rev
			case 4:
				s.unavailable = !s.unavailable
			case 5:
				step(direct)
			case 6:
				second.Apply(direct.Since(second.Revision()))
			}
		}
		s.unavailable = false
		for range 3 { // Expired history takes a failed watch, a listing and a watch.
			step(direct)
		}
		second.Apply(direct.Since(second.Revision()))
		if !maps.Equal(direct.values(), s.values()) {
			t.Fatalf("the mirror holds %v, the service %v", direct.values(), s.values())
		}
		if !maps.Equal(second.values(), s.values()) {
			t.Fatalf("the second copy holds %v, the service %v", second.values(), s.values())
		}
	})
}

// TestOldCopyIsIgnored checks that an older copy from another node is not applied.
func TestOldCopyIsIgnored(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	s.put("a/1", "new")
	m := newMirror(s, clock)
	if _, err := m.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	m.Apply([]tarragondeal.Entry{{Key: "a/1", Value: []byte("old"), Revision: 1}}, 1, true)
	if got := m.values()["a/1"]; got != "new" {
		t.Errorf("holds %q", got)
	}
}

// TestRemovalsAfterOutageAreMarked checks that subscribers can tell removals around
// an outage, of entries that may be created again, from other removals.
func TestRemovalsAfterOutageAreMarked(t *testing.T) {
	for _, c := range []struct {
		name   string
		outage bool
		after  time.Duration
		want   bool
	}{
		{"no outage", false, 0, false},
		{"when the service is available again", true, 0, true},
		{"long after the outage", true, time.Minute, false},
	} {
		s, clock := newFakeSource(), &fakeClock{now: tarragondeal.Instant(time.Hour)}
		s.put("a/1", "x")
		m := newMirror(s, clock)
		var afterOutage, called bool
		m.Subscribe(func(changes Changes) {
			if changes.Entries[0].Deleted {
				afterOutage, called = changes.AfterOutage, true
			}
		})
		_, _ = m.step(context.Background())
		if c.outage {
			m.recordFailure(errUnavailable)
			if c.after > 0 {
				_, _ = m.step(context.Background())
				m.recordSuccess()
			}
		}
		clock.now = clock.now.Add(c.after)
		s.remove("a/1")
		_, _ = m.step(context.Background())
		if !called || afterOutage != c.want {
			t.Errorf("%s: called %t, after outage %t", c.name, called, afterOutage)
		}
	}
}

// TestNotFollowingIsNoAnswer guards against a mirror that counts the service as
// available because it no longer calls it.
func TestNotFollowingIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeSource()
		var follows atomic.Bool
		follows.Store(true)
		var log bytes.Buffer
		m := New(s, &fakeClock{now: 1}, Options{Prefixes: []string{"a/"}, Follows: follows.Load, Log: zerolog.New(&log)})
		if err := m.list(t.Context()); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		s.unavailable = true
		go func() { done <- m.Run(ctx) }()
		time.Sleep(time.Second)
		follows.Store(false)
		time.Sleep(time.Second)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		if !strings.Contains(log.String(), "store is unavailable") || strings.Contains(log.String(), "store is available again") {
			t.Errorf("logged %s", log.String())
		}
	})
}

// delayedSource is a service that answers after a delay, or never while it is silent.
type delayedSource struct {
	*fakeSource
	silent atomic.Bool
	delay  time.Duration
}

func (s *delayedSource) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	if s.silent.Load() {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	select {
	case <-time.After(wait + s.delay):
		return s.fakeSource.Watch(ctx, prefix, after, wait)
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// bubbleClock is the clock of a test's bubble.
type bubbleClock struct{ start time.Time }

func (c bubbleClock) Now() tarragondeal.Instant {
	return tarragondeal.Instant(time.Hour + time.Since(c.start))
}
func (c bubbleClock) Wall() time.Time { return time.Now().UTC() }

// TestServiceAnswersAgain guards against a mirror that notices late that a service,
// fast or slow, answers again after it was silent.
func TestServiceAnswersAgain(t *testing.T) {
	for _, c := range []struct {
		name          string
		silent, delay time.Duration
		within        time.Duration
	}{
		{"after a short silence", 1700 * time.Millisecond, 5 * time.Millisecond, 600 * time.Millisecond},
		{"after a long silence", 9 * time.Second, 5 * time.Millisecond, 2500 * time.Millisecond},
		{"slowly", 1700 * time.Millisecond, time.Second, 4 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			clock := bubbleClock{start: time.Now()}
			s := &delayedSource{fakeSource: newFakeSource(), delay: c.delay}
			m := New(s, clock, Options{Prefixes: []string{"a/"}, Log: zerolog.Nop()})
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan error)
			s.silent.Store(true)
			go func() { done <- m.Run(ctx) }()
			time.Sleep(c.silent)
			s.silent.Store(false)
			again := clock.Now()
			time.Sleep(c.within)
			if m.ConfirmedAt() <= again {
				t.Errorf("%s: not noticed within %s", c.name, c.within)
			}
			cancel()
			if err := <-done; err != nil {
				t.Error(err)
			}
		})
	}
}

func TestSinceOldRevisionReturnsWholeCopy(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	m := newMirror(s, clock)
	for n := range maxHistory * 2 {
		s.put(fmt.Sprintf("a/%d", rand.IntN(20)), fmt.Sprint(n))
		_, _ = m.step(context.Background())
	}
	if _, _, whole := m.Since(2); !whole {
		t.Error("changes are returned that are no longer kept")
	}
	entries, rev, whole := m.Since(s.rev - 5)
	if whole || len(entries) != 5 || rev != s.rev {
		t.Errorf("%d entries up to %d, whole %t", len(entries), rev, whole)
	}
}
