package tdmirror

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

type hand struct{ now tarragondeal.Instant }

func (h *hand) Now() tarragondeal.Instant { return h.now }
func (h *hand) Wall() time.Time           { return time.Unix(0, int64(h.now)).UTC() }

// source is a stand-in for the service.
type source struct {
	rev    tarragondeal.Revision
	items  map[string]tarragondeal.Entry
	events []tarragondeal.Entry
	floor  tarragondeal.Revision // What came before is forgotten.
	away   bool
}

func newSource() *source { return &source{rev: 1, items: make(map[string]tarragondeal.Entry)} }

var errAway = errors.New("away")

func (s *source) put(key, value string) {
	s.rev++
	e := tarragondeal.Entry{Key: key, Value: []byte(value), Revision: s.rev}
	s.items[key] = e
	s.events = append(s.events, e)
}

func (s *source) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.rev++
	delete(s.items, key)
	s.events = append(s.events, tarragondeal.Entry{Key: key, Revision: s.rev, Deleted: true})
}

func (s *source) Page(_ context.Context, prefix, after string) (tarragondeal.Page, error) {
	if s.away {
		return tarragondeal.Page{}, errAway
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

func (s *source) Watch(_ context.Context, _ string, after tarragondeal.Revision, _ time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	if s.away {
		return nil, 0, errAway
	}
	if after < s.floor {
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

func newMirror(s *source, c *hand) *Mirror {
	return New(s, c, Options{Prefixes: []string{"a/", "b/"}, Log: zerolog.Nop()})
}

func (m *Mirror) has() map[string]string {
	out := make(map[string]string)
	for key, e := range m.items {
		out[key] = string(e.Value)
	}
	return out
}

func (s *source) has() map[string]string {
	out := make(map[string]string)
	for key, e := range s.items {
		if strings.HasPrefix(key, "a/") || strings.HasPrefix(key, "b/") {
			out[key] = string(e.Value)
		}
	}
	return out
}

// TestCopiesAgree checks a mirror that follows the service, and one that takes
// its copies, through changes, forgotten history and outages: both hold what the
// service holds whenever they have caught up, and no entry ever goes back.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, clock := newSource(), &hand{now: 1}
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
				m.reached()
			} else {
				m.failed(errAway)
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
				s.floor = s.rev
			case 4:
				s.away = !s.away
			case 5:
				step(direct)
			case 6:
				second.Take(direct.Since(second.Revision()))
			}
		}
		s.away = false
		for range 3 { // Forgotten history takes a listing, and then a watch.
			step(direct)
		}
		second.Take(direct.Since(second.Revision()))
		if !maps.Equal(direct.has(), s.has()) {
			t.Fatalf("the mirror holds %v, the service %v", direct.has(), s.has())
		}
		if !maps.Equal(second.has(), s.has()) {
			t.Fatalf("the second copy holds %v, the service %v", second.has(), s.has())
		}
	})
}

// TestOldCopyChangesNothing checks that another node's older copy is left out.
func TestOldCopyChangesNothing(t *testing.T) {
	s, clock := newSource(), &hand{now: 1}
	s.put("a/1", "new")
	m := newMirror(s, clock)
	if _, err := m.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	m.Take([]tarragondeal.Entry{{Key: "a/1", Value: []byte("old"), Revision: 1}}, 1, true)
	if got := m.has()["a/1"]; got != "new" {
		t.Errorf("holds %q", got)
	}
}

// TestRemovalsAfterAnOutageAreInDoubt checks what subscribers are told of
// entries that lapsed while the service was away.
func TestRemovalsAfterAnOutageAreInDoubt(t *testing.T) {
	for _, c := range []struct {
		name  string
		away  bool
		after time.Duration
		want  bool
	}{
		{"no outage", false, 0, false},
		{"as the service comes back", true, 0, true},
		{"long after", true, time.Minute, false},
	} {
		s, clock := newSource(), &hand{now: tarragondeal.Instant(time.Hour)}
		s.put("a/1", "x")
		m := newMirror(s, clock)
		var doubtful, told bool
		m.Subscribe(func(changes Changes) {
			if changes.Entries[0].Deleted {
				doubtful, told = changes.Doubtful, true
			}
		})
		_, _ = m.step(context.Background())
		if c.away {
			m.failed(errAway)
			if c.after > 0 {
				_, _ = m.step(context.Background())
				m.reached()
			}
		}
		clock.now = clock.now.Add(c.after)
		s.remove("a/1")
		_, _ = m.step(context.Background())
		if !told || doubtful != c.want {
			t.Errorf("%s: told %t, doubtful %t", c.name, told, doubtful)
		}
	}
}

func TestSinceOfALongTimeAgoIsWhole(t *testing.T) {
	s, clock := newSource(), &hand{now: 1}
	m := newMirror(s, clock)
	for n := range maxHistory * 2 {
		s.put(fmt.Sprintf("a/%d", rand.IntN(20)), fmt.Sprint(n))
		_, _ = m.step(context.Background())
	}
	if _, _, whole := m.Since(2); !whole {
		t.Error("changes are told that are no longer kept")
	}
	entries, rev, whole := m.Since(s.rev - 5)
	if whole || len(entries) != 5 || rev != s.rev {
		t.Errorf("%d entries up to %d, whole %t", len(entries), rev, whole)
	}
}
