package tdmesh

import (
	"sync/atomic"
	"time"

	"tarragondeal"
)

// teller writes the states of one stream.
type teller struct {
	m       *Mesh
	writers []Writer
	peer    atomic.Pointer[tarragondeal.NodeID] // Nil until the peer has told who it is.
	copied  tarragondeal.Revision               // Up to which the peer has been sent copies.
}

func (m *Mesh) newTeller() *teller {
	w := &teller{m: m}
	for _, p := range m.publish {
		w.writers = append(w.writers, p.open())
	}
	return w
}

// state returns the next state.
func (w *teller) state() *State {
	m := w.m
	away := m.Mirror.Away()
	s := &State{
		Node: string(m.self.Name), Incarnation: m.self.Incarnation, Ready: m.Ready(),
		Revision: uint64(m.Mirror.Revision()), WallNanos: m.Clock.Wall().UnixNano(),
		Follows: !away && m.Follows(), Source: string(m.chooseSource(away)),
	}
	peer := w.peer.Load()
	if peer == nil {
		return s // The sections are for a node that knows this one.
	}
	for n, write := range w.writers {
		if payload := write(); payload != nil {
			s.Sections = append(s.Sections, &Section{Topic: m.publish[n].topic, Payload: payload})
		}
	}
	s.Copy = w.copyFor(*peer)
	return s
}

// copyFor returns what a peer lacks that takes its copies from this node.
func (w *teller) copyFor(name tarragondeal.NodeID) *Copy {
	m := w.m
	m.mu.Lock()
	p := m.peers[name]
	wants := p != nil && p.source == m.self.Name
	if wants {
		w.copied = max(w.copied, p.revision)
	}
	m.mu.Unlock()
	if !wants || w.copied >= m.Mirror.Revision() {
		return nil
	}
	entries, rev, whole := m.Mirror.Since(w.copied)
	w.copied = rev
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
// fleet only a few do, as long as this node hears one of them.
func (m *Mesh) Follows() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.peers) < smallFleet {
		return true
	}
	before, fresh := 0, 0
	for _, p := range m.peers {
		if !m.heardNow(p) {
			continue
		}
		if p.node.Name < m.self.Name {
			before++
		}
		if p.follows {
			fresh++
		}
	}
	return before < followersLeast || fresh == 0
}

// behindFor is how long a source may be behind other nodes before copies are
// taken from one of those: its own watch may have fallen silent.
const behindFor = 500 * time.Millisecond

// chooseSource returns the node from which copies of the store are taken, or
// nothing when this node needs none.
func (m *Mesh) chooseSource(away bool) tarragondeal.NodeID {
	if !away && m.Follows() {
		return ""
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	best := m.newest()
	now := m.Clock.Now()
	p := m.peers[m.source]
	switch {
	case best == nil:
		m.source = ""
	case p == nil || !p.follows || !m.heardNow(p):
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

// newest returns the node that follows the store and has copied most of it, or
// nil when none is heard.
func (m *Mesh) newest() *peer {
	var best *peer
	for _, p := range m.peers {
		if p.follows && m.heardNow(p) && (best == nil || p.revision > best.revision) {
			best = p
		}
	}
	return best
}
