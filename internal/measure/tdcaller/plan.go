package tdcaller

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/measure/tdscenario"
)

// Arrival is one request of the schedule.
type Arrival struct {
	At        time.Duration
	Demand    tddeploy.Demand
	Workspace int
	Prompt    int // Bytes.
	Tokens    int
	Poison    bool
}

// spread is the sigma of the lognormal spread of lengths.
const spread = 0.5

// poisonRepeats is how often the caller of a poison request sends it.
const poisonRepeats = 6

// poisonEvery is the time between its repeats.
const poisonEvery = 1500 * time.Millisecond

// Plan makes the schedule of a run. It follows from the seed alone.
func Plan(d *tddeploy.Deployment, s *tdscenario.Scenario, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 2))
	var out []Arrival
	for _, demand := range d.Demand {
		rate := d.Rate * s.Load * demand.Share
		out = append(out, poisson(r, d, s, demand, rate)...)
	}
	for _, f := range s.Faults {
		if f.Kind == tdscenario.Poison {
			out = append(out, poison(r, d, f)...)
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

func poisson(r *rand.Rand, d *tddeploy.Deployment, s *tdscenario.Scenario, demand tddeploy.Demand, rate float64) []Arrival {
	var out []Arrival
	at := time.Duration(0)
	for {
		now := rate * factor(s, demand.Route, at)
		if now <= 0 {
			return out
		}
		at += time.Duration(r.ExpFloat64() / now * float64(time.Second))
		if at >= time.Duration(s.Length) {
			return out
		}
		out = append(out, Arrival{
			At: at, Demand: demand, Workspace: pick(r, d.Weights),
			Prompt: length(r, demand.Prompt), Tokens: length(r, demand.Tokens),
		})
	}
}

// factor is what bursts multiply a route's demand by at one time.
func factor(s *tdscenario.Scenario, route string, at time.Duration) float64 {
	out := 1.0
	for _, f := range s.Faults {
		hit := f.Kind == tdscenario.Burst && (f.Route == route || f.Route == "")
		if hit && at >= time.Duration(f.At) && at < time.Duration(f.At+f.For) {
			out *= f.Factor
		}
	}
	return out
}

func poison(r *rand.Rand, d *tddeploy.Deployment, f tdscenario.Fault) []Arrival {
	demand := d.Demand[0]
	workspace := pick(r, d.Weights)
	var out []Arrival
	for n := range poisonRepeats {
		out = append(out, Arrival{
			At: time.Duration(f.At) + time.Duration(n)*poisonEvery, Demand: demand, Workspace: workspace,
			Prompt: demand.Prompt, Tokens: demand.Tokens, Poison: true,
		})
	}
	return out
}

func length(r *rand.Rand, median int) int {
	return max(1, int(float64(median)*math.Exp(spread*r.NormFloat64())))
}

func pick(r *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := r.Float64() * sum
	for n, w := range weights {
		if x -= w; x < 0 {
			return n
		}
	}
	return len(weights) - 1
}
