package tdmirror

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdera"
)

// aheadAnswer is how a service answers a watch from a revision that it has not reached.
type aheadAnswer int

const (
	aheadGone    aheadAnswer = iota // The history has expired.
	aheadWaits                      // After the whole wait, without events.
	aheadAnswers                    // At once, without events.
	aheadEchoes                     // At once, without events, and with the revision that was asked for.
)

// savedCopy is what a service held at a revision.
type savedCopy struct {
	items map[string]tarragondeal.Entry
	rev   tarragondeal.Revision
}

// returningSource is a service that comes back from earlier copies. Each return begins another
// life, in which revisions are given again.
type returningSource struct {
	*fakeSource
	ahead    aheadAnswer
	life     int
	lastLife map[string]int           // The last life in which a value was held.
	eraLife  map[tarragondeal.Era]int // The first life in which an era was recorded.
	saved    []savedCopy              // Of any life.
	earlier  []savedCopy              // Of this life.
	old      func() (n int, ok bool)  // Reports whether to answer a read from an earlier copy. May be nil.
	loses    func() bool              // Reports whether the answer to a write is lost. May be nil.
}

func (s *returningSource) write(key, value string) {
	s.put(key, value)
	s.lastLife[value] = s.life
}

func (s *returningSource) save() {
	c := savedCopy{maps.Clone(s.items), s.rev}
	s.saved, s.earlier = append(s.saved, c), append(s.earlier, c)
}

// restore begins another life with a copy.
func (s *returningSource) restore(c savedCopy) {
	s.life++
	s.items, s.rev, s.events, s.historyStart, s.earlier = maps.Clone(c.items), c.rev, nil, c.rev, nil
	for _, e := range s.items {
		s.lastLife[string(e.Value)] = s.life
	}
}

// earlierCopy returns an earlier copy of this life if the next answer is old.
func (s *returningSource) earlierCopy() (savedCopy, bool) {
	if s.old == nil || len(s.earlier) == 0 {
		return savedCopy{}, false
	}
	n, ok := s.old()
	return s.earlier[n%len(s.earlier)], ok
}

func (s *returningSource) Page(ctx context.Context, prefix, after string) (tarragondeal.Page, error) {
	c, ok := s.earlierCopy()
	if !ok || s.unavailable {
		return s.fakeSource.Page(ctx, prefix, after)
	}
	p, err := (&fakeSource{items: c.items, rev: c.rev}).Page(ctx, prefix, after)
	s.answered()
	return p, err
}

func (s *returningSource) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	if s.ahead == aheadWaits && after > s.rev {
		s.answered()
	}
	if c, ok := s.earlierCopy(); ok && !s.unavailable {
		s.answered()
		return nil, c.rev, nil
	}
	entries, rev, err := s.watch(after)
	switch {
	case err != nil || after <= s.rev:
	case s.ahead == aheadGone:
		err = &tarragondeal.HistoryError{After: after}
	case s.ahead == aheadEchoes:
		rev = after
	}
	s.answered()
	return entries, rev, err
}

// Swap implements Recorder.
func (s *returningSource) Swap(_ context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	if s.unavailable {
		return tarragondeal.Entry{}, errUnavailable
	}
	if s.items[key].Revision != prev {
		return tarragondeal.Entry{}, &tarragondeal.ConflictError{Key: key, Current: s.items[key]}
	}
	s.write(key, string(value))
	e := s.items[key]
	if r, err := tdera.DecodeRecord(value); err == nil && r.Era > 0 {
		if _, ok := s.eraLife[r.Era]; !ok {
			s.eraLife[r.Era] = s.life
		}
	}
	s.answered()
	if s.loses != nil && s.loses() {
		return tarragondeal.Entry{}, errUnavailable
	}
	return e, nil
}

func (s *returningSource) recorded() tarragondeal.Era {
	r, err := tdera.DecodeRecord(s.items[tdera.Key].Value)
	if err != nil {
		panic(err)
	}
	return r.Era
}

// mirrored returns the values of all keys that are copied.
func (s *returningSource) mirrored() map[string]string {
	out := s.values()
	if e, ok := s.items[tdera.Key]; ok {
		out[tdera.Key] = string(e.Value)
	}
	return out
}

// eraClock is the clock of one node. No two nodes read the same wall time.
type eraClock struct {
	fakeClock
	wall *int64 // Of the fleet.
	node int64
}

func (c *eraClock) Wall() time.Time {
	*c.wall++
	const skew, nodes, apart = 50, 8, 1000
	return time.UnixMilli(((*c.wall+c.node*skew)*nodes + c.node) * apart)
}

// eraMirror is a mirror that checks the changes that it accepts.
type eraMirror struct {
	*Mirror
	clock   *eraClock
	eras    *tdera.Tracker
	follows bool
}

// eraFleet is a service that comes back from earlier copies, the mirrors that follow it or
// receive copies from others, and the copies on their way.
type eraFleet struct {
	*rapid.T
	service *returningSource
	mirrors []*eraMirror
	copies  []sentChanges
	wall    int64
	written int
	calling *eraMirror // In a step; nil for none.
	returns bool       // The service comes back from earlier copies.
}

