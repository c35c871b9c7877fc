// Package tdmirror keeps an in-memory copy of some keys of the platform's
// key-value service. It follows the service with a single watch. While the
// service is unavailable or rejects this node, it applies changes that other
// nodes have copied.
//
// # Usage
//
//	m := tdmirror.New(source, clock, tdmirror.Options{Prefixes: []string{"servers/"}})
//	m.Subscribe(func(c tdmirror.Changes) { ... })
//	err := m.Run(ctx)
//
// A copy never goes back: an entry is applied only if its revision is later than
// the one in the copy.
package tdmirror

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/fleet/tdera"
)

const (
	// watchTimeout is how long the service may hold one watch open. A silent
	// connection is detected watchGrace later. A slow service may hold it open for
	// less, so that it has twice its delay to answer in the same time.
	watchTimeout = time.Second
	watchGrace   = 500 * time.Millisecond
	// confirmWait is the wait of a watch whose answer confirms that the service
	// is available. Its timeout doubles with each failure in a row from
	// minConfirmTimeout, up to maxConfirmTimeout for a slow service.
	confirmWait       = 50 * time.Millisecond
	minConfirmTimeout = 400 * time.Millisecond
	maxConfirmTimeout = 1600 * time.Millisecond
	// pageTimeout is how long the answer with one page may take to begin.
	pageTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. The
	// minimum is short because interrupted watches are common. The maximum limits
	// the load on a service that is coming back.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// followCheckInterval is how often a node that does not follow the service
	// checks whether it should.
	followCheckInterval = 100 * time.Millisecond
	// relistCheckInterval is how often a node that waits before it lists the keys again
	// checks whether it still follows the service.
	relistCheckInterval = 20 * time.Millisecond
	// minRelistInterval is the time between two listings of a node whose watch fails for
	// lack of history right after the first. It doubles with each further one, up to
	// maxRelistInterval: meanwhile changes are received by listings alone.
	minRelistInterval = 50 * time.Millisecond
	maxRelistInterval = 400 * time.Millisecond
	// changeBatchDelay is the delay between a watch that returned changes and
	// the next one, so that changes are received in batches.
	changeBatchDelay = 150 * time.Millisecond
	// maxHistory is the number of keys whose last changes are kept for other nodes. A
	// node that lacks more gets the full copy.
	maxHistory = 256
	// largeAnswer is the size in bytes of the values from which an answer is logged.
	largeAnswer = 16 << 10
	// slowReceive is how long subscribers may take to receive changes before that is
	// logged. The mirror does nothing else meanwhile.
	slowReceive = 100 * time.Millisecond
)

// MaxAnswerAge is how long ago the last answer may be while the service is available
// to a node that follows it.
const MaxAnswerAge = changeBatchDelay + watchTimeout + watchGrace

// Options configure a Mirror.
type Options struct {
	Prefixes []string // Prefixes of the keys to copy.
	// Confirmed is the prefix of the keys that Confirm brings up to date.
	Confirmed string
	// Follows reports whether this node should follow the service itself after
	// the first listing. Nil means always.
	Follows func() bool
	// RelistDelay returns how long this node waits before it lists the keys again when the
	// history of its watch has expired: others may list them first and send copies. Nil means
	// not at all.
	RelistDelay func() time.Duration
	// Eras tracks the era of the service. Nil means that the service never goes back.
	Eras *tdera.Tracker
	// Recorder writes the record of the era. It must not check revisions, as the source must not.
	Recorder Recorder
	Self     tarragondeal.NodeID
	Log      zerolog.Logger
	Scope    tally.Scope
}

// Recorder writes keys of the service.
type Recorder interface {
	// Swap writes value if the key is still at revision prev.
	Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error)
}

// Changes are entries that were applied together.
type Changes struct {
	Entries []tarragondeal.Entry
	// AfterOutage is set if the service is unavailable or was so within the last
	// outageGrace: entries that expired meanwhile may be created again. It is not set
	// if the service rejected this node but answered others.
	AfterOutage bool
	// OutageEnd is when that outage ended. It is zero while the service is
	// unavailable.
	OutageEnd tarragondeal.Instant
}

