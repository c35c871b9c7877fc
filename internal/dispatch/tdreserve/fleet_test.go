package tdreserve_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"path"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/base/tdtask"
	"tarragondeal/internal/dispatch/tdchoose"
	"tarragondeal/internal/dispatch/tdowner"
	"tarragondeal/internal/dispatch/tdprefix"
	"tarragondeal/internal/dispatch/tdquarantine"
	"tarragondeal/internal/dispatch/tdreserve"
)

func TestReserve(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reserve")
}

// fleet is a set of nodes that call each other without a network.
type fleet struct {
	mu      sync.Mutex
	nodes   map[tarragondeal.NodeID]*node
	servers []tarragondeal.Server
	slots   int
	running map[tarragondeal.ServerID]int
	leaving map[tarragondeal.ServerID]bool
	over    []string // One entry for each time a server ran more requests than its slots.
	calls   atomic.Int64
	bytes   atomic.Int64
}

// node is one node of a fleet.
type node struct {
	f          *fleet
	id         tarragondeal.NodeID
	view       *view
	owner      *tdowner.Owner
	dispatcher *tdreserve.Dispatcher
	quarantine *tdquarantine.Quarantine
	tasks      *tdtask.Group
	ctx        context.Context
	stop       context.CancelFunc
	callers    conc.WaitGroup
}

func newFleet(servers, slots int) *fleet {
	f := &fleet{
		nodes: make(map[tarragondeal.NodeID]*node), slots: slots,
		running: make(map[tarragondeal.ServerID]int), leaving: make(map[tarragondeal.ServerID]bool),
	}
	for n := range servers {
		f.servers = append(f.servers, tarragondeal.Server{
			ID: tarragondeal.ServerID(fmt.Sprintf("server%d", n)), Pool: "narrator", DataCentre: "duluth",
			Addr: netip.MustParseAddrPort("127.0.0.1:1"), State: tarragondeal.VMLive,
		})
	}
	return f
}

// Servers, Pool, Slots and Region implement tdowner.Site and tdreserve.Site.
func (f *fleet) Servers() []tarragondeal.Server { return f.servers }
func (f *fleet) Pool(string) tdchoose.Pool      { return tdchoose.Pool{Slots: f.slots} }
func (f *fleet) Slots(string) int               { return f.slots }
func (f *fleet) Region(string) string           { return "lakes" }
func (f *fleet) get(id tarragondeal.NodeID) *node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nodes[id]
}

// Load implements tarragondeal.LoadReader.
func (f *fleet) Load(_ context.Context, s tarragondeal.Server) (tarragondeal.Load, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return tarragondeal.Load{Server: s.ID, Running: f.running[s.ID], Slots: f.slots, Leaving: f.leaving[s.ID]}, nil
}

// view is a node's view of the membership.
type view struct {
	mu      sync.Mutex
	self    tarragondeal.Member
	members []tarragondeal.Member
	changed chan struct{}
}

func (v *view) Self() tarragondeal.Member { return v.self }

func (v *view) Members() []tarragondeal.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.members
}

func (v *view) Changed() <-chan struct{} {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.changed
}

func (v *view) set(members []tarragondeal.Member) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.members = members
	close(v.changed)
	v.changed = make(chan struct{})
}

// start adds a node. The other nodes learn of it when spread is called.
func (f *fleet) start(id tarragondeal.NodeID) *node {
	n := &node{f: f, id: id, view: &view{self: member(id), changed: make(chan struct{})}}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.tasks = tdtask.New(n.ctx)
	f.mu.Lock()
	n.view.members = append(f.members(), member(id))
	f.mu.Unlock()
	l := links{f: f, from: n}
	n.quarantine = tdquarantine.New(tdquarantine.Deps{Members: n.view, Links: l, Clock: tdclock.New(), Log: zerolog.Nop()})
	n.owner = tdowner.New(tdowner.Deps{
		Members: n.view, Links: l, Site: f, Loads: f, Clock: tdclock.New(),
		Scope: tally.NoopScope, Log: zerolog.Nop(),
	}, tdowner.Options{PollEvery: 100 * time.Millisecond})
	prefixes, err := tdprefix.New(100)
	Expect(err).NotTo(HaveOccurred())
	n.dispatcher = tdreserve.New(tdreserve.Deps{
		Self: id, Owner: n.owner, Links: l, Site: f, Clock: tdclock.New(),
		Quarantine: n.quarantine, Prefixes: prefixes, Scope: tally.NoopScope, Log: zerolog.Nop(),
	})
	f.mu.Lock()
	next := map[tarragondeal.NodeID]*node{id: n}
	for other, m := range f.nodes {
		next[other] = m
	}
	f.nodes = next
	f.mu.Unlock()
	n.tasks.Go("own", n.owner.Run)
	n.tasks.Go("take", n.owner.RunTakeovers)
	n.tasks.Go("poll", n.owner.Poll)
	n.tasks.Go("report", n.dispatcher.Run)
	n.tasks.Go("tell", n.quarantine.Run)
	return n
}

