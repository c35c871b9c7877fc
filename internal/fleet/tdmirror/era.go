package tdmirror

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdera"
)

const (
	// verifyDelay bounds the random delay after an outage before the copy is verified by a
	// listing: the service may have come back from an earlier copy and have passed the
	// revision of this one since.
	verifyDelay = 300 * time.Millisecond
	// verifyTimeout bounds such a listing: meanwhile no watch is waiting.
	verifyTimeout = 300 * time.Millisecond
	// minVerifyInterval is the least time between two such listings. It doubles with each one
	// that failed, up to maxVerifyInterval.
	minVerifyInterval = 2 * time.Second
	maxVerifyInterval = 32 * time.Second
	// maxVerifyDelay is how late a service may answer that is listed to verify the copy.
	maxVerifyDelay = 50 * time.Millisecond
	// leafExamineDelay is how long a node that does not follow the service leaves it to others
	// to examine a suspicion.
	leafExamineDelay = 1500 * time.Millisecond
	// recordTimeout bounds one write of the record of the era.
	recordTimeout = time.Second
	// minExaminePause is the least time from the result of an examination to the next one. It
	// doubles with each further one in a row, up to maxExaminePause.
	minExaminePause = 100 * time.Millisecond
	maxExaminePause = 1600 * time.Millisecond
	// examinationsEnd is how long after an examination the next one is not in a row with it.
	examinationsEnd = 10 * time.Second
)

// IsSteady reports whether the service was available to this node, and in the same era, for at
// least d. A node that does not follow the service knows of outages from eras only.
func (m *Mirror) IsSteady(d time.Duration) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	since := max(m.availableSince, m.eraSince)
	return !m.unavailable && (since == 0 || m.clock.Now().Sub(since) >= d)
}

// planVerification makes this node verify its copy soon, since calls have failed.
func (m *Mirror) planVerification() {
	delay := m.relistDelay() + rand.N(verifyDelay)
	m.mu.Lock()
	defer m.mu.Unlock()
	at := m.clock.Now().Add(delay)
	if m.verifiedAt != 0 {
		at = max(at, m.verifiedAt.Add(m.verifyPause))
	}
	m.verifyAt = at
}

// verify lists the keys, and compares them with the copy. It is no failure of the service if
// that takes too long.
func (m *Mirror) verify(ctx context.Context) {
	m.mu.Lock()
	pause := min(2*max(m.verifyPause, minVerifyInterval/2), maxVerifyInterval)
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
	defer cancel()
	if err := m.list(ctx); err != nil {
		m.mu.Lock()
		m.verifyPause = pause
		m.mu.Unlock()
		m.planVerification()
		m.eraLog.Info().Err(err).Dur("pause", pause).Msg("the copy of the store could not be verified")
	}
}

// mustVerify reports whether the copy is to be verified now.
func (m *Mirror) mustVerify() bool {
	m.mu.Lock()
	due := m.verifyAt != 0 && m.clock.Now() >= m.verifyAt && m.delay <= maxVerifyDelay
	m.mu.Unlock()
	return due && m.follows()
}

// isSuspected reports whether the service may have gone back.
func (m *Mirror) isSuspected() bool {
	_, ok := m.opt.Eras.Suspicion()
	return ok
}

// suspectWatched reports whether the answer to a watch from revision rev gives rise to a
// suspicion: the service is at an earlier revision, or another node has recorded an era.
func (m *Mirror) suspectWatched(entries []tarragondeal.Entry, rev, reported tarragondeal.Revision) bool {
	if reported < rev {
		m.opt.Eras.Suspect(tdera.Suspicion{Found: "watch", Reported: reported})
		return true
	}
	for _, e := range entries {
		if e.Key != tdera.Key || e.Deleted {
			continue
		}
		if era := m.recordedEra(e).Era; era > m.Position().Era {
			m.opt.Eras.Suspect(tdera.Suspicion{Found: "record of the era", Reported: reported, Era: era})
			return true
		}
	}
	return false
}

// suspectListed reports whether listings that were begun at a known position give rise to a
// suspicion.
func (m *Mirror) suspectListed(all []listing, begun tarragondeal.Position) bool {
	lowest := all[0].rev
	for _, l := range all {
		lowest = min(lowest, l.rev)
	}
	if lowest < begun.Revision {
		m.opt.Eras.Suspect(tdera.Suspicion{Found: "listing", Reported: lowest})
		return true
	}
	if m.contradicts(all, begun) {
		m.opt.Eras.Suspect(tdera.Suspicion{Found: "contents of a listing", Reported: lowest, Proven: true})
		return true
	}
	return false
}