// sentChanges is a copy on its way from one mirror to another, by their numbers.
type sentChanges struct {
	sentCopy
	from, to int
	after    tarragondeal.Position // The changes are those after it.
}

func (f *eraFleet) newMirror(n int, follows bool) *eraMirror {
	clock := &eraClock{fakeClock{1}, &f.wall, int64(n)}
	m := &eraMirror{clock: clock, eras: tdera.New(clock, zerolog.Nop(), nil), follows: follows}
	m.Mirror = New(f.service, clock, Options{
		Prefixes: []string{"a/", "b/", "held/"}, Follows: func() bool { return m.follows }, Log: zerolog.Nop(),
		Eras: m.eras, Recorder: f.service, Self: tarragondeal.NodeID(fmt.Sprint(n)),
	})
	var era tarragondeal.Era
	newest := make(map[string]tarragondeal.Revision)
	m.Subscribe(func(c Changes) {
		if m.era < era {
			f.Fatalf("mirror %d goes back from era %d to %d", n, era, m.era)
		}
		if m.era > era {
			era = m.era
			clear(newest)
		}
		life := f.service.eraLife[era]
		for _, e := range c.Entries {
			if life == f.service.life && e.Revision < newest[e.Key] {
				f.Fatalf("%s of mirror %d goes back from %d to %d in era %d", e.Key, n, newest[e.Key], e.Revision, era)
			}
			newest[e.Key] = e.Revision
			if last := f.service.lastLife[string(e.Value)]; !e.Deleted && last < life {
				f.Fatalf("mirror %d accepts %s=%s of life %d in an era of life %d", n, e.Key, e.Value, last, life)
			}
		}
	})
	return m
}

// step lets a mirror make its next call after a pause, if it makes one.
func (f *eraFleet) step(m *eraMirror, pause time.Duration) {
	m.clock.now = m.clock.now.Add(pause)
	s, suspected := m.eras.Suspicion()
	if m.listed && !m.follows && (!suspected || !m.mayExamine(&s)) {
		return // It would only wait.
	}
	f.calling = m
	if _, err := m.step(context.Background()); err != nil {
		m.recordFailure(err)
	}
	f.calling = nil
}

// call makes a call of the service whose answer is checked.
func (f *eraFleet) call(m *eraMirror) {
	s := f.service
	if s.unavailable {
		return
	}
	check := m.eras.Begin()
	rev := s.rev
	if c, ok := s.earlierCopy(); ok {
		rev = c.rev
	}
	s.answered()
	_ = check("get", "", rev)
}

// comeBack lets the service come back from a copy, or empty, if the first mirror knows as much as
// all others: what none remembers that follows the service is not found out.
func (f *eraFleet) comeBack() {
	s := f.service
	if f.calling != nil && !f.calling.follows && f.mirrors[0].Position().Revision < s.rev {
		return
	}
	for _, m := range f.mirrors {
		if !f.returns || f.mirrors[0].Position().Compare(m.eras.Known()) < 0 {
			return
		}
	}
	c := savedCopy{rev: 1, items: make(map[string]tarragondeal.Entry)}
	if len(s.saved) > 0 && rapid.Bool().Draw(f.T, "with entries") {
		c = s.saved[rapid.IntRange(0, len(s.saved)-1).Draw(f.T, "saved")]
	}
	s.ahead = rapid.SampledFrom([]aheadAnswer{aheadGone, aheadWaits, aheadAnswers, aheadEchoes}).Draw(f.T, "ahead")
	before := s.rev
	s.restore(c)
	if rapid.IntRange(0, 2).Draw(f.T, "passes") == 0 {
		for s.rev < before+1 {
			f.put()
		}
	}
	for _, m := range f.mirrors {
		if m.follows {
			m.recordFailure(errUnavailable)
		}
	}
}

func (f *eraFleet) put() {
	f.written++
	key := fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b", "c"}).Draw(f.T, "prefix"), rapid.IntRange(0, 4).Draw(f.T, "key"))
	f.service.write(key, fmt.Sprint(f.written))
}

// send returns a copy of one mirror for another.
func (f *eraFleet) send(from, to int) sentChanges {
	after := f.mirrors[to].Position()
	entries, rev, whole := f.mirrors[from].Since(after)
	return sentChanges{sentCopy{entries: entries, rev: rev, whole: whole}, from, to, after}
}

// receive delivers a copy, which may be delivered once more.
func (f *eraFleet) receive() {
	if len(f.copies) == 0 {
		return
	}
	n := rapid.IntRange(0, len(f.copies)-1).Draw(f.T, "copy")
	c := f.copies[n]
	if rapid.Bool().Draw(f.T, "last time") || len(f.copies) > 20 {
		f.copies = slices.Delete(f.copies, n, n+1)
	}
	f.deliver(c)
}

