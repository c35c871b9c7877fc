package tdmesh

import (
	"time"

	"tarragondeal"
)

// copyResendAfter is how long the receiver of copies may take to report a later
// revision; after that they are sent again.
const copyResendAfter = 700 * time.Millisecond

// copy returns the changes of the store that the peer lacks, or nil if there are
// none or this node is not the peer's source.
func (w *stateWriter) copy(revision tarragondeal.Revision) *Copy {
	m := w.m
	now := m.Clock.Now()
	m.mu.Lock()
	p := m.peers[w.peer]
	wants := p != nil && p.source == m.self.Name
	if wants {
		w.recordReported(p.revision, now)
	}
	m.mu.Unlock()
	if !wants || w.sentRevision >= revision {
		return nil
	}
	after := w.sentRevision
	entries, rev, whole := m.Mirror.Since(after)
	w.sentRevision = rev
	out := &Copy{Revision: uint64(rev), Whole: whole}
	if !whole {
		out.After = uint64(after)
	}
	for _, e := range entries {
		out.Items = append(out.Items, newItem(e))
	}
	return out
}

func newItem(e tarragondeal.Entry) *Item {
	return &Item{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Deleted: e.Deleted}
}

func entriesOf(items []*Item) []tarragondeal.Entry {
	out := make([]tarragondeal.Entry, 0, len(items))
	for _, i := range items {
		out = append(out, tarragondeal.Entry{
			Key: i.GetKey(), Value: i.GetValue(), Revision: tarragondeal.Revision(i.GetRevision()), Deleted: i.GetDeleted(),
		})
	}
	return out
}

// recordReported records the revision that the peer has reported. If it has not
// advanced for copyResendAfter since a copy was sent, what was sent is sent again: the
// peer may have ignored a state.
func (w *stateWriter) recordReported(revision tarragondeal.Revision, now tarragondeal.Instant) {
	switch {
	case revision >= w.sentRevision || now.Sub(w.reportedAt) > copyResendAfter:
		w.sentRevision, w.reportedAt = revision, now
	case revision > w.reportedRevision:
		w.reportedAt = now
	}
	w.reportedRevision = revision
}

// applyCopy applies the changes of the store in a state of another node.
func (m *Mesh) applyCopy(s *State, w *stateWriter) {
	if ahead := entriesOf(s.GetAhead()); len(ahead) > 0 {
		m.Log.Info().Str("peer", s.GetNode()).Uint64("held", uint64(m.Mirror.Revision())).Int("changes", len(ahead)).
			Uint64("newest", uint64(ahead[len(ahead)-1].Revision)).Msg("applying store changes ahead of a copy in parts")
		m.Mirror.ApplyAhead(ahead)
	}
	c := s.GetCopy()
	if part := s.GetPart(); part != nil {
		var err error
		if c, err = w.collect(part); err != nil {
			m.Log.Warn().Err(err).Str("peer", s.GetNode()).Msg("invalid part of a copy, waiting for it to be sent again")
			return
		}
	}
	if c == nil {
		return
	}
	if held := m.Mirror.Revision(); uint64(held) < c.GetAfter() {
		m.Log.Info().Str("peer", s.GetNode()).Uint64("revision", uint64(held)).Uint64("after", c.GetAfter()).
			Msg("changes before a copy are missing, waiting for them")
		return
	}
	entries := entriesOf(c.GetItems())
	if len(entries) > 0 {
		line := m.Log.Info().Str("peer", s.GetNode()).Uint64("revision", c.GetRevision()).Int("changes", len(entries)).
			Bool("whole", c.GetWhole())
		if s.CopyAgeMillis != nil {
			line.Uint32("copyAgeMillis", s.GetCopyAgeMillis())
		}
		if part := s.GetPart(); part != nil {
			line.Uint64("packedBytes", part.GetSize()).Dur("transfer", m.Clock.Now().Sub(w.incomingSince))
		}
		line.Msg("applying store changes from another node")
	}
	m.Mirror.Apply(entries, tarragondeal.Revision(c.GetRevision()), c.GetWhole())
}

// CopyAge returns how long ago the store confirmed this node's copy, whether to this
// node or to the one whose copy it has, or false if it is not known.
func (m *Mesh) CopyAge() (time.Duration, bool) { return m.copyAge(false) }

// copyAge returns how long ago the store answered the node whose copy this one has,
// or false if it is not known. A copy of the same or a later revision than a peer's
// is at least as new as the peer's. Only followers count, and this node's source,
// which takes no copies from it: an age passed around a circle of nodes would lose
// the time on the way.
func (m *Mesh) copyAge(follows bool) (time.Duration, bool) {
	at, revision := m.Mirror.ConfirmedAt(), m.Mirror.Revision()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !follows {
		for _, p := range m.peers {
			if (p.followsStore || p.node.Name == m.source) && p.revision <= revision && m.isDirect(p) {
				m.copyAt = max(m.copyAt, p.copyAt)
			}
		}
		m.copyAt = max(m.copyAt, at)
		at = m.copyAt
	}
	return m.Clock.Now().Sub(at), at != 0
}
