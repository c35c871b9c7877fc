package tdmirror

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
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
	onAnswer     func() // Called when a call has its answer, before it returns. May be nil.
}

// at returns a position of the first era.
func at(rev tarragondeal.Revision) tarragondeal.Position { return tarragondeal.Position{Revision: rev} }

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
	p, err := s.page(prefix, after)
	s.answered()
	return p, err
}

func (s *fakeSource) answered() {
	if s.onAnswer != nil {
		s.onAnswer()
	}
}

func (s *fakeSource) page(prefix, after string) (tarragondeal.Page, error) {
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
	entries, rev, err := s.watch(after)
	s.answered()
	return entries, rev, err
}

func (s *fakeSource) watch(after tarragondeal.Revision) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
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

// sentCopy is a copy on its way to a mirror.
type sentCopy struct {
	to      *testMirror
	entries []tarragondeal.Entry
	rev     tarragondeal.Position
	whole   bool
}

// testMirror is a mirror that checks its own changes.
type testMirror struct {
	*Mirror
	follows bool
}

// fleet is a service, the mirrors that follow it or receive copies, and the copies
// on their way.
type fleet struct {
	*rapid.T
	service *fakeSource
	mirrors []*testMirror
	copies  []sentCopy
}

func (f *fleet) newMirror(follows bool) *testMirror {
	m := &testMirror{follows: follows}
	m.Mirror = New(f.service, &fakeClock{now: 1}, Options{
		Prefixes: []string{"a/", "b/"}, Follows: func() bool { return m.follows }, Log: zerolog.Nop(),
	})
	newest := make(map[string]tarragondeal.Revision)
	m.Subscribe(func(c Changes) {
		for _, e := range c.Entries {
			if e.Revision < newest[e.Key] {
				f.Fatalf("%s goes back from %d to %d", e.Key, newest[e.Key], e.Revision)
			}
			newest[e.Key] = e.Revision
		}
	})
	return m
}

func (f *fleet) step(m *testMirror) {
	if m.listed && !m.follows {
		return // It would only wait.
	}
	m.clock.(*fakeClock).now = m.clock.Now().Add(time.Second) // Of the wait before a listing.
	if _, err := m.step(context.Background()); err == nil {
		m.recordSuccess()
	} else {
		m.recordFailure(errUnavailable)
	}
}

// act lets the service or a copy make progress.
func (f *fleet) act() {
	s := f.service
	key := fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(f.T, "prefix"), rapid.IntRange(0, 4).Draw(f.T, "key"))
	m := rapid.SampledFrom(f.mirrors).Draw(f.T, "mirror")
	switch rapid.IntRange(0, 9).Draw(f.T, "what") {
	case 0, 1:
		s.put(key, fmt.Sprint(s.rev))
	case 2:
		s.remove(key)
	case 3:
		s.historyStart = s.rev
	case 4:
		s.unavailable = !s.unavailable
	case 5:
		from := rapid.SampledFrom(f.mirrors).Draw(f.T, "from")
		entries, rev, whole := from.Since(m.Position())
		f.copies = append(f.copies, sentCopy{m, entries, rev, whole})
	case 6, 7:
		if len(f.copies) == 0 {
			return
		}
		n := rapid.IntRange(0, len(f.copies)-1).Draw(f.T, "copy")
		c := f.copies[n]
		if rapid.Bool().Draw(f.T, "last time") {
			f.copies = slices.Delete(f.copies, n, n+1)
		}
		if rapid.IntRange(0, 4).Draw(f.T, "lost") > 0 {
			c.to.Apply(c.entries, c.rev, c.whole)
		}
	case 8:
		if rapid.IntRange(0, 4).Draw(f.T, "many") == 0 {
			for n := range maxHistory + 10 {
				s.put(fmt.Sprintf("a/%d", n), fmt.Sprint(s.rev))
			}
		}
	case 9:
		f.sendAhead(m)
	}
	f.check()
}

