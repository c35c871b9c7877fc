package tdmirror

import (
	"context"
	"slices"
	"strings"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdera"
)

// listing is a full copy of the keys with some prefix. An entry that is not in it
// did not exist at its revision; entries in it may be later.
type listing struct {
	prefix  string
	entries []tarragondeal.Entry
	rev     tarragondeal.Revision // Of its first page.
	last    tarragondeal.Revision // Of its last page.
}

// list reads all keys and removes the entries that are missing from the listings,
// unless they are newer than these.
func (m *Mirror) list(ctx context.Context) error {
	begun := m.opt.Eras.Known()
	all, start, err := m.listAll(ctx)
	if err != nil {
		return ignoreEraError(err)
	}
	if r := m.recordedIn(all); r.Era > begun.Era {
		m.adopt(all, r.Era, "listing", start)
		return nil
	}
	if m.suspectListed(all, begun) {
		return nil
	}
	m.mu.Lock()
	if begun.Era == m.era {
		m.applyListings(all)
	}
	m.mu.Unlock()
	m.recordAnswer(start)
	return nil
}

// listAll reads all keys. It begins with the record of the era, so that what follows is of
// that era or a later one.
func (m *Mirror) listAll(ctx context.Context) (all []listing, start tarragondeal.Instant, err error) {
	start = m.clock.Now()
	begun := m.opt.Eras.Known()
	m.mu.Lock()
	m.verifyAt, m.verifiedAt, m.verifyPause = 0, start, minVerifyInterval
	m.mu.Unlock()
	prefixes := slices.Clone(m.opt.Prefixes)
	slices.SortStableFunc(prefixes, func(a, b string) int {
		hasRecord := func(prefix string) int { return len(tdera.Key) - len(strings.TrimPrefix(tdera.Key, prefix)) }
		return hasRecord(b) - hasRecord(a)
	})
	latest := tarragondeal.Revision(0)
	for _, prefix := range prefixes {
		l, err := m.listPrefix(ctx, prefix, begun, &latest)
		if err != nil {
			return nil, start, err
		}
		all = append(all, l)
	}
	return all, start, nil
}

// listPrefix reads the keys with a prefix. Latest is the latest revision that was reported to this
// listing: a page at an earlier one is an old read, or the service has gone back meanwhile.
func (m *Mirror) listPrefix(ctx context.Context, prefix string, begun tarragondeal.Position, latest *tarragondeal.Revision) (listing, error) {
	l := listing{prefix: prefix}
	after := ""
	for first := true; ; first = false {
		page, err := m.page(ctx, prefix, after)
		if err != nil {
			return l, err
		}
		if first || page.Revision < l.rev {
			l.rev = page.Revision // A later page of an earlier revision may be old.
		}
		if page.Revision < *latest {
			m.opt.Eras.Suspect(tdera.Suspicion{Found: "page of a listing", Reported: page.Revision})
			return l, &tarragondeal.EraError{
				Op: "list", Key: prefix, Reported: page.Revision, Known: tarragondeal.Position{Era: begun.Era, Revision: *latest},
			}
		}
		*latest, l.last = page.Revision, page.Revision
		m.applyPage(&page, begun)
		l.entries = append(l.entries, page.Entries...)
		if !page.More || len(page.Entries) == 0 {
			return l, nil
		}
		after = page.Entries[len(page.Entries)-1].Key
	}
}

// applyPage applies what a page of a listing says before the other pages have arrived, which
// may take long. A page at an earlier revision than was known is left to the whole listing, as
// is the first listing of all.
func (m *Mirror) applyPage(p *tarragondeal.Page, begun tarragondeal.Position) {
	if p.Revision < begun.Revision || m.isSuspected() {
		return
	}
	leftOut := m.logHeldBack(p)
	m.ApplyAhead(p.Entries, begun.Era)
	if leftOut {
		// Others at this copy's revision lack it too. The write that examines the suspicion has
		// a later one, at which they receive the full copy.
		m.opt.Eras.Suspect(tdera.Suspicion{Found: "entry that a watch left out", Reported: p.Revision})
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
	m.listings = nil // Superseded, and not to be compared with the new ones.
	m.reported = all[0].rev
	for _, l := range all {
		m.reported = max(m.reported, l.rev)
	}
	m.opt.Eras.Receive(tarragondeal.Position{Era: m.era, Revision: m.reported})
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
