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
// engines are needed.
func MakePlan(p *tarragondeal.ServerPool, need int, s State) Plan {
	g := p.Scaling
	out := make(Plan)
	centres := byPrice(g, s.Centres)
	if len(centres) == 0 {
		return out
	}
	for n, c := range centres {
		out[Kind{DataCentre: c}] = 0
		if n < leastFirm {
			out[Kind{DataCentre: c}] = 1
		}
	}
	// The loss of one data centre's reclaimable servers must leave enough.
	want := need
	if n := len(centres); n > 1 {
		want = int(math.Ceil(float64(need) * float64(n) / float64(n-1)))
	}
	spread(out, centres, want, g, s.Scarce)
	for _, c := range centres {
		k := Kind{DataCentre: c, Spot: true}
		if out[k]+out[Kind{DataCentre: c}] < g.Min {
			out[k] = g.Min - out[Kind{DataCentre: c}]
		}
	}
	return out
}

// spread adds reclaimable servers until there are as many as wanted, each where
// there are fewest, and firm ones for those that are not to be had.
func spread(out Plan, centres []string, want int, g *tarragondeal.Scaling, scarce map[Kind]bool) {
	for total(out) < want {
		c, ok := fewest(out, centres, g.Max)
		if !ok {
			return
		}
		k := Kind{DataCentre: c, Spot: true}
		if scarce[k] {
			k.Spot = false
		}
		out[k]++
	}
}

// fewest returns the data centre with the fewest servers that has room.
func fewest(p Plan, centres []string, most int) (string, bool) {
	best, least := "", most
	for _, c := range centres {
		if n := p[Kind{DataCentre: c}] + p[Kind{DataCentre: c, Spot: true}]; n < least {
			best, least = c, n
		}
	}
	return best, best != ""
}

func total(p Plan) int {
	n := 0
	for _, v := range p {
		n += v
	}
	return n
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
