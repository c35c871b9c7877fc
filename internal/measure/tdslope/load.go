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
	// lead is how long a load runs before it is watched.
	lead = 3 * time.Second
	// openWithin is how long it takes to open the streams.
	openWithin = 2 * time.Second
	// tokensRate is the rate of requests of the sweeps of tokens and limits, a
	// second and node.
	tokensRate = 5
	// requestsRate is the rate of the sweep of busy nodes, a second and node.
	requestsRate = 8
	// serversPerNode is how many servers each node of that sweep owns, on
	// average.
	serversPerNode = 2
	// promptBytes is the length of a prompt without its prefix.
	promptBytes = 200
)

// underLoad measures a fleet under a load of one size.
func underLoad(ctx context.Context, f *tdfleet.Fleet, keys []string, axis string, x float64, o Options) (Point, error) {
	d := deployment(size{nodes: len(f.Nodes), workspaces: len(keys), load: true})
	var nodes []tdcaller.Node
	for _, n := range f.Nodes {
		nodes = append(nodes, tdcaller.Node{Name: n.Name, Addr: n.Callers})
	}
	callers := tdcaller.New(d, keys, nodes)
	load, cancel := context.WithCancel(ctx)
	defer cancel()
	type ended struct {
		sent   int
		failed []string
	}
	done := make(chan ended, 1)
	plan := schedule(axis, x, len(f.Nodes), lead+o.Settle+o.Window)
	go func() {
		var e ended
		for _, q := range callers.Run(load, time.Now(), plan) {
			e.sent++
			if q.Status != http.StatusOK {
				e.failed = append(e.failed, fmt.Sprintf("%d %s", q.Status, q.Code))
			}
		}
		done <- e
	}()
	tdclock.Sleep(ctx, lead+o.Settle)
	p, err := around(ctx, f, o.Window)
	if axis == AxisStreams {
		cancel() // The streams would go on for minutes.
	}
	e := <-done
	p.Sent, p.Failed = e.sent, len(e.failed)
	slices.Sort(e.failed)
	p.Failures = slices.Compact(e.failed)
	return p, err
}

// schedule spreads requests evenly over a time.
func schedule(axis string, x float64, nodes int, length time.Duration) []tdcaller.Arrival {
	rate := x * float64(nodes)
	demand := tddeploy.Demand{Route: fastRoute, Stream: true, MaxTokens: maxTokens, PrefixBytes: prefixBytes}
	tokens, workspaces := 1, smallWorkspace
	switch axis {
	case AxisLimits:
		rate, workspaces = tokensRate*float64(nodes), int(x)
	case AxisTokens:
		rate = tokensRate * float64(nodes)
		tokens = max(1, int(x/tokensRate))
	case AxisStreams:
		demand.Route, tokens = slowRoute, maxTokens
		rate, length = rate/openWithin.Seconds(), openWithin
	case AxisClaims:
		demand = tddeploy.Demand{Route: bookRoute}
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
