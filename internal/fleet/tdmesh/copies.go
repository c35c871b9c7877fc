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
func (w *stateWriter) copy(at tarragondeal.Position) *Copy {
	m := w.m
	now := m.Clock.Now()
	m.mu.Lock()
	p := m.peers[w.peer]
	wants := p != nil && p.source == m.self.Name
	if wants {
		reported := p.position
		if !p.readsEras {
			reported.Era = at.Era // It compares revisions only.
		}
		w.recordReported(reported, now)
	}
	m.mu.Unlock()
	if !wants || w.sent.Compare(at) >= 0 {
		return nil
	}
	after := w.sent
	entries, at, whole := m.Mirror.Since(after)
	w.sent = at
	out := &Copy{Revision: uint64(at.Revision), Era: uint64(at.Era), Whole: whole}
	if !whole {
		out.After = uint64(after.Revision)
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

// recordReported records the position that the peer has reported. If it has not
// advanced for copyResendAfter since a copy was sent, what was sent is sent again: the
// peer may have ignored a state.
func (w *stateWriter) recordReported(at tarragondeal.Position, now tarragondeal.Instant) {
	switch {
	case at.Compare(w.sent) >= 0 || now.Sub(w.reportedAt) > copyResendAfter:
		w.sent, w.reportedAt = at, now
	case at.Compare(w.reported) > 0:
		w.reportedAt = now
	}
	w.reported = at
}

// applyCopy applies the changes of the store in a state of another node.
func (m *Mesh) applyCopy(s *State, w *stateWriter) {
	if ahead := entriesOf(s.GetAhead()); len(ahead) > 0 {
		m.Log.Info().Str("peer", s.GetNode()).Uint64("held", uint64(m.Mirror.Position().Revision)).Int("changes", len(ahead)).
			Uint64("newest", uint64(ahead[len(ahead)-1].Revision)).Msg("applying store changes ahead of a copy in parts")
		m.Mirror.ApplyAhead(ahead, tarragondeal.Era(s.GetEra()))
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
	at := tarragondeal.Position{Era: tarragondeal.Era(c.GetEra()), Revision: tarragondeal.Revision(c.GetRevision())}
	held := m.Mirror.Position()
	if !c.GetWhole() && (held.Era != at.Era || uint64(held.Revision) < c.GetAfter()) {
		m.Log.Info().Str("peer", s.GetNode()).Uint64("era", uint64(held.Era)).Uint64("revision", uint64(held.Revision)).
			Uint64("copyEra", c.GetEra()).Uint64("after", c.GetAfter()).
			Msg("changes before a copy are missing, waiting for them")
		return
	}
	entries := entriesOf(c.GetItems())
	if len(entries) > 0 {
		line := m.Log.Info().Str("peer", s.GetNode()).Uint64("revision", c.GetRevision()).Int("changes", len(entries)).
			Uint64("era", c.GetEra()).Bool("whole", c.GetWhole())
		if s.CopyAgeMillis != nil {
			line.Uint32("copyAgeMillis", s.GetCopyAgeMillis())
		}
		if part := s.GetPart(); part != nil {
			line.Uint64("packedBytes", part.GetSize()).Dur("transfer", m.Clock.Now().Sub(w.incomingSince))
		}
		line.Msg("applying store changes from another node")
	}
	m.Mirror.Apply(entries, at, c.GetWhole())
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
	at, position := m.Mirror.ConfirmedAt(), m.Mirror.Position()
	m.mu.Lock()
	defer m.mu.Unlock()
	if !follows {
		for _, p := range m.peers {
			if (p.followsStore || p.node.Name == m.source) && p.position.Era == position.Era && p.position.Revision <= position.Revision && m.isDirect(p) {
				m.copyAt = max(m.copyAt, p.copyAt)
			}
		}
		m.copyAt = max(m.copyAt, at)
		at = m.copyAt
	}
	return m.Clock.Now().Sub(at), at != 0
}
