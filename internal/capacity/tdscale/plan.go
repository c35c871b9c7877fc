package tdscale

import (
	"cmp"
	"math"
	"slices"

	"tarragondeal"
)

const (
	// targetPrefillUse is the share of its time that an engine may spend on
	// reading prompts.
	targetPrefillUse = 0.30
	// targetSlotUse and targetMemoryUse are the shares of an engine's batch and
	// of its KV cache that may be in use.
	targetSlotUse   = 0.45
	targetMemoryUse = 0.5
	// minEngines is the minimum number of engines of a pool. Long prompts and
	// streams with a short token interval run on different engines.
	minEngines = 5
	// minShortageShare is the share of the required engines that is provided
	// while spot servers are unavailable. On-demand servers replace no more
	// than that, because of their price.
	minShortageShare = 0.65
	// minOnDemand is the minimum number of on-demand servers of a pool, placed
	// in the cheapest data centres.
	minOnDemand = 1
)

// Busy is the load on the engines of a pool.
type Busy struct {
	Reading float64 // Prompt processing, in fully occupied engines.
	Running int     // Running requests.
	Tokens  int     // Their KV cache, in tokens.
}

// Group identifies the spot or on-demand servers of a pool in one data centre.
type Group struct {
	DataCentre string
	Spot       bool
}

// State is the observed state of a pool.
type State struct {
	Busy        Busy
	Live        map[Group]int  // Servers that are running or starting.
	Unavailable map[Group]bool // The platform refused to start more.
	DataCentres []string       // Data centres in which the pool runs.
}

// Plan is the desired number of servers of each group.
type Plan map[Group]int

// RequiredEngines returns how many engines the load needs.
func RequiredEngines(e *tarragondeal.Engine, b Busy) int {
	n := b.Reading / targetPrefillUse
	n = max(n, float64(b.Running)/(targetSlotUse*float64(max(1, e.Slots))))
	if e.KVTokens > 0 {
		n = max(n, float64(b.Tokens)/(targetMemoryUse*float64(e.KVTokens)))
	}
	return max(minEngines, int(math.Ceil(n)))
}

// MakePlan returns the desired servers of a pool that needs the given number of
// engines. Enough servers remain after the loss of all spot servers of one data
// centre. On-demand servers replace unavailable spot servers only as far as the
// running spot servers are too few.
func MakePlan(p *tarragondeal.ServerPool, need int, s State) Plan {
	out := make(Plan)
	dataCentres := byPrice(p.Scaling, s.DataCentres)
	for _, c := range dataCentres {
		out[Group{DataCentre: c}] = 0
		out[Group{DataCentre: c, Spot: true}] = 0
	}
	want := need
	if n := len(dataCentres); n > 1 {
		want = int(math.Ceil(float64(need) * float64(n) / float64(n-1)))
	}
	fill(out, dataCentres, minOnDemand, p.Scaling.Max, false)
	fill(out, dataCentres, want-minOnDemand, p.Scaling.Max, true)
	if len(s.Unavailable) > 0 {
		for k := range s.Unavailable {
			out[k] = min(out[k], s.Live[k])
		}
		minServers := int(math.Ceil(minShortageShare * float64(need)))
		fill(out, dataCentres, minServers-minOnDemand-s.spotServers(), p.Scaling.Max, false)
	}
	for _, c := range dataCentres {
		if out.inDataCentre(c) < p.Scaling.Min {
			out[Group{DataCentre: c, Spot: true}] += p.Scaling.Min - out.inDataCentre(c)
		}
	}
	return out
}

// spotServers returns the number of live spot servers.
func (s *State) spotServers() int {
	n := 0
	for k, live := range s.Live {
		if k.Spot {
			n += live
		}
	}
	return n
}

// fill adds count spot or on-demand servers, each in the data centre with the
// fewest servers.
func fill(out Plan, dataCentres []string, count, limit int, spot bool) {
	for range count {
		c, ok := fewestServers(out, dataCentres, limit)
		if !ok {
			return
		}
		out[Group{DataCentre: c, Spot: spot}]++
	}
}

// fewestServers returns the data centre with the fewest servers that is below
// limit.
func fewestServers(p Plan, dataCentres []string, limit int) (string, bool) {
	best, least := "", limit
	for _, c := range dataCentres {
		if n := p.inDataCentre(c); n < least {
			best, least = c, n
		}
	}
	return best, best != ""
}

// inDataCentre returns how many servers are planned in a data centre.
func (p Plan) inDataCentre(dataCentre string) int {
	return p[Group{DataCentre: dataCentre}] + p[Group{DataCentre: dataCentre, Spot: true}]
}

func byPrice(g *tarragondeal.Scaling, dataCentres []string) []string {
	out := slices.Clone(dataCentres)
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(price(g, a), price(g, b)), cmp.Compare(a, b))
	})
	return out
}

func price(g *tarragondeal.Scaling, dataCentre string) float64 {
	if p, ok := g.ZonePrices[dataCentre]; ok {
		return p
	}
	return 1
}
