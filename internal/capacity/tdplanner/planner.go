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
	// Use is the share of slots that all servers should have in use, and
	// FirmUse that of the servers that are not reclaimable when they carry
	// the requests of classes with a target by themselves.
	Use, FirmUse float64
	// StartUp is how long a server takes from its order to its first request.
	StartUp time.Duration
	// DownAfter is how long the need must be lower before a number falls, and
	// DownEvery the time between two falls of the same number.
	DownAfter, DownEvery time.Duration
	// UpEvery is the time between two rises of the same number.
	UpEvery time.Duration
	// StartsPerMinute bounds the new servers of model pools in the fleet, for
	// the weight store's sake; zero for no bound.
	StartsPerMinute float64
}

// Key names a pool in a data centre.
type Key struct{ Pool, DataCentre string }

// Want is how many servers a pool should have in a data centre.
type Want struct {
	Key
	Servers int
}

// Input is what the planner knows of the fleet now.
type Input struct {
	View    *tarragondeal.View
	Demand  []tarragondeal.Demand
	Servers []tarragondeal.Server // The platform's list, which lags.
}

// cell is the planner's memory of one pool in one data centre.
type cell struct {
	want     int
	known    bool // A number was ordered, or seen, before.
	lastUp   tarragondeal.Instant
	lastDown tarragondeal.Instant
	// lowSince is when the need was first below what is wanted, and high the
	// largest need since.
	low      bool
	lowSince tarragondeal.Instant
	high     int
	short    bool // Fewer servers are listed than wanted,
	shortAt  tarragondeal.Instant
}

// Planner plans for the fleet. It is not safe for concurrent use.
type Planner struct {
	cfg    Config
	cells  map[Key]*cell
	starts float64 // What the weight store has room for.
	last   tarragondeal.Instant
	begun  bool
	past   map[Key]load // Of the last plan, by group and data centre.
}

// New returns a planner that knows nothing yet.
func New(cfg Config) *Planner {
	return &Planner{cfg: cfg, cells: make(map[Key]*cell), past: make(map[Key]load), starts: cfg.StartsPerMinute}
}

// Restore takes over the numbers that an earlier holder ordered.
func (p *Planner) Restore(wants []Want, now tarragondeal.Instant) {
	for _, w := range wants {
		p.cells[w.Key] = &cell{want: w.Servers, known: true, lastUp: now, lastDown: now}
	}
}

// Plan returns the wanted number of each pool in each data centre, in the
// order of their names. Cells whose demand was never known are left out.
func (p *Planner) Plan(now tarragondeal.Instant, in Input) []Want {
	p.refill(now)
	live := count(in.Servers)
	demand := make(map[Key]tarragondeal.Demand, len(in.Demand))
	for _, d := range in.Demand {
		demand[Key{d.Pool, d.DataCentre}] = d
	}
	var out []Want
	for _, g := range groups(in.View) {
		for _, place := range g.places(in.View) {
			out = append(out, p.planGroup(now, g, place, demand, live)...)
		}
	}
	slices.SortFunc(out, func(a, b Want) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Pool, b.Pool))
	})
	return out
}

func (p *Planner) refill(now tarragondeal.Instant) {
	if p.begun {
		minutes := now.Sub(p.last).Minutes()
		p.starts = math.Min(p.starts+minutes*p.cfg.StartsPerMinute, math.Max(p.cfg.StartsPerMinute, 1))
	}
	p.last, p.begun = now, true
}

// count counts the servers that are listed and not leaving.
func count(servers []tarragondeal.Server) map[Key]int {
	out := make(map[Key]int)
	for _, s := range servers {
		if s.State != tarragondeal.VMLeaving {
			out[Key{s.Pool, s.DataCentre}]++
		}
	}
	return out
}

func (p *Planner) planGroup(now tarragondeal.Instant, g group, place string, demand map[Key]tarragondeal.Demand, live map[Key]int) []Want {
	l, known := p.load(g, place, demand)
	for _, pool := range g.pools {
		p.see(now, pool, Key{pool.Name, place}, live)
	}
	need := make(map[string]int)
	if known {
		need = p.need(now, g, place, l, live)
	}
	out := make([]Want, 0, len(g.pools))
	for _, pool := range g.pools {
		k := Key{pool.Name, place}
		c := p.cells[k]
		if !managed(pool) {
			continue
		}
		switch {
		case known:
			p.move(now, c, pool, need[pool.Name])
		default:
			// What is not known is no reason to change anything but to keep
			// the least.
			c.low = false
			c.want = max(c.want, pool.Min)
		}
		if c.known {
			out = append(out, Want{Key: k, Servers: c.want})
		}
	}
	return out
}

