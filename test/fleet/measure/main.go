// Command measure starts fleets of several sizes on loopback and measures
// what nodes cost when idle and how long published sets take to be in force.
//
//	go run ./test/fleet/measure -nodes 7,20,40 -workspaces 6600 -keys 20000
//
// It prints one JSON line for each size, and the slopes over the sizes.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"log"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"gonum.org/v1/gonum/stat"

	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/standin/tdcluster"
	"tarragondeal/internal/test/tdtest"
)

// options are what is measured.
type options struct {
	nodes      string
	workspaces int
	keys       int
	changes    int
	idle       time.Duration
	seed       uint64
	dataCentre int
	level      string
	verbose    bool
	args       string
}

// result is what was measured at one size.
type result struct {
	Nodes           int     `json:"nodes"`
	JoinSeconds     float64 `json:"joinSeconds"`
	CPUPercent      float64 `json:"cpuPercent"` // Of one core, a node, idle.
	ResidentMB      float64 `json:"residentMB"` // Of a node, idle, before the set.
	LoadedMB        float64 `json:"loadedMB"`   // With the set in force.
	SentKBs         float64 `json:"sentKBs"`    // On links, a node a second, idle.
	ReceivedKBs     float64 `json:"receivedKBs"`
	StoreReads      float64 `json:"storeReads"` // A node a second, idle.
	StoreWrites     float64 `json:"storeWrites"`
	FirstSeconds    float64 `json:"firstSeconds"` // The whole set in force everywhere.
	ChangeMedian    float64 `json:"changeMedian"` // Seconds until the publisher knows that all have it.
	ChangeWorst     float64 `json:"changeWorst"`
	WithdrawMedian  float64 `json:"withdrawMedian"`
	WithdrawWorst   float64 `json:"withdrawWorst"`
	PublishMedian   float64 `json:"publishMedian"` // Of a change, until the publishing node has it in force.
	SpreadMedian    float64 `json:"spreadMedian"`  // From there until one of a sample of nodes has it.
	SpreadWorst     float64 `json:"spreadWorst"`
	Lagging         int     `json:"lagging"`
	ChangeSentKB    float64 `json:"changeSentKB"` // On links, a node, for one change.
	WritesPerChange float64 `json:"writesPerChange"`
	OutageCalls     float64 `json:"outageCalls"` // Of the store, a node a second, while it is away.
	ReturnPeak      float64 `json:"returnPeak"`  // Of the fleet, in the busiest second of the ten after.
}

func main() {
	log.SetFlags(0)
	var o options
	flag.StringVar(&o.nodes, "nodes", "7", "fleet sizes, separated by commas")
	flag.IntVar(&o.workspaces, "workspaces", 6600, "workspaces of the set")
	flag.IntVar(&o.keys, "keys", 20000, "keys of the set")
	flag.IntVar(&o.changes, "changes", 12, "changes, and as many withdrawals")
	flag.DurationVar(&o.idle, "idle", 10*time.Second, "how long the idle fleet is watched")
	flag.Uint64Var(&o.seed, "seed", 1, "of which keys are withdrawn where")
	flag.IntVar(&o.dataCentre, "dataCentres", 7, "number of data centres")
	flag.StringVar(&o.level, "log.level", "error", "of the nodes' logs")
	flag.BoolVar(&o.verbose, "v", false, "show the nodes' logs")
	flag.StringVar(&o.args, "args", "", "further flags of the nodes, separated by blanks")
	flag.Parse()
	gomega.RegisterFailHandler(func(message string, _ ...int) { panic(message) })
	if o.verbose {
		ginkgo.GinkgoWriter.TeeTo(os.Stderr)
	}
	if err := run(o); err != nil {
		log.Fatal("measure: ", err)
	}
}

func run(o options) error {
	dir, err := os.MkdirTemp("", "tarragondeal-measure")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binary := filepath.Join(dir, "tarragondeal")
	if out, err := exec.Command("go", "build", "-o", binary, "tarragondeal/cmd/tarragondeal").CombinedOutput(); err != nil {
		return fmt.Errorf("build: %s", out)
	}
	var all []result
	for word := range strings.SplitSeq(o.nodes, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(word))
		if err != nil {
			return err
		}
		r, err := measure(o, binary, n)
		if err != nil {
			return err
		}
		all = append(all, r)
		line, err := json.Marshal(r)
		if err != nil {
			return err
		}
		fmt.Println(string(line))
	}
	slopes(all)
	return nil
}

