package vm_test

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// link forwards connections of one node to one server.
type link struct {
	target string
	addr   string

	mu       sync.Mutex
	ln       net.Listener // Nil while the link is cut.
	conns    map[net.Conn]bool
	accepted int
	hung     []func() // Closes what makes new connections hang.
}

func newLink(target string) *link {
	l := &link{target: target, addr: "127.0.0.1:0", conns: make(map[net.Conn]bool)}
	l.heal()
	return l
}

// heal makes the link accept connections.
func (l *link) heal() {
	GinkgoHelper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range l.hung {
		f()
	}
	l.hung = nil
	if l.ln != nil {
		return
	}
	Eventually(func() (err error) {
		l.ln, err = net.Listen("tcp", l.addr)
		return err
	}, "5s", "10ms").Should(Succeed())
	l.addr = l.ln.Addr().String()
	go l.accept(l.ln)
}

// refuse makes the link refuse new connections.
func (l *link) refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ln != nil {
		_ = l.ln.Close()
		l.ln = nil
	}
}

// hang makes new connections hang: none is accepted and their queue is full, so that
// the system drops further ones.
func (l *link) hang() {
	GinkgoHelper()
	l.refuse()
	l.mu.Lock()
	defer l.mu.Unlock()
	addr, err := net.ResolveTCPAddr("tcp4", l.addr)
	Expect(err).NotTo(HaveOccurred())
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	Expect(err).NotTo(HaveOccurred())
	l.hung = append(l.hung, func() { _ = syscall.Close(fd) })
	Expect(syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)).To(Succeed())
	Expect(syscall.Bind(fd, &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())})).To(Succeed())
	Expect(syscall.Listen(fd, 0)).To(Succeed())
	for range 3 {
		if c, err := net.DialTimeout("tcp", l.addr, 50*time.Millisecond); err == nil {
			l.hung = append(l.hung, func() { _ = c.Close() })
		}
	}
}

// reset breaks the open connections.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// count returns the number of connections that were accepted.
func (l *link) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.accepted
}

func (l *link) accept(ln net.Listener) {
	for {
		in, err := ln.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", l.target)
		if err != nil {
			_ = in.Close()
			continue
		}
		l.mu.Lock()
		l.accepted++
		l.conns[in], l.conns[out] = true, true
		l.mu.Unlock()
		go l.forward(in, out)
		go l.forward(out, in)
	}
}

func (l *link) forward(to, from net.Conn) {
	_, _ = io.Copy(to, from)
	_ = to.Close()
	_ = from.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, to)
	delete(l.conns, from)
}

// linkedNode is a node that reaches the servers over links of its own.
type linkedNode struct {
	*node
	links []*link
}

func (n *linkedNode) each(f func(*link)) {
	GinkgoHelper()
	for _, l := range n.links {
		f(l)
	}
}

// connections returns the number of connections that the node has opened to servers.
func (n *linkedNode) connections() int {
	count := 0
	n.each(func(l *link) { count += l.count() })
	return count
}

// newLinkedNode starts a node in whose copy of the store the servers have the
// addresses of its links.
func newLinkedNode(name string, s *store, servers []*server) *linkedNode {
	n := &linkedNode{}
	addrs := make(map[string]string)
	for _, srv := range servers {
		target := strings.TrimPrefix(srv.srv.URL, "http://")
		l := newLink(target)
		addrs[target] = l.addr
		n.links = append(n.links, l)
	}
	view := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		s.srv.Config.Handler.ServeHTTP(rec, r)
		body := rec.Body.Bytes()
		var v map[string]any
		if json.Unmarshal(body, &v) == nil {
			replaceAddrs(v, addrs)
			body, _ = json.Marshal(v)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(rec.Code)
		_, _ = w.Write(body)
	}))
	DeferCleanup(func() {
		view.CloseClientConnections()
		view.Close()
		n.each((*link).refuse)
		n.each((*link).reset)
	})
	n.node = newNodeAt(name, view.URL, "")
	return n
}

// newLinkedFleet starts a fleet of nodes with links of their own. It must be so small
// that all of them follow the store.
func newLinkedFleet(size int) (*fleet, []*linkedNode) {
	f := newFleet(0)
	var nodes []*linkedNode
	for n := range size {
		nodes = append(nodes, newLinkedNode(fmt.Sprintf("node-%d", n+1), f.store, []*server{f.plain, f.engine, f.engine2}))
		f.nodes = append(f.nodes, nodes[n].node)
	}
	return f, nodes
}

// replaceAddrs replaces addresses in the entries of servers that an answer of the
// store holds.
func replaceAddrs(v map[string]any, addrs map[string]string) {
	for _, name := range []string{"items", "events"} {
		list, _ := v[name].([]any)
		for _, e := range list {
			if entry, ok := e.(map[string]any); ok {
				replaceAddrs(entry, addrs)
			}
		}
	}
	key, _ := v["key"].(string)
	text, _ := v["value"].(string)
	value, err := base64.StdEncoding.DecodeString(text)
	if err != nil || !strings.HasPrefix(key, "servers/") {
		return
	}
	for from, to := range addrs {
		value = bytes.ReplaceAll(value, []byte(from), []byte(to))
	}
	v["value"] = base64.StdEncoding.EncodeToString(value)
}

