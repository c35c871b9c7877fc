// Package tdrun runs one scenario with one policy and one seed, and returns its
// figures and the guarantees that it violated.
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

// Options configures a run.
type Options struct {
	Binary   string
	Scenario *tdscenario.Scenario
	Policy   string
	Seed     uint64
	Args     []string  // Further flags of every node.
	NodeLog  io.Writer // Receives the output of the nodes.
	Dump     io.Writer // Receives the history as JSON, unless nil.
	Log      zerolog.Logger
	// Duties makes the nodes order servers and report usage during the run.
	// If IgnoresFence is set, the platform ignores fencing tokens.
	Duties       bool
	IgnoresFence bool
}

// dutyArgs shortens the intervals so that usage windows close and orders are
// sent within a run of a few seconds.
var dutyArgs = []string{
	"-usage.window", "3s", "-usage.grace", "5s", "-usage.every", "1s", "-usage.flushEvery", "1s", "-usage.takeOver", "3s",
	"-orders.every", "2s", "-orders.upEvery", "2s", "-orders.startUp", "5s", "-orders.downAfter", "6s", "-orders.downEvery", "2s",
}

// enableDuties makes the platform execute orders and sets the limits of the model
// pools so that servers are ordered.
func enableDuties(d *tddeploy.Deployment, o Options) {
	d.Spec.ApplyOrders = true
	d.Spec.Platform.IgnoresFence = o.IgnoresFence
	for n := range d.Set.ServerPools {
		p := &d.Set.ServerPools[n]
		if p.Kind == tarragondeal.PoolModel {
			p.Min, p.Max = 1, 3
		}
	}
}

// settleTime is the time between the last answer and the end of the run, so that
// late reports are included.
const settleTime = time.Second

// Run runs the scenario on a new fleet and returns its figures.
func Run(ctx context.Context, o Options) (tdresult.Result, error) {
	d, err := tddeploy.Named(o.Scenario.Deployment)
	if err != nil {
		return tdresult.Result{}, err
	}
	if o.Duties {
		enableDuties(d, o)
		o.Args = append(slices.Clone(dutyArgs), o.Args...)
	}
	f, err := tdfleet.Start(ctx, tdfleet.Options{Binary: o.Binary, Deployment: d, Policy: o.Policy, LogTo: o.NodeLog, Args: o.Args})
	if err != nil {
		return tdresult.Result{}, err
	}
	defer f.Close()
	h, spent, err := runLoad(ctx, o, f, d)
	if err != nil {
		return tdresult.Result{}, err
	}
	if o.Dump != nil {
		if err := json.NewEncoder(o.Dump).Encode(h); err != nil {
			return tdresult.Result{}, err
		}
	}
	return newResult(o, f, d, h, spent), nil
}

// runLoad runs the callers and injects the faults. It returns the recorded
// history and the control traffic of the nodes.
func runLoad(ctx context.Context, o Options, f *tdfleet.Fleet, d *tddeploy.Deployment) (tdcheck.History, controlUsage, error) {
	keys, err := f.Publish(ctx)
	if err != nil {
		return tdcheck.History{}, controlUsage{}, err
	}
	callers := tdcaller.New(d, keys, callerNodes(f))
	inject := tdinject.New(f, callers, o.Seed, o.Log)
	watcher := newVersionWatcher(f)
	before := readControlUsage(f)
	start := time.Now()
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		inject.Run(ctx, start, o.Scenario)
	}()
	requests := callers.Run(ctx, start, tdcaller.Plan(d, o.Scenario, o.Seed))
	<-faults
	spent := readControlUsage(f).since(before)
	spent.elapsed = time.Since(start)
	time.Sleep(settleTime)
	if o.Duties {
		waitForBilling(ctx, f, requests)
	}
	h := newHistory(f, requests, watcher.stop())
	h.Stops, h.Pauses = inject.Stops(), inject.Pauses()
	return h, spent, nil
}

