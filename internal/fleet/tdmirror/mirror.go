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
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
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
	// pageTimeout bounds reading one page.
	pageTimeout = 1500 * time.Millisecond
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. The
	// minimum is short because interrupted watches are common. The maximum limits
	// the load on a service that is coming back.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// followCheckInterval is how often a node that does not follow the service
	// checks whether it should.
	followCheckInterval = 100 * time.Millisecond
	// changeBatchDelay is the delay between a watch that returned changes and
	// the next one, so that changes are received in batches.
	changeBatchDelay = 150 * time.Millisecond
	// maxHistory is the number of changes that are kept for other nodes. A node
	// that lacks more gets the full copy.
	maxHistory = 256
)

// MaxAnswerAge is how long ago the last answer may be while the service is available
// to a node that follows it.
const MaxAnswerAge = changeBatchDelay + watchTimeout + watchGrace

// Options configure a Mirror.
type Options struct {
	Prefixes []string // Prefixes of the keys to copy.
	// Follows reports whether this node should follow the service itself after
	// the first listing. Nil means always.
	Follows func() bool
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Changes are entries that were applied together.
type Changes struct {
	Entries []tarragondeal.Entry
	// AfterOutage is set if the service is unavailable or was so within the last
	// outageGrace: entries that expired meanwhile may be created again.
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

	mu             sync.Mutex
	items          map[string]tarragondeal.Entry
	rev            tarragondeal.Revision
	history        []tarragondeal.Entry
	historyStart   tarragondeal.Revision // The history holds all changes after this revision.
	listed         bool
	listings       []listing // The last listings, without their entries.
	unavailable    bool
	failures       int                  // Calls that failed since the last one that did not.
	delay          time.Duration        // How late the service answered the last watch without changes.
	availableSince tarragondeal.Instant // When the last outage ended; zero before the first.
	confirmedAt    tarragondeal.Instant // When the service last answered; zero before the first answer.
	subscribers    []func(Changes)
}

// New returns an empty mirror.
func New(s tarragondeal.Source, c tarragondeal.Clock, o Options) *Mirror {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Mirror{source: s, clock: c, opt: o, items: make(map[string]tarragondeal.Entry)}
}

// Subscribe calls receive for each later change, one call at a time and in order.
// Receive must not call the mirror. Subscribe must be called before Run.
func (m *Mirror) Subscribe(receive func(Changes)) {
	m.subscribers = append(m.subscribers, receive)
}

// Revision returns the revision up to which the copy is complete.
func (m *Mirror) Revision() tarragondeal.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev
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
	m.mu.Lock()
	listed, rev := m.listed, m.rev
	m.mu.Unlock()
	if !listed {
		return false, m.list(ctx)
	}
	if m.opt.Follows != nil && !m.opt.Follows() {
		m.endOutage()
		tdclock.Sleep(ctx, followCheckInterval)
		return false, nil
	}
	wait, timeout := m.watchTimes()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	start := m.clock.Now()
	entries, next, err := m.source.Watch(ctx, "", rev, wait)
	var historyErr *tarragondeal.HistoryError
	if errors.As(err, &historyErr) {
		m.recordSuccess()
		m.opt.Log.Info().Uint64("revision", uint64(rev)).Msg("watch history expired, listing again")
		m.mu.Lock()
		m.listed = false
		m.mu.Unlock()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	m.apply(entries, max(next, rev))
	now := m.clock.Now()
	if len(entries) == 0 {
		m.recordDelay(now.Sub(start) - wait)
	}
	m.recordAnswer(now)
	return len(entries) > 0, nil
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

// listing is a full copy of the keys with some prefix. An entry that is not in it
// did not exist at its revision; entries in it may be later.
type listing struct {
	prefix  string
	entries []tarragondeal.Entry
	rev     tarragondeal.Revision
}

// list reads all keys and removes the entries that are missing from the listings,
// unless they are newer than these.
func (m *Mirror) list(ctx context.Context) error {
	start := m.clock.Now()
	all := make([]listing, 0, len(m.opt.Prefixes))
	for _, prefix := range m.opt.Prefixes {
		l, err := m.listPrefix(ctx, prefix)
		if err != nil {
			return err
		}
		all = append(all, l)
	}
	m.applyListings(all)
	m.recordAnswer(start)
	return nil
}

func (m *Mirror) listPrefix(ctx context.Context, prefix string) (listing, error) {
	l := listing{prefix: prefix}
	after := ""
	for first := true; ; first = false {
		page, err := m.page(ctx, prefix, after)
		if err != nil {
			return l, err
		}
		if first {
			l.rev = page.Revision
		}
		l.entries = append(l.entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return l, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

func (m *Mirror) page(ctx context.Context, prefix, after string) (tarragondeal.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return m.source.Page(ctx, prefix, after)
}

// applyListings applies listings of all keys.
func (m *Mirror) applyListings(all []listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listings = nil // Superseded, and not to be compared with the new ones.
	m.replace(all, true)
	m.listings = all
	for n := range all {
		all[n].entries = nil
	}
}

// replace applies listings, which together are a full copy. It is complete at the
// earliest of their revisions. All their entries are applied if they are not older
// than this copy, and either come from the service itself or this copy is not known
// to be complete.
func (m *Mirror) replace(all []listing, own bool) {
	present := make(map[string]bool)
	var entries []tarragondeal.Entry
	base := all[0].rev
	for _, l := range all {
		base = min(base, l.rev)
		entries = append(entries, l.entries...)
		for _, e := range l.entries {
			present[e.Key] = true
		}
	}
	for key, e := range m.items {
		if rev := listedAt(all, key); !present[key] && e.Revision <= rev {
			entries = append(entries, tarragondeal.Entry{Key: key, Revision: rev, Deleted: true})
		}
	}
	known := m.rev
	if (own || !m.listed) && base >= m.rev {
		known = 0
	}
	m.listed = true
	if base > m.rev {
		// Entries that were created and removed since m.rev are unknown.
		m.history, m.historyStart = nil, base
	}
	m.merge(entries, base, known)
}

// listedAt returns the revision of the listing that covers a key, or zero.
func listedAt(all []listing, key string) tarragondeal.Revision {
	for _, l := range all {
		if strings.HasPrefix(key, l.prefix) {
			return l.rev
		}
	}
	return 0
}

// Apply applies changes up to revision rev that another node has copied. If whole
// is set, entries is that node's full copy. Changes that are not newer than this
// copy are ignored.
func (m *Mirror) Apply(entries []tarragondeal.Entry, rev tarragondeal.Revision, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case rev <= m.rev:
	case whole:
		m.replace([]listing{{entries: entries, rev: rev}}, false)
	default:
		m.add(entries, rev)
	}
}

func (m *Mirror) apply(entries []tarragondeal.Entry, rev tarragondeal.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.add(entries, rev)
}

// add applies all changes from the copy's revision to rev. The service does not
// promise an order of events.
func (m *Mirror) add(entries []tarragondeal.Entry, rev tarragondeal.Revision) {
	entries = slices.SortedStableFunc(slices.Values(entries), func(a, b tarragondeal.Entry) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
	known := m.rev
	m.merge(entries, rev, known)
	for _, e := range entries {
		if m.isMirrored(e.Key) && e.Revision > known {
			m.record(e)
		}
	}
}

// merge applies entries and passes those that are newer than the copy to the
// subscribers. Keys that are not held did not exist at revision known, nor when they
// were listed, so an entry of one that is not later comes from an answer or a copy
// that was overtaken.
func (m *Mirror) merge(entries []tarragondeal.Entry, rev, known tarragondeal.Revision) {
	var accepted []tarragondeal.Entry
	for _, e := range entries {
		if m.isMirrored(e.Key) && m.isNewer(e, known) {
			m.put(e)
			accepted = append(accepted, e)
		}
	}
	m.rev = max(m.rev, rev)
	if len(accepted) == 0 {
		return
	}
	m.opt.Scope.Counter("changes").Inc(int64(len(accepted)))
	c := Changes{Entries: accepted, AfterOutage: m.unavailable}
	if !m.unavailable && m.availableSince != 0 && m.clock.Now().Sub(m.availableSince) < outageGrace {
		c.AfterOutage, c.OutageEnd = true, m.availableSince
	}
	for _, receive := range m.subscribers {
		receive(c)
	}
}

func (m *Mirror) isMirrored(key string) bool {
	return slices.ContainsFunc(m.opt.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
}

func (m *Mirror) isNewer(e tarragondeal.Entry, known tarragondeal.Revision) bool {
	held, ok := m.items[e.Key]
	switch {
	case e.Deleted:
		return ok && e.Revision >= held.Revision
	case ok:
		return e.Revision > held.Revision
	}
	return e.Revision > max(known, listedAt(m.listings, e.Key))
}

func (m *Mirror) put(e tarragondeal.Entry) {
	if e.Deleted {
		delete(m.items, e.Key)
	} else {
		m.items[e.Key] = e
	}
}

// record adds a change to the history, whether or not it was new to this copy: a
// listing may have included it before, but other nodes may lack it.
func (m *Mirror) record(e tarragondeal.Entry) {
	m.history = append(m.history, e)
	if over := len(m.history) - maxHistory; over > 0 {
		for _, trimmed := range m.history[:over] {
			m.historyStart = max(m.historyStart, trimmed.Revision)
		}
		m.history = slices.Delete(m.history, 0, over)
	}
}

// Since returns the changes after a revision, and the revision up to which they are
// complete. If after is zero or older than the history, it returns the full copy.
func (m *Mirror) Since(after tarragondeal.Revision) (entries []tarragondeal.Entry, rev tarragondeal.Revision, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after == 0 || after < m.historyStart {
		for _, e := range m.items {
			entries = append(entries, e)
		}
		return entries, m.rev, true
	}
	for _, e := range m.history {
		if e.Revision > after {
			entries = append(entries, e)
		}
	}
	return entries, m.rev, false
}

func (m *Mirror) recordSuccess() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failures = 0
	if !m.unavailable {
		return
	}
	m.unavailable, m.availableSince = false, m.clock.Now()
	m.opt.Log.Info().Uint64("revision", uint64(m.rev)).Msg("store is available again")
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
	m.unavailable = true
	m.opt.Log.Warn().Err(err).Uint64("revision", uint64(m.rev)).Msg("store is unavailable")
}