// slopes prints straight lines through what was measured.
func slopes(all []result) {
	if len(all) < 2 {
		return
	}
	for _, q := range []struct {
		name string
		of   func(result) float64
	}{
		{"cpuPercent", func(r result) float64 { return r.CPUPercent }},
		{"residentMB", func(r result) float64 { return r.ResidentMB }},
		{"loadedMB", func(r result) float64 { return r.LoadedMB }},
		{"sentKBs", func(r result) float64 { return r.SentKBs }},
		{"receivedKBs", func(r result) float64 { return r.ReceivedKBs }},
		{"storeReads of the fleet", func(r result) float64 { return r.StoreReads * float64(r.Nodes) }},
		{"changeSentKB", func(r result) float64 { return r.ChangeSentKB }},
	} {
		var x, y []float64
		for _, r := range all {
			x, y = append(x, float64(r.Nodes)), append(y, q.of(r))
		}
		alpha, beta := stat.LinearRegression(x, y, nil, false)
		fmt.Printf("%s = %.4g + %.4g * nodes; at 350 nodes %.4g\n", q.name, alpha, beta, alpha+350*beta)
	}
}

// fleet is a running deployment.
type fleet struct {
	cluster *tdcluster.Cluster
	nodes   []*tdtest.Node
}

func measure(o options, binary string, count int) (result, error) {
	c, err := tdcluster.Start(tdcluster.Spec{})
	if err != nil {
		return result{}, err
	}
	defer c.Close()
	f := &fleet{cluster: c}
	defer f.kill()
	r := result{Nodes: count}
	began := time.Now()
	for n := range count {
		s := tdtest.NodeSpec{
			Name: fmt.Sprintf("node%03d", n), DataCentre: fmt.Sprintf("dc%d", n%o.dataCentre), PlatformURL: c.PlatformURL,
			Args: append([]string{"-log.level", o.level}, strings.Fields(o.args)...),
		}
		for k := range min(n, 3) {
			s.Peers = append(s.Peers, f.nodes[k].Peers)
		}
		f.nodes = append(f.nodes, tdtest.StartNode(binary, s))
	}
	if err := f.joined(); err != nil {
		return r, err
	}
	r.JoinSeconds = time.Since(began).Seconds()
	if err := f.idle(o, &r); err != nil {
		return r, err
	}
	if err := f.publish(o, &r); err != nil {
		return r, err
	}
	f.outage(&r)
	return r, nil
}

// outage takes the store away for a while and counts what the fleet calls.
func (f *fleet) outage(r *result) {
	const away, settle, after = 10, 5, 10 // Seconds.
	calls := func() int64 {
		rec := f.cluster.Platform.Recorded()
		return rec.Reads + rec.Writes
	}
	f.cluster.Platform.SetOutage(true)
	time.Sleep(settle * time.Second)
	before := calls()
	time.Sleep(away * time.Second)
	r.OutageCalls = float64(calls()-before) / away / float64(len(f.nodes))
	f.cluster.Platform.SetOutage(false)
	for range after {
		before = calls()
		time.Sleep(time.Second)
		r.ReturnPeak = max(r.ReturnPeak, float64(calls()-before))
	}
}

func (f *fleet) kill() {
	for _, n := range f.nodes {
		n.Session.Kill()
	}
	for _, n := range f.nodes {
		n.Session.Wait("20s")
	}
}

// joined waits until all nodes know all.
func (f *fleet) joined() error {
	until := time.Now().Add(time.Minute)
	for _, n := range f.nodes {
		for len(status(n).Nodes) != len(f.nodes) {
			if time.Now().After(until) {
				return fmt.Errorf("%s knows %d nodes", n.Name, len(status(n).Nodes))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

func status(n *tdtest.Node) tdoperator.Status {
	var s tdoperator.Status
	_, _ = n.Operator(http.MethodGet, "/operator/status", nil, &s)
	return s
}

// idle watches a fleet without requests.
func (f *fleet) idle(o options, r *result) error {
	time.Sleep(5 * time.Second) // News of the joins dies down.
	before, err := f.usage()
	if err != nil {
		return err
	}
	time.Sleep(o.idle)
	after, err := f.usage()
	if err != nil {
		return err
	}
	per := 1 / (after.at.Sub(before.at).Seconds() * float64(len(f.nodes)))
	r.CPUPercent = 100 * (after.cpu - before.cpu) * per
	r.SentKBs = (after.sent - before.sent) * per / 1e3
	r.ReceivedKBs = (after.received - before.received) * per / 1e3
	r.StoreReads = float64(after.reads-before.reads) * per
	r.StoreWrites = float64(after.writes-before.writes) * per
	r.ResidentMB = after.resident / float64(len(f.nodes)) / 1e6
	return nil
}