func newResult(o Options, f *tdfleet.Fleet, d *tddeploy.Deployment, h tdcheck.History, spent controlUsage) tdresult.Result {
	r := tdresult.Compute(d, h, spent.elapsed)
	r.Scenario, r.Policy, r.Seed = o.Scenario.Name, o.Policy, o.Seed
	if o.Duties {
		r.BilledShort, r.BilledExcess = tdcheck.Billing(h, billedTokens(f))
		r.Orders, r.Reports = len(h.Orders), len(h.Reports)
	}
	r.Cost = cost(f, d, spent.elapsed)
	perNode := spent.elapsed.Seconds() * float64(len(f.Nodes))
	r.StoreCalls, r.PeerBytes = float64(spent.storeCalls)/perNode, float64(spent.peerBytes)/perNode
	for _, v := range tdcheck.All(h) {
		r.Violations = append(r.Violations, v.String())
	}
	return r
}

func callerNodes(f *tdfleet.Fleet) []tdcaller.Node {
	var out []tdcaller.Node
	for _, n := range f.Nodes {
		out = append(out, tdcaller.Node{Name: n.Name, Addr: n.Callers})
	}
	return out
}

// billingTimeout limits the wait for the report of the last usage window. It
// covers the lease of a failed holder, the grace period and the next check.
const billingTimeout = 30 * time.Second

// waitForBilling waits until all tokens that callers received are billed, or
// until the timeout.
func waitForBilling(ctx context.Context, f *tdfleet.Fleet, requests []tdcheck.Request) {
	end := time.Now().Add(billingTimeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		if short, _ := tdcheck.Billing(tdcheck.History{Requests: requests}, billedTokens(f)); short <= 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}

// billedTokens returns the output tokens of the accepted usage reports by
// workspace. A window that was reported more than once counts once.
func billedTokens(f *tdfleet.Fleet) map[string]int64 {
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

// controlUsage is the control traffic of all nodes: calls of the key-value
// service and bytes between peers.
type controlUsage struct {
	storeCalls, peerBytes int64
	elapsed               time.Duration
}

func readControlUsage(f *tdfleet.Fleet) controlUsage {
	rec := f.Cluster.Platform.Recorded()
	u := controlUsage{storeCalls: rec.Reads + rec.Writes}
	for _, n := range f.Nodes {
		peer, _ := n.ControlBytes()
		u.peerBytes += peer
	}
	return u
}

func (u controlUsage) since(before controlUsage) controlUsage {
	return controlUsage{storeCalls: u.storeCalls - before.storeCalls, peerBytes: u.peerBytes - before.peerBytes}
}

// cost returns the price of the server time of the run, at the pools' prices per
// hour.
func cost(f *tdfleet.Fleet, d *tddeploy.Deployment, elapsed time.Duration) float64 {
	price := make(map[string]float64)
	for _, p := range d.Set.ServerPools {
		price[p.Name] = p.CostPerHour
	}
	sum := 0.0
	now := time.Now()
	for _, s := range f.Cluster.All() {
		up := min(s.Uptime(now), elapsed)
		sum += up.Hours() * price[s.VM.Pool]
	}
	return sum
}

// Describe writes the scenario and the seed of a run, so that it can be
// reproduced.
func Describe(w io.Writer, s *tdscenario.Scenario, seed uint64) {
	_, _ = fmt.Fprintf(w, "%s: deployment %s, seed %d, load %.2f, %s\n", s.Name, s.Deployment, seed, s.Load, time.Duration(s.Length))
	for _, f := range s.Faults {
		_, _ = fmt.Fprintf(w, "  %6s %-12s for %s factor %.1f count %d %s\n",
			time.Duration(f.At).Round(100*time.Millisecond), f.Kind, time.Duration(f.For).Round(100*time.Millisecond), f.Factor, f.Count, f.Route)
	}
}
