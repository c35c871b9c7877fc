package tdera

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
)

const (
	// MaxLines is how many lines of one kind are logged in a LinesPeriod: a service may go back
	// again and again.
	MaxLines = 10
	// LinesPeriod is the period that MaxLines refers to.
	LinesPeriod = 10 * time.Minute
)

// Suspicion is a reason to believe that the service was restored from an earlier copy.
type Suspicion struct {
	Found    string                // How it was found.
	Reported tarragondeal.Revision // By the service; zero if another node or the contents gave rise to it.
	Known    tarragondeal.Position // Of this node at that time.
	Era      tarragondeal.Era      // Later one that another node is in or has recorded; zero for none.
	Proven   bool                  // The contents can't be later ones of the same history.
	At       tarragondeal.Instant
}

// Tracker tracks the era and the latest revision that the service has reported to this node or
// to others. It is safe for concurrent use.
type Tracker struct {
	clock tarragondeal.Clock
	log   zerolog.Logger // Of eras.
	info  zerolog.Logger // Of suspicions.
	scope tally.Scope

	mu          sync.Mutex
	known       tarragondeal.Position
	suspicion   *Suspicion
	dismissed   tarragondeal.Era // Of another node, without a record in the store.
	suspected   context.Context  // Done while there is a suspicion.
	endCalls    context.CancelFunc
	subscribers []func(tarragondeal.Era)
}

// New returns a tracker of the first era.
func New(clock tarragondeal.Clock, log zerolog.Logger, scope tally.Scope) *Tracker {
	if scope == nil {
		scope = tally.NoopScope
	}
	t := &Tracker{
		clock: clock, log: tdlog.Sampled(log, MaxLines, LinesPeriod), info: tdlog.Sampled(log, MaxLines, LinesPeriod), scope: scope,
	}
	t.suspected, t.endCalls = context.WithCancel(context.Background())
	return t
}

// Subscribe calls receive with each later era, before anything of it is applied. Receive must not
// call the copy of the store. Subscribe must be called before the first call of the service.
func (t *Tracker) Subscribe(receive func(tarragondeal.Era)) {
	t.subscribers = append(t.subscribers, receive)
}

// Known returns the era and the latest revision that the service has reported in it.
func (t *Tracker) Known() tarragondeal.Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// Begin implements tarragondeal.RevisionChecker.
func (t *Tracker) Begin() func(op, key string, reported tarragondeal.Revision) error {
	begun := t.Known()
	return func(op, key string, reported tarragondeal.Revision) error {
		return t.check(begun, op, key, reported)
	}
}

func (t *Tracker) check(begun tarragondeal.Position, op, key string, reported tarragondeal.Revision) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if begun.Era != t.known.Era || reported < begun.Revision {
		if begun.Era == t.known.Era {
			t.suspect(Suspicion{Found: op, Reported: reported})
		}
		return &tarragondeal.EraError{Op: op, Key: key, Reported: reported, Known: begun}
	}
	t.known.Revision = max(t.known.Revision, reported)
	return nil
}

// Suspect records a suspicion. If there is one already, it only becomes a proven one.
func (t *Tracker) Suspect(s Suspicion) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.suspect(s)
}

func (t *Tracker) suspect(s Suspicion) {
	if t.suspicion != nil {
		t.suspicion.Proven = t.suspicion.Proven || s.Proven
		return
	}
	s.Known, s.At = t.known, t.clock.Now()
	t.suspicion = &s
	t.endCalls()
	t.info.Info().Str("found", s.Found).Uint64("reported", uint64(s.Reported)).Uint64("known", uint64(s.Known.Revision)).
		Uint64("era", uint64(s.Known.Era)).Msg("the store may have come back from an earlier copy")
	t.scope.Counter("suspicions").Inc(1)
}

// Receive takes the position of another node into account: its revision if it is of the same
// era, and a later era as a suspicion.
func (t *Tracker) Receive(p tarragondeal.Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case p.Era == t.known.Era:
		t.known.Revision = max(t.known.Revision, p.Revision)
	case p.Era > t.known.Era && p.Era != t.dismissed:
		t.suspect(Suspicion{Found: "era of another node", Era: p.Era})
	}
}

// Suspicion returns the suspicion that is to be examined.
func (t *Tracker) Suspicion() (Suspicion, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.suspicion == nil {
		return Suspicion{}, false
	}
	return *t.suspicion, true
}

// Suspected returns a context that ends when a suspicion arises.
func (t *Tracker) Suspected() context.Context {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspected
}

// Dismiss drops the suspicion. Later is an era that other nodes are in without a record of it in
// the store, or zero: it gives rise to no further suspicion.
func (t *Tracker) Dismiss(later tarragondeal.Era) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dismissed = max(t.dismissed, later)
	t.scope.Counter("dismissals").Inc(1)
	t.clear()
}

func (t *Tracker) clear() {
	if t.suspicion != nil {
		t.suspicion = nil
		t.suspected, t.endCalls = context.WithCancel(context.Background())
	}
}

// Start begins a later era. Answers to calls that began before it are not used.
func (t *Tracker) Start(p tarragondeal.Position, found string) {
	t.mu.Lock()
	before := t.known
	if p.Era <= before.Era {
		t.mu.Unlock()
		return
	}
	t.known = p
	t.clear()
	t.mu.Unlock()
	line := t.log.Warn()
	if before.Revision == 0 { // This node has just started.
		line = t.log.Info()
	}
	line.Uint64("era", uint64(p.Era)).Uint64("revision", uint64(p.Revision)).Uint64("eraBefore", uint64(before.Era)).
		Uint64("revisionBefore", uint64(before.Revision)).Str("found", found).Msg("era of the store changed: it came back from an earlier copy")
	t.scope.Counter("eras").Inc(1)
	for _, receive := range t.subscribers {
		receive(p.Era)
	}
}