// sendAhead sends some changes to a mirror that lacks earlier ones.
func (f *fleet) sendAhead(m *testMirror) {
	from := rapid.SampledFrom(f.mirrors).Draw(f.T, "ahead from")
	entries, at, whole := from.Since(m.Position())
	if whole {
		return
	}
	m.ApplyAhead(entries[min(rapid.IntRange(0, 5).Draw(f.T, "passed over"), len(entries)):], at.Era)
}

// check compares each mirror with what the service held at the mirror's revision or
// later.
func (f *fleet) check() {
	for n, m := range f.mirrors {
		if !m.listed {
			continue
		}
		possible := make(map[string][]tarragondeal.Revision) // 0 means that the key didn't exist.
		for _, e := range f.service.events {
			held := e.Revision
			if e.Deleted {
				held = 0
			}
			switch {
			case !m.isMirrored(e.Key):
			case e.Revision <= m.rev:
				possible[e.Key] = []tarragondeal.Revision{held}
			case possible[e.Key] == nil:
				possible[e.Key] = []tarragondeal.Revision{0, held}
			default:
				possible[e.Key] = append(possible[e.Key], held)
			}
		}
		for key, revs := range possible {
			if held := m.items[key].Revision; !slices.Contains(revs, held) {
				f.Fatalf("mirror %d at %d holds %s of revision %d, want one of %v", n, m.rev, key, held, revs)
			}
		}
	}
}

