package tdslope

import (
	"cmp"
	"context"
	"slices"
	"time"

	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/measure/tdfleet"
)

// Point is what nodes cost at one size.
type Point struct {
	X       float64  `json:"x"`
	Nodes   int      `json:"nodes"`
	Figures []Figure `json:"figures"`
	// Sent and Failed are the requests of the load, if the sweep has one.
	Sent   int `json:"sent,omitempty"`
	Failed int `json:"failed,omitempty"`
	// Failures are the different answers that failed requests got.
	Failures []string `json:"failures,omitempty"`
}

// Figure is one quantity.
type Figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// Names of the figures. Those of the store are of the whole fleet, the others
// of one node.
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

// around samples all nodes of a fleet before and after a window of time, and
// returns what they used in between. Reading the counters costs the nodes
// processor time, so the processes are read within.
func around(ctx context.Context, f *tdfleet.Fleet, window time.Duration) (Point, error) {
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
	p.processes(before, after)
	last, err := readCounters(f)
	p.counters(first, last)
	return p, err
}

func (p *Point) processes(before, after processes) {
	nodes := float64(p.Nodes)
	node := 1 / (after.at.Sub(before.at).Seconds() * nodes)
	p.add(CPUPercent, percent*node*(after.cpu-before.cpu).Seconds())
	p.add(ResidentMB, after.resident/nodes/megabyte)
	p.add(AnonymousMB, after.anonymous/nodes/megabyte)
}

func (p *Point) counters(before, after counters) {
	fleet := 1 / after.at.Sub(before.at).Seconds()
	node := fleet / float64(p.Nodes)
	p.add(SentKBs, node*grown(before, after, "peer_linkSentBytes")/kilobyte)
	p.add(ReceivedKBs, node*grown(before, after, "peer_linkReceivedBytes")/kilobyte)
	p.add(PlatformKBs, node*(after.platform-before.platform)/kilobyte)
	p.add(FleetReads, fleet*float64(after.reads-before.reads))
	p.add(FleetWrites, fleet*float64(after.writes-before.writes))
	p.addKinds(before, after, "peer_sentBytes", methodBytes, node)
	p.addKinds(before, after, "peer_sent", methodMessages, node)
	p.addKinds(before, after, "store_calls", storeCalls, fleet)
}

func (p *Point) add(name string, value float64) {
	p.Figures = append(p.Figures, Figure{Name: name, Value: value})
}

// addKinds adds a figure for each kind of call that was made.
func (p *Point) addKinds(before, after counters, name, prefix string, scale float64) {
	for _, c := range after.all {
		if c.name != name || c.label == "" {
			continue
		}
		if d := c.value - before.value(name, c.label); d > 0 {
			p.add(prefix+c.label, scale*d)
		}
	}
}

// Value returns a figure, 0 if there is none.
func (p Point) Value(name string) float64 {
	for _, f := range p.Figures {
		if f.Name == name {
			return f.Value
		}
	}
	return 0
}

// processes is the sum over all nodes' processes.
type processes struct {
	process
	at time.Time
}

func readProcesses(f *tdfleet.Fleet) (processes, error) {
	sum := processes{at: time.Now()}
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

// counters is the sum over all nodes' counters, and the platform's.
type counters struct {
	at            time.Time
	platform      float64 // Bytes to and from the platform.
	reads, writes int64
	all           []counter
}

func readCounters(f *tdfleet.Fleet) (counters, error) {
	rec := f.Cluster.Platform.Recorded()
	sum := counters{at: time.Now(), reads: rec.Reads, writes: rec.Writes}
	for _, n := range f.Nodes {
		_, platform := n.ControlBytes()
		sum.platform += float64(platform)
	}
	for _, n := range f.Nodes {
		one, err := scrape(n.Operators)
		if err != nil {
			return sum, err
		}
		sum.all = append(sum.all, one...)
	}
	sum.all = merge(sum.all)
	return sum, nil
}

// merge adds up counters of one name and kind.
func merge(all []counter) []counter {
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

func (s counters) value(name, label string) float64 {
	for _, c := range s.all {
		if c.name == name && c.label == label {
			return c.value
		}
	}
	return 0
}

func grown(before, after counters, name string) float64 {
	return after.value(name, "") - before.value(name, "")
}
