package tdmirror

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"tarragondeal"
)

// Apply applies changes up to a position that another node has copied. If whole is set,
// entries is that node's full copy. Changes that are not newer than this copy are ignored, as
// are those of a later era that are not the full copy.
func (m *Mirror) Apply(entries []tarragondeal.Entry, at tarragondeal.Position, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case at.Compare(m.position()) <= 0 || at.Era != m.era && !whole:
	case whole:
		all := []listing{{entries: entries, rev: at.Revision}}
		m.startEra(at, "copy of another node", all)
		m.replace(all, false)
	default:
		m.add(entries, at.Revision)
	}
}

// ApplyAhead applies changes of an era that another node has sent ahead of earlier ones. The
// copy stays complete up to its revision only. An earlier change of the same key that is
// applied later has no effect.
func (m *Mirror) ApplyAhead(entries []tarragondeal.Entry, era tarragondeal.Era) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rev == 0 || era != m.era {
		return
	}
	entries = byRevision(entries)
	for _, e := range entries {
		if m.isMirrored(e.Key) && e.Revision > m.rev {
			m.ahead[e.Key] = max(m.ahead[e.Key], e.Revision)
		}
	}
	m.merge(entries, m.rev, m.rev)
}

// applyWatched applies the changes after a position that a watch returned. The copy is
// complete up to the last of them: the service may have reported a later revision while it
// held changes back.
func (m *Mirror) applyWatched(entries []tarragondeal.Entry, at tarragondeal.Position, reported tarragondeal.Revision) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.Era != m.era {
		return
	}
	rev := at.Revision
	for _, e := range entries {
		rev = max(rev, e.Revision)
	}
	m.relists, m.reported, m.watched = 0, reported, reported
	m.opt.Eras.Receive(tarragondeal.Position{Era: m.era, Revision: rev})
	m.add(entries, rev)
}

// add applies all changes from the copy's revision to rev. The service does not
// promise an order of events.
func (m *Mirror) add(entries []tarragondeal.Entry, rev tarragondeal.Revision) {
	entries = byRevision(entries)
	known := m.rev
	m.merge(entries, rev, known)
	m.logUpToDate()
	for _, e := range entries {
		if m.isMirrored(e.Key) && e.Revision > known {
			m.record(e)
		}
	}
}

func byRevision(entries []tarragondeal.Entry) []tarragondeal.Entry {
	return slices.SortedStableFunc(slices.Values(entries), func(a, b tarragondeal.Entry) int {
		return cmp.Compare(a.Revision, b.Revision)
	})
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
	maps.DeleteFunc(m.ahead, func(_ string, applied tarragondeal.Revision) bool { return applied <= m.rev })
	if len(accepted) == 0 {
		return
	}
	m.opt.Scope.Counter("changes").Inc(int64(len(accepted)))
	c := Changes{Entries: accepted, AfterOutage: m.unavailable}
	if !m.unavailable && m.availableSince != 0 && m.clock.Now().Sub(m.availableSince) < outageGrace {
		c.AfterOutage, c.OutageEnd = true, m.availableSince
	}
	if m.answersOthers() {
		c.AfterOutage, c.OutageEnd = false, 0
	}
	if m.replacedSince != 0 && m.clock.Now().Sub(m.replacedSince) < outageGrace {
		c.AfterOutage, c.OutageEnd = true, m.replacedSince
	}
	start := m.clock.Now()
	for _, receive := range m.subscribers {
		receive(c)
	}
	if took := m.clock.Now().Sub(start); took > slowReceive {
		m.opt.Log.Info().Uint64("revision", uint64(m.rev)).Int("changes", len(accepted)).Dur("took", took).Msg("subscribers took long to receive changes")
	}
}

func (m *Mirror) isMirrored(key string) bool {
	return slices.ContainsFunc(m.opt.Prefixes, func(p string) bool { return strings.HasPrefix(key, p) })
}

func (m *Mirror) isNewer(e tarragondeal.Entry, known tarragondeal.Revision) bool {
	held, ok := m.items[e.Key]
	switch {
	case e.Revision < m.ahead[e.Key]:
		return false
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
// listing may have included it before, but other nodes may lack it. Earlier changes of
// the key are dropped, since a node that lacks them needs the last one only.
func (m *Mirror) record(e tarragondeal.Entry) {
	m.history = slices.DeleteFunc(m.history, func(earlier tarragondeal.Entry) bool {
		return earlier.Key == e.Key && earlier.Revision <= e.Revision
	})
	m.history = append(m.history, e)
	if over := len(m.history) - maxHistory; over > 0 {
		for _, trimmed := range m.history[:over] {
			m.historyStart = max(m.historyStart, trimmed.Revision)
		}
		m.history = slices.Delete(m.history, 0, over)
	}
}

// Since returns the changes after a position, and the position up to which they are
// complete. If after is of another era or older than the history, it returns the full copy.
func (m *Mirror) Since(after tarragondeal.Position) (entries []tarragondeal.Entry, at tarragondeal.Position, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Era != m.era || after.Revision == 0 || after.Revision < m.historyStart {
		for _, e := range m.items {
			entries = append(entries, e)
		}
		return entries, m.position(), true
	}
	for _, e := range m.history {
		if e.Revision > after.Revision {
			entries = append(entries, e)
		}
	}
	return entries, m.position(), false
}