// outageGrace is how long after an outage changes are marked with AfterOutage.
const outageGrace = 2 * time.Second

// Mirror is an in-memory copy of the service. It is safe for concurrent use.
type Mirror struct {
	source tarragondeal.Source
	clock  tarragondeal.Clock
	opt    Options
	eraLog zerolog.Logger // Of eras and what leads to them.

	mu             sync.Mutex
	items          map[string]tarragondeal.Entry
	era            tarragondeal.Era
	rev            tarragondeal.Revision
	eraSince       tarragondeal.Instant             // When the era began here; zero in the first one.
	replacedSince  tarragondeal.Instant             // When an era replaced entries of this copy; zero before.
	ahead          map[string]tarragondeal.Revision // Of the changes after rev that were applied, by key.
	history        []tarragondeal.Entry
	historyStart   tarragondeal.Revision // The history holds all changes after this revision.
	listed         bool
	relistAt       tarragondeal.Instant  // When the keys may be listed again; zero before the first time.
	relists        int                   // Listings since the last watch that was answered.
	reported       tarragondeal.Revision // By the service at last.
	watched        tarragondeal.Revision // Reported by the last watch, which should have had all changes up to it; zero if none.
	upToDate       bool                  // Whether changes or an answer of the era have been applied since it began.
	verifyAt       tarragondeal.Instant  // When the copy is verified by a listing; zero if it need not be.
	verifiedAt     tarragondeal.Instant  // When the keys were listed last; zero before the first time.
	verifyPause    time.Duration         // The least time until they are listed again to verify the copy.
	examinedAt     tarragondeal.Instant  // When an examination of a suspicion last had a result; zero before the first.
	examinePause   time.Duration         // The least time until the next one.
	listings       []listing             // The last listings, without their entries.
	unavailable    bool
	failures       int                  // Calls that failed since the last one that did not.
	delay          time.Duration        // How late the service answered the last watch without changes.
	availableSince tarragondeal.Instant // When the last outage ended; zero before the first.
	confirmedAt    tarragondeal.Instant // When the service last answered; zero before the first answer.
	failingSince   tarragondeal.Instant // When the last outage began; zero before the first.
	subscribers    []func(Changes)

	others       otherAnswers
	confirmation confirmation
}

// otherAnswers are the answers of the service to other nodes. It has a lock of its own,
// since changes may take long to apply.
type otherAnswers struct {
	mu    sync.Mutex
	at    tarragondeal.Instant // Of the last one; zero if none is known.
	since tarragondeal.Instant // Since when there was no pause over MaxAnswerAge.
}

// New returns an empty mirror.
func New(s tarragondeal.Source, c tarragondeal.Clock, o Options) *Mirror {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Eras == nil {
		o.Eras = tdera.New(c, o.Log, o.Scope)
	}
	return &Mirror{
		source: s, clock: c, opt: o, eraLog: tdlog.Sampled(o.Log, 4*tdera.MaxLines, tdera.LinesPeriod), items: make(map[string]tarragondeal.Entry), ahead: make(map[string]tarragondeal.Revision),
		confirmation: newConfirmation(),
	}
}

// Subscribe calls receive for each later change, one call at a time and in order.
// Receive must not call the mirror. Subscribe must be called before Run.
func (m *Mirror) Subscribe(receive func(Changes)) {
	m.subscribers = append(m.subscribers, receive)
}

// Position returns the position up to which the copy is complete.
func (m *Mirror) Position() tarragondeal.Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.position()
}

func (m *Mirror) position() tarragondeal.Position {
	return tarragondeal.Position{Era: m.era, Revision: m.rev}
}

// Unavailable reports whether the last call to the service failed.
func (m *Mirror) Unavailable() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unavailable
}

// ConfirmedAt returns when the service last answered a watch or a listing, and the
// copy was complete. It is zero before the first answer.
func (m *Mirror) ConfirmedAt() tarragondeal.Instant {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmedAt
}

