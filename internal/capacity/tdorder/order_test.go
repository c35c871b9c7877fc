package tdorder

import (
	"context"
	"errors"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/account/tdgate"
	"tarragondeal/internal/capacity/tdplanner"
	"tarragondeal/internal/test/tdmemstore"
)

func TestOrder(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Order")
}

// fakes implements the dependencies of the duty.
type fakes struct {
	view    *tarragondeal.View
	servers []tarragondeal.Server
	loads   map[tarragondeal.ServerID]tarragondeal.Load
	orders  []tarragondeal.ServerOrder
	engines []tarragondeal.EngineOrder
	refuse  map[string]error // By data centre.
}

func (f *fakes) View() *tarragondeal.View       { return f.view }
func (f *fakes) Changed() <-chan struct{}       { return nil }
func (f *fakes) Now() tarragondeal.Instant      { return tarragondeal.Instant(time.Hour) }
func (f *fakes) Wall() time.Time                { return time.Unix(0, 0) }
func (f *fakes) Self() tarragondeal.Member      { return tarragondeal.Member{Node: "node1"} }
func (f *fakes) Members() []tarragondeal.Member { return nil }

func (f *fakes) Servers(context.Context) ([]tarragondeal.Server, error)   { return f.servers, nil }
func (f *fakes) EntryVMs(context.Context) ([]tarragondeal.EntryVM, error) { return nil, nil }

func (f *fakes) Load(_ context.Context, s tarragondeal.Server) (tarragondeal.Load, error) {
	l, ok := f.loads[s.ID]
	if !ok {
		return l, errors.New("no answer")
	}
	return l, nil
}

func (f *fakes) OrderServers(_ context.Context, o tarragondeal.ServerOrder) error {
	f.orders = append(f.orders, o)
	return f.refuse[o.DataCentre]
}

func (f *fakes) OrderEngine(_ context.Context, o tarragondeal.EngineOrder) error {
	f.engines = append(f.engines, o)
	return nil
}

type held struct{ fence uint64 }

func (h held) Fence() uint64           { return h.fence }
func (held) Predecessor() string       { return "" }
func (held) Check(time.Duration) error { return nil }

func newFakes() *fakes {
	set := &tarragondeal.Set{
		DataCentres: []tarragondeal.DataCentre{{Name: "duluth"}, {Name: "erie"}},
		ServerPools: []tarragondeal.ServerPool{{
			Name: "narrator", Kind: tarragondeal.PoolModel, Model: "narrator-7b", Slots: 4, Min: 2, Max: 9, ChecksFencing: true,
		}},
		Routes: []tarragondeal.Route{{Name: "narrate", Pools: []string{"narrator"}}},
	}
	return &fakes{
		view: tarragondeal.NewView(1, set), refuse: make(map[string]error),
		servers: []tarragondeal.Server{{ID: "narrator1", Pool: "narrator", DataCentre: "erie"}},
		loads:   map[tarragondeal.ServerID]tarragondeal.Load{"narrator1": {Running: 6, Models: []string{"other"}}},
	}
}

func (f *fakes) term(ctx context.Context, store tarragondeal.Store, fence uint64) (*term, error) {
	gates := tdgate.New(tdgate.Deps{Store: store, Members: f, VMs: f, Clock: f, Log: zerolog.Nop()}, tdgate.Config{})
	d := New(Deps{
		Store: store, Gates: gates, Config: f, VMs: f, Loads: f, Orders: f, Clock: f, Self: "node1",
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, Config{
		Plan:  tdplanner.Config{Use: 0.5, OnDemandUse: 0.9, StartUp: time.Minute, StartsPerMinute: 60},
		Every: time.Minute, Refresh: time.Hour, SendTimeout: time.Second, PlatformChecksFencing: true,
	})
	gate, err := gates.Enter(ctx, Lease, held{fence})
	if err != nil {
		return nil, err
	}
	t := &term{
		Duty: d, gate: gate, fence: fence, planner: tdplanner.New(d.cfg.Plan),
		sentOrders: make(map[tdplanner.Key]sentOrder), engineOrderedAt: make(map[tarragondeal.ServerID]tarragondeal.Instant),
	}
	return t, t.restore(ctx)
}

var _ = Describe("the duty of ordering servers", func() {
	var (
		f     *fakes
		store *tdmemstore.Store
	)
	BeforeEach(func() { f, store = newFakes(), tdmemstore.New() })

	It("sends each order once, and instructs engines which model to serve", func(ctx context.Context) {
		t, err := f.term(ctx, store, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.reconcile(ctx)).To(Succeed())
		Expect(t.reconcile(ctx)).To(Succeed())
		Expect(f.orders).To(Equal([]tarragondeal.ServerOrder{
			{Pool: "narrator", DataCentre: "duluth", Want: 2, Fence: 7, Sender: "node1"},
			{Pool: "narrator", DataCentre: "erie", Want: 3, Fence: 7, Sender: "node1"},
		}))
		Expect(f.engines).To(HaveLen(1))
		Expect(f.engines[0].Models).To(Equal([]string{"narrator-7b"}))
	})

	It("orders in one data centre when another refuses", func(ctx context.Context) {
		f.refuse["duluth"] = &tarragondeal.PlatformError{Op: "order", Status: 500}
		t, err := f.term(ctx, store, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.reconcile(ctx)).NotTo(Succeed())
		Expect(f.orders).To(HaveLen(2))
		Expect(t.reconcile(ctx)).NotTo(Succeed())
		Expect(f.orders).To(HaveLen(3), "only the refused order is repeated")
	})

	It("continues with the record of an earlier holder", func(ctx context.Context) {
		t, err := f.term(ctx, store, 7)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.reconcile(ctx)).To(Succeed())
		f.orders, f.servers, f.loads = nil, nil, nil
		t, err = f.term(ctx, store, 8)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.reconcile(ctx)).To(Succeed())
		Expect(f.orders[1].Want).To(Equal(3))
	})

	It("sends nothing once a later holder is on record", func(ctx context.Context) {
		late, err := f.term(ctx, store, 7)
		Expect(err).NotTo(HaveOccurred())
		t, err := f.term(ctx, store, 8)
		Expect(err).NotTo(HaveOccurred())
		Expect(t.reconcile(ctx)).To(Succeed())
		f.orders = nil
		var fence *tarragondeal.FenceError
		Expect(errors.As(late.reconcile(ctx), &fence)).To(BeTrue())
		Expect(f.orders).To(BeEmpty())
	})

	It("sends no orders that it could not store", func(ctx context.Context) {
		t, err := f.term(ctx, store, 7)
		Expect(err).NotTo(HaveOccurred())
		store.Fault = func(string, string) tdmemstore.Fault { return tdmemstore.Refuse }
		Expect(t.reconcile(ctx)).NotTo(Succeed())
		Expect(f.orders).To(BeEmpty())
	})

	It("detects its own write when the answer was lost", func(ctx context.Context) {
		t, err := f.term(ctx, store, 7)
		Expect(err).NotTo(HaveOccurred())
		store.Fault = func(op, _ string) tdmemstore.Fault {
			if op == "swap" {
				return tdmemstore.LoseAnswer
			}
			return tdmemstore.None
		}
		Expect(t.reconcile(ctx)).To(Succeed())
		Expect(f.orders).To(HaveLen(2))
	})

	It("reports no demand for a pool when most servers do not answer", func() {
		r := loadReports{servers: f.servers}
		d := r.demand(f.view)
		Expect(d).To(Equal([]tarragondeal.Demand{{Pool: "narrator", DataCentre: "duluth"}}))
	})
})
