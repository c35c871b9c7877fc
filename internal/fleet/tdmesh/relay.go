package tdmesh

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// fullMeshSize is the number of nodes up to which all nodes are relays, so
	// that each has a stream to every other node.
	fullMeshSize = 8
	// relaysPerDataCentre is the number of relays in each data centre of a larger
	// fleet. With two, the loss of one leaves another in the same data centre.
	relaysPerDataCentre = 2
	// reconcileInterval is how often a node opens and closes streams as needed.
	reconcileInterval = 50 * time.Millisecond
	// parentTimeout is how long a relay may be silent before its leaves switch to
	// another one: several times the longest interval between two states.
	parentTimeout = 600 * time.Millisecond
	// parentBackoff is how long a failed relay is avoided: long enough to try all
	// relays of the data centre.
	parentBackoff = 2 * time.Second
	// parentSwitchDelay is how long a leaf stays with a working relay before it
	// switches to a better one.
	parentSwitchDelay = 2 * time.Second
)

// assignRelays computes the relays: all nodes of a small fleet, otherwise the nodes
// of each data centre with the most processor share. Nodes that know the same
// members compute the same result.
func (m *Mesh) assignRelays() {
	nodes := make([]Node, 0, len(m.peers)+1)
	nodes = append(nodes, m.self)
	for _, p := range m.peers {
		nodes = append(nodes, p.node)
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Processor, a.Processor), cmp.Compare(a.Name, b.Name))
	})
	perCentre := relaysPerDataCentre
	if len(nodes) <= fullMeshSize {
		perCentre = len(nodes)
	}
	m.relays = make(map[tarragondeal.NodeID]int)
	nodesSeen := make(map[string]int)
	for _, n := range nodes {
		if rank := nodesSeen[n.DataCentre]; rank < perCentre {
			m.relays[n.Name] = rank
		}
		nodesSeen[n.DataCentre]++
	}
}

// isRelay reports whether a node is a relay.
func (m *Mesh) isRelay(name tarragondeal.NodeID) bool {
	_, ok := m.relays[name]
	return ok
}

func (m *Mesh) maintainStreams(ctx context.Context) error {
	for tdclock.Sleep(ctx, reconcileInterval) {
		m.reconcileStreams()
	}
	return nil
}

// reconcileStreams opens missing streams, ends unneeded ones, and ends silent ones
// so that they are opened again.
func (m *Mesh) reconcileStreams() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.Clock.Now()
	m.recordStall(now)
	want := m.desiredStreams()
	for name, p := range m.peers {
		switch {
		case !want[name] && p.cancel != nil:
			p.cancel()
			p.cancel = nil
		case want[name] && p.cancel == nil && now >= p.retryAt:
			m.openStream(p)
		case want[name] && p.cancel != nil && m.silence(p, p.openedAt, now) > aliveTimeout:
			m.Log.Info().Str("peer", string(name)).Uint64("receivedBytes", p.receivedSinceState()).Msg("stream is silent, reopening")
			m.closeAndBackOff(p, reopenDelay)
		}
	}
}

// desiredStreams returns the nodes to which this node should have opened a stream:
// its parent, or, if it is a relay itself, the relays with greater names.
func (m *Mesh) desiredStreams() map[tarragondeal.NodeID]bool {
	want := make(map[tarragondeal.NodeID]bool)
	if !m.isRelay(m.self.Name) {
		m.chooseParent()
		want[m.parent] = true
		return want
	}
	m.parent = ""
	for name := range m.relays {
		// A leaf of this node does not know yet that it is a relay.
		if name > m.self.Name && !m.peers[name].leaf {
			want[name] = true
		}
	}
	return want
}

// chooseParent selects this node's relay. The current one is kept until it has been
// silent for parentTimeout, or a better one is available after parentSwitchDelay.
func (m *Mesh) chooseParent() {
	now := m.Clock.Now()
	p := m.peers[m.parent]
	if p != nil && now >= p.retryAt && m.silence(p, m.parentSince, now) > parentTimeout {
		m.Log.Info().Str("peer", string(m.parent)).Uint64("receivedBytes", p.receivedSinceState()).Msg("relay is silent, disconnecting")
		m.closeAndBackOff(p, parentBackoff)
	}
	best := m.bestParent(now)
	if best == m.parent || p != nil && now >= p.retryAt && !m.shouldSwitchParent(m.peers[best], p, now) {
		return
	}
	m.Log.Info().Str("peer", string(best)).Str("before", string(m.parent)).Msg("relay chosen")
	m.parent, m.parentSince = best, now
	if p := m.peers[best]; p != nil {
		p.stalled = 0
	}
}

// shouldSwitchParent reports whether to leave a working relay for a better one.
func (m *Mesh) shouldSwitchParent(best, p *peer, now tarragondeal.Instant) bool {
	_, alive := m.alive(best)
	return alive && m.parentRank(best, now) < m.parentRank(p, now) && now.Sub(m.parentSince) > parentSwitchDelay
}

// parentRank rates a node as this node's relay; lower is better.
func (m *Mesh) parentRank(p *peer, now tarragondeal.Instant) int {
	if p == nil {
		return 1 << 3
	}
	rank := 0
	if now < p.retryAt {
		rank |= 1 << 2
	}
	if !m.isRelay(p.node.Name) {
		rank |= 1 << 1
	}
	if p.node.DataCentre != m.self.DataCentre {
		rank |= 1
	}
	return rank
}

// bestParent returns the node with the lowest rank. Ties are broken by a hash that
// spreads the leaves over the relays.
func (m *Mesh) bestParent(now tarragondeal.Instant) tarragondeal.NodeID {
	var best tarragondeal.NodeID
	var order uint64
	lowest := math.MaxInt
	for name, p := range m.peers {
		rank := m.parentRank(p, now)
		if rank > lowest {
			continue
		}
		if hash := m.hashOrder(name); rank < lowest || hash < order {
			best, order, lowest = name, hash, rank
		}
	}
	return best
}

// hashOrder returns a sort key for a node that differs on each node (rendezvous
// hashing).
func (m *Mesh) hashOrder(name tarragondeal.NodeID) uint64 {
	return xxhash.Sum64String(string(m.self.Name) + "\x00" + string(name))
}

// closeAndBackOff ends the stream that this node opened to a peer, and delays the
// next one by delay plus up to half of it as jitter.
func (m *Mesh) closeAndBackOff(p *peer, delay time.Duration) {
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
	p.retryAt = m.Clock.Now().Add(delay + rand.N(delay/2))
}
