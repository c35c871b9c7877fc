package tdmesh

import (
	"time"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdera"
	"tarragondeal/internal/fleet/tdmirror"
)

const (
	// maxFollowers is how many relays of a large fleet follow the store. The
	// other nodes receive copies, which saves calls to the store.
	maxFollowers = 4
	// noSourceTimeout is the longest time that a node without any source of copies
	// waits before it follows the store itself. Each node waits for a random time
	// from minNoSourceTimeout, which is long enough for other relays to follow, so
	// that the first ones become sources of the others.
	noSourceTimeout    = 600 * time.Millisecond
	minNoSourceTimeout = 300 * time.Millisecond
	// relistDelay is how long a node that follows the store for lack of a source waits
	// for one when the history of its watch has expired.
	relistDelay = 300 * time.Millisecond
	// maxFollowerAge is how old the copy of a source that follows the store may
	// be: as old as its last answer, and the time until its next state.
	maxFollowerAge = tdmirror.MaxAnswerAge + 400*time.Millisecond
	// maxSourceLag is how long a source may be behind other nodes before one of
	// those replaces it: the source's own watch may have stalled.
	maxSourceLag = 500 * time.Millisecond
)

// Follows reports whether this node should follow the store itself. In a large
// fleet only a few relays do, and nodes that have no source of copies.
func (m *Mesh) Follows() bool {
	at := m.Mirror.Position()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era = at.Era
	reason := m.reasonToFollow()
	if reason != m.followReason {
		m.Log.Info().Str("reason", string(reason)).Str("before", string(m.followReason)).Uint64("revision", uint64(at.Revision)).
			Msg("reason to follow the store changed")
		m.followReason = reason
	}
	return reason != ""
}

// followReason is why a node follows the store; empty if it does not.
type followReason string

const (
	followSmallFleet followReason = "small fleet"
	followRank       followReason = "rank"
	followNoSource   followReason = "no source"
)

func (m *Mesh) reasonToFollow() followReason {
	if len(m.peers) < fullMeshSize {
		return followSmallFleet
	}
	if m.isRelay(m.self.Name) && m.higherRankedFollowers() < maxFollowers {
		return followRank
	}
	now := m.Clock.Now()
	if m.newestSource() != nil {
		m.noSourceSince = 0
		return ""
	}
	if m.noSourceSince == 0 {
		m.noSourceSince = now
	}
	timeout := m.noSourceTimeout
	if !m.hasStream() {
		timeout /= 2 // No relay beside this node can become its source.
	}
	if now.Sub(m.noSourceSince) > timeout {
		return followNoSource
	}
	return ""
}

// RelistDelay returns how long this node leaves it to others to list the store when the
// history of its watch has expired. Relays that follow the store list it at once, and the
// states that say so take up to two intervals.
func (m *Mesh) RelistDelay() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.followReason == followNoSource {
		return relistDelay
	}
	return 0
}

// hasStream reports whether a peer is alive on an open stream.
func (m *Mesh) hasStream() bool {
	for _, p := range m.peers {
		if p.writer != nil && m.isDirect(p) {
			return true
		}
	}
	return false
}

// reachesStore reports whether the store is available to this node: it has answered
// recently, and no call has failed since.
func (m *Mesh) reachesStore() bool {
	at := m.Mirror.ConfirmedAt()
	return at != 0 && m.Clock.Now().Sub(at) < tdmirror.MaxAnswerAge && !m.Mirror.Unavailable()
}

// isFollower reports whether a peer follows the store and its copy is recent. The age
// of a copy is not known from nodes of earlier versions.
func (m *Mesh) isFollower(p *peer) bool {
	return m.isDirect(p) && p.followsStore && (p.copyAt == 0 || m.Clock.Now().Sub(p.copyAt) < maxFollowerAge)
}

// higherRankedFollowers returns how many relays that follow the store take precedence
// over this one, by rank within the data centre and then by name.
func (m *Mesh) higherRankedFollowers() int {
	ownRank, n := m.relays[m.self.Name], 0
	for name, rank := range m.relays {
		if (rank < ownRank || rank == ownRank && name < m.self.Name) && m.isFollower(m.peers[name]) {
			n++
		}
	}
	return n
}

