package tdscale

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// planInterval is the time between two plans.
	planInterval = 250 * time.Millisecond
	// callTimeout bounds one order.
	callTimeout = time.Second
	// scaleDownDelay is how long fewer servers must suffice before any is
	// removed.
	scaleDownDelay = 10 * time.Second
	// settleTime is how long the list of servers must not have grown before a
	// new holder plans with it: servers add themselves to it one by one.
	settleTime = 1500 * time.Millisecond
	// minFollowTime is how long a node must have followed the list to consider
	// it complete.
	minFollowTime = 4 * time.Second
	// capacityBackoff is how long servers are not ordered again after the
	// platform had no capacity for them.
	capacityBackoff = 1500 * time.Millisecond
	// reorderDelay is how long an order may take to have an effect before it
	// is sent again. For new servers their start time is added.
	reorderDelay = 2 * time.Second
)

// Orders sends orders to the platform.
type Orders interface {
	OrderServers(ctx context.Context, o tarragondeal.ServerOrder) error
}

// Fleet provides the input of the plan.
type Fleet interface {
	// Busy returns the load on the engines of a pool.
	Busy(pool string) Busy
	// Servers returns the listed servers.
	Servers() []tarragondeal.Server
	// Evacuated returns the data centres that may not be used.
	Evacuated() []string
	// View returns the configuration in force, or nil.
	View() *tarragondeal.View
}

