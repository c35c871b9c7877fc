package tdplanner

import (
	"math"

	"tarragondeal"
)

// load is the demand for one group in one data centre, in requests. The part
// that belongs to classes with a target is withTarget.
type load struct {
	total      float64
	withTarget float64
}

// need returns how many servers of each pool of a group are needed to carry a
// load. The function limit returns the maximum number of servers of a pool.
func (c Config) need(g group, l load, limit func(*tarragondeal.ServerPool) int) map[string]int {
	out := make(map[string]int, len(g.pools))
	for _, p := range g.pools {
		out[p.Name] = min(p.Min, limit(p))
	}
	// First, the requests that must not depend on reclaimable servers.
	onDemand := math.Min(l.withTarget, l.total) / c.OnDemandUse
	for _, p := range g.pools {
		if !p.Reclaimable {
			onDemand -= float64(out[p.Name] * p.Slots)
		}
	}
	unplaced := c.fill(g, out, onDemand, func(p *tarragondeal.ServerPool) int {
		if p.Reclaimable {
			return 0
		}
		return limit(p)
	})
	// Then all requests with spare capacity, by cost. Slots that the on-demand
	// pools could not provide are taken from any pool.
	var provided float64
	for _, p := range g.pools {
		provided += float64(out[p.Name] * p.Slots)
	}
	c.fill(g, out, math.Max(l.total/c.Use-provided, unplaced), limit)
	return out
}

// fill adds servers for a number of slots, in the order of the group's pools,
// up to the limits. It returns the slots that exceed the limits.
func (c Config) fill(g group, out map[string]int, slots float64, limit func(*tarragondeal.ServerPool) int) float64 {
	for _, p := range g.pools {
		if slots <= 0 {
			return 0
		}
		each := float64(max(p.Slots, 1))
		n := min(int(math.Ceil(slots/each-1e-9)), max(limit(p)-out[p.Name], 0))
		out[p.Name] += n
		slots -= float64(n) * each
	}
	return math.Max(slots, 0)
}
