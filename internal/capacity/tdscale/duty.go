package tdscale

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// lookEvery is how often the holder looks at what is needed.
	lookEvery = 250 * time.Millisecond
	// callTimeout bounds one order.
	callTimeout = time.Second
	// lowerAfter is how long fewer servers must do before any is given up.
	lowerAfter = 10 * time.Second
	// settleFor is how long the list of servers must not have grown before a new
	// holder plans by it: servers list themselves one by one.
	settleFor = 1500 * time.Millisecond
	// followedFor is how long a node must have followed the list to trust it.
	followedFor = 4 * time.Second
	// scarceFor is how long servers that were not to be had are not asked for.
	scarceFor = 1500 * time.Millisecond
	// againAfter is added to the time that a server takes to start, before a
	// server that did not come is ordered again.
	againAfter = 2 * time.Second
)

// Orders takes orders.
type Orders interface {
	OrderServers(ctx context.Context, o tarragondeal.ServerOrder) error
}

// Fleet tells what the holder plans by.
type Fleet interface {
	// Busy returns what the engines of a pool have to do.
	Busy(pool string) Busy
	// Servers returns the servers that are listed.
	Servers() []tarragondeal.Server
	// View returns the configuration in force, or nil.
	View() *tarragondeal.View
}

// Deps are what the duty works with.
type Deps struct {
	Orders Orders
	Fleet  Fleet
	Clock  tarragondeal.Clock
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Options bound the duty.
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

// term is one holding of the duty.
type term struct {
	d     *Duty
	held  tarragondeal.Held
	pools map[string]*pool
}

// pool is what the holder remembers of one pool.
type pool struct {
	need    int                           // What is planned by.
	lately  []needed                      // What was needed, newest last.
	ordered Plan                          // The latest orders that were taken.
	at      map[Kind]tarragondeal.Instant // When.
	scarce  map[Kind]tarragondeal.Instant // Until when.
	centres map[string]bool
	listed  int                  // The most servers that were listed.
	grown   tarragondeal.Instant // When they became so many.
}

// needed is how many engines were needed at a time.
type needed struct {
	at    tarragondeal.Instant
	count int
}

// settled reports whether the list of servers has stopped growing, or the node
// has followed it for long.
func (m *pool) settled(live map[Kind]int, now, start tarragondeal.Instant) bool {
	if m.need > 0 || len(live) > 0 && now.Sub(start) > followedFor {
		return true
	}
	n := 0
	for _, count := range live {
		n += count
	}
	if n > m.listed {
		m.listed, m.grown = n, now
	}
	return n > 0 && now.Sub(m.grown) > settleFor
}

// Run orders servers until ctx ends or the duty is lost.
func (d *Duty) Run(ctx context.Context, held tarragondeal.Held) error {
	t := &term{d: d, held: held, pools: make(map[string]*pool)}
	for tdclock.Sleep(ctx, lookEvery) {
		v := d.Fleet.View()
		if v == nil {
			continue
		}
		for n := range v.Set.ServerPools {
			p := &v.Set.ServerPools[n]
			if p.Scaling == nil || p.Engine == nil {
				continue
			}
			t.look(ctx, p)
		}
	}
	return nil
}

func (t *term) look(ctx context.Context, p *tarragondeal.ServerPool) {
	m := t.pools[p.Name]
	if m == nil {
		m = &pool{
			ordered: make(Plan), at: make(map[Kind]tarragondeal.Instant),
			scarce: make(map[Kind]tarragondeal.Instant), centres: make(map[string]bool),
		}
		t.pools[p.Name] = m
	}
	now := t.d.Clock.Now()
	live := t.live(p.Name, m)
	if !m.settled(live, now, t.d.opt.Start) {
		return // The list has not come as a whole yet.
	}
	for c := range p.Scaling.ZonePrices {
		m.centres[c] = true // No server may be left where some have been.
	}
	m.plan(p.Engine, t.d.Fleet.Busy(p.Name), live, now)
	state := State{Live: live, Scarce: m.scarceNow(now)}
	for c := range m.centres {
		state.Centres = append(state.Centres, c)
	}
	t.order(ctx, p, m, MakePlan(p, m.need, state), live)
}

// live counts the servers of a pool that are not leaving, and notes where the
// pool runs.
func (t *term) live(name string, m *pool) map[Kind]int {
	live := make(map[Kind]int)
	for _, s := range t.d.Fleet.Servers() {
		if s.Pool != name {
			continue
		}
		m.centres[s.DataCentre] = true
		if s.State == tarragondeal.VMLive {
			live[Kind{DataCentre: s.DataCentre, Spot: s.Spot}]++
		}
	}
	return live
}

// plan sets what is planned by: the most that was needed lately. Nothing is
// given up before anybody has asked for anything.
func (m *pool) plan(e *tarragondeal.Engine, b Busy, live map[Kind]int, now tarragondeal.Instant) {
	need := Need(e, b)
	if m.need == 0 {
		need = max(need, without(live, len(m.centres)))
	} else if len(m.lately) > 0 && b == (Busy{}) {
		need = max(need, m.need)
	}
	m.lately = append(m.lately, needed{at: now, count: need})
	for now.Sub(m.lately[0].at) > lowerAfter {
		m.lately = m.lately[1:]
	}
	m.need = 0
	for _, n := range m.lately {
		m.need = max(m.need, n.count)
	}
}

// without returns how many of the servers would be left without those of one
// data centre. A new holder goes on from there.
func without(live map[Kind]int, centres int) int {
	n := 0
	for _, count := range live {
		n += count
	}
	if centres < 2 {
		return n
	}
	return n * (centres - 1) / centres
}

func (m *pool) scarceNow(now tarragondeal.Instant) map[Kind]bool {
	out := make(map[Kind]bool)
	for k, until := range m.scarce {
		if now < until {
			out[k] = true
		}
	}
	return out
}

// order sends what differs from the latest orders, for more servers first.
func (t *term) order(ctx context.Context, p *tarragondeal.ServerPool, m *pool, plan Plan, live map[Kind]int) {
	for k, want := range plan {
		if want <= live[k] || !m.due(k, want, p.Scaling.Boot+againAfter, t.d.Clock.Now()) {
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
		if want >= live[k] || !m.due(k, want, againAfter, t.d.Clock.Now()) {
			continue
		}
		spare -= live[k] - want
		t.send(ctx, p, m, k, want)
	}
}

// due reports whether an order must be sent: it has not been, or what it asked
// for did not come to be.
func (m *pool) due(k Kind, want int, after time.Duration, now tarragondeal.Instant) bool {
	at, ok := m.at[k]
	return !ok || m.ordered[k] != want || now.Sub(at) > after
}

// send makes one order, unless the lease may end before the call does: then it
// is renewed first, or the duty ends.
func (t *term) send(ctx context.Context, p *tarragondeal.ServerPool, m *pool, k Kind, want int) {
	if err := t.held.Check(callTimeout); err != nil {
		t.d.Log.Info().Err(err).Str("pool", p.Name).Msg("order put off")
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
	m.at[k], m.ordered[k] = now, want
	var refused *tarragondeal.PlatformError
	switch {
	case err == nil:
		log.Msg("servers ordered")
	case errors.As(err, &refused) && refused.Status == http.StatusConflict:
		m.scarce[k] = now.Add(scarceFor)
		delete(m.at, k)
		log.Msg("no such servers are to be had")
	default:
		delete(m.at, k)
		log.Err(err).Msg("order failed, it is sent again")
	}
}
