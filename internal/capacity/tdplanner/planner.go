package tdplanner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"tarragondeal"
)

// Config is the planner's policy.
type Config struct {
	// Use is the target utilisation of the slots of all servers. OnDemandUse is
	// that of the on-demand servers when they alone carry the requests of
	// classes with a target.
	Use, OnDemandUse float64
	// StartUp is the time from the order of a server to its first request.
	StartUp time.Duration
	// DownAfter is how long the need must be lower before the number of servers
	// decreases. DownEvery is the time between two decreases.
	DownAfter, DownEvery time.Duration
	// UpEvery is the time between two increases.
	UpEvery time.Duration
	// StartsPerMinute bounds the new servers of model pools in the fleet, to
	// limit the load on the weight store; zero means no bound.
	StartsPerMinute float64
}

// Key identifies a pool in a data centre.
type Key struct{ Pool, DataCentre string }

// Want is the desired number of servers of a pool in a data centre.
type Want struct {
	Key
	Servers int
}

// Input is the observed state of the fleet.
type Input struct {
	View    *tarragondeal.View
	Demand  []tarragondeal.Demand
	Servers []tarragondeal.Server // The platform's list, which may be out of date.
}

// poolState is the planner's state of one pool in one data centre.
type poolState struct {
	want         int
	initialised  bool // Servers have been ordered or listed.
	lastIncrease tarragondeal.Instant
	lastDecrease tarragondeal.Instant
	// belowWant reports whether the need is below want, belowSince is when it
	// fell below, and maxNeed is the largest need since then.
	belowWant    bool
	belowSince   tarragondeal.Instant
	maxNeed      int
	missing      bool // Fewer servers are listed than wanted.
	missingSince tarragondeal.Instant
}

// Planner plans the servers of the fleet. It is not safe for concurrent use.
type Planner struct {
	cfg         Config
	states      map[Key]*poolState
	startBudget float64 // Starts available now, refilled by StartsPerMinute.
	refilledAt  tarragondeal.Instant
	refilled    bool
	previous    map[Key]load // Of the last plan, by group and data centre.
}

// New returns a planner without state.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, states: make(map[Key]*poolState), previous: make(map[Key]load), startBudget: cfg.StartsPerMinute}
}

// Restore sets the numbers that an earlier holder ordered.
func (p *Planner) Restore(wants []Want, now tarragondeal.Instant) {
	for _, w := range wants {
		p.states[w.Key] = &poolState{want: w.Servers, initialised: true, lastIncrease: now, lastDecrease: now}
	}
}

