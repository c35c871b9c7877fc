package tdhealth

import (
	"slices"
	"time"

	"tarragondeal"
)

const (
	// rateWeight is the weight of the newest sample in a server's rate, an
	// exponentially weighted moving average.
	rateWeight = 0.2
	// minSamples is the minimum number of samples for a server's rate to be
	// used.
	minSamples = 3
	// minPeers is the minimum number of servers with a rate in a pool for them
	// to be compared.
	minPeers = 3
	// stragglerThreshold is the share of its pool's median rate below which a
	// server is a straggler.
	stragglerThreshold = 0.6
	// minTokens is the length of the shortest stream that gives a sample.
	minTokens = 4
)

// Sample is the length and the timing of one stream.
type Sample struct {
	Tokens     int
	FirstToken time.Duration // Time to first token.
	Total      time.Duration
}

// rate is the measured rate of one server.
type rate struct {
	pool       string
	perSecond  float64 // Tokens per second of one stream after its first token.
	samples    int
	lastSample tarragondeal.Instant
}

// Rates measures the token rates of servers and compares them with those of their
// pool. It is not safe for concurrent use.
type Rates struct {
	servers map[tarragondeal.ServerID]*rate
	medians map[string]float64
}

// NewRates returns Rates without samples.
func NewRates() *Rates {
	return &Rates{servers: make(map[tarragondeal.ServerID]*rate), medians: make(map[string]float64)}
}

// Observe adds a sample of one stream that ran on a server. It ignores streams
// that are too short.
func (t *Rates) Observe(now tarragondeal.Instant, id tarragondeal.ServerID, pool string, s Sample) {
	d := s.Total - s.FirstToken
	if s.Tokens < minTokens || d <= 0 {
		return
	}
	t.ObserveRate(now, id, pool, float64(s.Tokens-1)/d.Seconds())
}

// ObserveRate adds a sample of a stream that still runs, in tokens per second.
func (t *Rates) ObserveRate(now tarragondeal.Instant, id tarragondeal.ServerID, pool string, perSecond float64) {
	r := t.rate(id, pool)
	r.samples++
	r.lastSample = now
	if r.samples == 1 {
		r.perSecond = perSecond
		return
	}
	r.perSecond += rateWeight * (perSecond - r.perSecond)
}

// Merge sets a rate that another node has measured. It ignores a rate that isn't
// positive.
func (t *Rates) Merge(now tarragondeal.Instant, id tarragondeal.ServerID, pool string, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	r := t.rate(id, pool)
	r.perSecond, r.samples, r.lastSample = perSecond, max(r.samples, minSamples), now
}

func (t *Rates) rate(id tarragondeal.ServerID, pool string) *rate {
	r, ok := t.servers[id]
	if !ok {
		r = &rate{}
		t.servers[id] = r
	}
	r.pool = pool
	return r
}

// Refresh computes the median rates of the pools, and deletes servers without a
// sample for longer than keep.
func (t *Rates) Refresh(now tarragondeal.Instant, keep time.Duration) {
	pools := make(map[string][]float64)
	for id, r := range t.servers {
		switch {
		case now.Sub(r.lastSample) > keep:
			delete(t.servers, id)
		case r.samples >= minSamples:
			pools[r.pool] = append(pools[r.pool], r.perSecond)
		}
	}
	clear(t.medians)
	for pool, rates := range pools {
		if len(rates) >= minPeers {
			slices.Sort(rates)
			t.medians[pool] = rates[len(rates)/2]
		}
	}
}

// PerSecond returns a server's rate in tokens per second, or zero while it has too
// few samples.
func (t *Rates) PerSecond(id tarragondeal.ServerID) float64 {
	if r, ok := t.servers[id]; ok && r.samples >= minSamples {
		return r.perSecond
	}
	return 0
}

// Factor returns a straggler's rate divided by its pool's median. It returns 1 for
// a server that isn't a straggler or can't be compared yet.
func (t *Rates) Factor(id tarragondeal.ServerID) float64 {
	r, ok := t.servers[id]
	if !ok || r.samples < minSamples {
		return 1
	}
	m := t.medians[r.pool]
	if m <= 0 || r.perSecond >= stragglerThreshold*m {
		return 1
	}
	return r.perSecond / m
}

// UsableSlots returns how many of a server's slots are used. A straggler gets fewer
// requests, but always at least one, whose rate shows when the server has
// recovered.
func (t *Rates) UsableSlots(id tarragondeal.ServerID, slots int) int {
	return min(slots, max(1, int(float64(slots)*t.Factor(id)+0.5)))
}