func (m *Mirror) recordAnswer(at tarragondeal.Instant) {
	m.recordSuccess()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.confirmedAt = max(m.confirmedAt, at)
}

// maxOtherAnswerAge is how long ago the last answer to other nodes may be while the
// service is available to them. Their states take some time.
const maxOtherAnswerAge = MaxAnswerAge + 400*time.Millisecond

// RecordOtherAnswer records when the service answered another node that follows it.
func (m *Mirror) RecordOtherAnswer(at tarragondeal.Instant) {
	o := &m.others
	o.mu.Lock()
	defer o.mu.Unlock()
	if at <= o.at {
		return
	}
	if o.at == 0 || at.Sub(o.at) > MaxAnswerAge {
		o.since = at
	}
	o.at = at
}

// answersOthers reports whether the service has answered other nodes since before the last
// outage began here, so that it rejects this node only.
func (m *Mirror) answersOthers() bool {
	o := &m.others
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.at > m.failingSince && o.since <= m.failingSince && m.clock.Now().Sub(o.at) < maxOtherAnswerAge
}

// Run follows the service until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	delay := minRetryDelay
	for ctx.Err() == nil {
		changed, err := m.step(ctx)
		if err == nil {
			delay = minRetryDelay
			if changed {
				tdclock.Sleep(ctx, changeBatchDelay)
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		m.recordFailure(err)
		tdclock.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, maxRetryDelay)
	}
	return nil
}

// step lists the keys if they have not been listed since the start or the loss of
// the watch history, and watches otherwise. It reports whether a watch returned
// changes.
func (m *Mirror) step(ctx context.Context) (changed bool, err error) {
	if s, ok := m.opt.Eras.Suspicion(); ok && m.mayExamine(&s) {
		m.waitToExamine(ctx)
		if s, ok = m.opt.Eras.Suspicion(); !ok {
			return false, nil // Another node has sent the copy of the era.
		}
		return false, m.examine(ctx, &s)
	}
	m.mu.Lock()
	listed := m.listed
	m.mu.Unlock()
	if !listed && !m.leavesListing(ctx) {
		return false, m.list(ctx)
	}
	if m.mustVerify() {
		m.verify(ctx)
		return false, nil
	}
	if !m.follows() {
		m.endOutage()
		tdclock.Sleep(ctx, followCheckInterval)
		return false, nil
	}
	return m.watch(ctx)
}

