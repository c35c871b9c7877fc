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
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"gonum.org/v1/gonum/stat"

	"tarragondeal"
	"tarragondeal/internal/entry/tdoperator"
	"tarragondeal/internal/object/tdset"
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

// usage is what all nodes have used so far.
type usage struct {
	at             time.Time
	cpu            float64 // Seconds.
	resident       float64 // Bytes.
	sent, received float64
	reads, writes  int64
}

func (f *fleet) usage() (usage, error) {
	u := usage{at: time.Now()}
	rec := f.cluster.Platform.Recorded()
	u.reads, u.writes = rec.Reads, rec.Writes
	for _, n := range f.nodes {
		dir := fmt.Sprintf("/proc/%d/", n.Session.Command.Process.Pid)
		stat, err := os.ReadFile(dir + "stat")
		if err != nil {
			return u, err
		}
		fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
		const ticks, user, system, resident = 100, 11, 12, 21
		u.cpu += (number(fields[user]) + number(fields[system])) / ticks
		u.resident += number(fields[resident]) * float64(os.Getpagesize())
		sent, received, err := links(n.Operators)
		if err != nil {
			return u, err
		}
		u.sent += sent
		u.received += received
	}
	return u, nil
}

func number(text string) float64 {
	v, _ := strconv.ParseFloat(text, 64)
	return v
}

// links reads how many bytes a node has sent and received on its links.
func links(operators netip.AddrPort) (sent, received float64, err error) {
	res, err := http.Get("http://" + operators.String() + "/metrics")
	if err != nil {
		return 0, 0, err
	}
	defer func() { _ = res.Body.Close() }()
	text := new(strings.Builder)
	if _, err := fmt.Fprint(text, readAll(res)); err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(text.String()) {
		name, value, ok := strings.Cut(strings.TrimSpace(line), "} ")
		switch {
		case !ok:
		case strings.Contains(name, "linkSentBytes"):
			sent += number(value)
		case strings.Contains(name, "linkReceivedBytes"):
			received += number(value)
		}
	}
	return sent, received, nil
}

func readAll(res *http.Response) string {
	b := new(strings.Builder)
	buf := make([]byte, 32<<10)
	for {
		n, err := res.Body.Read(buf)
		b.Write(buf[:n])
		if err != nil {
			return b.String()
		}
	}
}

// publish publishes the whole set and then changes and withdrawals.
func (f *fleet) publish(o options, r *result) error {
	rng := rand.New(rand.NewPCG(o.seed, o.seed))
	set := bigSet(o)
	first, err := f.put(0, 0, set, r)
	if err != nil {
		return err
	}
	r.FirstSeconds = first.all
	time.Sleep(2 * time.Second)
	before, err := f.usage()
	if err != nil {
		return err
	}
	r.LoadedMB = before.resident / float64(len(f.nodes)) / 1e6
	var change, withdraw, written, spread []float64
	version := tarragondeal.Version(1)
	for n := range 2 * o.changes {
		at := rng.IntN(len(f.nodes))
		var t timing
		if n%2 == 0 {
			set.Workspaces[rng.IntN(len(set.Workspaces))].Weight = 1 + rng.Float64()
			t, err = f.put(at, version, set, r)
			change = append(change, t.all)
			written = append(written, t.own)
		} else {
			k := rng.IntN(len(set.Keys))
			set.Keys[k].Withdrawn = true
			t, err = f.withdraw(at, version, set.Keys[k].Name, r)
			withdraw = append(withdraw, t.all)
		}
		if err != nil {
			return err
		}
		version++
		spread = append(spread, t.spread...)
	}
	after, err := f.usage()
	if err != nil {
		return err
	}
	total := float64(2 * o.changes)
	r.ChangeSentKB = ((after.sent-before.sent)/float64(len(f.nodes))/1e3 - r.SentKBs*after.at.Sub(before.at).Seconds()) / total
	r.WritesPerChange = float64(after.writes-before.writes) / total
	r.ChangeMedian, r.ChangeWorst = medianAndWorst(change)
	r.WithdrawMedian, r.WithdrawWorst = medianAndWorst(withdraw)
	r.PublishMedian, _ = medianAndWorst(written)
	r.SpreadMedian, r.SpreadWorst = medianAndWorst(spread)
	return nil
}