func member(id tarragondeal.NodeID) tarragondeal.Member {
	return tarragondeal.Member{Node: id, DataCentre: "duluth", State: tarragondeal.MemberAlive}
}

func (f *fleet) members() []tarragondeal.Member {
	var out []tarragondeal.Member
	for id := range f.nodes {
		out = append(out, member(id))
	}
	return out
}

// spread updates the membership view of every node, pausing before each one.
func (f *fleet) spread(pause func() time.Duration) {
	f.mu.Lock()
	members := f.members()
	nodes := f.nodes
	f.mu.Unlock()
	for _, n := range nodes {
		time.Sleep(pause())
		n.view.set(members)
	}
}

// kill stops a node and its callers.
func (f *fleet) kill(id tarragondeal.NodeID) {
	f.mu.Lock()
	n := f.nodes[id]
	next := make(map[tarragondeal.NodeID]*node)
	for other, m := range f.nodes {
		if other != id {
			next[other] = m
		}
	}
	f.nodes = next
	f.mu.Unlock()
	n.end()
}

func (n *node) end() {
	n.stop()
	n.callers.Wait()
	go n.tasks.Close()
	for range n.tasks.Ends() {
	}
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.end()
	}
}

// links implements tdowner.Links for the nodes of a fleet.
type links struct {
	f    *fleet
	from *node
}

func (l links) Conn(id tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	if n := l.f.get(id); n != nil && l.from.ctx.Err() == nil {
		return conn{l: l, to: n}, nil
	}
	return nil, errors.New("no such node")
}

type conn struct {
	l  links
	to *node
}

// Invoke simulates a network call: messages are copied, and a call from or to a
// dead node fails.
func (c conn) Invoke(ctx context.Context, method string, in, out any, _ ...grpc.CallOption) error {
	time.Sleep(time.Duration(rand.Int64N(int64(time.Millisecond))))
	if c.to.ctx.Err() != nil || c.l.from.ctx.Err() != nil {
		return errors.New("node is dead")
	}
	in = proto.Clone(in.(proto.Message))
	var reply proto.Message
	var err error
	switch path.Base(method) {
	case "Reserve":
		reply, err = c.to.owner.Reserve(ctx, in.(*tdowner.ReserveRequest))
	case "Report":
		reply, err = c.to.owner.Report(ctx, in.(*tdowner.ReportRequest))
	case "TakeOver":
		reply, err = c.to.owner.TakeOver(ctx, in.(*tdowner.TakeOverRequest))
	case "Compare":
		reply, err = c.to.quarantine.Compare(ctx, in.(*tdquarantine.History))
	case "Tell":
		reply, err = c.to.quarantine.Tell(ctx, in.(*tdquarantine.CrashNotice))
	}
	if err == nil {
		err = ctx.Err()
	}
	if err != nil || c.to.ctx.Err() != nil || c.l.from.ctx.Err() != nil {
		return errors.Join(err, errors.New("no answer"))
	}
	c.l.f.calls.Add(1)
	c.l.f.bytes.Add(int64(proto.Size(in.(proto.Message)) + proto.Size(reply)))
	proto.Merge(out.(proto.Message), reply)
	return nil
}

func (conn) NewStream(context.Context, *grpc.StreamDesc, string, ...grpc.CallOption) (grpc.ClientStream, error) {
	return nil, errors.New("no streams")
}

func (f *fleet) begin(id tarragondeal.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id]++
	if f.running[id] > f.slots {
		f.over = append(f.over, fmt.Sprintf("%s runs %d of %d", id, f.running[id], f.slots))
	}
}

func (f *fleet) finish(id tarragondeal.ServerID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.running[id]--
}

func ask(id string) tarragondeal.Ask {
	return tarragondeal.Ask{
		Request: tarragondeal.RequestID(id), Attempt: 1, Workspace: "w", Class: "bench", Tier: 1,
		Pools: []string{"narrator"}, DataCentres: []string{"duluth"}, Deadline: 10 * time.Second, Work: 10,
	}
}

// call runs one request and returns an error if it was not granted.
func (n *node) call(a tarragondeal.Ask, hold time.Duration) error {
	g, err := n.dispatcher.Reserve(n.ctx, a)
	if err != nil {
		return err
	}
	n.f.begin(g.Server.ID)
	time.Sleep(hold)
	n.f.finish(g.Server.ID)
	n.dispatcher.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed, Tokens: 10, Total: hold})
	return nil
}

