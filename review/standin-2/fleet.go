package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// dutyCall is a call of the platform's interface for duties.
type dutyCall struct {
	At     time.Time
	Path   string
	Holder string
	Fence  uint64
	Body   string
}

// cloud is the platform's interface for duties.
type cloud struct {
	mu    sync.Mutex
	calls []dutyCall
	addr  string
}

func newCloud(ip string) (*cloud, error) {
	c := &cloud{}
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return nil, err
	}
	c.addr = ln.Addr().String()
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			fence, _ := strconv.ParseUint(r.Header.Get("X-Fence-Token"), 10, 64)
			c.mu.Lock()
			c.calls = append(c.calls, dutyCall{time.Now(), r.URL.Path, r.Header.Get("X-Duty-Holder"), fence, string(body)})
			c.mu.Unlock()
			answer(w, http.StatusOK, map[string]any{})
		}))
	}()
	return c, nil
}

// node is one process of the system.
type node struct {
	name, zone, ip          string
	front, ready, directory string
	peer, metrics           int
	dir                     string
	cmd                     *exec.Cmd
	log                     *os.File
}

// fleet is a small deployment: the system's processes and stand-ins around them.
type fleet struct {
	dir   string
	store *store
	cloud *cloud
	nodes []*node
	start time.Time

	mu     sync.Mutex
	record *os.File
}

// platformIP is the address of the store and of the interface for duties.
const platformIP = "127.0.0.1"

var zones = []string{"sone-bergen", "sone-voss", "sone-haugastol"}

func newFleet(record string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "standin-2-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, start: time.Now()}
	if f.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if f.store, err = newStore(platformIP); err != nil {
		return nil, err
	}
	f.cloud, err = newCloud(platformIP)
	return f, err
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.record, "%8.3f %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// freePort returns a port that is free at an address.
func freePort(ip string) (int, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().(*net.TCPAddr).Port, nil
}

func (f *fleet) addNodes(count int) error {
	for n := range count {
		d := &node{
			name: fmt.Sprintf("front-%d", n+1), zone: zones[n%len(zones)], ip: fmt.Sprintf("127.0.0.%d", 20+n),
		}
		var ports [4]int
		for i := range ports {
			port, err := freePort(d.ip)
			if err != nil {
				return err
			}
			ports[i] = port
		}
		pair := 0
		for pair == 0 {
			port, err := freePort(d.ip)
			if err != nil {
				return err
			}
			if ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", d.ip, port+1)); err == nil {
				_ = ln.Close()
				pair = port
			}
		}
		at := func(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }
		d.front, d.ready, d.directory = at(ports[0]), at(ports[1]), at(ports[2])
		d.peer, d.metrics = pair, pair+1
		d.dir = filepath.Join(f.dir, d.name)
		if err := os.MkdirAll(d.dir, 0o700); err != nil {
			return err
		}
		f.nodes = append(f.nodes, d)
		if err := f.startNode(d, true); err != nil {
			return err
		}
	}
	return nil
}

// settingsFormat is the text of a settings file.
const settingsFormat = `node = %q
role = "entry"
machineClass = "front"
serves = ["front","directory"]
ip = %q
zone = %q
region = "vestlandet"
portRange = [%d,%d]
seeds = []
bootstrap = %t
inTolerance = false
discovery = "platform"
entry = "directory"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","leader","platform"]
[zones]
sone-bergen = "vestlandet"
sone-voss = "vestlandet"
sone-haugastol = "vestlandet"
[listen]
front = %q
ready = %q
directory = %q
[limits]
cpuShare = 0.4
cpus = 1
memoryMb = 134
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchupS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
skewMs = 5000
strictRevoke = false
revokeMs = 5000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 54
requireFence = false
leaseTtlMs = 3000
thawMs = 300
usageWindowS = 5
usageOff = 0.05
usageLateS = 10
recoveryS = 12
passMs = 120
reuseWindowS = 7.3
ttl_max_s = 5
[provider]
addr = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
[cloud]
addr = %q
ratePerS = 50.0
duties = ["usage_report","scale"]
dutiesPerS = 50.0
`

func (f *fleet) settings(d *node, first bool) string {
	return fmt.Sprintf(settingsFormat, d.name, d.ip, d.zone, d.peer, d.metrics, first, d.front, d.ready, d.directory, f.store.addr, f.cloud.addr)
}

// program is the command of the deploy file, from the root of the repository.
const program = "target/tarragondeal-node"

func (f *fleet) startNode(d *node, first bool) error {
	path := filepath.Join(d.dir, "node.toml")
	if err := os.WriteFile(path, []byte(f.settings(d, first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.log = log
	d.cmd = exec.Command(program)
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	d.cmd.Env = append(os.Environ(), "TARRAGONDEAL_CONFIG="+path)
	d.cmd.Stdout, d.cmd.Stderr = log, log
	f.note("node %s starts, first %t", d.name, first)
	return d.cmd.Start()
}

func (f *fleet) signal(d *node, sig syscall.Signal) {
	f.note("node %s gets %v", d.name, sig)
	_ = d.cmd.Process.Signal(sig)
}

// kill ends a process at once and waits for its end.
func (f *fleet) kill(d *node) {
	f.signal(d, syscall.SIGKILL)
	_ = d.cmd.Wait()
	_ = d.log.Close()
}

// waitReady waits until all nodes are ready and name each other.
func (f *fleet) waitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range f.nodes {
			res, err := http.Get("http://" + d.ready + "/v1/readyz")
			if err != nil {
				continue
			}
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(f.nodes) {
			return nil
		}
	}
	return fmt.Errorf("the nodes are not ready after %v", limit)
}

// close ends all processes.
func (f *fleet) close() {
	for _, d := range f.nodes {
		if d.cmd != nil && d.cmd.ProcessState == nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			f.kill(d)
		}
	}
	_ = f.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// route is a route of the configuration.
type route struct {
	Name        string    `json:"name"`
	Host        string    `json:"host"`
	Prefix      string    `json:"prefix"`
	Kind        string    `json:"kind"`
	TimeoutMS   float64   `json:"timeoutMs,omitempty"`
	SloMS       float64   `json:"sloMs"`
	Priority    int       `json:"priority"`
	Service     string    `json:"service,omitempty"`
	Backends    []backend `json:"backends,omitempty"`
	MaxAttempts int       `json:"maxAttempts"`
	Public      bool      `json:"public"`
	Sticky      bool      `json:"sticky,omitempty"`
	Resumable   bool      `json:"resumable"`
	GapSloMS    float64   `json:"gapSloMs,omitempty"`
}

// backend is one of the services that a route is split over.
type backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// host is the host of all routes.
const host = "ficu95.example"

func (f *fleet) putConfig(version int, models []string, routes []route, keys map[string][]string) {
	var tenants, services []map[string]any
	for name, k := range keys {
		tenants = append(tenants, map[string]any{"name": name, "apiKeys": k, "priority": 1})
	}
	for _, name := range models {
		services = append(services, map[string]any{
			"name": name, "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
			"engine": map[string]any{"slots": 64, "kvCapacity": 247344, "stride": 4},
		})
	}
	f.note("configuration %d is written", version)
	f.store.put("op/config", map[string]any{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}
