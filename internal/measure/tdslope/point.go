package tdslope

import (
	"cmp"
	"context"
	"slices"
	"time"

	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/measure/tdfleet"
)

// Point holds the figures at one size.
type Point struct {
	X       float64  `json:"x"`
	Nodes   int      `json:"nodes"`
	Figures []Figure `json:"figures"`
	// Sent and Failed count the requests of the load, if the sweep has one.
	Sent   int `json:"sent,omitempty"`
	Failed int `json:"failed,omitempty"`
	// Failures are the distinct statuses and codes of failed requests.
	Failures []string `json:"failures,omitempty"`
}

// Figure is one measured quantity.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// The names of the figures. Those of the store are totals of the fleet, the
// others are averages per node.
const (
	CPUPercent     = "cpu % of a core"
	ResidentMB     = "resident MB"
	AnonymousMB    = "anonymous MB"
	SentKBs        = "links sent KB/s"
	ReceivedKBs    = "links received KB/s"
	PlatformKBs    = "platform KB/s"
	FleetReads     = "fleet store reads/s"
	FleetWrites    = "fleet store writes/s"
	methodBytes    = "bytes/s sent by "
	methodMessages = "messages/s sent by "
	storeCalls     = "fleet store calls/s of "
)

const (
	megabyte = 1e6
	kilobyte = 1e3
	percent  = 100
)

// measureWindow samples all nodes of a fleet before and after a window of time and
// returns the difference. Reading the counters costs the nodes CPU time, so the
// CPU time is sampled after the first and before the last reading of the counters.
func measureWindow(ctx context.Context, f *tdfleet.Fleet, window time.Duration) (Point, error) {
	p := Point{Nodes: len(f.Nodes)}
	first, err := readCounters(f)
	if err != nil {
		return p, err
	}
	before, err := readProcesses(f)
	if err != nil {
		return p, err
	}
	if !tdclock.Sleep(ctx, window) {
		return p, ctx.Err()
	}
	after, err := readProcesses(f)
	if err != nil {
		return p, err
	}
	p.addUsage(before, after)
	last, err := readCounters(f)
	p.addCounters(first, last)
	return p, err
}

func (p *Point) addUsage(before, after fleetUsage) {
	nodes := float64(p.Nodes)
	node := 1 / (after.at.Sub(before.at).Seconds() * nodes)
	p.add(CPUPercent, percent*node*(after.cpu-before.cpu).Seconds())
	p.add(ResidentMB, after.resident/nodes/megabyte)
	p.add(AnonymousMB, after.anonymous/nodes/megabyte)
}

func (p *Point) addCounters(before, after fleetCounters) {
	fleet := 1 / after.at.Sub(before.at).Seconds()
	node := fleet / float64(p.Nodes)
	p.add(SentKBs, node*increase(before, after, "peer_linkSentBytes")/kilobyte)
	p.add(ReceivedKBs, node*increase(before, after, "peer_linkReceivedBytes")/kilobyte)
	p.add(PlatformKBs, node*(after.platform-before.platform)/kilobyte)
	p.add(FleetReads, fleet*float64(after.reads-before.reads))
	p.add(FleetWrites, fleet*float64(after.writes-before.writes))
	p.addCalls(before, after, "peer_sentBytes", methodBytes, node)
	p.addCalls(before, after, "peer_sent", methodMessages, node)
	p.addCalls(before, after, "store_calls", storeCalls, fleet)
}

func (p *Point) add(name string, value float64) {
	p.Figures = append(p.Figures, Figure{Name: name, Value: value})
}

// addCalls adds a figure for each kind of call that was made in the window.
func (p *Point) addCalls(before, after fleetCounters, name, prefix string, scale float64) {
	for _, c := range after.all {
		if c.name != name || c.label == "" {
			continue
		}
		if d := c.value - before.value(name, c.label); d > 0 {
			p.add(prefix+c.label, scale*d)
		}
	}
}

// Value returns the value of the named figure, or 0 if there is none.
func (p Point) Value(name string) float64 {
	for _, f := range p.Figures {
		if f.Name == name {
			return f.Value
		}
	}
	return 0
}

// fleetUsage is the total usage of all node processes.
type fleetUsage struct {
	processUsage
	at time.Time
}

func readProcesses(f *tdfleet.Fleet) (fleetUsage, error) {
	sum := fleetUsage{at: time.Now()}
	for _, n := range f.Nodes {
		p, err := readProcess(n)
		if err != nil {
			return sum, err
		}
		sum.cpu += p.cpu
		sum.resident += p.resident
		sum.anonymous += p.anonymous
	}
	return sum, nil
}

// fleetCounters holds the sums of the counters of all nodes, and the counters of
// the platform.
type fleetCounters struct {
	at            time.Time
	platform      float64 // Bytes to and from the platform.
	reads, writes int64
	all           []counter
}

func readCounters(f *tdfleet.Fleet) (fleetCounters, error) {
	rec := f.Cluster.Platform.Recorded()
	sum := fleetCounters{at: time.Now(), reads: rec.Reads, writes: rec.Writes}
	for _, n := range f.Nodes {
		_, platform := n.ControlBytes()
		sum.platform += float64(platform)
	}
	for _, n := range f.Nodes {
		one, err := readMetrics(n.Operators)
		if err != nil {
			return sum, err
		}
		sum.all = append(sum.all, one...)
	}
	sum.all = mergeCounters(sum.all)
	return sum, nil
}

// mergeCounters adds up the counters with the same name and label. It sorts all
// in place.
func mergeCounters(all []counter) []counter {
	slices.SortFunc(all, func(a, b counter) int {
		return cmp.Or(cmp.Compare(a.name, b.name), cmp.Compare(a.label, b.label))
	})
	var out []counter
	for _, c := range all {
		if n := len(out) - 1; n >= 0 && out[n].name == c.name && out[n].label == c.label {
			out[n].value += c.value
			continue
		}
		out = append(out, c)
	}
	return out
}

func (s fleetCounters) value(name, label string) float64 {
	for _, c := range s.all {
		if c.name == name && c.label == label {
			return c.value
		}
	}
	return 0
}

func increase(before, after fleetCounters, name string) float64 {
	return after.value(name, "") - before.value(name, "")
}
