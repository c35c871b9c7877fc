package tdscale

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
)

// evacuatedFleet is a platform on which a data centre is evacuated once it gets an order.
type evacuatedFleet struct {
	list      []tarragondeal.Server
	evacuated []string
	evacuate  func(o tarragondeal.ServerOrder) []string // Called for each order.
	now       tarragondeal.Instant
	late      []tarragondeal.ServerOrder // Orders for data centres that were evacuated.
	orders    []tarragondeal.ServerOrder
}

func (f *evacuatedFleet) OrderServers(_ context.Context, o tarragondeal.ServerOrder) error {
	f.orders = append(f.orders, o)
	for _, c := range f.evacuated {
		if c == o.DataCentre {
			f.late = append(f.late, o)
		}
	}
	f.evacuated = f.evacuate(o)
	return nil
}

func (f *evacuatedFleet) Busy(string) Busy               { return Busy{Running: 400} }
func (f *evacuatedFleet) Servers() []tarragondeal.Server { return f.list }
func (f *evacuatedFleet) Evacuated() []string            { return f.evacuated }
func (f *evacuatedFleet) View() *tarragondeal.View       { return nil }
func (f *evacuatedFleet) Now() tarragondeal.Instant      { return f.now }
func (f *evacuatedFleet) Wall() time.Time                { return time.Time{} }
func (f *evacuatedFleet) Fence() uint64                  { return 1 }
func (f *evacuatedFleet) Predecessor() string            { return "" }
func (f *evacuatedFleet) Check(time.Duration) error      { return nil }

// newEvacuatedFleet returns a fleet with one engine in each data centre, and the duty's term on it.
func newEvacuatedFleet() (*evacuatedFleet, *term) {
	f := &evacuatedFleet{now: tarragondeal.Instant(time.Hour), evacuate: func(tarragondeal.ServerOrder) []string { return nil }}
	for _, c := range testDataCentres {
		f.list = append(f.list, tarragondeal.Server{ID: tarragondeal.ServerID(c), Pool: "m", DataCentre: c, State: tarragondeal.VMLive})
	}
	d := New(Deps{Orders: f, Fleet: f, Clock: f, Log: zerolog.Nop()}, Options{Self: "node"})
	return f, &term{d: d, held: f, pools: make(map[string]*pool)}
}

// TestOrdersDuringEvacuation guards against orders for an evacuated data centre, against a plan
// that fails if all are evacuated, and against data centres that get no orders afterwards.
func TestOrdersDuringEvacuation(t *testing.T) {
	for _, evacuated := range [][]string{{"b"}, {"a", "b"}, {"a", "b", "c"}} {
		f, run := newEvacuatedFleet()
		f.evacuate = func(tarragondeal.ServerOrder) []string { return f.evacuated }
		run.reconcile(t.Context(), testPool)
		before := len(f.orders)
		f.evacuated = evacuated
		for range 200 {
			f.now = f.now.Add(planInterval)
			run.reconcile(t.Context(), testPool)
		}
		if len(f.late) > 0 {
			t.Errorf("%q evacuated: orders %+v", evacuated, f.late)
		}
		f.evacuated = nil
		during := len(f.orders)
		f.now = f.now.Add(planInterval)
		run.reconcile(t.Context(), testPool)
		again := map[string]bool{}
		for _, o := range f.orders[during:] {
			again[o.DataCentre] = true
		}
		if before == 0 || !again[evacuated[0]] {
			t.Errorf("%q evacuated: %d orders before, afterwards orders for %v", evacuated, before, again)
		}
	}
}

// TestEvacuationBetweenOrders guards against orders for a data centre that is evacuated while the
// orders of one plan are sent: each may take a second.
func TestEvacuationBetweenOrders(t *testing.T) {
	for range 20 { // Orders are sent in a random order.
		f, run := newEvacuatedFleet()
		f.evacuate = func(tarragondeal.ServerOrder) []string { return []string{"a", "b", "c"} }
		run.reconcile(t.Context(), testPool)
		if len(f.orders) == 0 || len(f.late) > 0 {
			t.Fatalf("%d orders, those for evacuated data centres: %+v", len(f.orders), f.late)
		}
	}
}
