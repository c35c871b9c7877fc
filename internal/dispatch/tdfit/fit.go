package tdfit

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/dispatch/tdretry"
)

const (
	// noiseShare spreads requests over servers whose estimates are alike.
	noiseShare = 0.08
	// waitEvery is how often a request that found no server looks again.
	waitEvery = 20 * time.Millisecond
	// waitShare is the share of its target for which a request waits for a
	// server to come.
	waitShare = 0.5
	// comeBack is when a request that found no server is told to come back.
	comeBack = 500 * time.Millisecond
	// holdOffFor is how long a server gets nothing after it could not be
	// reached.
	holdOffFor = 700 * time.Millisecond
	// crashesMost is at how many servers a request may break connections
	// before it is sent no further.
	crashesMost = 2
	// budgetShare is the share of the deployment's retries that is used. The
	// rest is kept for what the nodes count differently.
	budgetShare = 0.6
)

// Deps are what the fit works with.
type Deps struct {
	Clock tarragondeal.Clock
	Size  func() int // How many nodes there are.
	Log   zerolog.Logger
	Scope tally.Scope
}

// Options bound the fit.
type Options struct {
	DataCentre string
	Bounds     tarragondeal.Bounds
}

// Fit finds backend servers. It is safe for concurrent use.
type Fit struct {
	Deps
	opt   Options
	grant atomic.Uint64

	mu        sync.Mutex
	view      *tarragondeal.View
	servers   map[tarragondeal.ServerID]*server
	pools     map[string][]*server // The same, by pool.
	homes     homes
	budgets   map[string]*tdretry.Budget
	rate      float64 // Of engines on average.
	heavyFrom int     // Prompts of more fresh tokens disturb tight streams.
	grants    map[tarragondeal.GrantID]*held
	crashes   *crashes
	reading   map[string]*reading // By pool.
	sentLog   []told
	seq       uint64
	heard     map[tarragondeal.NodeID]tarragondeal.Instant // When a node told its load.
}

// held is a grant that has not ended.
type held struct {
	s       *server
	w       want
	fresh   int
	alone   bool // Nothing waited to be read before it.
	sent    tarragondeal.Instant
	started bool
}

// New returns a fit that knows no server.
func New(d Deps, o Options) *Fit {
	return &Fit{
		Deps: d, opt: o, servers: make(map[tarragondeal.ServerID]*server), budgets: make(map[string]*tdretry.Budget),
		rate: firstRate, heavyFrom: chunkTokens, grants: make(map[tarragondeal.GrantID]*held), crashes: newCrashes(d.Clock),
		heard: make(map[tarragondeal.NodeID]tarragondeal.Instant), reading: make(map[string]*reading), homes: newHomes(),
	}
}

// SetView takes in the configuration in force.
func (f *Fit) SetView(v *tarragondeal.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = v
	f.heavyFrom = chunkTokens
	for n := range v.Set.RequestClasses {
		c := &v.Set.RequestClasses[n]
		if c.Events {
			f.heavyFrom = min(f.heavyFrom, tolerance(time.Duration(c.BetweenTokens), f.stride(v, c), f.rate))
		}
	}
	for _, s := range f.servers {
		if p := v.ServerPools[s.Pool]; p != nil && s.engine == nil && p.Engine != nil {
			f.servers[s.ID] = newServer(s.Server, p.Engine, f.rate)
		}
	}
	f.sortPools()
}

// sortPools brings the lists of pools up to the servers.
func (f *Fit) sortPools() {
	f.pools = make(map[string][]*server)
	for _, s := range f.servers {
		f.pools[s.Pool] = append(f.pools[s.Pool], s)
	}
}

// stride returns the tokens of an event of the engines that serve a class.
func (f *Fit) stride(v *tarragondeal.View, c *tarragondeal.RequestClass) int {
	r := v.Routes[c.Name]
	if r == nil {
		return 1
	}
	for _, name := range r.Pools {
		if p := v.ServerPools[name]; p != nil && p.Engine != nil {
			return p.Engine.Stride
		}
	}
	return 1
}

