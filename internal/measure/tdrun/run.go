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
	"slices"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
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
	// Duties makes the nodes order servers and report usage during the run,
	// to a platform that ignores fencing tokens if IgnoresFence is set.
	Duties       bool
	IgnoresFence bool
}

// dutyArgs are settings with which windows close and orders go out during a
// run of seconds.
var dutyArgs = []string{
	"-usage.window", "3s", "-usage.grace", "5s", "-usage.every", "1s", "-usage.flushEvery", "1s", "-usage.takeOver", "3s",
	"-orders.every", "2s", "-orders.upEvery", "2s", "-orders.startUp", "5s", "-orders.downAfter", "6s", "-orders.downEvery", "2s",
}

// withDuties lets the platform carry orders out, and gives the pools of
// models something to order.
func withDuties(d *tddeploy.Deployment, o Options) {
	d.Spec.CarryOut = true
	d.Spec.Platform.IgnoresFence = o.IgnoresFence
	for n := range d.Set.ServerPools {
		p := &d.Set.ServerPools[n]
		if p.Kind == tarragondeal.PoolModel {
			p.Min, p.Max = 1, 3
		}
	}
}

// settle is how long after the last answer the run goes on, so that late
// reports come in.
const settle = time.Second

// Run runs the scenario.
func Run(ctx context.Context, o Options) (tdresult.Result, error) {
	d, err := tddeploy.Named(o.Scenario.Deployment)
	if err != nil {
		return tdresult.Result{}, err
	}
	if o.Duties {
		withDuties(d, o)
		o.Args = append(slices.Clone(dutyArgs), o.Args...)
	}
	f, err := tdfleet.Start(ctx, tdfleet.Options{Binary: o.Binary, Deploy: d, Policy: o.Policy, LogTo: o.NodeLog, Args: o.Args})
	if err != nil {
		return tdresult.Result{}, err
	}
	defer f.Close()
	h, spent, err := load(ctx, o, f, d)
	if err != nil {
		return tdresult.Result{}, err
	}
	if o.Dump != nil {
		if err := json.NewEncoder(o.Dump).Encode(h); err != nil {
			return tdresult.Result{}, err
		}
	}
	return result(o, f, d, h, spent), nil
}

// load plays callers and faults, and returns what was recorded.
func load(ctx context.Context, o Options, f *tdfleet.Fleet, d *tddeploy.Deployment) (tdcheck.History, used, error) {
	keys, err := f.Publish(ctx)
	if err != nil {
		return tdcheck.History{}, used{}, err
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
	spent := usageOf(f).since(before)
	spent.elapsed = time.Since(start)
	time.Sleep(settle)
	if o.Duties {
		waitForBills(ctx, f, requests)
	}
	h := history(f, requests, watch.stop())
	h.Stops, h.Pauses = inject.Stops(), inject.Pauses()
	return h, spent, nil
}

func result(o Options, f *tdfleet.Fleet, d *tddeploy.Deployment, h tdcheck.History, spent used) tdresult.Result {
	r := tdresult.Compute(d, h, spent.elapsed)
	r.Scenario, r.Policy, r.Seed = o.Scenario.Name, o.Policy, o.Seed
	if o.Duties {
		r.BilledShort, r.BilledExcess = tdcheck.Billing(h, billed(f))
		r.Orders, r.Reports = len(h.Orders), len(h.Reports)
	}
	r.Cost = cost(f, d, spent.elapsed)
	perNode := spent.elapsed.Seconds() * float64(len(f.Nodes))
	r.StoreCalls, r.PeerBytes = float64(spent.store)/perNode, float64(spent.peer)/perNode
	for _, v := range tdcheck.All(h) {
		r.Violations = append(r.Violations, v.String())
	}
	return r
}

func nodes(f *tdfleet.Fleet) []tdcaller.Node {
	var out []tdcaller.Node
	for _, n := range f.Nodes {
		out = append(out, tdcaller.Node{Name: n.Name, Addr: n.Callers})
	}
	return out
}

// billsWithin bounds the wait for the last window's report: a lost holder's
// lease, the grace and the next look.
const billsWithin = 30 * time.Second

// waitForBills waits until as much is billed as callers got.
func waitForBills(ctx context.Context, f *tdfleet.Fleet, requests []tdcheck.Request) {
	end := time.Now().Add(billsWithin)
	for time.Now().Before(end) && ctx.Err() == nil {
		if short, _ := tdcheck.Billing(tdcheck.History{Requests: requests}, billed(f)); short <= 0 {
			return
		}
		time.Sleep(watchEvery)
	}
}

// billed sums the output tokens of the reports that the platform accepted,
// by workspace. A window that came twice counts once.
func billed(f *tdfleet.Fleet) map[string]int64 {
	out := make(map[string]int64)
	seen := make(map[time.Time]bool)
	for _, u := range f.Cluster.Platform.Recorded().Usage {
		if !u.Accepted || seen[u.Report.Window] {
			continue
		}
		seen[u.Report.Window] = true
		for _, l := range u.Report.Lines {
			out[l.Workspace] += l.OutputTokens
		}
	}
	return out
}

// used is what the nodes spent on each other and on the store.
type used struct {
	store, peer int64
	elapsed     time.Duration
}

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
