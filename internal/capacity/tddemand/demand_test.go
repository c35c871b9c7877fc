package tddemand

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestDemand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Demand")
}

// fakeDispatcher calls onReserve, then grants or refuses as configured.
type fakeDispatcher struct {
	tarragondeal.Dispatcher
	server    tarragondeal.Server
	refuse    tarragondeal.Reason
	onReserve func()
	last      tarragondeal.GrantID
}

func (d *fakeDispatcher) Reserve(context.Context, tarragondeal.Ask) (tarragondeal.Grant, error) {
	if d.onReserve != nil {
		d.onReserve()
	}
	if d.refuse != "" {
		return tarragondeal.Grant{}, &tarragondeal.RefusedError{Reason: d.refuse}
	}
	d.last += "i"
	return tarragondeal.Grant{ID: d.last, Server: d.server}, nil
}

func (d *fakeDispatcher) Done(tarragondeal.Grant, tarragondeal.Outcome) {}

var ask = tarragondeal.Ask{Pools: []string{"regular", "reclaimable"}, DataCentres: []string{"duluth", "erie"}, Target: time.Second}

func lines(c *Counter) []tarragondeal.Demand {
	a, err := c.Read(context.Background(), &ReadRequest{})
	Expect(err).NotTo(HaveOccurred())
	var out []tarragondeal.Demand
	for _, l := range a.GetLines() {
		d := tarragondeal.Demand{Pool: l.GetPool(), DataCentre: l.GetDataCentre()}
		add(&d, l)
		out = append(out, d)
	}
	return out
}

var _ = Describe("demand", func() {
	It("counts a request where it waits and where it runs, and not after its end", func(ctx context.Context) {
		d := &fakeDispatcher{server: tarragondeal.Server{Pool: "reclaimable", DataCentre: "duluth"}}
		c := New(d, "erie")
		d.onReserve = func() {
			Expect(lines(c)).To(ConsistOf(tarragondeal.Demand{Pool: "regular", DataCentre: "erie", Queued: 1, WithTarget: 1}))
		}
		g, err := c.Reserve(ctx, ask)
		Expect(err).NotTo(HaveOccurred())
		Expect(lines(c)).To(ContainElement(tarragondeal.Demand{Pool: "reclaimable", DataCentre: "duluth", Running: 1, WithTarget: 1}))
		c.Done(g, tarragondeal.Outcome{})
		c.Done(g, tarragondeal.Outcome{})
		lines(c)
		Expect(lines(c)).To(BeEmpty())
	})

	reasons := []struct {
		reason tarragondeal.Reason
		shed   int
	}{
		{tarragondeal.ReasonOverload, 1},
		{tarragondeal.ReasonDeadline, 1},
		{tarragondeal.ReasonQuarantined, 0},
		{tarragondeal.ReasonLimit, 0},
	}
	for _, r := range reasons {
		It("counts refusals for lack of servers: "+string(r.reason), func(ctx context.Context) {
			c := New(&fakeDispatcher{refuse: r.reason}, "erie")
			_, err := c.Reserve(ctx, ask)
			Expect(err).To(HaveOccurred())
			Expect(lines(c)).To(ConsistOf(tarragondeal.Demand{Pool: "regular", DataCentre: "erie", Shed: r.shed}))
			Expect(lines(c)).To(BeEmpty())
		})
	}

	It("counts the running requests, whatever the order of their ends", func(ctx context.Context) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			d := &fakeDispatcher{server: tarragondeal.Server{Pool: "regular", DataCentre: "erie"}}
			c := New(d, "erie")
			var open []tarragondeal.Grant
			for range rapid.IntRange(0, 30).Draw(t, "steps") {
				if len(open) > 0 && rapid.Bool().Draw(t, "end") {
					k := rapid.IntRange(0, len(open)-1).Draw(t, "which")
					c.Done(open[k], tarragondeal.Outcome{})
					open = append(open[:k], open[k+1:]...)
					continue
				}
				g, err := c.Reserve(ctx, ask)
				if err != nil {
					t.Fatal(err)
				}
				open = append(open, g)
			}
			running := 0
			for _, l := range lines(c) {
				running += l.Running
			}
			if running != len(open) {
				t.Fatalf("%d requests run, %d are counted", len(open), running)
			}
		})
	})

	It("is unknown when one node does not answer", func(ctx context.Context) {
		f := &fakeFleet{counters: map[tarragondeal.NodeID]*Counter{"node1": New(&fakeDispatcher{}, "erie"), "node2": New(&fakeDispatcher{}, "erie")}}
		for _, c := range f.counters {
			_, err := c.Reserve(ctx, ask)
			Expect(err).NotTo(HaveOccurred())
		}
		reader := NewFleet(f.counters["node1"], f, f)
		d, err := reader.Demand(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(d).To(ContainElement(tarragondeal.Demand{Running: 2, WithTarget: 2}))
		f.unreachable = "node2"
		_, err = reader.Demand(ctx)
		Expect(err).To(HaveOccurred())
	})
})

