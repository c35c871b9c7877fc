package tdscale

import (
	"cmp"
	"math"
	"slices"

	"tarragondeal"
)

const (
	// readingUse is the share of its time that an engine may read prompts.
	readingUse = 0.30
	// slotUse and memoryUse are the shares of its batch and of its memory that
	// an engine may have taken.
	slotUse   = 0.45
	memoryUse = 0.5
	// leastEngines is how many engines there are at least: long prompts and
	// streams with short pauses are kept apart.
	leastEngines = 5
	// pressedShare is the share of the engines needed that must do while others
	// are not to be had: firm ones make up no more, at their price.
	pressedShare = 0.65
	// leastFirm is how many firm servers there are at least, in the cheapest
	// data centres.
	leastFirm = 1
)

// Busy is what the engines of a pool have to do.
type Busy struct {
	Reading float64 // Engines that would do nothing but read prompts.
	Running int     // Requests.
	Tokens  int     // Memory that they take.
}

// Kind is a kind of server in one data centre.
type Kind struct {
	DataCentre string
	Spot       bool
}

// State is what is known of a pool.
type State struct {
	Busy    Busy
	Live    map[Kind]int  // Servers that serve or are starting.
	Scarce  map[Kind]bool // None are to be had at the moment.
	Centres []string      // Data centres in which the pool runs.
}

// Plan is how many servers there should be.
type Plan map[Kind]int

// Need returns how many engines do the work.
func Need(e *tarragondeal.Engine, b Busy) int {
	n := b.Reading / readingUse
	n = max(n, float64(b.Running)/(slotUse*float64(max(1, e.Slots))))
	if e.KVTokens > 0 {
		n = max(n, float64(b.Tokens)/(memoryUse*float64(e.KVTokens)))
	}
	return max(leastEngines, int(math.Ceil(n)))
}

// MakePlan returns how many servers of a pool there should be when so many
// engines are needed. The loss of one data centre's reclaimable servers must
// leave enough. Firm ones stand in for those that are not to be had, as far as
// the others are too few without them.
func MakePlan(p *tarragondeal.ServerPool, need int, s State) Plan {
	out := make(Plan)
	centres := byPrice(p.Scaling, s.Centres)
	for _, c := range centres {
		out[Kind{DataCentre: c}] = 0
		out[Kind{DataCentre: c, Spot: true}] = 0
	}
	want := need
	if n := len(centres); n > 1 {
		want = int(math.Ceil(float64(need) * float64(n) / float64(n-1)))
	}
	fill(out, centres, leastFirm, p.Scaling.Max, false)
	fill(out, centres, want-leastFirm, p.Scaling.Max, true)
	if len(s.Scarce) > 0 {
		for k := range s.Scarce {
			out[k] = min(out[k], s.Live[k])
		}
		least := int(math.Ceil(pressedShare * float64(need)))
		fill(out, centres, least-leastFirm-s.spot(), p.Scaling.Max, false)
	}
	for _, c := range centres {
		if out.in(c) < p.Scaling.Min {
			out[Kind{DataCentre: c, Spot: true}] += p.Scaling.Min - out.in(c)
		}
	}
	return out
}

// spot returns how many reclaimable servers serve.
func (s *State) spot() int {
	n := 0
	for k, live := range s.Live {
		if k.Spot {
			n += live
		}
	}
	return n
}

// fill adds so many servers of a kind, each where there are fewest.
func fill(out Plan, centres []string, count, most int, spot bool) {
	for range count {
		c, ok := fewest(out, centres, most)
		if !ok {
			return
		}
		out[Kind{DataCentre: c, Spot: spot}]++
	}
}

// fewest returns the data centre with the fewest servers that has room.
func fewest(p Plan, centres []string, most int) (string, bool) {
	best, least := "", most
	for _, c := range centres {
		if n := p.in(c); n < least {
			best, least = c, n
		}
	}
	return best, best != ""
}

// in returns how many servers are planned in a data centre.
func (p Plan) in(centre string) int {
	return p[Kind{DataCentre: centre}] + p[Kind{DataCentre: centre, Spot: true}]
}

func byPrice(g *tarragondeal.Scaling, centres []string) []string {
	out := slices.Clone(centres)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(price(g, a), price(g, b)), cmp.Compare(a, b))
	})
	return out
}

func price(g *tarragondeal.Scaling, centre string) float64 {
	if p, ok := g.ZonePrices[centre]; ok {
		return p
	}
	return 1
}