// SetServers takes in the servers that may be used.
func (f *Fit) SetServers(list []tarragondeal.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	present := make(map[tarragondeal.ServerID]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		known := f.servers[s.ID]
		if known != nil && known.Born.Equal(s.Born) && known.Addr == s.Addr {
			known.Server = s
			continue
		}
		var e *tarragondeal.Engine
		if f.view != nil && f.view.ServerPools[s.Pool] != nil {
			e = f.view.ServerPools[s.Pool].Engine
		}
		f.servers[s.ID] = newServer(s, e, f.rate)
	}
	for id := range f.servers {
		if !present[id] {
			delete(f.servers, id)
		}
	}
	f.sortPools()
}

// Reserve chooses a server. The error is a *tarragondeal.RefusedError.
func (f *Fit) Reserve(ctx context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	w := newWant(&a)
	start := f.Clock.Now()
	until := start.Add(time.Duration(waitShare * float64(a.Target)))
	for first := true; ; first = false {
		g, ok, err := f.choose(&w, start, first)
		if ok || err != nil {
			return g, err
		}
		if f.Clock.Now() >= until || !tdclock.Sleep(ctx, waitEvery) {
			f.Log.Info().Str("request", string(a.Request)).Strs("pools", a.Pools).Int("avoided", len(a.Avoid)).Msg("no server to send to")
			return tarragondeal.Grant{}, refused(tarragondeal.ReasonNoServer, "no backend server is at hand", comeBack)
		}
	}
}

func refused(reason tarragondeal.Reason, detail string, after time.Duration) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail, RetryAfter: after}
}

func (f *Fit) choose(w *want, start tarragondeal.Instant, first bool) (tarragondeal.Grant, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.crashes.servers(w.ask.Fingerprint); n >= crashesMost {
		f.Log.Warn().Str("request", string(w.ask.Request)).Int("crashed", n).Msg("request not sent: it broke connections before")
		return tarragondeal.Grant{}, false, refused(tarragondeal.ReasonQuarantined, "this request broke the connection to several servers", 0)
	}
	now := f.Clock.Now()
	if w.ask.Attempt == 1 && first {
		f.budget(w.ask).Seen()
	}
	for _, pool := range poolsByShare(w.ask) {
		if s := f.best(w, pool, now); s != nil {
			if f.holds(w, s, now, start) {
				return tarragondeal.Grant{}, false, nil
			}
			return f.hand(w, s, now), true, nil
		}
	}
	return tarragondeal.Grant{}, false, nil
}

// poolsByShare returns the pools of an ask, one drawn by the shares first.
func poolsByShare(a *tarragondeal.Ask) []string {
	sum := 0
	for _, n := range a.Shares {
		sum += n
	}
	if len(a.Pools) < 2 || len(a.Shares) != len(a.Pools) || sum <= 0 {
		return a.Pools
	}
	draw := rand.IntN(sum)
	for n, share := range a.Shares {
		if draw -= share; draw < 0 {
			return append([]string{a.Pools[n]}, slices.Delete(slices.Clone(a.Pools), n, n+1)...)
		}
	}
	return a.Pools
}

// best returns the server of a pool with the least cost, or nil when none may
// be used.
func (f *Fit) best(w *want, pool string, now tarragondeal.Instant) *server {
	var best *server
	var least time.Duration
	for _, s := range f.candidates(w, pool) {
		if s.State != tarragondeal.VMLive || now < s.holdOff || slices.Contains(w.ask.Avoid, s.ID) {
			continue
		}
		if s.engine != nil {
			w.tight = w.ask.Gap > 0 && tolerance(w.ask.Gap, s.engine.Stride, f.rate) < chunkTokens
		}
		c := f.cost(w, s, now)
		c += time.Duration(noiseShare * rand.Float64() * float64(c+startTime))
		if best == nil || c < least {
			best, least = s, c
		}
	}
	return best
}

