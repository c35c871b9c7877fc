package tdmesh

import (
	"time"

	"tarragondeal"
)

// stallThreshold is the longest time between two checks of the streams of a node that runs. After
// a longer one this node stood still: it was paused, or got too little processor time. What it
// received meanwhile has not been read.
const stallThreshold = 3 * reconcileInterval

// recordStall is called at each check of the streams. It records for how long this node stood
// still since the last one.
func (m *Mesh) recordStall(now tarragondeal.Instant) {
	gap := now.Sub(m.checkedAt)
	isFirst := m.checkedAt == 0
	m.checkedAt = now
	if isFirst || gap <= stallThreshold {
		return
	}
	m.resumedAt = now
	for _, p := range m.peers {
		p.stalled += gap - reconcileInterval
	}
	if gap > parentTimeout { // Shorter ones are frequent on a slow machine.
		m.Log.Info().Dur("for", gap).Msg("this node stood still")
	}
}

// silence returns for how long nothing has been received from a peer since a time, without
// the time for which this node stood still.
func (m *Mesh) silence(p *peer, since, now tarragondeal.Instant) time.Duration {
	heard := max(p.lastHeard(), since)
	out := now.Sub(heard)
	if heard < m.resumedAt {
		out -= p.stalled
	}
	return out
}