// Deps are the dependencies of the duty.
type Deps struct {
	Orders Orders
	Fleet  Fleet
	Clock  tarragondeal.Clock
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Options configure the duty.
type Options struct {
	Self  tarragondeal.NodeID
	Start tarragondeal.Instant // When the node began to follow the list.
}

// Duty orders servers while its node holds it.
type Duty struct {
	Deps
	opt Options
}

// New returns a duty.
func New(d Deps, o Options) *Duty { return &Duty{Deps: d, opt: o} }

// term is the state of the duty under one acquisition of the lease.
type term struct {
	d     *Duty
	held  tarragondeal.Held
	pools map[string]*pool
}

// pool is the state that the holder keeps for one pool.
type pool struct {
	need        int                            // Engines that the plan provides for.
	recent      []needSample                   // Engines needed lately, newest last.
	ordered     Plan                           // The latest orders sent.
	orderedAt   map[Group]tarragondeal.Instant // When they were sent.
	unavailable map[Group]tarragondeal.Instant // End of the back-off.
	dataCentres map[string]bool
	maxListed   int                  // Largest number of listed servers.
	grownAt     tarragondeal.Instant // When it last increased.
}

// needSample is how many engines were needed at one time.
type needSample struct {
	at    tarragondeal.Instant
	count int
}

// settled reports whether the list of servers can be used for planning: it has
// stopped growing, or the node has followed it for minFollowTime.
func (m *pool) settled(live map[Group]int, now, start tarragondeal.Instant) bool {
	if m.need > 0 || len(live) > 0 && now.Sub(start) > minFollowTime {
		return true
	}
	n := 0
	for _, count := range live {
		n += count
	}
	if n > m.maxListed {
		m.maxListed, m.grownAt = n, now
	}
	return n > 0 && now.Sub(m.grownAt) > settleTime
}

// Run orders servers until ctx ends or the duty is lost.
func (d *Duty) Run(ctx context.Context, held tarragondeal.Held) error {
	t := &term{d: d, held: held, pools: make(map[string]*pool)}
	for tdclock.Sleep(ctx, planInterval) {
		v := d.Fleet.View()
		if v == nil {
			continue
		}
		for n := range v.Set.ServerPools {
			p := &v.Set.ServerPools[n]
			if p.Scaling == nil || p.Engine == nil {
				continue
			}
			t.reconcile(ctx, p)
		}
	}
	return nil
}

func (t *term) reconcile(ctx context.Context, p *tarragondeal.ServerPool) {
	m := t.pools[p.Name]
	if m == nil {
		m = &pool{
			ordered: make(Plan), orderedAt: make(map[Group]tarragondeal.Instant),
			unavailable: make(map[Group]tarragondeal.Instant), dataCentres: make(map[string]bool),
		}
		t.pools[p.Name] = m
	}
	now := t.d.Clock.Now()
	evacuated := t.d.Fleet.Evacuated()
	live := t.live(p.Name, m, evacuated)
	if !m.settled(live, now, t.d.opt.Start) {
		return // The list may be incomplete.
	}
	for c := range p.Scaling.ZonePrices {
		m.dataCentres[c] = true // Includes data centres that lost all servers.
	}
	m.updateNeed(p.Engine, t.d.Fleet.Busy(p.Name), live, now)
	state := State{Live: live, Unavailable: m.unavailableAt(now)}
	for c := range m.dataCentres {
		if !slices.Contains(evacuated, c) { // What runs there stays until the evacuation ends.
			state.DataCentres = append(state.DataCentres, c)
		}
	}
	t.order(ctx, p, m, MakePlan(p, m.need, state), live)
}

// live counts the servers of a pool that are not leaving, but for those of evacuated
// data centres, and records the data centres of the pool.
func (t *term) live(name string, m *pool, evacuated []string) map[Group]int {
	live := make(map[Group]int)
	for _, s := range t.d.Fleet.Servers() {
		if s.Pool != name {
			continue
		}
		m.dataCentres[s.DataCentre] = true
		if s.State == tarragondeal.VMLive && !slices.Contains(evacuated, s.DataCentre) {
			live[Group{DataCentre: s.DataCentre, Spot: s.Spot}]++
		}
	}
	return live
}

// updateNeed sets need to the maximum of the last scaleDownDelay. No servers
// are removed before there has been any load.
func (m *pool) updateNeed(e *tarragondeal.Engine, b Busy, live map[Group]int, now tarragondeal.Instant) {
	need := RequiredEngines(e, b)
	if m.need == 0 {
		need = max(need, remainingServers(live, len(m.dataCentres)))
	} else if len(m.recent) > 0 && b == (Busy{}) {
		need = max(need, m.need)
	}
	m.recent = append(m.recent, needSample{at: now, count: need})
	for now.Sub(m.recent[0].at) > scaleDownDelay {
		m.recent = m.recent[1:]
	}
	m.need = 0
	for _, n := range m.recent {
		m.need = max(m.need, n.count)
	}
}

// remainingServers returns how many servers would remain after the loss of one
// data centre. A new holder starts with this number.
func remainingServers(live map[Group]int, dataCentres int) int {
	n := 0
	for _, count := range live {
		n += count
	}
	if dataCentres < 2 {
		return n
	}
	return n * (dataCentres - 1) / dataCentres
}

func (m *pool) unavailableAt(now tarragondeal.Instant) map[Group]bool {
	out := make(map[Group]bool)
	for k, until := range m.unavailable {
		if now < until {
			out[k] = true
		}
	}
	return out
}

// order sends the orders that are due. Orders for more servers are sent first.
func (t *term) order(ctx context.Context, p *tarragondeal.ServerPool, m *pool, plan Plan, live map[Group]int) {
	for k, want := range plan {
		if want <= live[k] || !m.due(k, want, p.Scaling.Boot+reorderDelay, t.d.Clock.Now()) {
			continue
		}
		t.send(ctx, p, m, k, want)
	}
	spare := -m.need
	for _, n := range live {
		spare += n
	}
	for k, want := range plan {
		want = max(want, live[k]-max(0, spare))
		if want >= live[k] || !m.due(k, want, reorderDelay, t.d.Clock.Now()) {
			continue
		}
		spare -= live[k] - want
		t.send(ctx, p, m, k, want)
	}
}

// due reports whether an order must be sent: it is new, or the previous one had
// no effect in time.
func (m *pool) due(k Group, want int, after time.Duration, now tarragondeal.Instant) bool {
	at, ok := m.orderedAt[k]
	return !ok || m.ordered[k] != want || now.Sub(at) > after
}

// send sends one order, unless the lease may end before the call does. Then the
// order is sent once the lease is renewed, or the duty ends. No order is sent for a data
// centre that has been evacuated since the plan: the orders before it may have taken long.
func (t *term) send(ctx context.Context, p *tarragondeal.ServerPool, m *pool, k Group, want int) {
	if slices.Contains(t.d.Fleet.Evacuated(), k.DataCentre) {
		t.d.Log.Info().Str("pool", p.Name).Str("dataCentre", k.DataCentre).Msg("order dropped: the data centre is evacuated")
		return
	}
	if err := t.held.Check(callTimeout); err != nil {
		t.d.Log.Info().Err(err).Str("pool", p.Name).Msg("order postponed: the lease may end before the call does")
		return
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.d.Orders.OrderServers(call, tarragondeal.ServerOrder{
		Pool: p.Name, DataCentre: k.DataCentre, Want: want, Spot: k.Spot, Fence: t.held.Fence(), Sender: t.d.opt.Self,
	})
	now := t.d.Clock.Now()
	log := t.d.Log.Info().Str("pool", p.Name).Str("dataCentre", k.DataCentre).Bool("spot", k.Spot).Int("want", want).
		Int("need", m.need).Uint64("fence", t.held.Fence())
	m.orderedAt[k], m.ordered[k] = now, want
	var refused *tarragondeal.PlatformError
	switch {
	case err == nil:
		log.Msg("servers ordered")
	case errors.As(err, &refused) && refused.Status == http.StatusConflict:
		m.unavailable[k] = now.Add(capacityBackoff)
		delete(m.orderedAt, k)
		log.Msg("order refused: the platform lacks capacity")
	default:
		delete(m.orderedAt, k)
		log.Err(err).Msg("order failed, will be retried")
	}
}
