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

// The axes, which are the sizes that a sweep can vary.
const (
	AxisNodes      = "nodes"      // Nodes of an idle fleet.
	AxisBusyNodes  = "busyNodes"  // Nodes of a fleet at a fixed request rate per node.
	AxisListed     = "listed"     // Additional VMs on the platform's list.
	AxisServers    = "servers"    // Backend servers per node.
	AxisWorkspaces = "workspaces" // Workspaces with one key each.
	AxisRequests   = "requests"   // Requests of one token, per second and node.
	AxisTokens     = "tokens"     // Tokens per second and node, at a fixed request rate.
	AxisStreams    = "streams"    // Open streams at each node.
	AxisLimits     = "limits"     // Workspaces with a limit that are in use, at a fixed request rate.
	AxisClaims     = "claims"     // Non-idempotent requests per second and node.
)

// Axes returns all axes.
func Axes() []string {
	return []string{
		AxisNodes, AxisBusyNodes, AxisListed, AxisServers, AxisWorkspaces,
		AxisRequests, AxisTokens, AxisStreams, AxisLimits, AxisClaims,
	}
}

// Options configures a sweep.
type Options struct {
	Binary string        // Path of the tarragondeal program.
	Window time.Duration // Length of the measurement of each point.
	Settle time.Duration // Time to settle before each measurement.
	Sizes  []float64     // Overrides the default sizes of the axis.
	Nodes  int           // Nodes in sweeps of other sizes; defaultNodes if zero.
	LogTo  io.Writer
	Args   []string // Further flags of every node.
}

// AxisError reports an unknown axis.
type AxisError struct{ Axis string }

func (e *AxisError) Error() string {
	return fmt.Sprintf("axis %q is not known: %s", e.Axis, strings.Join(Axes(), ", "))
}

// defaultNodes is the number of nodes in sweeps that vary another size.
const defaultNodes = 4

func (o Options) nodes() int {
	if o.Nodes > 0 {
		return o.Nodes
	}
	return defaultNodes
}

// defaultSizes returns the sizes at which an axis is measured by default, or nil
// for an unknown axis.
func defaultSizes(axis string) []float64 {
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

// Sweep measures the points of an axis and fits the lines. After an error the
// result has the points that were measured before.
func Sweep(ctx context.Context, axis string, o Options) (Result, error) {
	r := Result{Axis: axis, LoadBefore: loadAverages()}
	xs := o.Sizes
	if len(xs) == 0 {
		xs = defaultSizes(axis)
	}
	var err error
	switch axis {
	case AxisNodes, AxisBusyNodes, AxisServers, AxisWorkspaces:
		r.Points, err = sweepFleets(ctx, axis, xs, o)
	case AxisListed, AxisRequests, AxisTokens, AxisStreams, AxisLimits, AxisClaims:
		r.Points, err = sweepOneFleet(ctx, axis, xs, o)
	default:
		err = &AxisError{Axis: axis}
	}
	r.Lines, r.LoadAfter = Fit(r.Points), loadAverages()
	return r, err
}

// loadAverages returns the load averages of the machine over 1, 5 and 15 minutes.
func loadAverages() string {
	text, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "unknown"
	}
	return strings.Join(strings.Fields(string(text))[:3], " ")
}

// sweepFleets measures each size on a new fleet.
func sweepFleets(ctx context.Context, axis string, xs []float64, o Options) ([]Point, error) {
	var out []Point
	for _, x := range xs {
		s := fleetSize{nodes: o.nodes(), engines: dataCentreCount}
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
		p, err := measureOwnFleet(ctx, axis, s, o)
		if err != nil {
			return out, err
		}
		p.X = x
		out = append(out, p)
	}
	return out, nil
}

// measureOwnFleet starts a fleet, measures one point and closes the fleet.
func measureOwnFleet(ctx context.Context, axis string, s fleetSize, o Options) (Point, error) {
	f, keys, err := startFleet(ctx, s, o)
	if err != nil {
		return Point{}, err
	}
	defer f.Close()
	if axis == AxisBusyNodes {
		return measureUnderLoad(ctx, f, keys, axis, busyRate, o)
	}
	return measureWindow(ctx, f, o.Window)
}

const (
	// maxStartAttempts is needed because another process may take a port between
	// its choice and its use.
	maxStartAttempts = 10
	// The start of a fleet may take startTimeout and startTimeoutPerNode for each
	// node.
	startTimeout        = 15 * time.Second
	startTimeoutPerNode = time.Second
)

// startFleet starts a fleet, publishes its set and waits for it to settle. It
// returns the fleet and the texts of its keys.
func startFleet(ctx context.Context, s fleetSize, o Options) (*tdfleet.Fleet, []string, error) {
	var f *tdfleet.Fleet
	var keys []string
	var err error
	for range maxStartAttempts {
		if f, keys, err = tryStartFleet(ctx, s, o); err == nil || ctx.Err() != nil {
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

// tryStartFleet starts a fleet once. The nodes read the list of VMs at the default
// interval.
func tryStartFleet(ctx context.Context, s fleetSize, o Options) (*tdfleet.Fleet, []string, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout+time.Duration(s.nodes)*startTimeoutPerNode)
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

// sweepOneFleet measures all sizes on one fleet.
func sweepOneFleet(ctx context.Context, axis string, xs []float64, o Options) ([]Point, error) {
	s := fleetSize{nodes: o.nodes(), engines: 2 * dataCentreCount, slowAndBook: axis != AxisListed}
	if axis == AxisLimits {
		s.limited = int(slices.Max(xs))
	}
	f, keys, err := startFleet(ctx, s, o)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var out []Point
	for _, x := range xs {
		var p Point
		if axis == AxisListed {
			setListedVMs(f, int(x))
			tdclock.Sleep(ctx, o.Settle)
			p, err = measureWindow(ctx, f, o.Window)
		} else {
			p, err = measureUnderLoad(ctx, f, keys, axis, x, o)
		}
		if err != nil {
			return out, err
		}
		p.X = x
		out = append(out, p)
	}
	return out, nil
}

// otherKind is a kind of VM that the nodes ignore.
const otherKind = "other"

// setListedVMs sets the number of additional VMs on the platform's list.
func setListedVMs(f *tdfleet.Fleet, count int) {
	vms := slices.DeleteFunc(f.Cluster.VMs(), func(v tdwire.VM) bool { return v.Kind == tdwire.KindServer || v.Kind == otherKind })
	for n := range count {
		vms = append(vms, tdwire.VM{
			Name: fmt.Sprintf("narrator-duluth-%04d", n), Kind: otherKind, Pool: fastName, DataCentre: "dc0",
			Addr: netip.MustParseAddrPort("127.0.0.1:9"), State: "live",
		})
	}
	f.Cluster.SetEntryVMs(vms)
}
