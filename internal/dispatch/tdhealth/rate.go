package tdhealth

import (
	"slices"
	"time"

	"tarragondeal"
)

const (
	// rateWeight is the weight of the newest stream in a server's rate.
	rateWeight = 0.2
	// minSamples is how many streams it takes to judge a server.
	minSamples = 3
	// minPeers is how many servers of a pool it takes to judge one of them.
	minPeers = 3
	// slow is the part of its pool's rate below which a server is taken for a
	// straggler.
	slow = 0.6
	// minTokens is the length of the shortest stream that tells a rate.
	minTokens = 4
)

// Sample is how one stream went.
type Sample struct {
	Tokens     int
	FirstToken time.Duration
	Total      time.Duration
}

// rate is what is known of one server's streams.
type rate struct {
	pool      string
	perSecond float64 // Tokens a second of one stream after its first token.
	samples   int
	at        tarragondeal.Instant
}

// Rates compares servers with the others of their pool. It is not safe for
// concurrent use.
type Rates struct {
	servers map[tarragondeal.ServerID]*rate
	median  map[string]float64
}

// NewRates returns rates of which nothing is known.
func NewRates() *Rates {
	return &Rates{servers: make(map[tarragondeal.ServerID]*rate), median: make(map[string]float64)}
}

// Observe takes one stream that ran on a server.
func (t *Rates) Observe(now tarragondeal.Instant, id tarragondeal.ServerID, pool string, s Sample) {
	d := s.Total - s.FirstToken
	if s.Tokens < minTokens || d <= 0 {
		return
	}
	t.Running(now, id, pool, float64(s.Tokens-1)/d.Seconds())
}

// Running takes the rate of a stream that goes on.
func (t *Rates) Running(now tarragondeal.Instant, id tarragondeal.ServerID, pool string, perSecond float64) {
	r := t.rate(id, pool)
	r.samples++
	r.at = now
	if r.samples == 1 {
		r.perSecond = perSecond
		return
	}
	r.perSecond += rateWeight * (perSecond - r.perSecond)
}

// Merge takes a rate that another node has measured.
func (t *Rates) Merge(now tarragondeal.Instant, id tarragondeal.ServerID, pool string, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	r := t.rate(id, pool)
	r.perSecond, r.samples, r.at = perSecond, max(r.samples, minSamples), now
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

// Refresh works out the pools' medians and forgets servers of which nothing
// was heard for keep.
func (t *Rates) Refresh(now tarragondeal.Instant, keep time.Duration) {
	pools := make(map[string][]float64)
	for id, r := range t.servers {
		switch {
		case now.Sub(r.at) > keep:
			delete(t.servers, id)
		case r.samples >= minSamples:
			pools[r.pool] = append(pools[r.pool], r.perSecond)
		}
	}
	clear(t.median)
	for pool, rates := range pools {
		if len(rates) >= minPeers {
			slices.Sort(rates)
			t.median[pool] = rates[len(rates)/2]
		}
	}
}

// PerSecond returns a server's rate, or zero while it can't be judged.
func (t *Rates) PerSecond(id tarragondeal.ServerID) float64 {
	if r, ok := t.servers[id]; ok && r.samples >= minSamples {
		return r.perSecond
	}
	return 0
}

// Factor returns a server's rate over its pool's median, one at most, and
// one as long as the server can't be told from the others.
func (t *Rates) Factor(id tarragondeal.ServerID) float64 {
	r, ok := t.servers[id]
	if !ok || r.samples < minSamples {
		return 1
	}
	m := t.median[r.pool]
	if m <= 0 || r.perSecond >= slow*m {
		return 1
	}
	return r.perSecond / m
}

// Room returns how many requests a server with a number of slots is given:
// fewer to a straggler, but always one, whose rate tells when it has
// recovered.
func (t *Rates) Room(id tarragondeal.ServerID, slots int) int {
	return min(slots, max(1, int(float64(slots)*t.Factor(id)+0.5)))
}