// watch waits for changes and applies them. It reports whether there were any.
func (m *Mirror) watch(ctx context.Context) (changed bool, err error) {
	at := m.Position()
	rev := at.Revision
	wait, timeout := m.watchTimes()
	ctx, timer := newAnswerTimer(ctx, m.clock, timeout)
	defer timer.stop()
	stop := context.AfterFunc(m.opt.Eras.Suspected(), func() { timer.end(context.Canceled) })
	defer stop()
	start := m.clock.Now()
	entries, next, err := m.source.Watch(ctx, "", rev, wait)
	if m.opt.Eras.Known().Era != at.Era || m.isSuspected() {
		return false, nil // The answer may be from before the service went back.
	}
	m.logLarge(entries, next, timer)
	if _, ok := errors.AsType[*tarragondeal.HistoryError](err); ok {
		m.recordSuccess()
		m.expireHistory(rev)
		return false, nil
	}
	if _, ok := errors.AsType[*tarragondeal.AnswerSizeError](err); ok {
		m.recordSuccess()
		m.skipChanges(err, rev)
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if m.suspectWatched(entries, rev, next) {
		return false, nil
	}
	m.applyWatched(entries, at, next)
	now := m.clock.Now()
	if len(entries) == 0 {
		m.recordDelay(now.Sub(start) - wait)
	}
	m.recordAnswer(now)
	return len(entries) > 0, nil
}

// follows reports whether this node should follow the service itself.
func (m *Mirror) follows() bool { return m.opt.Follows == nil || m.opt.Follows() }

// expireHistory makes this node list the keys again, since the service has not the changes
// after revision rev.
func (m *Mirror) expireHistory(rev tarragondeal.Revision) {
	delay := time.Duration(0)
	if m.opt.RelistDelay != nil {
		delay = m.opt.RelistDelay()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	delay = m.relist(delay)
	m.opt.Log.Info().Uint64("revision", uint64(rev)).Uint64("reported", uint64(m.reported)).Int("listings", m.relists).Dur("delay", delay).
		Msg("watch history expired, listing again")
}

// skipChanges makes this node list the keys again, since the changes after revision rev are
// too large for one answer. Listings have pages.
func (m *Mirror) skipChanges(err error, rev tarragondeal.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delay := m.relist(0)
	m.opt.Log.Warn().Err(err).Uint64("revision", uint64(rev)).Int("listings", m.relists).Dur("delay", delay).
		Msg("changes are too large for a watch, listing again")
}

// relist makes this node list the keys again after a delay, which it returns: at least the
// given one, and longer if no watch was answered since the last listing.
func (m *Mirror) relist(delay time.Duration) time.Duration {
	if m.relists > 0 {
		delay = max(delay, min(minRelistInterval<<min(m.relists-1, 8), maxRelistInterval))
	}
	m.relists++
	m.listed, m.relistAt = false, m.clock.Now().Add(delay)
	return delay
}

// leavesListing waits until the keys may be listed again. It reports whether this node need
// not list them, since it no longer follows the service itself: its copy is complete, if old.
func (m *Mirror) leavesListing(ctx context.Context) bool {
	m.mu.Lock()
	at := m.relistAt
	m.mu.Unlock()
	for m.clock.Now() < at && ctx.Err() == nil {
		if !m.follows() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.listed = true
			return true
		}
		tdclock.Sleep(ctx, relistCheckInterval)
	}
	return false
}

// logLarge logs an answer of the service with many bytes, and how long they took to arrive
// and to be decoded.
func (m *Mirror) logLarge(entries []tarragondeal.Entry, rev tarragondeal.Revision, t *answerTimer) {
	size := 0
	for _, e := range entries {
		size += len(e.Value)
	}
	if size < largeAnswer {
		return
	}
	m.opt.Log.Info().Uint64("revision", uint64(rev)).Int("changes", len(entries)).Int("bytes", size).Dur("transfer", t.transfer()).
		Msg("large answer of the store received")
}

// watchTimes returns how long the service may hold the next watch open, and the
// timeout of the call. A watch is short unless the service has answered recently, so
// that other nodes soon know whether it is available to this one.
func (m *Mirror) watchTimes() (wait, timeout time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable || m.clock.Now().Sub(m.confirmedAt) > MaxAnswerAge {
		return confirmWait, min(minConfirmTimeout<<min(max(m.failures-1, 0), 2), maxConfirmTimeout)
	}
	excess := max(0, 2*m.delay-watchGrace)
	return max(confirmWait, watchTimeout-excess), watchTimeout + watchGrace
}

func (m *Mirror) recordDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = max(0, d)
}

func (m *Mirror) recordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = 0
	if !m.unavailable {
		return
	}
	m.unavailable, m.availableSince = false, m.clock.Now()
	m.planVerification()
	m.opt.Log.Info().Uint64("era", uint64(m.era)).Uint64("revision", uint64(m.rev)).Msg("store is available again")
}

// endOutage ends the outage of a node that no longer calls the service. Whether the
// service is available to it is not known then.
func (m *Mirror) endOutage() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = 0
	if m.unavailable {
		m.unavailable, m.availableSince = false, m.clock.Now()
	}
}

func (m *Mirror) recordFailure(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opt.Scope.Counter("failures").Inc(1)
	m.failures++
	if m.unavailable {
		return
	}
	m.unavailable, m.failingSince = true, m.clock.Now()
	m.opt.Log.Warn().Err(err).Uint64("revision", uint64(m.rev)).Msg("store is unavailable")
}
