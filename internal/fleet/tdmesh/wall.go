package tdmesh

import (
	"slices"
	"time"
)

// Wall returns the median of the wall clocks of all live nodes, in UTC. A single
// clock may be wrong by seconds, or step.
func (m *Mesh) Wall() time.Time {
	now := time.Duration(m.Clock.Now())
	offsets := []time.Duration{time.Duration(m.Clock.Wall().UnixNano()) - now}
	m.mu.Lock()
	for _, p := range m.peers {
		if known, ok := m.alive(p); ok {
			offsets = append(offsets, known.wallOffset)
		}
	}
	m.mu.Unlock()
	slices.Sort(offsets)
	return time.Unix(0, int64(offsets[len(offsets)/2]+now)).UTC()
}