func medianAndWorst(v []float64) (median, worst float64) {
	if len(v) == 0 {
		return 0, 0
	}
	slices.Sort(v)
	return v[len(v)/2], v[len(v)-1]
}

// sampleSize is how many nodes are asked all along whether they have a set.
const sampleSize = 6

// pollEvery is how often they are asked. An answer costs a node calls of the
// store, of which it has a share.
const pollEvery = 50 * time.Millisecond

// timing is how long one publication took, in seconds.
type timing struct {
	own    float64   // Until the publishing node had it in force.
	all    float64   // Until that node knew that all have it.
	spread []float64 // From own until each of a sample of nodes had it.
}

// put publishes a set at a node.
func (f *fleet) put(at int, base tarragondeal.Version, set *tarragondeal.Set, r *result) (timing, error) {
	text, err := tdset.Format(set)
	if err != nil {
		return timing{}, err
	}
	in := tdoperator.Published{Version: base, Text: string(text), Wait: tarragondeal.Duration(time.Minute)}
	return f.change(at, base, http.MethodPut, "/operator/set", in, r)
}

func (f *fleet) withdraw(at int, base tarragondeal.Version, key string, r *result) (timing, error) {
	in := tdoperator.NewKey{Wait: tarragondeal.Duration(time.Minute)}
	return f.change(at, base, http.MethodPost, "/operator/keys/"+key+"/withdraw", in, r)
}

// change makes a change at a node and watches a sample of nodes.
func (f *fleet) change(at int, base tarragondeal.Version, method, path string, in any, r *result) (timing, error) {
	began := time.Now()
	seen := make([]float64, 1+min(sampleSize, len(f.nodes)-1))
	var wg sync.WaitGroup
	for k := range seen {
		n := f.nodes[(at+k*max(1, len(f.nodes)/len(seen)))%len(f.nodes)]
		if base == 0 {
			break
		}
		wg.Go(func() {
			for status(n).Version <= base && time.Since(began) < time.Minute {
				time.Sleep(pollEvery)
			}
			seen[k] = time.Since(began).Seconds()
		})
	}
	var out tdoperator.Result
	code, err := f.nodes[at].Operator(method, path, in, &out)
	t := timing{all: time.Since(began).Seconds()}
	wg.Wait()
	if err == nil && code != http.StatusOK {
		err = fmt.Errorf("publish version %d at %s: status %d", base+1, f.nodes[at].Name, code)
	}
	r.Lagging += len(out.Lagging)
	t.own = seen[0]
	for _, s := range seen[1:] {
		t.spread = append(t.spread, s-t.own)
	}
	return t, err
}

func bigSet(o options) *tarragondeal.Set {
	s := &tarragondeal.Set{
		ServerPools:    []tarragondeal.ServerPool{{Name: "narrator", Kind: tarragondeal.PoolModel, Model: "m", Slots: 4}},
		RequestClasses: []tarragondeal.RequestClass{{Name: "bench", Tier: 1, Deadline: tarragondeal.Duration(10 * time.Second)}},
		Routes:         []tarragondeal.Route{{Name: "narrate", Class: "bench", Pools: []string{"narrator"}}},
	}
	for n := range o.dataCentre {
		s.DataCentres = append(s.DataCentres, tarragondeal.DataCentre{Name: fmt.Sprintf("dc%d", n), Region: "lakes"})
	}
	for n := range o.workspaces {
		s.Workspaces = append(s.Workspaces, tarragondeal.Workspace{Name: fmt.Sprintf("workspace%05d", n), DataCentres: []string{"dc0", "dc1"}})
	}
	for n := range o.keys {
		s.Keys = append(s.Keys, tarragondeal.Key{
			Name: fmt.Sprintf("key%05d", n), Workspace: fmt.Sprintf("workspace%05d", n%o.workspaces),
			Salt: fmt.Sprintf("c2FsdHNhbHRzYWx0%06d==", n), Digest: fmt.Sprintf("ZGlnZXN0ZGlnZXN0ZGlnZXN0ZGlnZXN0%011d=", n),
		})
	}
	return s
}
