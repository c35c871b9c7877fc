package tdmesh

import (
	"time"

	"tarragondeal"
)

const (
	// followersMost is how many relays of a large fleet follow the store. The
	// other nodes take copies, which saves calls.
	followersMost = 4
	// unfedFor is how long a node that hears nobody who has copies waits before
	// it follows the store itself.
	unfedFor = 500 * time.Millisecond
	// behindFor is how long a source may be behind other nodes before copies are
	// taken from one of those: its own watch may have fallen silent.
	behindFor = 500 * time.Millisecond
	// copyWithin is how long a copy may take to show in what its taker tells of
	// itself; after that it is sent again.
	copyWithin = 700 * time.Millisecond
)

// copy returns what the peer lacks that takes its copies from this node.
func (w *teller) copy(revision tarragondeal.Revision) *Copy {
	m := w.m
	now := m.Clock.Now()
	m.mu.Lock()
	p := m.peers[w.peer]
	wants := p != nil && p.source == m.self.Name
	if wants && (p.revision > w.copied || now.Sub(w.copiedAt) > copyWithin) {
		w.copied = p.revision
	}
	m.mu.Unlock()
	if !wants || w.copied >= revision {
		return nil
	}
	entries, rev, whole := m.Mirror.Since(w.copied)
	w.copied, w.copiedAt = rev, now
	out := &Copy{Revision: uint64(rev), Whole: whole}
	for _, e := range entries {
		out.Items = append(out.Items, &Item{Key: e.Key, Value: e.Value, Revision: uint64(e.Revision), Deleted: e.Deleted})
	}
	return out
}

// takeCopy takes in changes of the store that another node has copied.
func (m *Mesh) takeCopy(s *State) {
	c := s.GetCopy()
	if c == nil {
		return
	}
	entries := make([]tarragondeal.Entry, 0, len(c.GetItems()))
	for _, i := range c.GetItems() {
		entries = append(entries, tarragondeal.Entry{
			Key: i.GetKey(), Value: i.GetValue(), Revision: tarragondeal.Revision(i.GetRevision()), Deleted: i.GetDeleted(),
		})
	}
	if len(entries) > 0 {
		m.Log.Info().Str("peer", s.GetNode()).Uint64("revision", c.GetRevision()).Int("changes", len(entries)).
			Bool("whole", c.GetWhole()).Msg("store's changes taken from another node")
	}
	m.Mirror.Take(entries, tarragondeal.Revision(c.GetRevision()), c.GetWhole())
}

// Follows reports whether this node is to follow the store itself. In a large
// fleet only a few relays do, and nodes that hear nobody who has copies.
func (m *Mesh) Follows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.peers) < smallFleet || m.relaying(m.self.Name) && m.followersBefore() < followersMost {
		return true
	}
	now := m.Clock.Now()
	if m.newest() != nil {
		m.unfed = 0
		return false
	}
	if m.unfed == 0 {
		m.unfed = now
	}
	return now.Sub(m.unfed) > unfedFor
}

// followersBefore returns how many relays follow the store rather than this one:
// the first of each data centre go before the others.
func (m *Mesh) followersBefore() int {
	own, n := m.relays[m.self.Name], 0
	for name, place := range m.relays {
		p := m.peers[name]
		if p == nil {
			continue
		}
		if _, ok := m.alive(p); ok && (place < own || place == own && name < m.self.Name) {
			n++
		}
	}
	return n
}

// chooseSource returns the node from which copies of the store are taken, or
// nothing when this node needs none.
func (m *Mesh) chooseSource(follows bool, revision tarragondeal.Revision) tarragondeal.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	best := m.newest()
	if best == nil || follows && !m.lags(best, revision) {
		m.source = ""
		return m.source
	}
	now := m.Clock.Now()
	p := m.peers[m.source]
	switch {
	case p == nil || !m.feeds(p):
		m.source, m.behind = best.node.Name, 0
	case p.revision >= best.revision:
		m.behind = 0
	case m.behind == 0:
		m.behind = now
	case now.Sub(m.behind) > behindFor:
		m.Log.Info().Str("peer", string(m.source)).Uint64("revision", uint64(p.revision)).
			Str("instead", string(best.node.Name)).Uint64("newest", uint64(best.revision)).Msg("source is behind, left")
		m.source, m.behind = best.node.Name, 0
	}
	return m.source
}

// lags reports whether this node, which follows the store, has been behind
// another one for a while: its watch may have fallen silent.
func (m *Mesh) lags(best *peer, revision tarragondeal.Revision) bool {
	now := m.Clock.Now()
	if revision >= best.revision {
		m.lagging = 0
		return false
	}
	if m.lagging == 0 {
		m.lagging = now
	}
	return now.Sub(m.lagging) > behindFor
}

// fed reports whether this node has copies to give on: it follows the store, or
// takes them from one that does. Copies go no further, so that no two nodes can
// believe that they feed one another.
func (m *Mesh) fed(follows bool, source tarragondeal.NodeID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[source]
	return follows || p != nil && p.follows
}

// feeds reports whether copies may be taken from a node: from one that follows
// the store itself, and by a leaf also from its relay, if that is fed.
func (m *Mesh) feeds(p *peer) bool {
	return m.direct(p) && (p.follows || p.fed && p.node.Name == m.parent)
}

// newest returns the node that has most of the store among those that copies
// may be taken from, or nil when there is none.
func (m *Mesh) newest() *peer {
	var best *peer
	for _, p := range m.peers {
		if m.feeds(p) && (best == nil || p.revision > best.revision) {
			best = p
		}
	}
	return best
}
