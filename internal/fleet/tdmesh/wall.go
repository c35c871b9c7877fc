package tdmesh

import "time"

// Wall returns the median of the wall clocks of all live nodes, in UTC. A single
// clock may be wrong by seconds, or step.
func (m *Mesh) Wall() time.Time {
	m.mu.Lock()
	offset := m.surveyed().wallOffset
	m.mu.Unlock()
	return time.Unix(0, int64(offset)+int64(m.Clock.Now())).UTC()
}
