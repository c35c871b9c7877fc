// Command measure starts fleets of several sizes on loopback and measures the
// resource usage of idle nodes and the time until published sets are in force.
//
//	go run ./test/fleet/measure -nodes 7,20,40 -workspaces 6600 -keys 20000
//
// It prints the figures of each size as a line of JSON. With two or more sizes it
// also prints linear fits of some figures against the number of nodes.
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

// options holds the flags.
type options struct {
	nodes       string
	workspaces  int
	keys        int
	changes     int
	idle        time.Duration
	seed        uint64
	dataCentres int
	logLevel    string
	verbose     bool
	args        string
}

// result holds the figures of one fleet size.
type result struct {
	Nodes           int     `json:"nodes"`
	JoinSeconds     float64 `json:"joinSeconds"`
	CPUPercent      float64 `json:"cpuPercent"` // Per idle node, of one core.
	ResidentMB      float64 `json:"residentMB"` // Per idle node, before the first set.
	LoadedMB        float64 `json:"loadedMB"`   // Per node, with the set in force.
	SentKBs         float64 `json:"sentKBs"`    // Per idle node and second, on links between nodes.
	ReceivedKBs     float64 `json:"receivedKBs"`
	StoreReads      float64 `json:"storeReads"` // Per idle node and second.
	StoreWrites     float64 `json:"storeWrites"`
	FirstSeconds    float64 `json:"firstSeconds"` // Until all nodes have the first set in force.
	ChangeMedian    float64 `json:"changeMedian"` // Seconds until the publishing node knows that all nodes have a change in force.
	ChangeWorst     float64 `json:"changeWorst"`
	WithdrawMedian  float64 `json:"withdrawMedian"`
	WithdrawWorst   float64 `json:"withdrawWorst"`
	PublishMedian   float64 `json:"publishMedian"` // Seconds until the publishing node has a change in force.
	SpreadMedian    float64 `json:"spreadMedian"`  // Seconds from when the publishing node has a change in force until a sampled node has it.
	SpreadWorst     float64 `json:"spreadWorst"`
	Lagging         int     `json:"lagging"`      // Nodes without a change when its wait ended, summed over the changes.
	ChangeSentKB    float64 `json:"changeSentKB"` // Sent per node and change, less the idle traffic.
	WritesPerChange float64 `json:"writesPerChange"`
	OutageCalls     float64 `json:"outageCalls"` // Store calls per node and second during an outage.
	ReturnPeak      float64 `json:"returnPeak"`  // Store calls of the fleet in the busiest of the ten seconds after the outage.
}

func main() {
	log.SetFlags(0)
	var o options
	flag.StringVar(&o.nodes, "nodes", "7", "fleet sizes, separated by commas")
	flag.IntVar(&o.workspaces, "workspaces", 6600, "number of workspaces in the set")
	flag.IntVar(&o.keys, "keys", 20000, "number of keys in the set")
	flag.IntVar(&o.changes, "changes", 12, "number of published changes; as many keys are withdrawn")
	flag.DurationVar(&o.idle, "idle", 10*time.Second, "how long the idle fleet is measured")
	flag.Uint64Var(&o.seed, "seed", 1, "seed of the choice of nodes, changes and keys")
	flag.IntVar(&o.dataCentres, "dataCentres", 7, "number of data centres")
	flag.StringVar(&o.logLevel, "log.level", "error", "level of the nodes' logs")
	flag.BoolVar(&o.verbose, "v", false, "show the nodes' logs")
	flag.StringVar(&o.args, "args", "", "further flags of the nodes, separated by spaces")
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
		r, err := measureFleet(o, binary, n)
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
	printFits(all)
	return nil
}

// printFits prints linear fits of some figures against the number of nodes, with
// their values at 350 nodes, the size that the router is designed for.
func printFits(all []result) {
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

// measureFleet starts a fleet of count nodes, measures it and kills it. Each node
// joins through the first three nodes, as far as they were started before it.
func measureFleet(o options, binary string, count int) (result, error) {
	c, err := tdcluster.Start(tdcluster.Spec{})
	if err != nil {
		return result{}, err
	}
	defer c.Close()
	f := &fleet{cluster: c}
	defer f.kill()
	r := result{Nodes: count}
	start := time.Now()
	for n := range count {
		s := tdtest.NodeSpec{
			Name: fmt.Sprintf("node%03d", n), DataCentre: fmt.Sprintf("dc%d", n%o.dataCentres), PlatformURL: c.PlatformURL,
			Args: append([]string{"-log.level", o.logLevel}, strings.Fields(o.args)...),
		}
		for k := range min(n, 3) {
			s.Peers = append(s.Peers, f.nodes[k].Peers)
		}
		f.nodes = append(f.nodes, tdtest.StartNode(binary, s))
	}
	if err := f.waitUntilJoined(); err != nil {
		return r, err
	}
	r.JoinSeconds = time.Since(start).Seconds()
	if err := f.measureIdle(o, &r); err != nil {
		return r, err
	}
	if err := f.measurePublish(o, &r); err != nil {
		return r, err
	}
	f.measureOutage(&r)
	return r, nil
}

// measureOutage counts the store calls of the fleet during an outage of the store
// and after it.
func (f *fleet) measureOutage(r *result) {
	const outage, settle, after = 10, 5, 10 // Seconds.
	calls := func() int64 {
		rec := f.cluster.Platform.Recorded()
		return rec.Reads + rec.Writes
	}
	f.cluster.Platform.SetOutage(true)
	time.Sleep(settle * time.Second)
	before := calls()
	time.Sleep(outage * time.Second)
	r.OutageCalls = float64(calls()-before) / outage / float64(len(f.nodes))
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

// waitUntilJoined waits until every node knows all nodes.
func (f *fleet) waitUntilJoined() error {
	deadline := time.Now().Add(time.Minute)
	for _, n := range f.nodes {
		for len(status(n).Nodes) != len(f.nodes) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s knows %d nodes", n.Name, len(status(n).Nodes))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// status returns the status of a node. It returns an empty status if the call
// fails, so that callers poll again.
func status(n *tdtest.Node) tdoperator.Status {
	var s tdoperator.Status
	_, _ = n.Operator(http.MethodGet, "/operator/status", nil, &s)
	return s
}

// measureIdle measures a fleet without requests.
func (f *fleet) measureIdle(o options, r *result) error {
	time.Sleep(5 * time.Second) // Until the traffic caused by the joins has ended.
	before, err := f.readUsage()
	if err != nil {
		return err
	}
	time.Sleep(o.idle)
	after, err := f.readUsage()
	if err != nil {
		return err
	}
	perNodeSecond := 1 / (after.at.Sub(before.at).Seconds() * float64(len(f.nodes)))
	r.CPUPercent = 100 * (after.cpu - before.cpu) * perNodeSecond
	r.SentKBs = (after.sent - before.sent) * perNodeSecond / 1e3
	r.ReceivedKBs = (after.received - before.received) * perNodeSecond / 1e3
	r.StoreReads = float64(after.reads-before.reads) * perNodeSecond
	r.StoreWrites = float64(after.writes-before.writes) * perNodeSecond
	r.ResidentMB = after.resident / float64(len(f.nodes)) / 1e6
	return nil
}
