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

// wantedKey is where what is wanted stands in the store.
const wantedKey = "orders/wanted"

// Deps are what the duty works with.
type Deps struct {
	Store  tarragondeal.Store
	Leases tarragondeal.Leases
	Gates  *tdgate.Gates
	Config tarragondeal.Config
	VMs    tarragondeal.VMList
	Loads  tarragondeal.LoadReader
	// Demand may be nil: then demand is what backend servers report.
	Demand tarragondeal.DemandReader
	Orders tarragondeal.Orders
	Clock  tarragondeal.Clock
	Self   tarragondeal.NodeID
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Config bounds the duty.
type Config struct {
	Plan  tdplanner.Config
	Every time.Duration // Time between two plans.
	// Refresh is after how long an order is sent again unchanged.
	Refresh time.Duration
	// SendTimeout bounds one order.
	SendTimeout time.Duration
	// PlatformChecksFencing says that the platform's interface for orders
	// refuses old fencing tokens.
	PlatformChecksFencing bool
}

// Duty orders backend servers when its node holds the lease.
type Duty struct {
	Deps
	cfg Config
}

// New returns the duty.
func New(d Deps, cfg Config) *Duty { return &Duty{Deps: d, cfg: cfg} }

// Run has the duty whenever this node holds the lease, until the context
// ends.
func (d *Duty) Run(ctx context.Context) error { return d.Leases.Hold(ctx, Lease, d.hold) }

// term is the duty's state under one acquisition of the lease.
type term struct {
	*Duty
	gate    *tdgate.Term
	fence   uint64
	planner *tdplanner.Planner
	record  wanted
	at      tarragondeal.Revision
	sent    map[tdplanner.Key]sent
	engines map[tarragondeal.ServerID]tarragondeal.Instant
}

// wanted is the record in the store.
type wanted struct {
	Fence uint64           `json:"fence"`
	Wants []tdplanner.Want `json:"wants"`
}

type sent struct {
	servers int
	at      tarragondeal.Instant
}

func (d *Duty) hold(ctx context.Context, h tarragondeal.Held) error {
	gate, err := d.Gates.Enter(ctx, Lease, h)
	if err != nil {
		return err
	}
	t := &term{
		Duty: d, gate: gate, fence: h.Fence(), planner: tdplanner.New(d.cfg.Plan),
		sent: make(map[tdplanner.Key]sent), engines: make(map[tarragondeal.ServerID]tarragondeal.Instant),
	}
	if err := t.restore(ctx); err != nil {
		return err
	}
	tick := time.NewTicker(d.cfg.Every)
	defer tick.Stop()
	for {
		if err := t.pass(ctx); err != nil {
			d.Scope.Counter("failures").Inc(1)
			d.Log.Warn().Err(err).Msg("orders can't be given yet")
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

// restore goes on from what an earlier holder wanted.
func (t *term) restore(ctx context.Context) error {
	e, err := t.Store.Get(ctx, wantedKey)
	if err != nil || e.Revision == 0 {
		return err
	}
	if err := json.Unmarshal(e.Value, &t.record); err != nil {
		return eris.Wrapf(err, "%s can't be read", wantedKey)
	}
	t.at = e.Revision
	if t.record.Fence > t.fence {
		return &tarragondeal.FenceError{Fence: t.fence, Current: t.record.Fence}
	}
	t.planner.Restore(t.record.Wants, t.Clock.Now())
	return nil
}

// pass plans once and sends what is due.
func (t *term) pass(ctx context.Context) error {
	v := t.Config.View()
	if v == nil {
		return nil
	}
	s, err := take(ctx, t.VMs, t.Loads)
	if err != nil {
		return err
	}
	wants := t.planner.Plan(t.Clock.Now(), tdplanner.Input{View: v, Demand: t.demand(ctx, v, s), Servers: s.servers})
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
	return errors.Join(failed, t.orderEngines(ctx, v, s))
}

// demand returns what the reader tells and, where it tells nothing or fails,
// what the servers report.
func (t *term) demand(ctx context.Context, v *tarragondeal.View, s survey) []tarragondeal.Demand {
	surveyed := s.demand(v)
	if t.Demand == nil {
		return surveyed
	}
	told, err := t.Demand.Demand(ctx)
	if err != nil {
		t.Log.Warn().Err(err).Msg("demand at the nodes is not known; taking the servers' reports")
		return surveyed
	}
	return merge(told, surveyed)
}

// save puts what is wanted on record before anybody is told.
func (t *term) save(ctx context.Context, wants []tdplanner.Want) error {
	if t.at != 0 && t.record.Fence == t.fence && slices.Equal(wants, t.record.Wants) {
		return nil
	}
	next := wanted{Fence: t.fence, Wants: wants}
	value, err := json.Marshal(next)
	if err != nil {
		return err
	}
	e, err := t.Store.Swap(ctx, wantedKey, value, t.at)
	if err == nil {
		t.at, t.record = e.Revision, next
		return nil
	}
	// The write may have taken effect; what stands there tells.
	e, getErr := t.Store.Get(ctx, wantedKey)
	if getErr != nil {
		return err
	}
	var there wanted
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &there); err != nil {
			return eris.Wrapf(err, "%s can't be read", wantedKey)
		}
	}
	if there.Fence > t.fence {
		return &tarragondeal.FenceError{Fence: t.fence, Current: there.Fence}
	}
	t.at, t.record = e.Revision, there
	if there.Fence == t.fence && slices.Equal(there.Wants, wants) {
		return nil
	}
	return err
}

// orderServers sends the numbers that changed, and all of them from time to
// time.
func (t *term) orderServers(ctx context.Context, wants []tdplanner.Want) error {
	var failed error
	for _, w := range wants {
		err := t.orderOne(ctx, w)
		if superseded(err) || tdgate.HeldBack(err) {
			return err
		}
		if err != nil {
			failed = err // One data centre's trouble stops no other.
		}
	}
	return failed
}

func (t *term) orderOne(ctx context.Context, w tdplanner.Want) error {
	last, ok := t.sent[w.Key]
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
	t.sent[w.Key] = sent{w.Servers, now}
	if !ok || last.servers != w.Servers {
		t.Log.Info().Str("pool", w.Pool).Str("dataCentre", w.DataCentre).Int("servers", w.Servers).Msg("servers ordered")
	}
	return nil
}

// orderEngines tells engines that report other models what to serve. An
// engine that was told has the time to start before it is told again.
func (t *term) orderEngines(ctx context.Context, v *tarragondeal.View, s survey) error {
	var held error
	room := max(int(t.cfg.Plan.StartsPerMinute*t.cfg.Every.Minutes()), 1)
	for _, srv := range s.servers {
		p := v.ServerPools[srv.Pool]
		if room == 0 || !t.lacksModel(p, srv, s) {
			continue
		}
		err := t.orderEngine(ctx, p, srv)
		switch {
		case err == nil:
			room--
		case superseded(err):
			return err
		case tdgate.HeldBack(err):
			held = err
		default:
			t.Log.Debug().Err(err).Str("server", string(srv.ID)).Msg("engine takes no order")
		}
	}
	return held
}

func (t *term) lacksModel(p *tarragondeal.ServerPool, srv tarragondeal.Server, s survey) bool {
	if p == nil || p.Kind != tarragondeal.PoolModel || p.Model == "" || srv.State == tarragondeal.VMLeaving {
		return false
	}
	l, answered := s.loads[srv.ID]
	if !answered || l.Leaving || slices.Contains(l.Models, p.Model) {
		return false
	}
	last, told := t.engines[srv.ID]
	return !told || t.Clock.Now().Sub(last) >= t.cfg.Plan.StartUp
}

func (t *term) orderEngine(ctx context.Context, p *tarragondeal.ServerPool, srv tarragondeal.Server) error {
	r := tdgate.Receiver{Name: string(srv.ID), ChecksFencing: p.ChecksFencing}
	o := tarragondeal.EngineOrder{Server: srv, Models: []string{p.Model}, Fence: t.fence, Sender: t.Self}
	err := t.gate.Send(ctx, r, t.cfg.SendTimeout, func(ctx context.Context) error {
		return t.Orders.OrderEngine(ctx, o)
	})
	if err == nil {
		t.engines[srv.ID] = t.Clock.Now()
	}
	return err
}
