package tdmember_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdmember"
	"tarragondeal/internal/fleet/tdpeer"
	"tarragondeal/internal/fleet/tdspread"
)

func TestMember(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Member")
}

// partition is one side of a network partition that can be switched on and off.
type partition struct {
	cut     *atomic.Bool
	first   bool
	inFirst map[netip.AddrPort]bool // Whether an address is on the first side.
	mu      *sync.Mutex
}

// cutLinks refuses to dial the other side of an active partition.
type cutLinks struct {
	*tdpeer.Links
	r partition
}

func (l cutLinks) Dial(a netip.AddrPort) (grpc.ClientConnInterface, error) {
	l.r.mu.Lock()
	defer l.r.mu.Unlock()
	if l.r.cut.Load() && l.r.inFirst[a] != l.r.first {
		return nil, errors.New("network partition")
	}
	return l.Links.Dial(a)
}

// node is a node that runs membership and message spreading only.
type node struct {
	members  *tdmember.Members
	spread   *tdspread.Spread
	messages chan string
	stop     func()
}

func startNode(n int, every time.Duration, scope tally.Scope, r *partition, seeds ...netip.AddrPort) *node {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	addr := netip.MustParseAddrPort(ln.Addr().String())
	self := tarragondeal.Member{
		Node: tarragondeal.NodeID(fmt.Sprintf("node%03d", n)), DataCentre: []string{"duluth", "erie"}[n%2],
		Peer: addr, Entry: addr,
	}
	m := tdmember.New(self, tdmember.Options{Clock: tdclock.New(), Log: zerolog.New(GinkgoWriter), Every: every, Seeds: seeds})
	links, err := tdpeer.New(m, tdpeer.Options{Scope: scope})
	Expect(err).NotTo(HaveOccurred())
	s := tdspread.New(m, tdspread.Options{})
	var reach tdmember.Links = links
	if r != nil {
		r.mu.Lock()
		r.inFirst[addr] = r.first
		r.mu.Unlock()
		reach = cutLinks{Links: links, r: *r}
	}
	m.Register(links.Server(), reach)
	s.Register(links.Server())
	x := &node{members: m, spread: s, messages: make(chan string, 64)}
	s.Subscribe("test", func(from tarragondeal.NodeID, payload []byte) { x.messages <- string(from) + " " + string(payload) })
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 3)
	go func() { done <- links.Serve(ctx, ln) }()
	go func() { done <- m.Run(ctx, reach) }()
	go func() { done <- s.Run(ctx, links) }()
	stopped := false
	x.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel() // Before Stop: Serve returns an error if the server was stopped first.
		links.Server().Stop()
		for range 3 {
			Expect(<-done).To(Succeed())
		}
		links.Close()
	}
	return x
}

func (x *node) names() []string {
	var out []string
	for _, m := range x.members.Members() {
		if m.State == tarragondeal.MemberAlive {
			out = append(out, string(m.Node))
		}
	}
	return out
}

var _ = Describe("a fleet", func() {
	var nodes []*node

	BeforeEach(func() {
		nodes = nil
		var seeds []netip.AddrPort
		for n := range 9 {
			x := startNode(n, 50*time.Millisecond, nil, nil, seeds...)
			DeferCleanup(x.stop)
			if n == 0 {
				seeds = []netip.AddrPort{x.members.Self().Peer}
			}
			nodes = append(nodes, x)
		}
		for _, x := range nodes {
			Eventually(x.names, "20s", "10ms").Should(HaveLen(len(nodes)))
		}
	})

	It("detects a dead node on every other node", func() {
		nodes[4].stop()
		for n, x := range nodes {
			if n != 4 {
				Eventually(func() int { return len(x.members.Members()) }, "20s", "10ms").Should(Equal(len(nodes) - 1))
			}
		}
	})

	It("keeps both sides of a network partition and merges them afterwards", func() {
		r := partition{cut: &atomic.Bool{}, inFirst: map[netip.AddrPort]bool{}, mu: &sync.Mutex{}}
		var both []*node
		var seeds []netip.AddrPort
		for n := range 8 {
			r.first = n < 4
			part := r
			x := startNode(20+n, 50*time.Millisecond, nil, &part, seeds...)
			DeferCleanup(x.stop)
			seeds = []netip.AddrPort{x.members.Self().Peer}
			both = append(both, x)
		}
		for _, x := range both {
			Eventually(x.names, "30s", "10ms").Should(HaveLen(8))
		}
		r.cut.Store(true)
		for _, x := range both {
			Eventually(x.names, "30s", "10ms").Should(HaveLen(4))
		}
		both[6].members.SetConfig(3)
		r.cut.Store(false)
		for _, x := range both {
			Eventually(x.names, "60s", "10ms").Should(HaveLen(8))
			Eventually(func() tarragondeal.Version { return x.members.Members()[6].Config }, "30s", "10ms").Should(Equal(tarragondeal.Version(3)))
		}
	})

	It("announces to all nodes that a node leaves and which configuration it has", func() {
		nodes[3].members.SetConfig(17)
		nodes[3].members.Leave()
		for _, x := range nodes {
			Eventually(func() tarragondeal.Member { return x.members.Members()[3] }, "20s", "10ms").Should(And(
				HaveField("State", tarragondeal.MemberLeaving), HaveField("Config", tarragondeal.Version(17))))
		}
	})

	It("delivers each message to all other nodes once", func() {
		for n := range 20 {
			Expect(nodes[2].spread.Send("test", fmt.Appendf(nil, "m%02d", n))).To(BeTrue())
		}
		for n, x := range nodes {
			if n == 2 {
				continue
			}
			var got []string
			for len(got) < 20 {
				var s string
				Eventually(x.messages, "20s").Should(Receive(&s))
				got = append(got, s)
			}
			seen := map[string]bool{}
			for _, s := range got {
				seen[s] = true
			}
			Expect(seen).To(HaveLen(20))
		}
		Expect(nodes[2].messages).To(BeEmpty())
	})
})