// contradicts reports whether listings at a known position or later can't be of its history:
// an entry is at an earlier revision than in this copy, or at the same one with another value,
// or the record of the era is gone. Entries that this copy has from later answers are left out.
func (m *Mirror) contradicts(all []listing, begun tarragondeal.Position) bool {
	for _, l := range all {
		if l.rev < begun.Revision {
			return false // The listings may be old.
		}
	}
	if m.recordedIn(all).Era < begun.Era {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range all {
		if m.holdsMore(l) || slices.ContainsFunc(l.entries, func(e tarragondeal.Entry) bool { return m.rulesOut(e, l.rev, begun.Revision) }) {
			return true
		}
	}
	return false
}

// holdsMore reports whether this copy holds an entry that a listing lacks, though the copy is
// complete up to the listing's revision or a later one.
func (m *Mirror) holdsMore(l listing) bool {
	if !m.complete() || l.last > m.rev {
		return false
	}
	present := make(map[string]bool)
	for _, e := range l.entries {
		present[e.Key] = true
	}
	for key, e := range m.items {
		if strings.HasPrefix(key, l.prefix) && e.Revision <= l.rev && !present[key] && m.ahead[key] == 0 {
			return true
		}
	}
	return false
}

// complete reports whether this copy has held all entries at some revision.
func (m *Mirror) complete() bool { return m.listed || m.relistAt != 0 }

// rulesOut reports whether an entry of a listing at revision rev can't be of the history of this
// copy, of which all up to revision known is older than the listing.
func (m *Mirror) rulesOut(e tarragondeal.Entry, rev, known tarragondeal.Revision) bool {
	held, ok := m.items[e.Key]
	if !ok { // The copy may be complete up to a revision between the entry's and the listing's.
		return m.complete() && m.isMirrored(e.Key) && m.ahead[e.Key] == 0 && e.Revision <= m.rev && m.rev <= rev
	}
	return held.Revision <= known && (e.Revision < held.Revision || e.Revision == held.Revision && !bytes.Equal(e.Value, held.Value))
}

// recordIn returns the entry of the era's record in listings, or one at revision zero.
func recordIn(all []listing) tarragondeal.Entry {
	for _, l := range all {
		for _, e := range l.entries {
			if e.Key == tdera.Key {
				return e
			}
		}
	}
	return tarragondeal.Entry{Key: tdera.Key}
}

func (m *Mirror) recordedIn(all []listing) tdera.Record { return m.recordedEra(recordIn(all)) }

// recordedEra returns the record of the era. One that can't be decoded counts as that of the
// first era.
func (m *Mirror) recordedEra(e tarragondeal.Entry) tdera.Record {
	r, err := tdera.DecodeRecord(e.Value)
	if err != nil {
		m.opt.Log.Warn().Err(err).Uint64("revision", uint64(e.Revision)).Msg("invalid record of the era")
		return tdera.Record{}
	}
	return r
}

// mayExamine reports whether this node examines a suspicion now. A node that does not follow
// the service receives the copy of the new era from others, unless that takes long.
func (m *Mirror) mayExamine(s *tdera.Suspicion) bool {
	return m.follows() || m.clock.Now().Sub(s.At) > leafExamineDelay
}

// waitToExamine waits until this node may examine a suspicion. Old answers may give rise to one
// again and again, and each examination lists the keys and writes.
func (m *Mirror) waitToExamine(ctx context.Context) {
	m.mu.Lock()
	pause := m.examinedAt.Add(m.examinePause).Sub(m.clock.Now())
	m.mu.Unlock()
	tdclock.Sleep(ctx, pause)
}

// endExamination records that an examination has had a result.
func (m *Mirror) endExamination() {
	now := m.clock.Now()
	if now.Sub(m.examinedAt) > examinationsEnd {
		m.examinePause = 0
	}
	m.examinePause = min(max(2*m.examinePause, minExaminePause), maxExaminePause)
	m.examinedAt = now
}

// examine finds out whether the service has gone back, and if so replaces the copy. Either
// another node has recorded a later era, or the contents are older than before, or a write gets
// an earlier revision than was known. A listing alone does not prove it, since it may be old.
func (m *Mirror) examine(ctx context.Context, s *tdera.Suspicion) error {
	all, start, err := m.listAll(ctx)
	if err != nil {
		return ignoreEraError(err)
	}
	entry, record := recordIn(all), m.recordedIn(all)
	switch {
	case record.Era > s.Known.Era:
		m.adopt(all, record.Era, s.Found, start)
		return nil
	case s.Proven || m.contradicts(all, s.Known):
	default:
		entry.Revision, err = m.writeRecord(ctx, record, entry.Revision)
		if err != nil || entry.Revision > s.Known.Revision {
			return m.dismiss(s, err)
		}
	}
	_, err = m.writeRecord(ctx, tdera.Next(s.Known, m.clock.Wall(), m.opt.Self), entry.Revision)
	return ignoreConflict(err) // The next examination finds the record.
}

// dismiss drops a suspicion, unless the call to refute it failed. The keys are listed again then: a
// service that has gone back can have passed the known revision before the write, which the
// contents show.
func (m *Mirror) dismiss(s *tdera.Suspicion, err error) error {
	if err == nil {
		m.mu.Lock()
		m.listed, m.relistAt = false, 0
		m.endExamination()
		m.mu.Unlock()
		m.eraLog.Info().Str("found", s.Found).Uint64("reported", uint64(s.Reported)).Uint64("known", uint64(s.Known.Revision)).
			Msg("the store has not gone back")
		m.opt.Eras.Dismiss(s.Era)
	}
	return ignoreConflict(err)
}

// ignoreConflict returns nil if another node has written the record meanwhile.
func ignoreConflict(err error) error {
	if _, ok := errors.AsType[*tarragondeal.ConflictError](err); ok {
		return nil
	}
	return err
}

// ignoreEraError returns nil if a listing contains an old answer: it is repeated.
func ignoreEraError(err error) error {
	if _, ok := errors.AsType[*tarragondeal.EraError](err); ok {
		return nil
	}
	return err
}

func (m *Mirror) writeRecord(ctx context.Context, r tdera.Record, prev tarragondeal.Revision) (tarragondeal.Revision, error) {
	if m.opt.Recorder == nil {
		return 0, eris.New("no recorder of the era")
	}
	value, err := json.Marshal(r)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	e, err := m.opt.Recorder.Swap(ctx, tdera.Key, value, prev)
	if err == nil {
		m.eraLog.Info().Uint64("era", uint64(r.Era)).Uint64("revision", uint64(e.Revision)).Msg("record of the era written")
	}
	return e.Revision, err
}

// adopt replaces the copy by listings of a later era.
func (m *Mirror) adopt(all []listing, era tarragondeal.Era, found string, start tarragondeal.Instant) {
	latest := tarragondeal.Revision(0)
	for _, l := range all {
		latest = max(latest, l.rev)
	}
	m.mu.Lock()
	if era > m.era {
		m.startEra(tarragondeal.Position{Era: era, Revision: latest}, found, all)
		m.applyListings(all)
	}
	m.endExamination()
	m.mu.Unlock()
	m.recordAnswer(start)
}

// startEra forgets the revisions of this copy if at is of a later era. The listings that are
// applied next replace the entries, which would otherwise pass for later ones. Some may be
// written again soon, as after an outage.
func (m *Mirror) startEra(at tarragondeal.Position, found string, all []listing) {
	if at.Era <= m.era {
		return
	}
	if m.rev > 0 {
		m.replacedSince = m.clock.Now()
	}
	c := m.compare(all)
	for key, e := range m.items {
		e.Revision = 0
		m.items[key] = e
	}
	clear(m.ahead)
	m.era, m.rev, m.history, m.historyStart, m.listings = at.Era, 0, nil, 0, nil
	m.relists, m.reported, m.eraSince = 0, at.Revision, m.clock.Now()
	m.watched, m.upToDate = 0, false
	m.opt.Eras.Start(at, found)
	m.opt.Scope.Counter("dropped").Inc(int64(c.dropped))
	m.eraLog.Info().Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision)).Str("found", found).Int("kept", c.kept).
		Int("replaced", c.replaced).Int("dropped", c.dropped).Int("added", c.added).Msg("copy of the store starts anew")
}

