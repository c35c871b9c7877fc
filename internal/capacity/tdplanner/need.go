package tdplanner

import (
	"math"

	"tarragondeal"
)

// load is the demand on one group in one data centre, in requests.
type load struct {
	total    float64
	promised float64
}

// need splits a load over a group's pools: the servers of each pool that
// would carry it. Limit tells how many servers of a pool can be had.
func (c Config) need(g group, l load, limit func(*tarragondeal.ServerPool) int) map[string]int {
	out := make(map[string]int, len(g.pools))
	for _, p := range g.pools {
		out[p.Name] = min(p.Min, limit(p))
	}
	// First, what must not depend on reclaimable servers.
	firm := math.Min(l.promised, l.total) / c.FirmUse
	for _, p := range g.pools {
		if !p.Reclaimable {
			firm -= float64(out[p.Name] * p.Slots)
		}
	}
	firmLeft := c.fill(g, out, firm, func(p *tarragondeal.ServerPool) int {
		if p.Reclaimable {
			return 0
		}
		return limit(p)
	})
	// Then all requests with room to spare, by cost. What firm servers lack
	// for the first part is tried on any.
	var had float64
	for _, p := range g.pools {
		had += float64(out[p.Name] * p.Slots)
	}
	c.fill(g, out, math.Max(l.total/c.Use-had, firmLeft), limit)
	return out
}

// fill adds servers for a number of slots, cheapest first, up to limits. It
// returns the slots that found no room.
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
