package tdslope

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/measure/tdcaller"
	"tarragondeal/internal/measure/tddeploy"
	"tarragondeal/internal/measure/tdfleet"
)

const (
	// warmUp is how long a load runs before the settling time and the
	// measurement.
	warmUp = 3 * time.Second
	// streamOpenTime is the time over which the streams are opened.
	streamOpenTime = 2 * time.Second
	// fixedRate is the request rate of the sweeps of tokens and limits, per
	// second and node.
	fixedRate = 5
	// busyRate is the request rate of the sweep of busy nodes, per second and
	// node.
	busyRate = 8
	// serversPerNode is the average number of servers that each node owns in
	// the sweep of busy nodes.
	serversPerNode = 2
	// promptBytes is the length of a prompt without the shared prefix.
	promptBytes = 200
)

// measureUnderLoad measures a fleet under load, at one size of the axis.
func measureUnderLoad(ctx context.Context, f *tdfleet.Fleet, keys []string, axis string, x float64, o Options) (Point, error) {
	d := deployment(fleetSize{nodes: len(f.Nodes), workspaces: len(keys), slowAndBook: true})
	var nodes []tdcaller.Node
	for _, n := range f.Nodes {
		nodes = append(nodes, tdcaller.Node{Name: n.Name, Addr: n.Callers})
	}
	callers := tdcaller.New(d, keys, nodes)
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	type outcome struct {
		sent   int
		failed []string
	}
	done := make(chan outcome, 1)
	plan := schedule(axis, x, len(f.Nodes), warmUp+o.Settle+o.Window)
	go func() {
		var out outcome
		for _, q := range callers.Run(load, time.Now(), plan) {
			out.sent++
			if q.Status != http.StatusOK {
				out.failed = append(out.failed, fmt.Sprintf("%d %s", q.Status, q.Code))
			}
		}
		done <- out
	}()
	tdclock.Sleep(ctx, warmUp+o.Settle)
	p, err := measureWindow(ctx, f, o.Window)
	if axis == AxisStreams {
		cancel() // The streams would last for minutes.
	}
	out := <-done
	p.Sent, p.Failed = out.sent, len(out.failed)
	slices.Sort(out.failed)
	p.Failures = slices.Compact(out.failed)
	return p, err
}

// schedule returns the requests of a load, at equal intervals over length.
func schedule(axis string, x float64, nodes int, length time.Duration) []tdcaller.Arrival {
	rate := x * float64(nodes)
	demand := tddeploy.Demand{Route: fastName, Stream: true, MaxTokens: maxTokens, PrefixBytes: prefixBytes}
	tokens, workspaces := 1, minWorkspaces
	switch axis {
	case AxisLimits:
		rate, workspaces = fixedRate*float64(nodes), int(x)
	case AxisTokens:
		rate = fixedRate * float64(nodes)
		tokens = max(1, int(x/fixedRate))
	case AxisStreams:
		demand.Route, tokens = slowName, maxTokens
		rate, length = rate/streamOpenTime.Seconds(), streamOpenTime
	case AxisClaims:
		demand = tddeploy.Demand{Route: bookName}
	}
	if rate <= 0 {
		return nil
	}
	step := time.Duration(float64(time.Second) / rate)
	var out []tdcaller.Arrival
	for at := time.Duration(0); at < length; at += step {
		out = append(out, tdcaller.Arrival{
			At: at, Demand: demand, Workspace: len(out) % workspaces, Prompt: promptBytes, Tokens: tokens,
		})
	}
	return out
}
