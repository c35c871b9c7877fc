// Package tdrun runs one scenario with one policy and one seed, and returns
// its figures and broken promises.
//
// # Usage
//
//	r, err := tdrun.Run(ctx, tdrun.Options{Binary: path, Scenario: s, Seed: 1})
package tdrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal/internal/measure/tdcaller"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/measure/tdfleet"
	"tarragondeal/internal/measure/tdinject"
	"tarragondeal/internal/measure/tdresult"
	"tarragondeal/internal/measure/tdscenario"
	"tarragondeal/internal/standin/tdcheck"
)

// Options say what to run.
type Options struct {
	Binary   string
	Scenario *tdscenario.Scenario
	Policy   string
	Seed     uint64
	Args     []string // Further flags of every node.
	NodeLog  io.Writer
	Dump     io.Writer // Takes the history as JSON, unless nil.
	Log      zerolog.Logger
}

// settle is how long after the last answer the run goes on, so that late
// reports come in.
const settle = time.Second

// Run runs the scenario.
func Run(ctx context.Context, o Options) (tdresult.Result, error) {
	var none tdresult.Result
	d, err := tddeploy.Named(o.Scenario.Deployment)
	if err != nil {
		return none, err
	}
	f, err := tdfleet.Start(ctx, tdfleet.Options{Binary: o.Binary, Deploy: d, Policy: o.Policy, LogTo: o.NodeLog, Args: o.Args})
	if err != nil {
		return none, err
	}
	defer f.Close()
	keys, err := f.Publish(ctx)
	if err != nil {
		return none, err
	}
	callers := tdcaller.New(d, keys, nodes(f))
	inject := tdinject.New(f, callers, o.Seed, o.Log)
	watch := newWatch(f)
	before := usageOf(f)
	start := time.Now()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		inject.Run(ctx, start, o.Scenario)
	}()
	requests := callers.Run(ctx, start, tdcaller.Plan(d, o.Scenario, o.Seed))
	<-faults
	elapsed := time.Since(start)
	used := usageOf(f).since(before)
	time.Sleep(settle)
	h := history(f, requests, watch.stop())
	h.Stops, h.Pauses = inject.Stops(), inject.Pauses()
	if o.Dump != nil {
		if err := json.NewEncoder(o.Dump).Encode(h); err != nil {
			return none, err
		}
	}
	r := tdresult.Of(d, h, elapsed)
	r.Scenario, r.Policy, r.Seed = o.Scenario.Name, o.Policy, o.Seed
	r.Cost = cost(f, d, elapsed)
	perNode := elapsed.Seconds() * float64(len(f.Nodes))
	r.StoreCalls, r.PeerBytes = float64(used.store)/perNode, float64(used.peer)/perNode
	for _, v := range tdcheck.All(h) {
		r.Violations = append(r.Violations, v.String())
	}
	return r, nil
}

func nodes(f *tdfleet.Fleet) []tdcaller.Node {
	var out []tdcaller.Node
	for _, n := range f.Nodes {
		out = append(out, tdcaller.Node{Name: n.Name, Addr: n.Callers})
	}
	return out
}

// used is what the nodes spent on each other and on the store.
type used struct{ store, peer int64 }

func usageOf(f *tdfleet.Fleet) used {
	rec := f.Cluster.Platform.Recorded()
	u := used{store: rec.Reads + rec.Writes}
	for _, n := range f.Nodes {
		peer, _ := n.ControlBytes()
		u.peer += peer
	}
	return u
}

func (u used) since(before used) used {
	return used{store: u.store - before.store, peer: u.peer - before.peer}
}

func cost(f *tdfleet.Fleet, d *tddeploy.Deployment, elapsed time.Duration) float64 {
	price := make(map[string]float64)
	for _, p := range d.Set.ServerPools {
		price[p.Name] = p.CostPerHour
	}
	sum := 0.0
	now := time.Now()
	for _, s := range f.Cluster.All() {
		up := min(s.UpFor(now), elapsed)
		sum += up.Hours() * price[s.VM.Pool]
	}
	return sum
}

// Describe writes a run's schedule, so that it can be repeated.
func Describe(w io.Writer, s *tdscenario.Scenario, seed uint64) {
	_, _ = fmt.Fprintf(w, "%s: deployment %s, seed %d, load %.2f, %s\n", s.Name, s.Deployment, seed, s.Load, time.Duration(s.Length))
	for _, f := range s.Faults {
		_, _ = fmt.Fprintf(w, "  %6s %-12s for %s factor %.1f count %d %s\n",
			time.Duration(f.At).Round(100*time.Millisecond), f.Kind, time.Duration(f.For).Round(100*time.Millisecond), f.Factor, f.Count, f.Route)
	}
}
