package tdslope

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/measure/tdfleet"
	"tarragondeal/internal/platform/tdwire"
)

// The sizes that a sweep can change.
const (
	AxisNodes      = "nodes"      // Nodes of an idle fleet.
	AxisBusyNodes  = "busyNodes"  // Nodes of a fleet at one rate of requests a node.
	AxisListed     = "listed"     // Further VMs on the platform's list.
	AxisServers    = "servers"    // Backend servers for each node.
	AxisWorkspaces = "workspaces" // Workspaces with a key each.
	AxisRequests   = "requests"   // Requests of one token a second and node.
	AxisTokens     = "tokens"     // Tokens a second and node, at one rate of requests.
	AxisStreams    = "streams"    // Open streams at each node.
	AxisLimits     = "limits"     // Limited workspaces in use, at one rate of requests.
	AxisClaims     = "claims"     // Non-idempotent requests a second and node.
)

// Axes returns all axes.
func Axes() []string {
	return []string{
		AxisNodes, AxisBusyNodes, AxisListed, AxisServers, AxisWorkspaces,
		AxisRequests, AxisTokens, AxisStreams, AxisLimits, AxisClaims,
	}
}

// Options say how to sweep.
type Options struct {
	Binary string        // The product's program.
	Window time.Duration // How long each point is watched.
	Settle time.Duration // How long a fleet rests before.
	Sizes  []float64     // In place of an axis's own.
	Nodes  int           // Where another size is changed; 4 if zero.
	LogTo  io.Writer
	Args   []string // Further flags of every node.
}

// AxisError is an axis that there is none of.
type AxisError struct{ Axis string }

func (e *AxisError) Error() string {
	return fmt.Sprintf("axis %q is not known: %s", e.Axis, strings.Join(Axes(), ", "))
}

// few is how many nodes the sweeps have that change another size, unless the
// options say.
const few = 4

func (o Options) nodes() int {
	if o.Nodes > 0 {
		return o.Nodes
	}
	return few
}

// sizes are each axis's own.
func sizes(axis string) []float64 {
	switch axis {
	case AxisNodes:
		return []float64{4, 8, 16, 32, 48}
	case AxisBusyNodes:
		return []float64{4, 12, 24, 40}
	case AxisListed:
		return []float64{0, 300, 600, 900}
	case AxisServers:
		return []float64{1, 4, 8, 16}
	case AxisWorkspaces:
		return []float64{10, 1100, 3300, 6600}
	case AxisRequests:
		return []float64{0, 5, 10, 20}
	case AxisTokens:
		return []float64{5, 250, 500, 1000}
	case AxisStreams:
		return []float64{0, 32, 64, 96}
	case AxisLimits:
		return []float64{1, 20, 50, 100}
	case AxisClaims:
		return []float64{0, 2, 5, 10}
	default:
		return nil
	}
}

// Sweep measures an axis and fits its lines.
func Sweep(ctx context.Context, axis string, o Options) (Result, error) {
	r := Result{Axis: axis, LoadBefore: loadAverages()}
	xs := o.Sizes
	if len(xs) == 0 {
		xs = sizes(axis)
	}
	var err error
	switch axis {
	case AxisNodes, AxisBusyNodes, AxisServers, AxisWorkspaces:
		r.Points, err = fleets(ctx, axis, xs, o)
	case AxisListed, AxisRequests, AxisTokens, AxisStreams, AxisLimits, AxisClaims:
		r.Points, err = oneFleet(ctx, axis, xs, o)
	default:
		err = &AxisError{Axis: axis}
	}
	r.Lines, r.LoadAfter = Fit(r.Points), loadAverages()
	return r, err
}

func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}

