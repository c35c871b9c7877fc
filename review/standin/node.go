package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// command is how the deploy file starts a node.
const command = "target/tarragondeal-node"

// node is a process of the project.
type node struct {
	name                    string
	front, ready, directory string
	settings, log           string
	root                    string
	cmd                     *exec.Cmd
	ended                   chan struct{}
}

// firstPort and portCount are the range of the nodes' ports. It is below that from which a
// system takes the ports of outgoing connections, so that a node can start again at its own.
const (
	firstPort = 20_000
	portCount = 12_000
)

// taken are the ports that freePorts has returned. Not all of them are in use at once.
var taken = map[int]bool{}

// freePorts returns the first of n consecutive ports that are free, each time others.
func freePorts(n int) (int, error) {
	for range 200 {
		first := firstPort + rand.IntN(portCount-n)
		var open []net.Listener
		for p := first; p < first+n && !taken[p]; p++ {
			ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", p))
			if err != nil {
				break
			}
			open = append(open, ln)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			for p := first; p < first+n; p++ {
				taken[p] = true
			}
			return first, nil
		}
	}
	return 0, fmt.Errorf("no %d consecutive free ports", n)
}

const settingsText = `node = "%s"
role = "entry"
machineClass = "front"
serves = ["front","directory"]
ip = "127.0.0.1"
zone = "sone-bergen"
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
[listen]
front = "%s"
ready = "%s"
directory = "%s"
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
addr = "%s"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
[cloud]
addr = "%s"
ratePerS = 50.0
duties = ["usage_report","scale"]
dutiesPerS = 50.0
`

// newNode prepares a node whose files are in dir. The node is not started.
func newNode(root, dir, name, provider, cloud string) (*node, error) {
	p, err := freePorts(12)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return fmt.Sprintf("127.0.0.1:%d", p+n) }
	n := &node{
		name: name, root: root, front: at(0), ready: at(1), directory: at(2),
		settings: filepath.Join(dir, name+".toml"), log: filepath.Join(dir, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, p+3, p+11, true, n.front, n.ready, n.directory, provider, cloud)
	return n, os.WriteFile(n.settings, []byte(text), 0o600)
}

func (n *node) start() error {
	out, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	n.cmd = exec.Command(filepath.Join(n.root, command))
	n.cmd.Dir, n.cmd.Stdout, n.cmd.Stderr = n.root, out, out
	n.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(n.settings), "TARRAGONDEAL_CONFIG=" + n.settings}
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := n.cmd, make(chan struct{})
	n.ended = ended
	go func() {
		_ = cmd.Wait()
		close(ended)
	}()
	return nil
}

// laterStarts makes the settings say that the deployment has run before.
func (n *node) laterStarts() error {
	text, err := os.ReadFile(n.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(n.settings, []byte(strings.Replace(string(text), "bootstrap = true", "bootstrap = false", 1)), 0o600)
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// stop kills the process, if it runs, and waits for its end.
func (n *node) stop() {
	if n.cmd == nil {
		return
	}
	if n.running() {
		n.signal(syscall.SIGKILL)
	}
	<-n.ended
}

func (n *node) isReady() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get("http://" + n.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// waitReady waits until the node is ready.
func (n *node) waitReady(most time.Duration) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", n.name)
}