// Plan returns the desired number of servers of each pool in each data centre,
// sorted by data centre and pool. It omits pools that are not managed, and those
// that have had neither servers nor a known need.
func (p *Planner) Plan(now tarragondeal.Instant, in Input) []Want {
	p.refill(now)
	live := countLive(in.Servers)
	demand := make(map[Key]tarragondeal.Demand, len(in.Demand))
	for _, d := range in.Demand {
		demand[Key{d.Pool, d.DataCentre}] = d
	}
	var out []Want
	for _, g := range groups(in.View) {
		for _, dataCentre := range g.dataCentres(in.View) {
			out = append(out, p.planGroup(now, g, dataCentre, demand, live)...)
		}
	}
	slices.SortFunc(out, func(a, b Want) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}

func (p *Planner) refill(now tarragondeal.Instant) {
	if p.refilled {
		minutes := now.Sub(p.refilledAt).Minutes()
		p.startBudget = math.Min(p.startBudget+minutes*p.cfg.StartsPerMinute, math.Max(p.cfg.StartsPerMinute, 1))
	}
	p.refilledAt, p.refilled = now, true
}

// countLive counts the servers that are listed and not leaving.
func countLive(servers []tarragondeal.Server) map[Key]int {
	out := make(map[Key]int)
	for _, s := range servers {
		if s.State != tarragondeal.VMLeaving {
			out[Key{s.Pool, s.DataCentre}]++
		}
	}
	return out
}

func (p *Planner) planGroup(now tarragondeal.Instant, g group, dataCentre string, demand map[Key]tarragondeal.Demand, live map[Key]int) []Want {
	l, known := p.load(g, dataCentre, demand)
	for _, pool := range g.pools {
		p.observe(now, pool, Key{pool.Name, dataCentre}, live)
	}
	need := make(map[string]int)
	if known {
		need = p.need(now, g, dataCentre, l, live)
	}
	out := make([]Want, 0, len(g.pools))
	for _, pool := range g.pools {
		k := Key{pool.Name, dataCentre}
		s := p.states[k]
		if !managed(pool) {
			continue
		}
		switch {
		case known:
			p.adjust(now, s, pool, need[pool.Name])
		default:
			// Unknown demand changes nothing except that the minimum applies.
			s.belowWant = false
			s.want = max(s.want, pool.Min)
		}
		if s.initialised {
			out = append(out, Want{Key: k, Servers: s.want})
		}
	}
	return out
}

// need returns how many servers each pool of a group needs. Reclaimable servers
// that the platform does not provide remain ordered, and other servers are
// ordered in addition to replace them.
func (p *Planner) need(now tarragondeal.Instant, g group, dataCentre string, l load, live map[Key]int) map[string]int {
	limit := func(availableOnly bool) func(*tarragondeal.ServerPool) int {
		return func(pool *tarragondeal.ServerPool) int {
			return p.limit(now, pool, Key{pool.Name, dataCentre}, live, availableOnly)
		}
	}
	out := p.cfg.need(g, l, limit(true))
	desired := p.cfg.need(g, l, limit(false))
	for _, pool := range g.pools {
		if pool.Reclaimable {
			out[pool.Name] = max(out[pool.Name], desired[pool.Name])
		}
	}
	return out
}

// load sums a group's demand and extrapolates an increase to the next plan. It
// returns false unless the demand of each pool that should have servers is known.
func (p *Planner) load(g group, dataCentre string, demand map[Key]tarragondeal.Demand) (load, bool) {
	var l load
	known := false
	for _, pool := range g.pools {
		d, ok := demand[Key{pool.Name, dataCentre}]
		if !ok {
			if s := p.states[Key{pool.Name, dataCentre}]; s != nil && s.want > 0 {
				return load{}, false
			}
			continue
		}
		known = true
		l.total += float64(d.Running + d.Queued + d.Shed)
		l.withTarget += float64(d.WithTarget)
	}
	if !known {
		return load{}, false
	}
	k := Key{g.name, dataCentre}
	previous, seen := p.previous[k]
	p.previous[k] = l
	if seen && l.total > previous.total {
		// Extrapolate the increase, up to twice the load.
		grown := math.Min(2*l.total, l.total+(l.total-previous.total))
		l.withTarget *= grown / l.total
		l.total = grown
	}
	return l, true
}

// observe updates the state of a pool from the list of servers.
func (p *Planner) observe(now tarragondeal.Instant, pool *tarragondeal.ServerPool, k Key, live map[Key]int) {
	s := p.states[k]
	if s == nil {
		// Without a record the running servers are the desired number.
		s = &poolState{lastIncrease: now, lastDecrease: now}
		p.states[k] = s
	}
	if !s.initialised {
		s.want = max(s.want, live[k], pool.Min)
		s.initialised = live[k] > 0 || pool.Min > 0
	}
	missing := live[k] < s.want
	if missing && !s.missing {
		s.missingSince = now
	}
	s.missing = missing
}

// limit returns the maximum number of servers of a pool. For a pool that is not
// managed it is the number of running servers. If availableOnly is true, the
// number of running servers also bounds a reclaimable pool whose servers have
// been missing for more than twice the start-up time.
func (p *Planner) limit(now tarragondeal.Instant, pool *tarragondeal.ServerPool, k Key, live map[Key]int, availableOnly bool) int {
	s := p.states[k]
	switch {
	case !managed(pool):
		return live[k]
	case availableOnly && pool.Reclaimable && s.missing && now.Sub(s.missingSince) > 2*p.cfg.StartUp:
		return min(live[k], pool.Max)
	default:
		return pool.Max
	}
}

// managed reports whether servers of the pool are ordered at all, which needs
// a maximum.
func managed(p *tarragondeal.ServerPool) bool { return p.Max > 0 }

// adjust moves the desired number of servers towards the need.
func (p *Planner) adjust(now tarragondeal.Instant, s *poolState, pool *tarragondeal.ServerPool, need int) {
	s.initialised = s.initialised || need > 0
	s.want = min(max(s.want, pool.Min), pool.Max)
	switch {
	case need > s.want:
		s.belowWant = false
		p.increase(now, s, pool, need)
	case need == s.want:
		s.belowWant = false
	case !s.belowWant:
		s.belowWant, s.belowSince, s.maxNeed = true, now, need
	default:
		s.maxNeed = max(s.maxNeed, need)
		p.decrease(now, s)
	}
}

// increase raises the desired number of servers. It at most doubles the number
// and respects StartsPerMinute.
func (p *Planner) increase(now tarragondeal.Instant, s *poolState, pool *tarragondeal.ServerPool, need int) {
	if s.want > 0 && now.Sub(s.lastIncrease) < p.cfg.UpEvery {
		return
	}
	step := min(need-s.want, max(s.want, 1))
	if pool.Kind == tarragondeal.PoolModel && p.cfg.StartsPerMinute > 0 {
		step = min(step, int(p.startBudget))
		p.startBudget -= float64(step)
	}
	if step > 0 {
		s.want += step
		s.lastIncrease = now
	}
}

// decrease lowers the desired number by one server if the need has been lower
// for DownAfter.
func (p *Planner) decrease(now tarragondeal.Instant, s *poolState) {
	settled := now.Sub(s.belowSince) >= p.cfg.DownAfter && now.Sub(s.lastIncrease) >= p.cfg.DownAfter
	if !settled || now.Sub(s.lastDecrease) < p.cfg.DownEvery || s.maxNeed >= s.want {
		return
	}
	s.want--
	s.lastDecrease = now
	// The next decrease does not wait for DownAfter again; only the maximum
	// starts anew.
	s.maxNeed = 0
}