// fleets measures one fleet for each size.
func fleets(ctx context.Context, axis string, xs []float64, o Options) ([]Point, error) {
	var out []Point
	for _, x := range xs {
		s := size{nodes: o.nodes(), engines: dataCentres}
		switch axis {
		case AxisNodes:
			s.nodes = int(x)
		case AxisBusyNodes:
			s.nodes, s.engines = int(x), serversPerNode*int(x)
		case AxisServers:
			s.engines = int(x) * s.nodes
		case AxisWorkspaces:
			s.workspaces = int(x)
		}
		p, err := alone(ctx, axis, s, o)
		if err != nil {
			return out, err
		}
		p.X = x
		out = append(out, p)
	}
	return out, nil
}

// alone measures one point at a fleet of its own.
func alone(ctx context.Context, axis string, s size, o Options) (Point, error) {
	f, keys, err := start(ctx, s, o)
	if err != nil {
		return Point{}, err
	}
	defer f.Close()
	if axis == AxisBusyNodes {
		return underLoad(ctx, f, keys, axis, requestsRate, o)
	}
	return around(ctx, f, o.Window)
}

const (
	// startTries is how often a fleet is started at most: another process may
	// take a port between its choice and its use.
	startTries = 10
	// startWithin bounds the start of a fleet, by its nodes.
	startWithin   = 15 * time.Second
	startWithNode = time.Second
)

// start starts a fleet, publishes its set and lets it rest.
func start(ctx context.Context, s size, o Options) (*tdfleet.Fleet, []string, error) {
	var f *tdfleet.Fleet
	var keys []string
	var err error
	for range startTries {
		if f, keys, err = tryStart(ctx, s, o); err == nil || ctx.Err() != nil {
			break
		}
	}
	if err != nil {
		return nil, nil, eris.Wrapf(err, "fleet of %d", s.nodes)
	}
	if !tdclock.Sleep(ctx, o.Settle) {
		f.Close()
		return nil, nil, ctx.Err()
	}
	return f, keys, nil
}

// tryStart starts a fleet once. The nodes read the list of VMs as often as
// the product does by default.
func tryStart(ctx context.Context, s size, o Options) (*tdfleet.Fleet, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, startWithin+time.Duration(s.nodes)*startWithNode)
	defer cancel()
	f, err := tdfleet.Start(ctx, tdfleet.Options{
		Binary: o.Binary, Deployment: deployment(s), Policy: "owner", LogTo: o.LogTo,
		Args: append([]string{"-platform.listEvery", "1s", "-log.level", "error"}, o.Args...),
	})
	if err != nil {
		return nil, nil, err
	}
	keys, err := f.Publish(ctx)
	if err != nil {
		f.Close()
		return nil, nil, err
	}
	return f, keys, nil
}

// oneFleet measures all sizes at one fleet.
func oneFleet(ctx context.Context, axis string, xs []float64, o Options) ([]Point, error) {
	s := size{nodes: o.nodes(), engines: 2 * dataCentres, load: axis != AxisListed}
	if axis == AxisLimits {
		s.limited = int(slices.Max(xs))
	}
	f, keys, err := start(ctx, s, o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []Point
	for _, x := range xs {
		var p Point
		if axis == AxisListed {
			listed(f, int(x))
			tdclock.Sleep(ctx, o.Settle)
			p, err = around(ctx, f, o.Window)
		} else {
			p, err = underLoad(ctx, f, keys, axis, x, o)
		}
		if err != nil {
			return out, err
		}
		p.X = x
		out = append(out, p)
	}
	return out, nil
}

// otherKind is a kind of VM that the nodes have no use for.
const otherKind = "other"

// listed puts further VMs on the platform's list.
func listed(f *tdfleet.Fleet, count int) {
	vms := slices.DeleteFunc(f.Cluster.VMs(), func(v tdwire.VM) bool { return v.Kind == tdwire.KindServer || v.Kind == otherKind })
	for n := range count {
		vms = append(vms, tdwire.VM{
			Name: fmt.Sprintf("narrator-duluth-%04d", n), Kind: otherKind, Pool: fastRoute, DataCentre: "dc0",
			Addr: netip.MustParseAddrPort("127.0.0.1:9"), State: "live",
		})
	}
	f.Cluster.SetEntryVMs(vms)
}
