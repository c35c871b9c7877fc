package tdmesh

import (
	"context"
	"time"

	"tarragondeal"
)

// wallMoved is how far a node's wall clock must have moved against this node's
// to be told again.
const wallMoved = 50 * time.Millisecond

// teller writes the states of one stream.
type teller struct {
	m        *Mesh
	to       tarragondeal.NodeID // The node to which this one opened the stream; empty where it took it.
	writers  []Writer
	copied   tarragondeal.Revision // Up to which the peer has been sent copies,
	copiedAt tarragondeal.Instant  // and when.
	told     map[tarragondeal.NodeID]presence
	begun    bool // The peer has been told of others.

	// Guarded by the mesh.
	peer   tarragondeal.NodeID // Empty until the peer has told who it is.
	toLeaf bool                // The peer takes everything from this node.
	over   bool                // What comes on the stream is passed over.
	cancel context.CancelFunc  // Ends a stream that this node opened; nil for others.
}

// drop gives the stream up for another one to the same peer. The node that opened
// it ends it.
func (w *teller) drop() {
	w.over = true
	if w.cancel != nil {
		w.cancel()
	}
}

func (m *Mesh) newTeller(to tarragondeal.NodeID) *teller {
	w := &teller{m: m, to: to, told: make(map[tarragondeal.NodeID]presence)}
	for _, p := range m.publish {
		w.writers = append(w.writers, p.open())
	}
	return w
}

// state returns the next state.
func (w *teller) state() *State {
	m := w.m
	away, revision := m.Mirror.Away(), m.Mirror.Revision()
	follows := !away && m.Follows()
	source := m.chooseSource(follows, revision)
	wall := m.Clock.Wall().UnixNano()
	s := &State{
		Node: string(m.self.Name), Incarnation: m.self.Incarnation, Ready: m.Ready(), Revision: uint64(revision),
		WallNanos: wall, Follows: follows, Fed: m.fed(follows, source), Source: string(source),
	}
	passed, known := w.scope(s, time.Duration(wall))
	if !known {
		return s // The sections are for a node that knows this one.
	}
	for n, write := range w.writers {
		if payload := write(func(name tarragondeal.NodeID) bool { return passed[name] }); payload != nil {
			s.Sections = append(s.Sections, &Section{Topic: m.publish[n].topic, Payload: payload})
		}
	}
	s.Copy = w.copy(revision)
	return s
}

// scope returns whose news goes to the peer, and adds to a state what has changed
// of these nodes. It reports whether the peer has told who it is.
func (w *teller) scope(s *State, wall time.Duration) (passed map[tarragondeal.NodeID]bool, known bool) {
	m := w.m
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Leaf = w.to != "" && w.to == m.parent
	if m.peers[w.peer] == nil {
		return nil, false
	}
	passed = m.passed(w.peer, w.toLeaf)
	own := wall - time.Duration(m.Clock.Now())
	for name := range passed {
		now, ok := m.alive(m.peers[name])
		now.wall -= own
		if !ok || !now.differs(w.told[name]) {
			continue
		}
		w.told[name] = now
		s.Behind = append(s.Behind, &Presence{
			Node: string(name), Incarnation: now.incarnation, Ready: now.ready, AheadNanos: int64(now.wall),
		})
	}
	for name := range w.told {
		if passed[name] {
			if _, ok := m.alive(m.peers[name]); ok {
				continue
			}
		}
		delete(w.told, name)
		s.Behind = append(s.Behind, &Presence{Node: string(name), Gone: true})
	}
	s.Whole, w.begun = !w.begun, true
	return passed, true
}

// differs reports whether a presence must be told again.
func (p presence) differs(told presence) bool {
	moved := p.wall - told.wall
	return p.incarnation != told.incarnation || p.ready != told.ready || max(moved, -moved) > wallMoved
}
