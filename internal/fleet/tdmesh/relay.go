package tdmesh

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// smallFleet is the size up to which all nodes relay, so that each has a
	// stream to each other.
	smallFleet = 8
	// relaysPerCentre is how many nodes of each data centre relay in a larger
	// fleet: with two, the loss of one leaves another near by.
	relaysPerCentre = 2
	// arrangeEvery is how often a node looks whether it has the right streams.
	arrangeEvery = 50 * time.Millisecond
	// parentSilent is how long a relay may be silent before its leaves take
	// another one: several times the longest pause between two states.
	parentSilent = 600 * time.Millisecond
	// parentRest is how long a relay that failed is passed over: long enough to
	// try all relays near by.
	parentRest = 2 * time.Second
	// nearAfter is how long a leaf stays with a relay that is not its first
	// choice.
	nearAfter = 2 * time.Second
)

// place works out which nodes relay: all nodes of a small fleet, and else the
// strongest of each data centre. Nodes that know the same list come to the same
// result.
func (m *Mesh) place() {
	nodes := make([]Node, 0, len(m.peers)+1)
	nodes = append(nodes, m.self)
	for _, p := range m.peers {
		nodes = append(nodes, p.node)
	}
	slices.SortFunc(nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(b.Processor, a.Processor), cmp.Compare(a.Name, b.Name))
	})
	most := relaysPerCentre
	if len(nodes) <= smallFleet {
		most = len(nodes)
	}
	m.relays = make(map[tarragondeal.NodeID]int)
	places := make(map[string]int)
	for _, n := range nodes {
		if at := places[n.DataCentre]; at < most {
			m.relays[n.Name] = at
		}
		places[n.DataCentre]++
	}
}

// relaying reports whether a node relays.
func (m *Mesh) relaying(name tarragondeal.NodeID) bool {
	_, ok := m.relays[name]
	return ok
}

func (m *Mesh) keepArranged(ctx context.Context) error {
	for tdclock.Sleep(ctx, arrangeEvery) {
		m.arrange()
	}
	return nil
}

// arrange opens the streams that this node should keep and ends the others.
func (m *Mesh) arrange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	want := m.wanted()
	now := m.Clock.Now()
	for name, p := range m.peers {
		switch {
		case !want[name] && p.cancel != nil:
			p.cancel()
			p.cancel = nil
		case want[name] && p.cancel == nil && now >= p.rest:
			m.start(p)
		case want[name] && p.cancel != nil && now.Sub(max(p.heard, p.opened)) > heardWithin:
			m.Log.Info().Str("peer", string(name)).Msg("stream is silent, opened again")
			m.fail(p, reopenWait)
		}
	}
}

// wanted returns the nodes to which this node keeps a stream that it opens
// itself: to its parent, or, when it relays, to the relays whose names come later.
func (m *Mesh) wanted() map[tarragondeal.NodeID]bool {
	want := make(map[tarragondeal.NodeID]bool)
	if !m.relaying(m.self.Name) {
		m.chooseParent()
		want[m.parent] = true
		return want
	}
	m.parent = ""
	for name := range m.relays {
		// One that is a leaf here has not learnt yet that it relays.
		if name > m.self.Name && !m.peers[name].leaf {
			want[name] = true
		}
	}
	return want
}

// chooseParent sets the relay from which this node takes everything. It stays
// while it is heard, unless a better one has been heard of for a while.
func (m *Mesh) chooseParent() {
	now := m.Clock.Now()
	p := m.peers[m.parent]
	if p != nil && now >= p.rest && now.Sub(max(p.heard, m.attached)) > parentSilent {
		m.Log.Info().Str("peer", string(m.parent)).Msg("relay is silent, left")
		m.fail(p, parentRest)
	}
	best := m.bestParent(now)
	if best == m.parent || p != nil && now >= p.rest && !m.improves(m.peers[best], p, now) {
		return
	}
	m.Log.Info().Str("peer", string(best)).Str("before", string(m.parent)).Msg("relay chosen")
	m.parent, m.attached = best, now
}

// improves reports whether a relay that works is to be left for a better one.
func (m *Mesh) improves(best, p *peer, now tarragondeal.Instant) bool {
	_, alive := m.alive(best)
	return alive && m.rankParent(best, now) < m.rankParent(p, now) && now.Sub(m.attached) > nearAfter
}

// rankParent returns how good a relay a node is; lower is better.
func (m *Mesh) rankParent(p *peer, now tarragondeal.Instant) int {
	if p == nil {
		return 1 << 3
	}
	rank := 0
	if now < p.rest {
		rank |= 1 << 2
	}
	if !m.relaying(p.node.Name) {
		rank |= 1 << 1
	}
	if p.node.DataCentre != m.self.DataCentre {
		rank |= 1
	}
	return rank
}

// bestParent returns the best relay. Leaves that rank relays alike spread over
// them.
func (m *Mesh) bestParent(now tarragondeal.Instant) tarragondeal.NodeID {
	return slices.MinFunc(slices.Collect(maps.Keys(m.peers)), func(a, b tarragondeal.NodeID) int {
		return cmp.Or(
			cmp.Compare(m.rankParent(m.peers[a], now), m.rankParent(m.peers[b], now)),
			cmp.Compare(m.draw(a), m.draw(b)),
		)
	})
}

// draw orders nodes in a way that differs from node to node.
func (m *Mesh) draw(name tarragondeal.NodeID) uint64 {
	return xxhash.Sum64String(string(m.self.Name) + "\x00" + string(name))
}

// fail ends the stream that this node opened to another one, which is left
// alone for a while.
func (m *Mesh) fail(p *peer, rest time.Duration) {
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
	p.rest = m.Clock.Now().Add(rest + rand.N(rest/2))
}

// passed returns whose news goes to a peer, beside this node's own: to a leaf
// what all others tell, and to other nodes only what this node's leaves tell, so
// that no news comes twice.
func (m *Mesh) passed(to tarragondeal.NodeID, leaf bool) map[tarragondeal.NodeID]bool {
	out := make(map[tarragondeal.NodeID]bool, len(m.peers))
	for name, p := range m.peers {
		if name != to && (leaf || p.leaf) {
			out[name] = true
		}
	}
	return out
}
