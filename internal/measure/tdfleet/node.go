package tdfleet

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal/internal/standin/tdfault"
	"tarragondeal/internal/standin/tdport"
)

// operatorToken authenticates operators at the nodes.
const operatorToken = "measure-operator-token"

// startTimeout limits the time from the start of a node's process until it
// accepts callers' connections.
const startTimeout = 15 * time.Second

// Node is the process of one entry VM and its proxies.
type Node struct {
	Name       string
	DataCentre string
	Callers    netip.AddrPort // Address for callers.
	Operators  netip.AddrPort // Address for operators.
	// PlatformProxy forwards from the node to the platform.
	PlatformProxy *tdfault.Proxy
	peerAddr      netip.AddrPort
	peerProxy     *tdfault.Proxy // Forwards from other nodes to this one.

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newNode(name, dataCentre string, platform netip.AddrPort) (*Node, error) {
	n := &Node{Name: name, DataCentre: dataCentre}
	var err error
	for _, addr := range []*netip.AddrPort{&n.Callers, &n.Operators, &n.peerAddr} {
		if *addr, err = tdport.Free(); err != nil {
			return nil, err
		}
	}
	if n.PlatformProxy, err = tdfault.New(platform); err != nil {
		return nil, err
	}
	n.peerProxy, err = tdfault.New(n.peerAddr)
	return n, err
}

func (n *Node) start(ctx context.Context, binary string, logTo io.Writer, extraArgs []string) error {
	args := append([]string{
		"serve", "-name", n.Name, "-dataCentre", n.DataCentre, "-platform.url", "http://" + n.PlatformProxy.Addr().String(),
		"-listen.callers", n.Callers.String(), "-listen.peers", n.peerAddr.String(), "-advertise.peers", n.peerProxy.Addr().String(),
		"-listen.operators", n.Operators.String(), "-operator.token", operatorToken,
		"-platform.listEvery", "500ms", "-drain.wait", "1s", "-entry.ttl", "1s", "-log.level", "warn",
	}, extraArgs...)
	cmd := exec.Command(binary, args...)
	cmd.Stdout, cmd.Stderr = logTo, logTo
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "start %s", n.Name)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	return n.waitUntilListening(ctx, done)
}

func (n *Node) waitUntilListening(ctx context.Context, done <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		c, err := net.DialTimeout("tcp", n.Callers.String(), time.Second)
		if err == nil {
			return c.Close()
		}
		select {
		case <-done:
			return eris.Errorf("node %s exited during startup", n.Name)
		case <-ctx.Done():
			return eris.Wrapf(err, "node %s does not accept connections", n.Name)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// PID returns the process ID.
func (n *Node) PID() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.Process.Pid
}

func (n *Node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	_ = n.cmd.Process.Signal(s)
}

// Kill kills the process, also when it is suspended, and waits for its exit.
func (n *Node) Kill() {
	n.signal(syscall.SIGKILL)
	n.signal(syscall.SIGCONT)
	<-n.exited()
}

// Stop asks the process to shut down gracefully and returns its exit code. If the
// process has not exited after timeout, Stop kills it and returns -1.
func (n *Node) Stop(timeout time.Duration) int {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.exited():
	case <-time.After(timeout):
		n.Kill()
		return -1
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.ProcessState.ExitCode()
}

// Pause suspends the process.
func (n *Node) Pause() { n.signal(syscall.SIGSTOP) }

// Resume resumes a suspended process.
func (n *Node) Resume() { n.signal(syscall.SIGCONT) }

// CutPeers breaks the connections from other nodes to this one and prevents new
// ones.
func (n *Node) CutPeers() { n.peerProxy.Cut() }

// HealPeers lets other nodes connect to this one again.
func (n *Node) HealPeers() { n.peerProxy.Heal() }

// ControlBytes returns the number of bytes on the connections from other nodes to
// this one and on those to the platform, both directions together.
func (n *Node) ControlBytes() (peers, platform int64) {
	return n.peerProxy.Bytes(), n.PlatformProxy.Bytes()
}

// exited returns a channel that is closed when the process has exited.
func (n *Node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.done
}

func (n *Node) close() {
	n.mu.Lock()
	running := n.cmd != nil
	n.mu.Unlock()
	if running {
		n.Kill()
	}
	n.peerProxy.Close()
	n.PlatformProxy.Close()
}

// operatorTimeout limits the time of a call to the operator API.
const operatorTimeout = 15 * time.Second

// Operator calls the operator API with in as the JSON body and decodes the
// answer into out, unless out is nil. Any status but 200 is an error.
func (n *Node) Operator(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.Operators.String()+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("%s %s at %s: status %d: %.200s", method, path, n.Name, res.StatusCode, answer)
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(answer, out)
}
