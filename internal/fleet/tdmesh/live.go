package tdmesh

import (
	"slices"
	"time"

	"tarragondeal"
)

// liveInterval is how long a survey of the fleet is used. What a peer's state changes is in
// the next one at once; the end of a silent peer's life may be noticed that much later.
const liveInterval = 100 * time.Millisecond

// survey is what this node knows of the whole fleet at one moment. It is not changed once
// it is made, so that all streams share it.
type survey struct {
	at         tarragondeal.Instant
	live       presences                    // Of the peers that are alive.
	known      map[tarragondeal.NodeID]bool // All peers; empty if this node has no leaves.
	leaves     map[tarragondeal.NodeID]bool // The leaves of this node.
	wallOffset time.Duration                // Median of the live nodes' wall clocks minus this node's monotonic clock.
}

// surveyed returns the latest survey, or makes one if that is old or no longer holds. The
// mutex of the mesh must be held.
func (m *Mesh) surveyed() *survey {
	now := m.Clock.Now()
	if m.survey != nil && now.Sub(m.survey.at) < liveInterval {
		return m.survey
	}
	s := &survey{
		at: now, live: make(presences, len(m.peers)), known: make(map[tarragondeal.NodeID]bool),
		leaves: make(map[tarragondeal.NodeID]bool),
	}
	reported := m.reported()
	offsets := make([]time.Duration, 0, 1+len(m.peers))
	offsets = append(offsets, time.Duration(m.Clock.Wall().UnixNano())-time.Duration(now))
	for name, p := range m.peers {
		if p.leaf {
			s.leaves[name] = true
		}
		if known, ok := m.aliveBy(p, reported); ok {
			s.live[name] = known
			offsets = append(offsets, known.wallOffset)
		}
	}
	if len(s.leaves) > 0 {
		for name := range m.peers {
			s.known[name] = true
		}
	}
	slices.Sort(offsets)
	s.wallOffset = offsets[len(offsets)/2]
	m.survey = s
	return s
}

// forwardedTo returns the nodes whose updates are forwarded to a peer, which may be among
// them: all nodes to a leaf, and only this node's leaves to any other peer, so that no update
// is received twice.
func (s *survey) forwardedTo(leaf bool) map[tarragondeal.NodeID]bool {
	if leaf {
		return s.known
	}
	return s.leaves
}

// surveyedPresence returns a peer's presence in the latest survey, or none.
func (m *Mesh) surveyedPresence(name tarragondeal.NodeID) presence {
	if m.survey == nil {
		return presence{}
	}
	return m.survey.live[name]
}