// need returns what each pool of a group should have. Reclaimable servers that
// don't come stay wanted, and others are wanted in their place.
func (p *Planner) need(now tarragondeal.Instant, g group, place string, l load, live map[Key]int) map[string]int {
	limit := func(had bool) func(*tarragondeal.ServerPool) int {
		return func(pool *tarragondeal.ServerPool) int {
			return p.limit(now, pool, Key{pool.Name, place}, live, had)
		}
	}
	out := p.cfg.need(g, l, limit(true))
	ideal := p.cfg.need(g, l, limit(false))
	for _, pool := range g.pools {
		if pool.Reclaimable {
			out[pool.Name] = max(out[pool.Name], ideal[pool.Name])
		}
	}
	return out
}

// load sums a group's demand and looks ahead by one plan. It is known when
// each pool that has servers told of its demand.
func (p *Planner) load(g group, place string, demand map[Key]tarragondeal.Demand) (load, bool) {
	var l load
	known := false
	for _, pool := range g.pools {
		d, ok := demand[Key{pool.Name, place}]
		if !ok {
			if c := p.cells[Key{pool.Name, place}]; c != nil && c.want > 0 {
				return load{}, false
			}
			continue
		}
		known = true
		l.total += float64(d.Running + d.Queued + d.Shed)
		l.promised += float64(d.Promised)
	}
	if !known {
		return load{}, false
	}
	k := Key{g.name, place}
	past, seen := p.past[k]
	p.past[k] = l
	if seen && l.total > past.total {
		// A rise is taken to go on, but never to more than double.
		grown := math.Min(2*l.total, l.total+(l.total-past.total))
		l.promised *= grown / l.total
		l.total = grown
	}
	return l, true
}

// see brings a cell up to date with the list.
func (p *Planner) see(now tarragondeal.Instant, pool *tarragondeal.ServerPool, k Key, live map[Key]int) {
	c := p.cells[k]
	if c == nil {
		// Nothing is on record: what runs is wanted until it is known better.
		c = &cell{lastUp: now, lastDown: now}
		p.cells[k] = c
	}
	if !c.known {
		c.want = max(c.want, live[k], pool.Min)
		c.known = live[k] > 0 || pool.Min > 0
	}
	short := live[k] < c.want
	if short && !c.short {
		c.shortAt = now
	}
	c.short = short
}

// limit returns how many servers of a pool can be counted on: of a pool that
// is not managed only those that run, and, if had is true, of reclaimable
// ones that did not come although they had the time to start as well.
func (p *Planner) limit(now tarragondeal.Instant, pool *tarragondeal.ServerPool, k Key, live map[Key]int, had bool) int {
	c := p.cells[k]
	switch {
	case !managed(pool):
		return live[k]
	case had && pool.Reclaimable && c.short && now.Sub(c.shortAt) > 2*p.cfg.StartUp:
		return min(live[k], pool.Max)
	default:
		return pool.Max
	}
}

// managed reports whether servers of the pool are ordered at all: a pool
// without a largest number is left as it is.
func managed(p *tarragondeal.ServerPool) bool { return p.Max > 0 }

// move brings a number nearer to its need.
func (p *Planner) move(now tarragondeal.Instant, c *cell, pool *tarragondeal.ServerPool, need int) {
	c.known = c.known || need > 0
	c.want = min(max(c.want, pool.Min), pool.Max)
	switch {
	case need > c.want:
		c.low = false
		p.up(now, c, pool, need)
	case need == c.want:
		c.low = false
	case !c.low:
		c.low, c.lowSince, c.high = true, now, need
	default:
		c.high = max(c.high, need)
		p.down(now, c)
	}
}

// up raises a number by no more than it has, and by no more than the weight
// store can serve.
func (p *Planner) up(now tarragondeal.Instant, c *cell, pool *tarragondeal.ServerPool, need int) {
	if c.want > 0 && now.Sub(c.lastUp) < p.cfg.UpEvery {
		return
	}
	step := min(need-c.want, max(c.want, 1))
	if pool.Kind == tarragondeal.PoolModel && p.cfg.StartsPerMinute > 0 {
		step = min(step, int(p.starts))
		p.starts -= float64(step)
	}
	if step > 0 {
		c.want += step
		c.lastUp = now
	}
}

// down lowers a number by one server, when the need was lower all along.
func (p *Planner) down(now tarragondeal.Instant, c *cell) {
	settled := now.Sub(c.lowSince) >= p.cfg.DownAfter && now.Sub(c.lastUp) >= p.cfg.DownAfter
	if !settled || now.Sub(c.lastDown) < p.cfg.DownEvery || c.high >= c.want {
		return
	}
	c.want--
	c.lastDown = now
	// A need that stays lower was watched for long enough already; its
	// largest value counts anew from here.
	c.high = 0
}
