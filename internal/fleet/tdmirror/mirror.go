// Package tdmirror keeps a copy of a part of the platform's key-value service
// in memory. It follows the service by one watch; while the service is away
// or turns this node away, it takes what other nodes have copied.
//
// # Usage
//
//	m := tdmirror.New(source, clock, tdmirror.Options{Prefixes: []string{"servers/"}})
//	m.Subscribe(func(c tdmirror.Changes) { ... })
//	err := m.Run(ctx)
//
// A copy never goes back: an entry is taken in only when its revision is later
// than the one that is held.
package tdmirror

import (
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
	// watchWait is how long one watch waits. A connection that went silent is
	// noticed watchSlack later.
	watchWait  = 2 * time.Second
	watchSlack = 700 * time.Millisecond
	// listTimeout bounds reading one page.
	listTimeout = 1500 * time.Millisecond
	// retryLeast and retryMost bound the pause after a failed call. The first
	// is short because a cut watch is common; the second leaves room for the
	// other callers of a service that comes back.
	retryLeast = 50 * time.Millisecond
	retryMost  = 500 * time.Millisecond
	// restEvery is how often a node that does not follow the service looks
	// whether it is to.
	restEvery = 100 * time.Millisecond
	// gather is how long changes are let come together before the next watch.
	gather = 150 * time.Millisecond
	// maxHistory bounds the changes that are kept for other nodes; one that
	// lacks more gets the whole copy.
	maxHistory = 256
)

// Options are what a mirror works with.
type Options struct {
	Prefixes []string // Of the keys that are copied.
	// Follows reports whether this node is to follow the service itself, once
	// it has listed the keys. Nil stands for always.
	Follows func() bool
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Changes are entries that were taken in together.
type Changes struct {
	Entries []tarragondeal.Entry
	// Doubtful says that the service was away shortly before: entries that
	// lapsed meanwhile may come back.
	Doubtful bool
}

// doubtFor is how long after its return the service's removals are in doubt.
const doubtFor = 2 * time.Second

// Mirror is the copy of one node. It is safe for concurrent use.
type Mirror struct {
	source tarragondeal.Source
	clock  tarragondeal.Clock
	opt    Options

	mu        sync.Mutex
	items     map[string]tarragondeal.Entry
	rev       tarragondeal.Revision
	history   []tarragondeal.Entry
	floor     tarragondeal.Revision // History is complete after this revision.
	listed    bool
	away      bool
	restored  tarragondeal.Instant // When the service came back last.
	receivers []func(Changes)
}

// New returns an empty mirror.
func New(s tarragondeal.Source, c tarragondeal.Clock, o Options) *Mirror {
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return &Mirror{source: s, clock: c, opt: o, items: make(map[string]tarragondeal.Entry)}
}

// Subscribe hands later changes to receive, one call at a time and in order.
// Call it before the mirror runs.
func (m *Mirror) Subscribe(receive func(Changes)) {
	m.receivers = append(m.receivers, receive)
}

// Revision returns the revision up to which the copy is complete.
func (m *Mirror) Revision() tarragondeal.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rev
}

// Away reports whether the service did not answer the last call.
func (m *Mirror) Away() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.away
}

// Run follows the service until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	pause := retryLeast
	for ctx.Err() == nil {
		changed, err := m.step(ctx)
		if err == nil {
			m.reached()
			pause = retryLeast
			if changed {
				tdclock.Sleep(ctx, gather)
			}
			continue
		}
		if ctx.Err() != nil {
			break
		}
		m.failed(err)
		tdclock.Sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMost)
	}
	return nil
}

