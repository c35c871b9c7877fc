// Package tdtest starts real node processes for integration tests.
//
// # Usage
//
//	n := tdtest.StartNode(binary, tdtest.NodeSpec{Name: "node1", ...})
//	DeferCleanup(n.Kill)
//	n.Publish(set)
//
// Its functions fail the running Ginkgo spec on an error.
package tdtest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"syscall"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
	"tarragondeal/internal/standin/tdport"
)

// Token is the operator token of the nodes that tests start.
const Token = "test-operator-token"

// NodeSpec describes a node to start.
type NodeSpec struct {
	Name        string
	DataCentre  string
	PlatformURL string
	Policy      string           // Empty for the default.
	Peers       []netip.AddrPort // Addresses of other nodes.
	Args        []string         // Additional flags.
}

// Node is a process of a node and its addresses.
type Node struct {
	Name                      string
	Callers, Peers, Operators netip.AddrPort
	Session                   *gexec.Session
}

// FreeAddr returns a loopback address on which no process listens.
func FreeAddr() netip.AddrPort {
	addr, err := tdport.Free()
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return addr
}

// StartNode starts a node on free addresses.
func StartNode(binary string, s NodeSpec) *Node {
	n := &Node{Name: s.Name, Callers: FreeAddr(), Peers: FreeAddr(), Operators: FreeAddr()}
	n.Start(binary, s)
	return n
}

// Start starts or restarts the node's process on its addresses, and waits
// until it accepts connections.
func (n *Node) Start(binary string, s NodeSpec) {
	args := []string{
		"serve", "-name", s.Name, "-dataCentre", s.DataCentre, "-platform.url", s.PlatformURL,
		"-listen.callers", n.Callers.String(), "-listen.peers", n.Peers.String(),
		"-listen.operators", n.Operators.String(), "-operator.token", Token,
		"-platform.listEvery", "200ms", "-drain.wait", "200ms", "-entry.ttl", "200ms",
	}
	if s.Policy != "" {
		args = append(args, "-dispatch.policy", s.Policy)
	}
	if len(s.Peers) > 0 {
		args = append(args, "-peers", join(s.Peers))
	}
	args = append(args, s.Args...)
	var err error
	cmd := exec.Command(binary, args...)
	// The process gets its own group: the kernel sends SIGHUP to the stopped
	// processes of a group that becomes orphaned, as a shell's job does when
	// the shell exits.
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	n.Session, err = gexec.Start(cmd, ginkgo.GinkgoWriter, ginkgo.GinkgoWriter)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Eventually(n.checkUp, "10s", "20ms").Should(gomega.Succeed())
}

func join(addrs []netip.AddrPort) string {
	out := make([]string, 0, len(addrs))
	for _, a := range addrs {
		out = append(out, a.String())
	}
	return strings.Join(out, ",")
}

func (n *Node) checkUp() error {
	c, err := net.DialTimeout("tcp", n.Callers.String(), time.Second)
	if err != nil {
		return err
	}
	return c.Close()
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	n.Session.Kill().Wait("10s")
}

// Pause suspends the process.
func (n *Node) Pause() { n.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (n *Node) Resume() { n.signal(syscall.SIGCONT) }

func (n *Node) signal(sig syscall.Signal) {
	gomega.Expect(n.Session.Command.Process.Signal(sig)).To(gomega.Succeed(),
		"signal %s; the process's exit code is %d, and it wrote:\n%s", sig, n.Session.ExitCode(), n.Session.Err.Contents())
}

// Operator calls the operator API, decodes a successful answer into out unless
// out is nil, and returns the status.
func (n *Node) Operator(method, path string, in, out any) (int, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequest(method, "http://"+n.Operators.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Authorization", "Bearer "+Token)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = res.Body.Close() }()
	if out == nil || res.StatusCode != http.StatusOK {
		return res.StatusCode, nil
	}
	return res.StatusCode, json.NewDecoder(res.Body).Decode(out)
}

// Publish publishes a set with the node's version in force as its base. It
// retries for 10 s.
func (n *Node) Publish(set *tarragondeal.Set) {
	text, err := tdset.Format(set)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	gomega.Eventually(func() error { return n.publish(string(text)) }, "10s").Should(gomega.Succeed())
}

func (n *Node) publish(text string) error {
	var now struct {
		Version uint64 `json:"version"`
	}
	if _, err := n.Operator(http.MethodGet, "/operator/set", nil, &now); err != nil {
		return err
	}
	in := map[string]any{"version": now.Version, "text": text}
	status, err := n.Operator(http.MethodPut, "/operator/set", in, nil)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("publish: status %d", status)
	}
	return err
}
