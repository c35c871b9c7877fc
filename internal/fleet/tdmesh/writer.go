package tdmesh

import (
	"context"
	"math"
	"time"

	"tarragondeal"
)

// wallOffsetTolerance is how far the wall clock of a node may move relative to
// this node's since its presence was last sent, before it is sent again.
const wallOffsetTolerance = 50 * time.Millisecond

// stateWriter builds the states that are sent on one stream.
type stateWriter struct {
	m             *Mesh
	openedTo      tarragondeal.NodeID // The node to which this one opened the stream; empty if it accepted it.
	writers       []Writer
	sent          tarragondeal.Position            // The position of the last copy that was sent.
	reported      tarragondeal.Position            // The position that the peer reported last.
	reportedAt    tarragondeal.Instant             // When the peer had all that was sent, or advanced.
	presences     map[tarragondeal.NodeID]presence // That were sent.
	sentWhole     bool                             // A complete list of presences has been sent.
	quiet         quietState
	outgoing      *outgoingCopy         // The copy that is being sent in parts; nil for none.
	withheld      tarragondeal.Revision // Of a copy that is too large for the peer; zero for none.
	incoming      []byte                // The parts received so far of a copy; used by the receiver of states only.
	incomingSince tarragondeal.Instant  // When the first of them was received.

	// Guarded by the mutex of the mesh.
	peer           tarragondeal.NodeID // Empty until the peer's first state.
	peerIsLeaf     bool                // The peer is a leaf of this node.
	peerReadsParts bool                // The peer reads copies in parts.
	closed         bool                // States received on the stream are ignored.
	missed         bool                // States were ignored since the last one that was sent.
	peerMissed     bool                // The peer has ignored states; everything is sent again.
	cancel         context.CancelFunc  // Ends a stream that this node opened; nil for others.
}

// close stops using the stream in favour of another one to the same peer. Only the
// node that opened the stream ends it.
func (w *stateWriter) close() {
	w.closed = true
	if w.cancel != nil {
		w.cancel()
	}
}

func (m *Mesh) newStateWriter(to tarragondeal.NodeID) *stateWriter {
	w := &stateWriter{m: m, openedTo: to}
	w.reset()
	return w
}

// reset makes the next state complete.
func (w *stateWriter) reset() {
	w.writers = nil
	for _, p := range w.m.publishers {
		w.writers = append(w.writers, p.open())
	}
	w.presences, w.sentWhole = make(map[tarragondeal.NodeID]presence), false
	if w.outgoing != nil {
		w.outgoing.sent, w.outgoing.ahead = 0, w.outgoing.after
	}
}

// takeMissed returns whether states of the peer were ignored since the last call. If the
// peer has ignored states, the next state is made complete.
func (w *stateWriter) takeMissed() bool {
	w.m.mu.Lock()
	missed, peerMissed := w.missed, w.peerMissed
	w.missed, w.peerMissed = false, false
	w.m.mu.Unlock()
	if peerMissed {
		w.reset()
	}
	return missed
}

// nextState returns the next state to send.
func (w *stateWriter) nextState() *State {
	m := w.m
	at := m.Mirror.Position()
	follows := m.Follows() && m.reachesStore()
	source := m.chooseSource(follows, at)
	wall := m.Clock.Wall().UnixNano()
	s := &State{
		Node: string(m.self.Name), Incarnation: m.self.Incarnation, Ready: m.Ready(), Revision: uint64(at.Revision), Era: uint64(at.Era),
		WallNanos: wall, Follows: follows, Fed: m.canProvideCopies(follows, source), Source: string(source),
		Missed: w.takeMissed(), ReadsParts: true, ReadsEras: true,
	}
	if since := m.RemembersSince(); !since.IsZero() {
		s.RemembersSince = since.UnixMilli()
	}
	if m.Fences != nil {
		s.Fence = m.Fences.Highest()
	}
	if age, ok := m.copyAge(follows); ok {
		millis := uint32(min(max(age, 0)/time.Millisecond, math.MaxUint32))
		s.CopyAgeMillis = &millis
	}
	forwarded, known := w.addPresences(s, time.Duration(wall))
	if !known {
		return s // Sections are sent only to a known peer.
	}
	for n, write := range w.writers {
		if payload := write(forwarded); payload != nil {
			s.Sections = append(s.Sections, &Section{Topic: m.publishers[n].topic, Payload: payload})
		}
	}
	w.addCopy(s, at)
	return s
}

// addPresences adds the changed presences of the forwarded nodes to a state. It
// returns whether a node is one of these, and whether the peer is known.
func (w *stateWriter) addPresences(s *State, wall time.Duration) (forwarded func(tarragondeal.NodeID) bool, known bool) {
	m := w.m
	m.mu.Lock()
	defer m.mu.Unlock()
	s.Leaf = w.openedTo != "" && w.openedTo == m.parent
	if m.peers[w.peer] == nil {
		return nil, false
	}
	fleet, to := m.surveyed(), w.peer
	included := fleet.forwardedTo(w.peerIsLeaf)
	ownOffset := wall - time.Duration(m.Clock.Now())
	for name := range included {
		current, ok := fleet.live[name]
		current.wallOffset -= ownOffset
		if name == to || !ok || !current.differs(w.presences[name]) {
			continue
		}
		w.presences[name] = current
		s.Behind = append(s.Behind, &Presence{
			Node: string(name), Incarnation: current.incarnation, Ready: current.ready, AheadNanos: int64(current.wallOffset),
		})
	}
	for name := range w.presences {
		if _, ok := fleet.live[name]; ok && included[name] {
			continue
		}
		delete(w.presences, name)
		s.Behind = append(s.Behind, &Presence{Node: string(name), Gone: true})
	}
	s.Whole, w.sentWhole = !w.sentWhole, true
	return func(name tarragondeal.NodeID) bool { return name != to && included[name] }, true
}

// differs reports whether a presence must be sent again.
func (p presence) differs(sent presence) bool {
	moved := p.wallOffset - sent.wallOffset
	return p.incarnation != sent.incarnation || p.ready != sent.ready || max(moved, -moved) > wallOffsetTolerance
}