// TestCopiesAgree checks mirrors that follow the service and mirrors that receive
// copies, which may be delayed, repeated or lost, through changes, expired watch
// history, outages and restarts. Calls to the service may be overtaken. No entry may
// go back, a copy must be complete at its revision, and all mirrors must hold the
// same entries as the service once they have caught up.
func TestCopiesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{T: t, service: newFakeSource()}
		for n := range 4 {
			f.mirrors = append(f.mirrors, f.newMirror(n < 2))
		}
		s := f.service
		s.onAnswer = func() {
			for range rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "meanwhile") {
				f.act()
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch n := rapid.IntRange(0, 40).Draw(t, "step"); {
			case n == 0: // A node restarts.
				n := rapid.IntRange(0, len(f.mirrors)-1).Draw(t, "restarts")
				f.mirrors[n] = f.newMirror(f.mirrors[n].follows)
			case n < 15:
				f.step(rapid.SampledFrom(f.mirrors).Draw(t, "calls"))
				f.check()
			default:
				f.act()
			}
		}
		s.onAnswer, s.unavailable = nil, false
		for _, m := range f.mirrors[:2] {
			for range 3 { // Expired history takes a failed watch, a listing and a watch.
				f.step(m)
			}
		}
		for n, m := range f.mirrors {
			m.Apply(f.mirrors[n%2].Since(m.Position()))
			if !maps.Equal(m.values(), s.values()) {
				t.Fatalf("mirror %d holds %v, the service %v", n, m.values(), s.values())
			}
		}
		f.check()
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
	m.Apply([]tarragondeal.Entry{{Key: "a/1", Value: []byte("old"), Revision: 1}}, at(1), true)
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
		{"soon after the outage", true, time.Second, true},
		{"long after the outage", true, time.Minute, false},
	} {
		s, clock := newFakeSource(), &fakeClock{now: tarragondeal.Instant(time.Hour)}
		s.put("a/1", "x")
		m := newMirror(s, clock)
		var afterOutage, called bool
		var end tarragondeal.Instant
		m.Subscribe(func(changes Changes) {
			if changes.Entries[0].Deleted {
				afterOutage, end, called = changes.AfterOutage, changes.OutageEnd, true
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
		var wantEnd tarragondeal.Instant
		if c.want && c.after > 0 {
			wantEnd = clock.now.Add(-c.after)
		}
		if end != wantEnd {
			t.Errorf("%s: the outage ended at %d, want %d", c.name, end, wantEnd)
		}
	}
}

// TestRemovalsWhileOthersAreAnswered guards against servers that are kept although they are
// gone, at nodes that the service rejects, and against servers that are removed since an
// outage of the service is taken for that.
func TestRemovalsWhileOthersAreAnswered(t *testing.T) {
	second := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
	for _, c := range []struct {
		name    string
		answers []time.Duration // To others, counted from the first failure here.
		at      time.Duration   // Of the removal.
		want    bool
	}{
		{"none is known", nil, second(3), true},
		{"all the time", []time.Duration{second(-1), 0, second(1), second(2), second(3)}, second(3), false},
		{"until the last one", []time.Duration{second(-1), 0, second(1)}, second(4), true},
		{"before and after an outage", []time.Duration{second(-1), second(-0.1), second(4)}, second(4), true},
		{"only before", []time.Duration{second(-1), second(-0.1)}, second(1), true},
		{"only after the beginning", []time.Duration{second(1), second(2)}, second(2), true},
	} {
		s, clock := newFakeSource(), &fakeClock{now: tarragondeal.Instant(time.Hour)}
		s.put("a/1", "x")
		m := newMirror(s, clock)
		afterOutage, called := false, false
		m.Subscribe(func(changes Changes) {
			if changes.Entries[0].Deleted {
				afterOutage, called = changes.AfterOutage, true
			}
		})
		_, _ = m.step(context.Background())
		failed := clock.now
		for _, at := range c.answers {
			if at <= 0 {
				m.RecordOtherAnswer(failed.Add(at))
			}
		}
		clock.now = failed.Add(1)
		m.recordFailure(errUnavailable)
		for _, at := range c.answers {
			clock.now = failed.Add(max(1, at))
			m.RecordOtherAnswer(failed.Add(at))
		}
		clock.now = failed.Add(c.at)
		m.Apply([]tarragondeal.Entry{{Key: "a/1", Revision: 9, Deleted: true}}, at(9), false)
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
		s.put(fmt.Sprintf("a/%d", n), fmt.Sprint(n))
		_, _ = m.step(context.Background())
	}
	if _, _, whole := m.Since(at(2)); !whole {
		t.Error("changes are returned that are no longer kept")
	}
	entries, rev, whole := m.Since(at(s.rev - 5))
	if whole || len(entries) != 5 || rev != at(s.rev) {
		t.Errorf("%d entries up to %v, whole %t", len(entries), rev, whole)
	}
}

// steps lets a mirror make n calls to the service.
func steps(t *testing.T, m *Mirror, n int) {
	t.Helper()
	for range n {
		if _, err := m.step(context.Background()); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLateAnswerDoesNotRestoreRemovedEntry checks that a watch or a listing that was
// answered before a copy from another node was applied does not restore an entry
// that the copy removed.
func TestLateAnswerDoesNotRestoreRemovedEntry(t *testing.T) {
	for _, c := range []struct {
		name    string
		expired bool // The watch history, so that the mirror lists again.
	}{
		{"watch", false},
		{"listing", true},
	} {
		s, clock := newFakeSource(), &fakeClock{now: 1}
		m, other := newMirror(s, clock), newMirror(s, clock)
		s.put("a/1", "x")
		steps(t, m, 1)
		s.put("a/2", "x")
		steps(t, other, 1)
		if c.expired {
			s.historyStart = s.rev
			steps(t, m, 1)
		}
		s.onAnswer = func() {
			s.onAnswer = nil
			s.remove("a/2")
			steps(t, other, 1)
			m.Apply(other.Since(m.Position()))
		}
		steps(t, m, 2)
		if !maps.Equal(m.values(), s.values()) {
			t.Errorf("%s: the mirror holds %v, the service %v", c.name, m.values(), s.values())
		}
	}
}

// TestTrimmedHistoryIsComplete checks that a node whose revision lies between those
// of trimmed changes gets the full copy: a listing is not in the order of revisions.
func TestTrimmedHistoryIsComplete(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	for n := range maxHistory + 2 {
		s.put(fmt.Sprintf("a/%03d", n), "x")
	}
	receiver, m := newMirror(s, clock), newMirror(s, clock)
	steps(t, receiver, 1)
	s.put("a/000", "new")
	steps(t, m, 1)
	receiver.Apply(m.Since(receiver.Position()))
	if !maps.Equal(receiver.values(), s.values()) {
		t.Errorf("a/000 is %q", receiver.values()["a/000"])
	}
}

// TestCopyAfterListingIncludesRemovals checks that a node that is behind learns of
// removals which the sender never saw, since it listed the keys afterwards.
func TestCopyAfterListingIncludesRemovals(t *testing.T) {
	for _, c := range []struct {
		name  string
		again bool // The sender had listed the keys before.
	}{
		{"first listing", false},
		{"history expired", true},
	} {
		s, clock := newFakeSource(), &fakeClock{now: 1}
		s.put("a/1", "x")
		receiver, m := newMirror(s, clock), newMirror(s, clock)
		if c.again {
			steps(t, m, 1)
		}
		s.put("a/2", "x")
		steps(t, receiver, 1)
		s.remove("a/2")
		s.historyStart = s.rev
		steps(t, m, 2)
		receiver.Apply(m.Since(receiver.Position()))
		if receiver.Position().Revision != s.rev || !maps.Equal(receiver.values(), s.values()) {
			t.Errorf("%s: the receiver at %d holds %v, the service %v", c.name, receiver.Position().Revision, receiver.values(), s.values())
		}
	}
}

// TestRemovalDuringListingIsCopied checks that a removal between two pages of a
// listing reaches a node whose revision is later than the first page's.
func TestRemovalDuringListingIsCopied(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	s.put("a/1", "x")
	s.put("b/1", "x")
	receiver, m := newMirror(s, clock), newMirror(s, clock)
	steps(t, m, 1)
	s.put("a/2", "x")
	s.historyStart = s.rev
	steps(t, m, 1)
	s.onAnswer = func() {
		s.onAnswer = nil
		s.put("a/3", "x")
		steps(t, receiver, 1)
		s.remove("b/1")
	}
	steps(t, m, 2)
	receiver.Apply(m.Since(receiver.Position()))
	if receiver.Position().Revision != s.rev || !maps.Equal(receiver.values(), s.values()) {
		t.Errorf("the receiver at %d holds %v, the service %v", receiver.Position().Revision, receiver.values(), s.values())
	}
}

// TestOlderCopyDoesNotRestoreListedRemoval checks that an entry that was missing from
// a listing is not restored by a copy that is older than the listing's last page.
func TestOlderCopyDoesNotRestoreListedRemoval(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	s.put("a/1", "x")
	s.put("b/1", "x")
	m, other := newMirror(s, clock), newMirror(s, clock)
	steps(t, m, 1)
	s.put("a/2", "x")
	s.historyStart = s.rev
	steps(t, m, 1)
	s.onAnswer = func() {
		s.onAnswer = nil
		s.put("a/3", "x")
		steps(t, other, 1)
		s.remove("b/1")
	}
	steps(t, m, 1)
	m.Apply(other.Since(at(0)))
	if _, ok := m.values()["b/1"]; ok {
		t.Error("an entry that was missing from the listing was restored by an older copy")
	}
}

// TestEventsOutOfOrder checks that the events of one watch may be in any order: an
// entry that was written and then removed is not held afterwards.
func TestEventsOutOfOrder(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	s.put("a/1", "x")
	m := newMirror(s, clock)
	steps(t, m, 1)
	s.put("a/1", "y")
	s.remove("a/1")
	slices.Reverse(s.events)
	steps(t, m, 1)
	if len(m.values()) != 0 {
		t.Errorf("the mirror holds %v", m.values())
	}
}

// TestFullCopyDoesNotRestoreRemovedEntry checks that an entry that a full copy lacks is
// not restored by another one that is later, but was made before the removal: the first
// sender may have listed the keys again and be ahead of its own revision.
func TestFullCopyDoesNotRestoreRemovedEntry(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	s.put("a/1", "x")
	receiver, m, other := newMirror(s, clock), newMirror(s, clock), newMirror(s, clock)
	steps(t, receiver, 1)
	steps(t, m, 1)
	s.put("b/1", "x") // After the receiver's own listing.
	steps(t, receiver, 1)
	s.put("a/2", "x")
	s.historyStart = s.rev
	steps(t, m, 1)
	s.onAnswer = func() {
		s.onAnswer = nil
		s.put("a/3", "x")
		steps(t, other, 1)
		s.remove("b/1")
	}
	steps(t, m, 1)
	receiver.Apply(m.Since(receiver.Position()))
	if _, ok := receiver.values()["b/1"]; ok {
		t.Fatal("the first copy has the entry")
	}
	receiver.Apply(other.Since(at(0)))
	if _, ok := receiver.values()["b/1"]; ok {
		t.Error("an entry was restored that an earlier full copy lacked")
	}
}

// TestFullCopyCompletesPartOfACopy checks that a mirror without a listing that has
// applied only changes takes all entries of a later full copy.
func TestFullCopyCompletesPartOfACopy(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	s.put("a/1", "x")
	m, receiver := newMirror(s, clock), newMirror(s, clock)
	steps(t, m, 1)
	s.put("a/2", "x")
	steps(t, m, 1)
	receiver.Apply(m.Since(at(2)))
	s.put("a/3", "x")
	steps(t, m, 1)
	receiver.Apply(m.Since(at(0)))
	if !maps.Equal(receiver.values(), s.values()) {
		t.Errorf("the receiver holds %v, the service %v", receiver.values(), s.values())
	}
}

// TestHistoryHoldsLastChangeOfAKey guards against copies that grow with each change of
// a large value: a node that lacked five configurations got all of them.
func TestHistoryHoldsLastChangeOfAKey(t *testing.T) {
	source := newFakeSource()
	m := newMirror(source, &fakeClock{now: 1})
	if _, err := m.step(t.Context()); err != nil {
		t.Fatal(err)
	}
	behind := m.Position()
	for n := range 5 {
		source.put("a/large", fmt.Sprint(n))
		source.put("b/"+fmt.Sprint(n), "small")
		source.remove("b/" + fmt.Sprint(n-1))
		if _, err := m.step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	entries, rev, whole := m.Since(behind)
	if whole {
		t.Fatal("the copy is complete")
	}
	changes := make(map[string]int)
	for _, e := range entries {
		changes[e.Key]++
	}
	for key, n := range changes {
		if n != 1 {
			t.Errorf("%d changes of %s", n, key)
		}
	}
	other := newMirror(newFakeSource(), &fakeClock{now: 1})
	other.Apply(nil, behind, true)
	other.Apply(entries, rev, false)
	if want := source.values(); !maps.Equal(other.values(), want) {
		t.Errorf("the other copy holds %v, want %v", other.values(), want)
	}
}

// TestChangeSentAheadIsNotUndone guards against a leaving server that is listed as live
// again: a copy with an earlier change of its entry arrives after the later change that
// was sent ahead of it.
func TestChangeSentAheadIsNotUndone(t *testing.T) {
	s, clock := newFakeSource(), &fakeClock{now: 1}
	m, other := newMirror(s, clock), newMirror(s, clock)
	steps(t, m, 1)
	steps(t, other, 1)
	before := m.Position()
	s.put("a/changed", "live")
	s.put("a/removed", "live")
	steps(t, other, 1)
	entries, rev, whole := other.Since(before)
	s.put("a/changed", "leaving")
	s.remove("a/removed")
	steps(t, other, 1)
	ahead, _, _ := other.Since(rev)

	want := map[string]string{"a/changed": "leaving"}
	m.ApplyAhead(ahead, 0)
	if got := m.values(); !maps.Equal(got, want) || m.Position() != before {
		t.Errorf("at revision %d the mirror holds %v", m.Position().Revision, got)
	}
	m.Apply(entries, rev, whole)
	if got := m.values(); !maps.Equal(got, want) || m.Position() != rev {
		t.Errorf("at revision %d the mirror holds %v", m.Position().Revision, got)
	}
	m.Apply(other.Since(rev))
	if got := m.values(); !maps.Equal(got, want) || len(m.ahead) != 0 {
		t.Errorf("the mirror holds %v in the end, and %d changes ahead", got, len(m.ahead))
	}
}