// comparison counts the entries of a copy and of listings that replace it.
type comparison struct {
	kept     int // With the same value.
	replaced int // With another one.
	dropped  int // Only in the copy.
	added    int // Only in the listings.
}

func (m *Mirror) compare(all []listing) comparison {
	var c comparison
	for _, l := range all {
		for _, e := range l.entries {
			held, ok := m.items[e.Key]
			switch {
			case !m.isMirrored(e.Key):
			case !ok:
				c.added++
			case bytes.Equal(held.Value, e.Value):
				c.kept++
			default:
				c.replaced++
			}
		}
	}
	c.dropped = len(m.items) - c.kept - c.replaced
	return c
}

// logUpToDate logs the first changes, or the first answer to a watch without any, that are
// applied in a later era.
func (m *Mirror) logUpToDate() {
	if m.eraSince == 0 || m.upToDate {
		return
	}
	m.upToDate = true
	m.opt.Scope.Counter("upToDate").Inc(1)
	m.eraLog.Info().Uint64("era", uint64(m.era)).Uint64("revision", uint64(m.rev)).Dur("after", m.clock.Now().Sub(m.eraSince)).
		Msg("copy of the store is up to date in its era")
}

// logHeldBack logs the first change on a page of a listing that this copy lacks although it is
// complete up to a later revision, or the last watch reported one. It reports whether there is any.
func (m *Mirror) logHeldBack(p *tarragondeal.Page) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Revision < m.rev {
		return false // The copy may have overtaken the page.
	}
	for _, e := range p.Entries {
		if !m.isMirrored(e.Key) || e.Revision > max(m.rev, m.watched) || e.Revision <= max(m.items[e.Key].Revision, m.ahead[e.Key]) {
			continue
		}
		m.opt.Scope.Counter("heldBack").Inc(1)
		m.eraLog.Warn().Str("key", e.Key).Uint64("first", uint64(e.Revision)).Uint64("revision", uint64(m.rev)).
			Uint64("reported", uint64(m.watched)).Msg("the store had held changes back from a watch")
		return true
	}
	return false
}
