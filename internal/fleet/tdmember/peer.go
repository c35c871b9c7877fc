package tdmember

import (
	"tarragondeal"
)

// Limits of one heartbeat.
const (
	maxNews    = 64   // Records sent.
	maxLevels  = 512  // Levels sent.
	maxRecords = 4096 // Records or levels accepted.
)

// peer is the state of an edge to another node.
type peer struct {
	node     tarragondeal.NodeID
	outgoing bool // This node initiates the heartbeats.
	// pending holds the nodes whose latest state the peer may lack. True
	// means the full record, false the levels only.
	pending     map[tarragondeal.NodeID]bool
	urgent      bool // Pending updates should not wait for the next tick.
	busy        bool // An exchange is queued or running.
	probing     bool // An indirect probe is queued or running.
	lastContact tarragondeal.Instant
	knowsSelf   bool // The peer has this node's record.
	mismatches  int  // Consecutive heartbeats whose digests differed.
}

// updateEdges sets the outgoing edges to the neighbours of the snapshot. m.mu
// must be held.
func (m *Members) updateEdges(s *snapshot) {
	now := m.opt.Clock.Now()
	wanted := make(map[tarragondeal.NodeID]bool)
	for _, n := range neighbours(s.self, s.members) {
		wanted[n.Node] = true
		p := m.peers[n.Node]
		if p == nil {
			p = m.addPeer(n.Node, now)
		}
		if !p.outgoing {
			p.outgoing, p.lastContact = true, now
		}
	}
	for n, p := range m.peers {
		if !wanted[n] {
			p.outgoing = false
		}
	}
}

// removeIdlePeers removes the incoming edges on which heartbeats have stopped,
// since the other node no longer uses them. m.mu must be held.
func (m *Members) removeIdlePeers(now tarragondeal.Instant) {
	for n, p := range m.peers {
		if !p.outgoing && now.Sub(p.lastContact) > suspectHeartbeats*m.opt.Every {
			delete(m.peers, n)
		}
	}
}

func (m *Members) addPeer(n tarragondeal.NodeID, now tarragondeal.Instant) *peer {
	p := &peer{node: n, lastContact: now, pending: make(map[tarragondeal.NodeID]bool)}
	m.peers[n] = p
	return p
}

// enqueue queues the state of node n for all peers except n itself and from,
// where the update came from. Urgent updates (records, and levels that announce
// a new version) are sent at once; other levels are batched. m.mu must be held.
func (m *Members) enqueue(n, from tarragondeal.NodeID, record, urgent bool) {
	for _, p := range m.peers {
		if p.node != from && p.node != n {
			p.pending[n] = p.pending[n] || record
			p.urgent = p.urgent || urgent
		}
	}
	if urgent {
		m.wakeLoop()
	}
}

// wakeLoop requests exchanges before the next tick.
func (m *Members) wakeLoop() {
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

// fillBeat moves pending updates for a peer into a heartbeat. m.mu must be
// held.
func (m *Members) fillBeat(p *peer, out *Beat) {
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
			levels.appendEntry(e)
			delete(p.pending, n)
		}
	}
	if len(levels.Ids) > 0 {
		out.Levels = levels
	}
	p.urgent = len(p.pending) > 0
	if !p.knowsSelf {
		out.News = append(out.News, encode(m.table.entries[m.table.self]))
	}
}

func (l *Levels) appendEntry(e entry) {
	l.Ids = append(l.Ids, incarnationID(e.Member))
	l.Seqs = append(l.Seqs, e.seq)
	l.Configs = append(l.Configs, uint64(e.Config))
	l.Loads = append(l.Loads, uint32(e.Load*loadScale))
}

// valid reports whether the columns have the same length, within the limit.
func (l *Levels) valid() bool {
	n := len(l.GetIds())
	return n <= maxRecords && len(l.GetSeqs()) == n && len(l.GetConfigs()) == n && len(l.GetLoads()) == n
}

// mergeLevels merges levels from a peer. m.mu must be held.
func (m *Members) mergeLevels(l *Levels, from tarragondeal.NodeID) {
	if !l.valid() {
		m.opt.Scope.Counter("badRecords").Inc(1)
		return
	}
	announced := false
	p := m.peers[from]
	for k, id := range l.GetIds() {
		newest := m.table.newestConfig
		load := min(float64(l.GetLoads()[k]), maxLoad) / loadScale
		n, ok := m.table.mergeLevel(id, l.GetSeqs()[k], tarragondeal.Version(l.GetConfigs()[k]), load)
		e := m.table.entries[n]
		switch {
		case ok:
			m.levelsUnpublished = true
			announced = announced || e.Config > newest
			m.enqueue(n, from, false, e.Config > newest)
			if p != nil && !p.pending[n] {
				delete(p.pending, n)
			}
		case p != nil && n != "" && e.seq == l.GetSeqs()[k] && !p.pending[n]:
			delete(p.pending, n) // The peer is up to date.
		}
	}
	if announced {
		m.storeSnapshot() // publishLevels stores the other changes in batches.
	}
}

// mergeRecords merges records from a peer. m.mu must be held.
func (m *Members) mergeRecords(records []*Record, from tarragondeal.NodeID) {
	if len(records) > maxRecords {
		records = records[:maxRecords]
	}
	now := m.opt.Clock.Now()
	changed := false
	for _, r := range records {
		e, err := decode(r)
		if err != nil {
			m.opt.Scope.Counter("badRecords").Inc(1)
			m.opt.Log.Warn().Err(err).Str("from", string(from)).Msg("rejected membership record")
			continue
		}
		if m.table.merge(e, now) {
			changed = true
			m.enqueue(e.Node, from, true, true)
			m.logChange(e)
		} else if p := m.peers[from]; p != nil && e.Node != m.table.self {
			// The record brought nothing new: the peer is either up to date or
			// behind.
			m.updatePending(p, e)
		}
	}
	if changed {
		m.publish()
	}
}

// updatePending removes a node from the queue of a peer whose record e of it is
// up to date, and queues it for a peer that is behind.
func (m *Members) updatePending(p *peer, e entry) {
	have, ok := m.table.entries[e.Node]
	switch {
	case !ok:
	case have.Incarnation == e.Incarnation && have.State == e.State && have.seq == e.seq:
		delete(p.pending, e.Node)
	default:
		p.pending[e.Node] = true
	}
}

func (m *Members) logChange(e entry) {
	have := m.table.entries[e.Node]
	m.opt.Log.Debug().Str("member", string(e.Node)).Int("state", int(have.State)).
		Uint64("incarnation", have.Incarnation).Msg("member changed")
}

// recordContact records contact with a peer and adds it if it is missing. m.mu
// must be held.
func (m *Members) recordContact(n tarragondeal.NodeID) *peer {
	now := m.opt.Clock.Now()
	m.contacted, m.lastContact = true, now
	p := m.peers[n]
	if p == nil {
		p = m.addPeer(n, now)
	}
	p.lastContact = now
	return p
}