// chooseSource returns the node that this node receives copies of the store from.
// It is empty if this node needs no copies or no node can provide them.
func (m *Mesh) chooseSource(follows bool, at tarragondeal.Position) tarragondeal.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.source
	m.era = at.Era
	m.updateSource(follows, at)
	m.suspectSource(at)
	if m.source != before {
		line := m.Log.Info().Str("peer", string(m.source)).Str("before", string(before)).Uint64("era", uint64(at.Era)).Uint64("revision", uint64(at.Revision))
		if p := m.peers[m.source]; p != nil {
			line.Uint64("newest", uint64(p.position.Revision)).Uint64("newestEra", uint64(p.position.Era))
			if p.copyAt != 0 {
				line.Dur("copyAge", m.Clock.Now().Sub(p.copyAt))
			}
		}
		line.Msg("source of copies changed")
	}
	return m.source
}

func (m *Mesh) updateSource(follows bool, at tarragondeal.Position) {
	best := m.newestSource()
	if best == nil || follows && !m.isBehind(best, at) {
		m.source = ""
		return
	}
	now := m.Clock.Now()
	p := m.peers[m.source]
	switch {
	case p == nil || !m.isSource(p) || best.position.Compare(p.position) >= 0 && m.isRelay(best.node.Name) && !m.isRelay(p.node.Name):
		m.source, m.sourceBehindSince = best.node.Name, 0
	case p.position.Compare(best.position) >= 0:
		m.sourceBehindSince = 0
	case m.sourceBehindSince == 0:
		m.sourceBehindSince = now
	case now.Sub(m.sourceBehindSince) > maxSourceLag:
		m.Log.Info().Str("peer", string(m.source)).Uint64("revision", uint64(p.position.Revision)).
			Str("instead", string(best.node.Name)).Uint64("newest", uint64(best.position.Revision)).Msg("source is behind, switching to another node")
		m.source, m.sourceBehindSince = best.node.Name, 0
	}
}

// suspectSource suspects that the store has gone back if the source of copies has been behind this
// node for longer than maxSourceLag, and is of a version whose states have no era. Such a
// source takes the store's earlier revision, which this node would ignore.
func (m *Mesh) suspectSource(at tarragondeal.Position) {
	p, now := m.peers[m.source], m.Clock.Now()
	switch {
	case p == nil || p.readsEras || p.position.Era != at.Era || p.position.Revision >= at.Revision:
		m.selfAheadSince = 0
	case m.selfAheadSince == 0:
		m.selfAheadSince = now
	case now.Sub(m.selfAheadSince) > maxSourceLag:
		m.selfAheadSince = now
		m.Eras.Suspect(tdera.Suspicion{Found: "source of copies", Reported: p.position.Revision})
	}
}

// isBehind reports whether this node has been behind another one for longer than
// maxSourceLag although it follows the store: its watch may have stalled.
func (m *Mesh) isBehind(best *peer, at tarragondeal.Position) bool {
	now := m.Clock.Now()
	if at.Compare(best.position) >= 0 {
		m.selfBehindSince = 0
		return false
	}
	if m.selfBehindSince == 0 {
		m.selfBehindSince = now
	}
	return now.Sub(m.selfBehindSince) > maxSourceLag
}

// canProvideCopies reports whether this node can send copies to others: it follows
// the store, or its source does. Copies are not forwarded further, so that two
// nodes can't take each other for a source.
func (m *Mesh) canProvideCopies(follows bool, source tarragondeal.NodeID) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return follows || m.isFollower(m.peers[source])
}

// isSource reports whether a peer can provide copies to this node. It must follow
// the store itself, or be this node's relay and receive copies from a follower. A
// peer that receives its copies from this node is no source, nor is one whose copy is of an
// earlier era, nor one whose stream has ended, though it still counts as alive.
func (m *Mesh) isSource(p *peer) bool {
	if p.source == m.self.Name || p.writer == nil || p.position.Era < m.era {
		return false
	}
	return m.isFollower(p) || m.isDirect(p) && p.hasCopies && p.node.Name == m.parent
}

// newestSource returns the source with the latest position in the store, or nil if
// there is no source. Of several it is a relay.
func (m *Mesh) newestSource() *peer {
	var best *peer
	for _, p := range m.peers {
		if !m.isSource(p) {
			continue
		}
		if best == nil || p.position.Compare(best.position) > 0 || p.position == best.position && m.isRelay(p.node.Name) && !m.isRelay(best.node.Name) {
			best = p
		}
	}
	return best
}
