package tdorder

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/account/tdgate"
	"tarragondeal/internal/capacity/tdplanner"
)

// Lease is the lease of the duty.
const Lease = "orders"

// desiredKey is the key of the desired numbers in the store.
const desiredKey = "orders/wanted"

// Deps are the dependencies of the duty.
type Deps struct {
	Store  tarragondeal.Store
	Leases tarragondeal.Leases
	Gates  *tdgate.Gates
	Config tarragondeal.Config
	VMs    tarragondeal.VMList
	Loads  tarragondeal.LoadReader
	// Demand may be nil. Then the backend servers' reports are used.
	Demand tarragondeal.DemandReader
	Orders tarragondeal.Orders
	Clock  tarragondeal.Clock
	Self   tarragondeal.NodeID
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Config configures the duty.
type Config struct {
	Plan  tdplanner.Config
	Every time.Duration // Time between two plans.
	// Refresh is the time after which an unchanged order is sent again.
	Refresh time.Duration
	// SendTimeout bounds one order.
	SendTimeout time.Duration
	// PlatformChecksFencing says that the platform's interface for orders
	// refuses old fencing tokens.
	PlatformChecksFencing bool
}

// Duty orders backend servers while its node holds the lease.
type Duty struct {
	Deps
	cfg Config
}

// New returns the duty.
func New(d Deps, cfg Config) *Duty { return &Duty{Deps: d, cfg: cfg} }

// Run runs the duty whenever this node holds the lease, until the context ends.
func (d *Duty) Run(ctx context.Context) error { return d.Leases.Hold(ctx, Lease, d.runTerm) }

// term is the duty's state under one acquisition of the lease.
type term struct {
	*Duty
	gate            *tdgate.Term
	fence           uint64
	planner         *tdplanner.Planner
	record          desiredRecord
	revision        tarragondeal.Revision
	sentOrders      map[tdplanner.Key]sentOrder
	engineOrderedAt map[tarragondeal.ServerID]tarragondeal.Instant
}

// desiredRecord is the value of desiredKey.
type desiredRecord struct {
	Fence uint64           `json:"fence"`
	Wants []tdplanner.Want `json:"wants"`
}

type sentOrder struct {
	servers int
	at      tarragondeal.Instant
}

func (d *Duty) runTerm(ctx context.Context, h tarragondeal.Held) error {
	gate, err := d.Gates.Enter(ctx, Lease, h)
	if err != nil {
		return err
	}
	t := &term{
		Duty: d, gate: gate, fence: h.Fence(), planner: tdplanner.New(d.cfg.Plan),
		sentOrders: make(map[tdplanner.Key]sentOrder), engineOrderedAt: make(map[tarragondeal.ServerID]tarragondeal.Instant),
	}
	if err := t.restore(ctx); err != nil {
		return err
	}
	tick := time.NewTicker(d.cfg.Every)
	defer tick.Stop()
	for {
		if err := t.reconcile(ctx); err != nil {
			d.Scope.Counter("failures").Inc(1)
			d.Log.Warn().Err(err).Msg("can't send orders")
			if superseded(err) {
				return err
			}
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// superseded reports whether another node has the duty.
func superseded(err error) bool {
	var fence *tarragondeal.FenceError
	return errors.As(err, &fence)
}

// restore reads the desired numbers of an earlier holder.
func (t *term) restore(ctx context.Context) error {
	e, err := t.Store.Get(ctx, desiredKey)
	if err != nil || e.Revision == 0 {
		return err
	}
	if err := json.Unmarshal(e.Value, &t.record); err != nil {
		return eris.Wrapf(err, "decode %s", desiredKey)
	}
	t.revision = e.Revision
	if t.record.Fence > t.fence {
		return &tarragondeal.FenceError{Fence: t.fence, Current: t.record.Fence}
	}
	t.planner.Restore(t.record.Wants, t.Clock.Now())
	return nil
}

// reconcile plans once and sends the orders that are due.
func (t *term) reconcile(ctx context.Context) error {
	v := t.Config.View()
	if v == nil {
		return nil
	}
	reports, err := collectLoads(ctx, t.VMs, t.Loads)
	if err != nil {
		return err
	}
	wants := t.planner.Plan(t.Clock.Now(), tdplanner.Input{View: v, Demand: t.demand(ctx, v, reports), Servers: reports.servers})
	if err := t.save(ctx, wants); err != nil {
		return err
	}
	if err := t.gate.Clear(ctx); err != nil {
		return err
	}
	failed := t.orderServers(ctx, wants)
	if superseded(failed) {
		return failed
	}
	return errors.Join(failed, t.orderEngines(ctx, v, reports))
}

// demand returns the demand from the reader. Where the reader has none, or
// fails, it returns the demand that the servers report.
func (t *term) demand(ctx context.Context, v *tarragondeal.View, reports loadReports) []tarragondeal.Demand {
	reported := reports.demand(v)
	if t.Demand == nil {
		return reported
	}
	fromNodes, err := t.Demand.Demand(ctx)
	if err != nil {
		t.Log.Warn().Err(err).Msg("can't read demand from the nodes, using the servers' reports")
		return reported
	}
	return merge(fromNodes, reported)
}

// save writes the desired numbers to the store. It runs before orders are sent.
func (t *term) save(ctx context.Context, wants []tdplanner.Want) error {
	if t.revision != 0 && t.record.Fence == t.fence && slices.Equal(wants, t.record.Wants) {
		return nil
	}
	next := desiredRecord{Fence: t.fence, Wants: wants}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	e, err := t.Store.Swap(ctx, desiredKey, value, t.revision)
	if err == nil {
		t.revision, t.record = e.Revision, next
		return nil
	}
	// The write may have taken effect; the stored record shows it.
	e, getErr := t.Store.Get(ctx, desiredKey)
	if getErr != nil {
		return err
	}
	var stored desiredRecord
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &stored); err != nil {
			return eris.Wrapf(err, "decode %s", desiredKey)
		}
	}
	if stored.Fence > t.fence {
		return &tarragondeal.FenceError{Fence: t.fence, Current: stored.Fence}
	}
	t.revision, t.record = e.Revision, stored
	if stored.Fence == t.fence && slices.Equal(stored.Wants, wants) {
		return nil
	}
	return err
}

// orderServers sends the numbers that changed or that are due for a refresh.
func (t *term) orderServers(ctx context.Context, wants []tdplanner.Want) error {
	var failed error
	for _, w := range wants {
		err := t.sendServerOrder(ctx, w)
		if superseded(err) || tdgate.HeldBack(err) {
			return err
		}
		if err != nil {
			failed = err // Continue with the other data centres.
		}
	}
	return failed
}

func (t *term) sendServerOrder(ctx context.Context, w tdplanner.Want) error {
	last, ok := t.sentOrders[w.Key]
	now := t.Clock.Now()
	if ok && last.servers == w.Servers && now.Sub(last.at) < t.cfg.Refresh {
		return nil
	}
	r := tdgate.Receiver{Name: "platform", ChecksFencing: t.cfg.PlatformChecksFencing}
	o := tarragondeal.ServerOrder{Pool: w.Pool, DataCentre: w.DataCentre, Want: w.Servers, Fence: t.fence, Sender: t.Self}
	err := t.gate.Send(ctx, r, t.cfg.SendTimeout, func(ctx context.Context) error {
		return t.Orders.OrderServers(ctx, o)
	})
	if err != nil {
		return err
	}
	t.sentOrders[w.Key] = sentOrder{w.Servers, now}
	if !ok || last.servers != w.Servers {
		t.Log.Info().Str("pool", w.Pool).Str("dataCentre", w.DataCentre).Int("servers", w.Servers).Msg("servers ordered")
	}
	return nil
}

// orderEngines sends an order to engines that do not report the model of their
// pool. An order is repeated only after the engine has had time to start.
func (t *term) orderEngines(ctx context.Context, v *tarragondeal.View, reports loadReports) error {
	var heldBack error
	budget := max(int(t.cfg.Plan.StartsPerMinute*t.cfg.Every.Minutes()), 1)
	for _, srv := range reports.servers {
		p := v.ServerPools[srv.Pool]
		if budget == 0 || !t.lacksModel(p, srv, reports) {
			continue
		}
		err := t.sendEngineOrder(ctx, p, srv)
		switch {
		case err == nil:
			budget--
		case superseded(err):
			return err
		case tdgate.HeldBack(err):
			heldBack = err
		default:
			t.Log.Debug().Err(err).Str("server", string(srv.ID)).Msg("engine did not accept the order")
		}
	}
	return heldBack
}

func (t *term) lacksModel(p *tarragondeal.ServerPool, srv tarragondeal.Server, reports loadReports) bool {
	if p == nil || p.Kind != tarragondeal.PoolModel || p.Model == "" || srv.State == tarragondeal.VMLeaving {
		return false
	}
	l, answered := reports.loads[srv.ID]
	if !answered || l.Leaving || slices.Contains(l.Models, p.Model) {
		return false
	}
	last, ordered := t.engineOrderedAt[srv.ID]
	return !ordered || t.Clock.Now().Sub(last) >= t.cfg.Plan.StartUp
}

func (t *term) sendEngineOrder(ctx context.Context, p *tarragondeal.ServerPool, srv tarragondeal.Server) error {
	r := tdgate.Receiver{Name: string(srv.ID), ChecksFencing: p.ChecksFencing}
	o := tarragondeal.EngineOrder{Server: srv, Models: []string{p.Model}, Fence: t.fence, Sender: t.Self}
	err := t.gate.Send(ctx, r, t.cfg.SendTimeout, func(ctx context.Context) error {
		return t.Orders.OrderEngine(ctx, o)
	})
	if err == nil {
		t.engineOrderedAt[srv.ID] = t.Clock.Now()
	}
	return err
}
