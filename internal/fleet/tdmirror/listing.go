package tdmirror

import (
	"context"
	"strings"

	"tarragondeal"
)

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
	ctx, timer := newAnswerTimer(ctx, m.clock, pageTimeout)
	defer timer.stop()
	page, err := m.source.Page(ctx, prefix, after)
	m.logLarge(page.Entries, page.Revision, timer)
	return page, err
}

// applyListings applies listings of all keys.
func (m *Mirror) applyListings(all []listing) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listings = nil // Superseded, and not to be compared with the new ones.
	m.reset(all)
	m.replace(all, true)
	m.listings = all
	for n := range all {
		all[n].entries = nil
	}
}

// reset forgets the revisions of this copy if the service has lost them: it had no history
// after one of them, and is at an earlier one in listings that were begun later. The
// listings then replace the copy, whose entries would otherwise pass for later ones. Some
// entries may be written again soon, as after an outage.
func (m *Mirror) reset(all []listing) {
	latest := tarragondeal.Revision(0)
	for _, l := range all {
		latest = max(latest, l.rev)
	}
	m.reported = latest
	if latest >= m.expired {
		return
	}
	m.opt.Log.Warn().Uint64("revision", uint64(m.rev)).Uint64("expired", uint64(m.expired)).Uint64("reported", uint64(latest)).
		Msg("the store is at an earlier revision than this copy, starting the copy anew")
	for key, e := range m.items {
		e.Revision = 0
		m.items[key] = e
	}
	clear(m.ahead)
	m.rev, m.history, m.historyStart, m.expired = 0, nil, 0, 0
	m.availableSince = m.clock.Now()
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
