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

// token is the operators' token of measured nodes.
const token = "measure-operator-token"

// startWait bounds how long a node may take to take callers.
const startWait = 15 * time.Second

// Node is one entry VM's process and the proxies before it.
type Node struct {
	Name       string
	DataCentre string
	Callers    netip.AddrPort
	Operators  netip.AddrPort
	// Store is between the node and the platform.
	Store     *tdfault.Proxy
	peers     netip.AddrPort
	peerProxy *tdfault.Proxy // Between other nodes and this one.

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

func newNode(name, dataCentre string, store netip.AddrPort) (*Node, error) {
	n := &Node{Name: name, DataCentre: dataCentre}
	var err error
	for _, addr := range []*netip.AddrPort{&n.Callers, &n.Operators, &n.peers} {
		if *addr, err = tdport.Free(); err != nil {
			return nil, err
		}
	}
	if n.Store, err = tdfault.New(store); err != nil {
		return nil, err
	}
	n.peerProxy, err = tdfault.New(n.peers)
	return n, err
}

func (n *Node) start(ctx context.Context, binary string, logTo io.Writer, more []string) error {
	args := append([]string{
		"serve", "-name", n.Name, "-dataCentre", n.DataCentre, "-platform.url", "http://" + n.Store.Addr().String(),
		"-listen.callers", n.Callers.String(), "-listen.peers", n.peers.String(), "-advertise.peers", n.peerProxy.Addr().String(),
		"-listen.operators", n.Operators.String(), "-operator.token", token,
		"-platform.listEvery", "500ms", "-drain.wait", "1s", "-entry.ttl", "1s", "-log.level", "warn",
	}, more...)
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
	return n.up(ctx, done)
}

func (n *Node) up(ctx context.Context, done <-chan struct{}) error {
	ctx, cancel := context.WithTimeout(ctx, startWait)
	defer cancel()
	for {
		c, err := net.DialTimeout("tcp", n.Callers.String(), time.Second)
		if err == nil {
			return c.Close()
		}
		select {
		case <-done:
			return eris.Errorf("node %s ended at its start", n.Name)
		case <-ctx.Done():
			return eris.Wrapf(err, "node %s does not take callers", n.Name)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// PID returns the process's number.
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

// Kill ends the process at once and waits for it.
func (n *Node) Kill() {
	n.signal(syscall.SIGKILL)
	n.signal(syscall.SIGCONT)
	<-n.ended()
}

// Stop asks the process to stop, waits for its end and returns its exit
// code. A process that does not end in time is killed, with exit code -1.
func (n *Node) Stop(within time.Duration) int {
	n.signal(syscall.SIGTERM)
	select {
	case <-n.ended():
	case <-time.After(within):
		n.Kill()
		return -1
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cmd.ProcessState.ExitCode()
}

// Pause makes the process stand still.
func (n *Node) Pause() { n.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (n *Node) Resume() { n.signal(syscall.SIGCONT) }

// CutPeers breaks the links that other nodes made to this one.
func (n *Node) CutPeers() { n.peerProxy.Cut() }

// HealPeers lets other nodes reach this one again.
func (n *Node) HealPeers() { n.peerProxy.Heal() }

// ControlBytes returns how many bytes crossed the links that other nodes
// made to this one, and the link to the platform.
func (n *Node) ControlBytes() (peers, store int64) {
	return n.peerProxy.Bytes(), n.Store.Bytes()
}

func (n *Node) ended() <-chan struct{} {
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
	n.Store.Close()
}

// operatorTimeout bounds a call of the operators' side.
const operatorTimeout = 15 * time.Second

// Operator calls the operators' side and decodes the answer into out.
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
	req.Header.Set("Authorization", "Bearer "+token)
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
