package tdcaller

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/measure/tdscenario"
)

// Arrival is one scheduled request.
type Arrival struct {
	At        time.Duration // Since the start of the run.
	Demand    tddeploy.Demand
	Workspace int
	Prompt    int  // Length in bytes, without the shared prefix.
	Tokens    int  // Output tokens of the answer.
	Poison    bool // Whether the request crashes engines.
}

// lengthSigma is the sigma of the lognormal distribution of prompt and answer
// lengths.
const lengthSigma = 0.5

// The caller of a poison request sends it poisonRepeats times, once every
// poisonInterval.
const (
	poisonRepeats  = 6
	poisonInterval = 1500 * time.Millisecond
)

// Plan returns the schedule of a run, ordered by time. The same arguments give
// the same schedule.
func Plan(d *tddeploy.Deployment, s *tdscenario.Scenario, seed uint64) []Arrival {
	r := rand.New(rand.NewPCG(seed, 2))
	var out []Arrival
	for _, demand := range d.Demand {
		rate := d.Rate * s.Load * demand.Share
		out = append(out, poissonArrivals(r, d, s, demand, rate)...)
	}
	for _, f := range s.Faults {
		if f.Kind == tdscenario.Poison {
			out = append(out, poisonArrivals(r, d, f)...)
		}
	}
	slices.SortStableFunc(out, func(a, b Arrival) int { return int(a.At - b.At) })
	return out
}

// poissonArrivals returns Poisson arrivals for one route. The rate is in
// requests per second, before bursts.
func poissonArrivals(r *rand.Rand, d *tddeploy.Deployment, s *tdscenario.Scenario, demand tddeploy.Demand, rate float64) []Arrival {
	var out []Arrival
	at := time.Duration(0)
	for {
		current := rate * burstFactor(s, demand.Route, at)
		if current <= 0 {
			return out
		}
		at += time.Duration(r.ExpFloat64() / current * float64(time.Second))
		if at >= time.Duration(s.Length) {
			return out
		}
		out = append(out, Arrival{
			At: at, Demand: demand, Workspace: pickWeighted(r, d.Weights),
			Prompt: sampleLength(r, demand.Prompt), Tokens: sampleLength(r, demand.Tokens),
		})
	}
}

// burstFactor returns the product of the factors of all bursts that apply to a
// route at a time.
func burstFactor(s *tdscenario.Scenario, route string, at time.Duration) float64 {
	out := 1.0
	for _, f := range s.Faults {
		applies := f.Kind == tdscenario.Burst && (f.Route == route || f.Route == "")
		if applies && at >= time.Duration(f.At) && at < time.Duration(f.At+f.For) {
			out *= f.Factor
		}
	}
	return out
}

func poisonArrivals(r *rand.Rand, d *tddeploy.Deployment, f tdscenario.Fault) []Arrival {
	demand := d.Demand[0]
	workspace := pickWeighted(r, d.Weights)
	var out []Arrival
	for n := range poisonRepeats {
		out = append(out, Arrival{
			At: time.Duration(f.At) + time.Duration(n)*poisonInterval, Demand: demand, Workspace: workspace,
			Prompt: demand.Prompt, Tokens: demand.Tokens, Poison: true,
		})
	}
	return out
}

// sampleLength returns a lognormally distributed length of at least 1.
func sampleLength(r *rand.Rand, median int) int {
	return max(1, int(float64(median)*math.Exp(lengthSigma*r.NormFloat64())))
}

// pickWeighted returns a random index with probabilities proportional to the
// weights.
func pickWeighted(r *rand.Rand, weights []float64) int {
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