var _ = Describe("figures out of range", func() {
	for n, l := range []*Line{{Running: -1}, {Queued: -1}, {Promised: -1}, {Shed: -1}, {Running: maxCount + 1}, {Shed: maxCount + 1}} {
		It(fmt.Sprintf("make the demand unknown: line %d", n), func(ctx context.Context) {
			f := &fakeFleet{counters: map[tarragondeal.NodeID]*Counter{"node1": New(&fakeDispatcher{}, "erie"), "node2": New(&fakeDispatcher{}, "erie")}}
			f.counters["node2"].counts[poolKey{}] = l
			_, err := NewFleet(f.counters["node1"], f, f).Demand(ctx)
			Expect(err).To(HaveOccurred())
		})
	}
})

// FuzzLines checks that accepted lines of a node can be summed.
func FuzzLines(f *testing.F) {
	f.Add([]byte{})
	good, err := proto.Marshal(&ReadAnswer{Lines: []*Line{{Pool: "regular", DataCentre: "erie", Running: 2, Queued: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Fuzz(func(t *testing.T, in []byte) {
		var a ReadAnswer
		if proto.Unmarshal(in, &a) != nil || validate(a.GetLines()) != nil {
			return
		}
		var d tarragondeal.Demand
		for _, l := range a.GetLines() {
			add(&d, l)
		}
		if min(d.Running, d.Queued, d.WithTarget, d.Shed) < 0 {
			t.Fatalf("%+v", d)
		}
	})
}

// fakeFleet connects the counters of several nodes.
type fakeFleet struct {
	counters    map[tarragondeal.NodeID]*Counter
	unreachable tarragondeal.NodeID
}

func (f *fakeFleet) Self() tarragondeal.Member { return tarragondeal.Member{Node: "node1"} }
func (f *fakeFleet) Members() []tarragondeal.Member {
	return []tarragondeal.Member{{Node: "node1"}, {Node: "node2"}}
}
func (f *fakeFleet) Changed() <-chan struct{} { return nil }

func (f *fakeFleet) Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error) {
	if n == f.unreachable {
		return nil, errors.New("no answer")
	}
	return conn{c: f.counters[n]}, nil
}

type conn struct {
	grpc.ClientConnInterface
	c *Counter
}

func (c conn) Invoke(ctx context.Context, _ string, in, out any, _ ...grpc.CallOption) error {
	a, err := c.c.Read(ctx, in.(*ReadRequest))
	out.(*ReadAnswer).Lines = a.GetLines()
	return err
}

func BenchmarkCount(b *testing.B) {
	c := New(&fakeDispatcher{server: tarragondeal.Server{Pool: "regular", DataCentre: "erie"}}, "erie")
	b.ReportAllocs()
	ctx := context.Background()
	c.Dispatcher = constantDispatcher{}
	for b.Loop() {
		g, err := c.Reserve(ctx, ask)
		if err != nil {
			b.Fatal(err)
		}
		c.Done(g, tarragondeal.Outcome{})
	}
}

// constantDispatcher always returns the same grant.
type constantDispatcher struct{ tarragondeal.Dispatcher }

func (constantDispatcher) Reserve(context.Context, tarragondeal.Ask) (tarragondeal.Grant, error) {
	return tarragondeal.Grant{ID: "grant", Server: tarragondeal.Server{Pool: "regular", DataCentre: "erie"}}, nil
}

func (constantDispatcher) Done(tarragondeal.Grant, tarragondeal.Outcome) {}