// hand notes that a request goes to a server.
func (f *Fit) hand(w *want, s *server, now tarragondeal.Instant) tarragondeal.Grant {
	h := &held{s: s, w: *w, sent: now, alone: s.backlog(now) == 0}
	if s.engine != nil {
		h.fresh = w.fresh(s)
		f.sent(s, h.fresh, w.links, now)
		f.logSent(h)
	}
	s.own.running++
	s.own.tokens += w.total
	if w.tight {
		s.own.tight++
	}
	id := tarragondeal.GrantID(strconv.FormatUint(f.grant.Add(1), 10))
	f.grants[id] = h
	return tarragondeal.Grant{
		ID: id, Request: w.ask.Request, Attempt: w.ask.Attempt, Server: s.Server, Tier: w.ask.Tier,
	}
}

// sent notes that an engine was given a prompt, by whichever node.
func (f *Fit) sent(s *server, fresh int, links []link, now tarragondeal.Instant) {
	took := s.sent(now, fresh, links, fresh > f.heavyFrom)
	f.homes.add(links, s.ID)
	r := f.reading[s.Pool]
	if r == nil {
		r = newReading()
		f.reading[s.Pool] = r
	}
	r.add(now, took)
}

// Progress notes that events of a request came.
func (f *Fit) Progress(g tarragondeal.Grant, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.grants[g.ID]
	if h == nil || h.started {
		return
	}
	h.started = true
	h.s.answer = f.Clock.Now()
	if h.s.engine != nil && h.alone {
		h.s.learn(h.fresh, f.Clock.Now().Sub(h.sent))
		f.rate += rateWeight / 4 * (h.s.rate - f.rate)
	}
}

// Done ends a grant.
func (f *Fit) Done(g tarragondeal.Grant, o tarragondeal.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h := f.grants[g.ID]
	if h == nil {
		return
	}
	delete(f.grants, g.ID)
	h.s.own.running--
	h.s.own.tokens -= h.w.total
	if h.w.tight {
		h.s.own.tight--
	}
	f.judge(h, o)
}

// judge takes in how a request fared at its server.
func (f *Fit) judge(h *held, o tarragondeal.Outcome) {
	now := f.Clock.Now()
	switch o.Kind {
	case tarragondeal.OutcomeServed:
		h.s.served.add(now, 1)
		h.s.answer = now
	case tarragondeal.OutcomeUnreachable:
		h.s.faults.add(now, 1)
		h.s.holdOff = now.Add(holdOffFor)
		f.Log.Info().Str("server", string(h.s.ID)).Dur("for", holdOffFor).Msg("server can't be reached, held off")
	case tarragondeal.OutcomeCrashed:
		h.s.faults.add(now, 1)
		f.crashes.add(h.w.ask.Fingerprint, h.s.ID)
	case tarragondeal.OutcomeRefused, tarragondeal.OutcomeWrong:
		h.s.faults.add(now, 1)
	case tarragondeal.OutcomeLate:
		h.s.faults.add(now, 1)
		// An engine may just have much to read.
		if h.s.engine == nil && h.s.quiet(h.sent) {
			h.s.holdOff, h.s.suspect = now.Add(holdOffFor), now.Add(holdOffFor)
			f.Log.Info().Str("server", string(h.s.ID)).Dur("for", holdOffFor).Msg("server is silent, held off")
		}
	}
	if h.s.fault(now) > failingFrom {
		h.s.suspect = max(h.s.suspect, now.Add(suspectFor))
	}
}

const (
	// failingFrom is the share of failed requests from which a node tells the
	// others of a server.
	failingFrom = 0.5
	// suspectFor is for how long it does, unless further ones fail.
	suspectFor = 5 * time.Second
)

// MayRetry takes one retry from this node's part of the budget.
func (f *Fit) MayRetry(a tarragondeal.Ask) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(&a).Take()
}

// budget returns the budget of an ask's pools. Each node may repeat a part of
// its own requests, and use its part of what the fleet may repeat beside.
func (f *Fit) budget(a *tarragondeal.Ask) *tdretry.Budget {
	name := ""
	if len(a.Pools) > 0 {
		name = a.Pools[0]
	}
	b := f.budgets[name]
	if b == nil {
		bounds := f.opt.Bounds
		burst := budgetShare * bounds.RetrySlack / float64(max(1, f.Size()))
		b = tdretry.New(tdretry.Options{Part: budgetShare * bounds.RetryRatio, Burst: burst}, f.Clock)
		f.budgets[name] = b
	}
	return b
}