func (f *eraFleet) deliver(c sentChanges) {
	m := f.mirrors[c.to]
	m.eras.Receive(c.rev)
	if held := m.Position(); c.whole || held.Era == c.rev.Era && held.Revision >= c.after.Revision {
		m.Apply(c.entries, c.rev, c.whole)
	}
}

// act lets the service or a copy make progress.
func (f *eraFleet) act() {
	s := f.service
	switch rapid.IntRange(0, 12).Draw(f.T, "what") {
	case 0, 1, 2:
		f.put()
	case 3:
		s.remove(fmt.Sprintf("%s/%d", rapid.SampledFrom([]string{"a", "b"}).Draw(f.T, "prefix"), rapid.IntRange(0, 4).Draw(f.T, "key")))
	case 4:
		s.historyStart = s.rev
	case 5:
		s.unavailable = !s.unavailable
	case 6, 7:
		from, to := rapid.IntRange(0, len(f.mirrors)-1).Draw(f.T, "from"), rapid.IntRange(0, len(f.mirrors)-1).Draw(f.T, "to")
		f.copies = append(f.copies, f.send(from, to))
	case 8, 9:
		f.receive()
	case 10:
		f.call(rapid.SampledFrom(f.mirrors).Draw(f.T, "calls"))
	case 11:
		s.save()
	case 12:
		if rapid.IntRange(0, 3).Draw(f.T, "returns") == 0 {
			for range rapid.SampledFrom([]int{1, 1, 2}).Draw(f.T, "times") {
				f.comeBack()
			}
		}
	}
}

// run lets the fleet make n steps.
func (f *eraFleet) run(n int) {
	s := f.service
	s.onAnswer = func() {
		onAnswer := s.onAnswer
		s.onAnswer = nil
		for range rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(f.T, "meanwhile") {
			f.act()
		}
		s.onAnswer = onAnswer
	}
	s.loses = func() bool { return rapid.IntRange(0, 9).Draw(f.T, "lost") == 0 }
	s.old = func() (int, bool) {
		return rapid.IntRange(0, 9).Draw(f.T, "age"), !f.returns && rapid.IntRange(0, 9).Draw(f.T, "old") == 0
	}
	for range n {
		switch k := rapid.IntRange(0, 60).Draw(f.T, "step"); {
		case k == 0: // A node restarts.
			n := rapid.IntRange(1, len(f.mirrors)-1).Draw(f.T, "restarts")
			f.mirrors[n] = f.newMirror(n, f.mirrors[n].follows)
			f.copies = slices.DeleteFunc(f.copies, func(c sentChanges) bool { return c.to == n || c.from == n })
		case k < 30:
			f.step(rapid.SampledFrom(f.mirrors).Draw(f.T, "calls"), time.Second)
		default:
			f.act()
		}
	}
	s.onAnswer, s.loses, s.old, s.unavailable = nil, nil, nil, false
}

// settle lets all mirrors make calls and exchange their copies. A mirror whose era is
// later than those of all that follow the service has no source, and follows the service itself.
func (f *eraFleet) settle() {
	for range 6 {
		latest := tarragondeal.Era(0)
		for _, m := range f.mirrors {
			for range 4 {
				f.step(m, maxVerifyInterval/4)
			}
			if m.follows {
				latest = max(latest, m.era)
			}
		}
		for n, m := range f.mirrors {
			m.follows = m.follows || m.era > latest
			for from := range f.mirrors {
				f.deliver(f.send(from, n))
			}
		}
	}
}

// TestCopiesOfReturningServiceAgree guards against copies that keep or take what a service lost
// that came back from an earlier copy, and against an era that begins though it did not: calls
// that are late or old, copies that are late, repeated or lost, and nodes that restart. All
// mirrors must hold the same entries as the service once they have caught up.
func TestCopiesOfReturningServiceAgree(t *testing.T) {
	for _, c := range []struct {
		name    string
		returns bool
	}{
		{"comes back from copies", true},
		{"has not gone back", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			steps := 0
			rapid.Check(t, func(t *rapid.T) {
				f := &eraFleet{T: t, returns: c.returns, service: &returningSource{
					fakeSource: newFakeSource(), lastLife: make(map[string]int), eraLife: make(map[tarragondeal.Era]int),
				}}
				for n := range 4 {
					f.mirrors = append(f.mirrors, f.newMirror(n, n < 2))
				}
				n := rapid.SampledFrom([]int{20, 100, 2000}).Draw(t, "steps")
				steps += n
				f.run(n)
				f.settle()
				for n, m := range f.mirrors {
					if got, want := m.values(), f.service.mirrored(); !maps.Equal(got, want) || m.era != f.service.recorded() {
						t.Fatalf("mirror %d at %v holds %v, the service at %v %v", n, m.Position(), got,
							tarragondeal.Position{Era: f.service.recorded(), Revision: f.service.rev}, want)
					}
				}
				if !c.returns && len(f.service.eraLife) > 0 {
					t.Fatalf("eras began: %v", f.service.eraLife)
				}
			})
			t.Logf("%d steps", steps)
		})
	}
}