// step lists when there is nothing to go on from, and watches otherwise. It
// reports whether a watch brought changes.
func (m *Mirror) step(ctx context.Context) (changed bool, err error) {
	m.mu.Lock()
	listed, rev := m.listed, m.rev
	m.mu.Unlock()
	if !listed {
		return false, m.list(ctx)
	}
	if m.opt.Follows != nil && !m.opt.Follows() {
		tdclock.Sleep(ctx, restEvery)
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	entries, next, err := m.source.Watch(ctx, "", rev, watchWait)
	var forgotten *tarragondeal.HistoryError
	if errors.As(err, &forgotten) {
		m.opt.Log.Info().Uint64("revision", uint64(rev)).Msg("history forgotten, listing anew")
		m.mu.Lock()
		m.listed = false
		m.mu.Unlock()
		return false, nil
	}
	if err != nil {
		return false, err
	}
	m.take(entries, max(next, rev))
	return len(entries) > 0, nil
}

// list reads all keys. What is held and was not listed has been removed, as
// far as it is not newer than the listing.
func (m *Mirror) list(ctx context.Context) error {
	var all []tarragondeal.Entry
	var base tarragondeal.Revision
	for n, prefix := range m.opt.Prefixes {
		entries, rev, err := m.listPrefix(ctx, prefix)
		if err != nil {
			return err
		}
		all = append(all, entries...)
		if n == 0 || rev < base {
			base = rev
		}
	}
	m.replace(all, base)
	return nil
}

func (m *Mirror) listPrefix(ctx context.Context, prefix string) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	var all []tarragondeal.Entry
	var base tarragondeal.Revision
	after := ""
	for first := true; ; first = false {
		page, err := m.page(ctx, prefix, after)
		if err != nil {
			return nil, 0, err
		}
		if first {
			base = page.Revision
		}
		all = append(all, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return all, base, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

func (m *Mirror) page(ctx context.Context, prefix, after string) (tarragondeal.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return m.source.Page(ctx, prefix, after)
}

// replace takes in a whole copy that is complete at revision base.
func (m *Mirror) replace(all []tarragondeal.Entry, base tarragondeal.Revision) {
	present := make(map[string]bool, len(all))
	for _, e := range all {
		present[e.Key] = true
	}
	m.mu.Lock()
	for key, e := range m.items {
		if !present[key] && e.Revision <= base {
			all = append(all, tarragondeal.Entry{Key: key, Revision: max(e.Revision+1, base), Deleted: true})
		}
	}
	m.listed = true
	m.mu.Unlock()
	m.take(all, base)
}

// Take takes in what another node has copied up to revision rev; whole says
// that it is all that there is.
func (m *Mirror) Take(entries []tarragondeal.Entry, rev tarragondeal.Revision, whole bool) {
	if rev <= m.Revision() {
		return
	}
	if whole {
		m.replace(entries, rev)
		return
	}
	m.take(entries, rev)
}

func (m *Mirror) take(entries []tarragondeal.Entry, rev tarragondeal.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var news []tarragondeal.Entry
	for _, e := range entries {
		if m.wants(e.Key) && m.newer(e) {
			m.put(e)
			news = append(news, e)
		}
	}
	m.rev = max(m.rev, rev)
	if len(news) == 0 {
		return
	}
	m.opt.Scope.Counter("changes").Inc(int64(len(news)))
	c := Changes{Entries: news, Doubtful: m.away || m.restored != 0 && m.clock.Now().Sub(m.restored) < doubtFor}
	for _, receive := range m.receivers {
		receive(c)
	}
}

func (m *Mirror) wants(key string) bool {
	return slices.ContainsFunc(m.opt.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
}

func (m *Mirror) newer(e tarragondeal.Entry) bool {
	held, ok := m.items[e.Key]
	if e.Deleted {
		return ok && e.Revision >= held.Revision
	}
	return !ok || e.Revision > held.Revision
}

func (m *Mirror) put(e tarragondeal.Entry) {
	if e.Deleted {
		delete(m.items, e.Key)
	} else {
		m.items[e.Key] = e
	}
	m.history = append(m.history, e)
	if over := len(m.history) - maxHistory; over > 0 {
		m.floor = m.history[over-1].Revision
		m.history = slices.Delete(m.history, 0, over)
	}
}

// Since returns what changed after a revision, or all that is held when that
// is too long ago, and the revision up to which it is complete.
func (m *Mirror) Since(after tarragondeal.Revision) (entries []tarragondeal.Entry, rev tarragondeal.Revision, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after == 0 || after < m.floor {
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

func (m *Mirror) reached() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.away {
		return
	}
	m.away, m.restored = false, m.clock.Now()
	m.opt.Log.Info().Uint64("revision", uint64(m.rev)).Msg("store answers again")
}

func (m *Mirror) failed(err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.opt.Scope.Counter("failures").Inc(1)
	if m.away {
		return
	}
	m.away = true
	m.opt.Log.Warn().Err(err).Uint64("revision", uint64(m.rev)).Msg("store does not answer")
}