func (n *node) load(callers int, served *atomic.Int64) {
	for k := range callers {
		n.callers.Go(func() {
			for n.ctx.Err() == nil {
				if n.call(ask(fmt.Sprintf("%s.%d", n.id, k)), time.Duration(rand.Int64N(int64(10*time.Millisecond)))) == nil {
					served.Add(1)
				}
			}
		})
	}
}

var _ = Describe("a fleet of nodes", func() {
	It("never grants a server more requests than its slots while owners change", func() {
		f := newFleet(4, 3)
		defer f.close()
		var served atomic.Int64
		random := rand.New(rand.NewPCG(1, 2))
		pause := func() time.Duration { return time.Duration(random.Int64N(int64(100 * time.Millisecond))) }
		for n := range 4 {
			f.start(tarragondeal.NodeID(fmt.Sprintf("node%d", n))).load(6, &served)
		}
		f.spread(pause)
		for n := range 8 {
			time.Sleep(pause())
			id := tarragondeal.NodeID(fmt.Sprintf("node%d", n%4))
			f.kill(id)
			f.spread(pause)
			f.start(id).load(6, &served)
			f.spread(pause)
		}
		before := served.Load()
		Eventually(served.Load, "20s").Should(BeNumerically(">", before+100))
		f.mu.Lock()
		defer f.mu.Unlock()
		Expect(f.over).To(BeEmpty())
	})

	It("refuses a request at every node after it has crashed two servers", func() {
		f := newFleet(4, 3)
		defer f.close()
		for n := range 3 {
			f.start(tarragondeal.NodeID(fmt.Sprintf("node%d", n)))
		}
		f.spread(func() time.Duration { return 0 })
		poison := ask("poison")
		poison.Fingerprint = 7
		// The caller sends it to the first node twice, then to the others.
		order := []tarragondeal.NodeID{"node0", "node0", "node1", "node2"}
		crashes := 0
		var refused *tarragondeal.RefusedError
		for n := 0; refused == nil; n++ {
			node := f.get(order[n])
			g, err := node.dispatcher.Reserve(node.ctx, poison)
			if errors.As(err, &refused) {
				break
			}
			crashes++
			node.dispatcher.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeCrashed})
			Expect(crashes).To(BeNumerically("<=", 2))
		}
		Expect(refused.Reason).To(Equal(tarragondeal.ReasonQuarantined), refused.Detail)
		Expect(refused.Ran).To(Equal(tarragondeal.RanNot))
		Expect(crashes).To(Equal(2))
		bystander := ask("bystander")
		bystander.Fingerprint = 8
		Expect(f.get("node1").call(bystander, 0)).To(Succeed())
	})

	It("grants no new requests on a leaving server", func() {
		f := newFleet(2, 3)
		defer f.close()
		n := f.start("node0")
		Expect(n.call(ask("warm"), 0)).To(Succeed())
		f.mu.Lock()
		f.leaving["server0"] = true
		f.mu.Unlock()
		granted := func() bool {
			a := ask("x")
			g, err := n.dispatcher.Reserve(n.ctx, a)
			n.dispatcher.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
			return err == nil && g.Server.ID == "server0"
		}
		Eventually(func() bool {
			for range 20 {
				if granted() {
					return true
				}
			}
			return false
		}, "10s").Should(BeFalse())
		for range 50 {
			Expect(granted()).To(BeFalse())
		}
	})

	It("refuses a request immediately if no server is permitted", func() {
		f := newFleet(2, 3)
		defer f.close()
		n := f.start("node0")
		Expect(n.call(ask("warm"), 0)).To(Succeed())
		a := ask("abroad")
		a.DataCentres = []string{"erie"}
		var refused *tarragondeal.RefusedError
		Expect(errors.As(n.call(a, 0), &refused)).To(BeTrue())
		Expect(refused.Reason).To(Equal(tarragondeal.ReasonNoServer))
	})
})

func BenchmarkMessages(b *testing.B) {
	RegisterTestingT(b)
	f := newFleet(8, 8)
	defer f.close()
	for n := range 4 {
		f.start(tarragondeal.NodeID(fmt.Sprintf("node%d", n)))
	}
	f.spread(func() time.Duration { return 0 })
	n := f.get("node0")
	_ = n.call(ask("warm"), time.Second)
	calls, bytes := f.calls.Load(), f.bytes.Load()
	for b.Loop() {
		_ = n.call(ask("x"), 0)
	}
	b.ReportMetric(float64(f.calls.Load()-calls)/float64(b.N), "calls/request")
	b.ReportMetric(float64(f.bytes.Load()-bytes)/float64(b.N), "bytes/request")
}
