package tdmember

import (
	"tarragondeal"
)

// Bounds of one heartbeat.
const (
	maxNews    = 64   // Records that this node sends at once.
	maxLevels  = 512  // Levels that this node sends at once.
	maxRecords = 4096 // Records that it takes in at once.
)

// peer is the other end of an edge.
type peer struct {
	node tarragondeal.NodeID
	out  bool // This node sends the heartbeats.
	// pending are the nodes of which the peer may not know the newest.
	// True stands for the whole record, false for the level alone.
	pending map[tarragondeal.NodeID]bool
	urgent  bool // Something waits that should not wait for the next tick.
	busy    bool // An exchange runs.
	probing bool // Others are being asked whether they reach the peer.
	heard   tarragondeal.Instant
	known   bool // The peer has this node's record.
	differ  int  // Heartbeats in a row whose digest differed.
}

// rewire makes the edges fit the members. The lock is held.
func (m *Members) rewire(s *snapshot) {
	now := m.opt.Clock.Now()
	want := make(map[tarragondeal.NodeID]bool)
	for _, n := range neighbours(s.self, s.members) {
		want[n.Node] = true
		p := m.peers[n.Node]
		if p == nil {
			p = m.edge(n.Node, now)
		}
		if !p.out {
			p.out, p.heard = true, now
		}
	}
	for n, p := range m.peers {
		if !want[n] {
			p.out = false
		}
	}
}

// trim drops the edges that other nodes kept and keep no longer: their
// heartbeats have ended. The lock is held.
func (m *Members) trim(now tarragondeal.Instant) {
	for n, p := range m.peers {
		if !p.out && now.Sub(p.heard) > suspectBeats*m.opt.Every {
			delete(m.peers, n)
		}
	}
}

func (m *Members) edge(n tarragondeal.NodeID, now tarragondeal.Instant) *peer {
	p := &peer{node: n, heard: now, pending: make(map[tarragondeal.NodeID]bool)}
	m.peers[n] = p
	return p
}

// spread queues what is known of a node for all peers but the one it came
// from. Records, and levels that announce a new version, go out at once; the
// other levels are gathered. The lock is held.
func (m *Members) spread(n, from tarragondeal.NodeID, record, urgent bool) {
	for _, p := range m.peers {
		if p.node != from && p.node != n {
			p.pending[n] = p.pending[n] || record
			p.urgent = p.urgent || urgent
		}
	}
	if urgent {
		m.poke()
	}
}

// poke asks for an early round.
func (m *Members) poke() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// news fills a heartbeat for a peer from its queue. The lock is held.
func (m *Members) news(p *peer, out *Beat) {
	levels := &Levels{}
	for n, record := range p.pending {
		e, ok := m.table.entries[n]
		switch {
		case !ok:
			delete(p.pending, n)
		case record && len(out.News) < maxNews:
			out.News = append(out.News, encode(e))
			delete(p.pending, n)
		case !record && len(levels.Ids) < maxLevels:
			levels.add(e)
			delete(p.pending, n)
		}
	}
	if len(levels.Ids) > 0 {
		out.Levels = levels
	}
	p.urgent = len(p.pending) > 0
	if !p.known {
		out.News = append(out.News, encode(m.table.entries[m.table.self]))
	}
}

func (l *Levels) add(e entry) {
	l.Ids = append(l.Ids, id(e.Member))
	l.Seqs = append(l.Seqs, e.seq)
	l.Configs = append(l.Configs, uint64(e.Config))
	l.Loads = append(l.Loads, uint32(e.Load*loadScale))
}

// whole reports whether the columns are as long as each other.
func (l *Levels) whole() bool {
	n := len(l.GetIds())
	return n <= maxRecords && len(l.GetSeqs()) == n && len(l.GetConfigs()) == n && len(l.GetLoads()) == n
}

// hearLevels takes in levels from a peer. The lock is held.
func (m *Members) hearLevels(l *Levels, from tarragondeal.NodeID) {
	if !l.whole() {
		m.opt.Scope.Counter("badRecords").Inc(1)
		return
	}
	announced := false
	p := m.peers[from]
	for k, id := range l.GetIds() {
		newest := m.table.newest
		load := min(float64(l.GetLoads()[k]), maxLoad) / loadScale
		n, ok := m.table.level(id, l.GetSeqs()[k], tarragondeal.Version(l.GetConfigs()[k]), load)
		e := m.table.entries[n]
		switch {
		case ok:
			m.hidden = true
			announced = announced || e.Config > newest
			m.spread(n, from, false, e.Config > newest)
			if p != nil && !p.pending[n] {
				delete(p.pending, n)
			}
		case p != nil && n != "" && e.seq == l.GetSeqs()[k] && !p.pending[n]:
			delete(p.pending, n) // The peer knows as much.
		}
	}
	if announced {
		m.show() // The others are shown together, now and then.
	}
}

// learn takes in records from a peer. The lock is held.
func (m *Members) learn(records []*Record, from tarragondeal.NodeID) {
	if len(records) > maxRecords {
		records = records[:maxRecords]
	}
	now := m.opt.Clock.Now()
	changed := false
	for _, r := range records {
		e, err := decode(r)
		if err != nil {
			m.opt.Scope.Counter("badRecords").Inc(1)
			m.opt.Log.Warn().Err(err).Str("from", string(from)).Msg("record refused")
			continue
		}
		if m.table.merge(e, now) {
			changed = true
			m.spread(e.Node, from, true, true)
			m.note(e)
		} else if p := m.peers[from]; p != nil && e.Node != m.table.self {
			// The peer knows as much, so it need not be told, unless it is
			// behind.
			m.settle(p, e)
		}
	}
	if changed {
		m.publish()
	}
}

// settle drops a node from the queue for a peer that knows all of it, and
// queues it for one that is behind.
func (m *Members) settle(p *peer, e entry) {
	have, ok := m.table.entries[e.Node]
	switch {
	case !ok:
	case have.Incarnation == e.Incarnation && have.State == e.State && have.seq == e.seq:
		delete(p.pending, e.Node)
	default:
		p.pending[e.Node] = true
	}
}

func (m *Members) note(e entry) {
	have := m.table.entries[e.Node]
	m.opt.Log.Debug().Str("member", string(e.Node)).Int("state", int(have.State)).
		Uint64("incarnation", have.Incarnation).Msg("member changed")
}

// hear notes that a peer is alive. The lock is held.
func (m *Members) hear(n tarragondeal.NodeID) *peer {
	now := m.opt.Clock.Now()
	m.heard, m.heardAt = true, now
	p := m.peers[n]
	if p == nil {
		p = m.edge(n, now)
	}
	p.heard = now
	return p
}