// tries counts requests by the node to which they were sent.
type tries struct {
	mu           sync.Mutex
	sent, served map[string]int
	statuses     map[int]int
	done         chan struct{}
	wg           sync.WaitGroup
}

// startTries sends requests of all kinds to the nodes in turn until stop is called.
func startTries(nodes []*linkedNode, interval time.Duration) *tries {
	t := &tries{sent: make(map[string]int), served: make(map[string]int), statuses: make(map[int]int), done: make(chan struct{})}
	t.wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for k := 0; ; k++ {
			select {
			case <-t.done:
				return
			case <-tick.C:
			}
			n := nodes[k%len(nodes)]
			target := []string{"/look/", "/book/", "/chat/"}[k/len(nodes)%3]
			t.wg.Go(func() {
				r := n.send(http.MethodPost, target+"try", "key-a", "x")
				t.mu.Lock()
				defer t.mu.Unlock()
				t.sent[n.name]++
				t.statuses[r.status]++
				if r.err == nil && r.status == http.StatusOK {
					t.served[n.name]++
				}
			})
		}
	})
	return t
}

// stop waits for the requests and returns those that were sent and served, of the nodes
// that are cut off and of the others.
func (t *tries) stop(cut []*linkedNode) (cutSent, cutServed, otherSent, otherServed int) {
	close(t.done)
	t.wg.Wait()
	isCut := make(map[string]bool)
	for _, n := range cut {
		isCut[n.name] = true
	}
	for name, sent := range t.sent {
		if isCut[name] {
			cutSent, cutServed = cutSent+sent, cutServed+t.served[name]
		} else {
			otherSent, otherServed = otherSent+sent, otherServed+t.served[name]
		}
	}
	return cutSent, cutServed, otherSent, otherServed
}

var _ = Describe("nodes that are cut off from all servers", func() {
	const (
		size = 4
		// graceTime is the time after the cut in which requests may fail.
		graceTime = 3 * time.Second
		length    = 4 * time.Second
	)
	refuse := func(n *linkedNode) { n.each((*link).refuse) }
	for _, c := range []struct {
		name   string
		cut    int
		fault  func(*linkedNode)
		during func([]*linkedNode)
	}{
		{"connections live on while new ones are refused", 2, refuse, nil},
		{"connections are reset, and new ones are refused", 2, func(n *linkedNode) {
			refuse(n)
			n.each((*link).reset)
		}, nil},
		{"connections are reset, and new ones hang", 2, func(n *linkedNode) {
			n.each((*link).hang)
			n.each((*link).reset)
		}, nil},
		{"all nodes but one are cut off", 3, func(n *linkedNode) {
			refuse(n)
			n.each((*link).reset)
		}, nil},
		{"another node is killed and starts again", 2, func(n *linkedNode) {
			n.each((*link).hang)
			n.each((*link).reset)
		}, func(nodes []*linkedNode) {
			time.Sleep(length / 4)
			nodes[size-1].kill()
			time.Sleep(length / 4)
			nodes[size-1].start()
		}},
		{"a node that is cut off starts again", 2, func(n *linkedNode) {
			n.each((*link).hang)
			n.each((*link).reset)
			n.kill()
			n.start()
		}, nil},
	} {
		// Guards against callers of nodes without links to servers, who are served far worse
		// than the callers of other nodes.
		It("serve their callers as the others do, "+c.name, func() {
			f, nodes := newLinkedFleet(size)
			f.attempts = 1
			f.putConfig()
			f.waitReady()
			warm := startTries(nodes, 10*time.Millisecond)
			time.Sleep(time.Second)
			cut := nodes[:c.cut]
			for _, n := range cut {
				c.fault(n)
			}
			time.Sleep(graceTime)
			warm.stop(cut)
			measured := startTries(nodes, 10*time.Millisecond)
			if c.during != nil {
				c.during(nodes)
			}
			time.Sleep(length)
			cutSent, cutServed, otherSent, otherServed := measured.stop(cut)
			GinkgoWriter.Printf("cut off: %d of %d served; others: %d of %d; statuses %v\n", cutServed, cutSent, otherServed, otherSent, measured.statuses)
			Expect(cutSent).To(BeNumerically(">", 100))
			failed := cutSent - cutServed
			enough := float64(cutServed)/float64(cutSent) >= 2.0/3*float64(otherServed)/float64(otherSent)
			Expect(enough || failed <= 10+(cutSent+otherSent)/50).To(BeTrue(), "%d of %d served where the others serve %d of %d", cutServed, cutSent, otherServed, otherSent)

			for _, n := range cut {
				n.each((*link).heal)
			}
			Eventually(func() bool {
				for _, n := range cut {
					before := n.connections()
					for range 3 {
						_ = n.send(http.MethodPost, "/book/healed", "key-a", "x")
					}
					if n.connections() < before+3 {
						return false
					}
				}
				return true
			}, "8s", "100ms").Should(BeTrue(), "the nodes use their own links again")
		})
	}
})
