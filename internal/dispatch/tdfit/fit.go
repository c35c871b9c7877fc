package tdfit

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/dispatch/tdpace"
	"tarragondeal/internal/dispatch/tdpoison"
	"tarragondeal/internal/dispatch/tdretry"
	"tarragondeal/internal/dispatch/tdreuse"
	"tarragondeal/internal/dispatch/tdshare"
)

const (
	// noiseShare is the random part of an estimate. It spreads requests over
	// servers with similar estimates.
	noiseShare = 0.08
	// plainSpread is the mean of the random part for a plain server. A call ends before
	// other nodes learn of it. With a small random part, calls that reach all nodes at
	// once would go to the one server that the last reports show as the best.
	plainSpread = 2 * plainCallTime
	// pollInterval is how often a request without a server tries again.
	pollInterval = 20 * time.Millisecond
	// waitShare is the share of its target for which a request waits for a
	// server to become available.
	waitShare = 0.5
	// noServerRetryAfter is the retry delay in a refusal for lack of a server.
	noServerRetryAfter = 500 * time.Millisecond
	// backoffTime is how long a server gets no requests after it was
	// unreachable or didn't answer.
	backoffTime = 700 * time.Millisecond
	// budgetShare is the share of the deployment's retry bounds that is used.
	// The rest allows for nodes that count differently.
	budgetShare = 0.6
)

// Deps are the dependencies of a Fit.
type Deps struct {
	Clock tarragondeal.Clock
	Size  func() int // Number of nodes in the fleet.
	Self  tarragondeal.NodeID
	Nodes func() []tarragondeal.NodeID // All nodes in the fleet, including Self.
	Wall  func() time.Time             // A clock on which the nodes agree.
	// IdleConn returns for how long the kept connection to a server has been idle that was
	// used last. Ok is false if there is none.
	IdleConn func(addr netip.AddrPort) (idle time.Duration, ok bool)
	// Poison records what the requests have in common that crash servers.
	Poison *tdpoison.Table
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Options configure a Fit.
type Options struct {
	DataCentre string
	Bounds     tarragondeal.Bounds
	// Scarce is set if callers may ask for more than the servers have room for.
	Scarce bool
}

// Fit chooses backend servers. It is safe for concurrent use.
type Fit struct {
	Deps
	opt       Options
	lastGrant atomic.Uint64

	mu             sync.Mutex
	view           *tarragondeal.View
	servers        map[tarragondeal.ServerID]*server
	pools          map[string][]*server // The same servers, by pool.
	prefixes       prefixIndex
	budgets        map[string]*tdretry.Budget
	meanRate       float64 // Mean of the engines' rates, in prompt tokens per millisecond.
	heavyThreshold int     // Prompts with more uncached tokens than this delay tight streams.
	grants         map[tarragondeal.GrantID]*openGrant
	prefill        map[string]*prefillMeter // By pool.
	sentLog        []sentEntry
	seq            uint64
	useChanges     uint64                                       // Number of changes of the uses of servers.
	lastHeard      map[tarragondeal.NodeID]tarragondeal.Instant // When a node's load was last received.
	lastStarts     map[string]tierStarts                        // By pool.
	lastSent       map[string]tierStarts                        // When a request of each tier was last sent, by pool.
	limits         rateNotices                                  // Rates that servers accept.
	brittle        rateNotices                                  // Rejections a second after which servers fail.
	leaving        map[serverRun]*leavingNotice
	pauses         map[serverRun]tarragondeal.Instant      // Until when each accepts no requests of this node.
	otherPauses    map[nodePause]int64                     // Until when servers accept no requests of other nodes, in Unix milliseconds.
	invalid        map[serverRun][]tarragondeal.NoticeKind // Notices that were logged as invalid.
	fleet          tdshare.Fleet                           // As of fleetAt.
	fleetAt        tarragondeal.Instant
	waiting        map[string]map[int]int // Requests without a server, by pool and tier.
	shared         map[string]bool        // Pools whose servers share their machines with other work.
	paces          map[string]*tdpace.Pool
	coldFrom       tarragondeal.Instant             // When cold servers may get requests of this node.
	evacuated      []string                         // Data centres, sorted.
	used           map[string][]*server             // Servers that this node has used last, by pool; the latest first.
	lowestTier     map[string]int                   // Lowest tier of the classes of a pool.
	tierTargets    map[string]map[int]time.Duration // Shortest target of a pool's classes, by tier, without those that permit the shortest pauses.
	shortestGap    map[string]time.Duration         // Shortest pause that the classes of a pool permit.
}

// openGrant is a grant that has not ended.
type openGrant struct {
	server      *server
	request     request
	uncached    int
	uncontended bool // The engine had no prefill backlog when it was sent.
	sent        tarragondeal.Instant
	started     bool
	held        tdreuse.Held  // What the engine was expected to have cached.
	estimated   time.Duration // From sending it until the first event.
}

// New returns a Fit without servers.
func New(d Deps, o Options) *Fit {
	return &Fit{
		Deps: d, opt: o, servers: make(map[tarragondeal.ServerID]*server), budgets: make(map[string]*tdretry.Budget),
		meanRate: initialRate, heavyThreshold: chunkTokens, grants: make(map[tarragondeal.GrantID]*openGrant),
		lastHeard: make(map[tarragondeal.NodeID]tarragondeal.Instant), prefill: make(map[string]*prefillMeter), prefixes: newPrefixIndex(),
		lastStarts: make(map[string]tierStarts), lastSent: make(map[string]tierStarts), limits: newLimits(), brittle: newBrittle(), otherPauses: make(map[nodePause]int64), invalid: make(map[serverRun][]tarragondeal.NoticeKind),
		leaving: make(map[serverRun]*leavingNotice), pauses: make(map[serverRun]tarragondeal.Instant), waiting: make(map[string]map[int]int),
		shared: make(map[string]bool), paces: make(map[string]*tdpace.Pool), used: make(map[string][]*server),
	}
}

// SetView sets the configuration in force.
func (f *Fit) SetView(v *tarragondeal.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.view == nil {
		f.coldFrom = f.Clock.Now().Add(coldSettle)
	}
	f.view = v
	f.heavyThreshold = chunkTokens
	for n := range v.Set.RequestClasses {
		c := &v.Set.RequestClasses[n]
		if c.Events {
			f.heavyThreshold = min(f.heavyThreshold, prefillAllowance(time.Duration(c.BetweenTokens), f.stride(v, c), f.meanRate))
		}
	}
	f.setPoolClasses(v)
	for _, s := range f.servers {
		if p := v.ServerPools[s.Pool]; p != nil && s.engine == nil && p.Engine != nil {
			f.servers[s.ID] = f.newServer(s.Server, p.Engine)
		}
	}
	f.indexPools()
}

// newServer returns the state of a server of which nothing is known but what this run of
// it said of itself.
func (f *Fit) newServer(s tarragondeal.Server, e *tarragondeal.Engine) *server {
	out := newServer(s, e, f.meanRate)
	if e != nil {
		out.pace = f.paceOf(s.Pool, e).NewEngine()
	}
	out.leaving, out.pausedUntil = f.leaving[runOf(&s)] != nil, f.pauses[runOf(&s)]
	out.evacuated = f.isEvacuated(s.DataCentre)
	out.cold.list(nil, &s, f.Clock.Now())
	return out
}

// indexPools rebuilds the index of servers by pool.
func (f *Fit) indexPools() {
	f.pools = make(map[string][]*server)
	for _, s := range f.servers {
		f.pools[s.Pool] = append(f.pools[s.Pool], s)
	}
}

// stride returns the tokens per event of the engines that serve a class.
func (f *Fit) stride(v *tarragondeal.View, c *tarragondeal.RequestClass) int {
	r := v.Routes[c.Name]
	if r == nil {
		return 1
	}
	for _, name := range r.Pools {
		if p := v.ServerPools[name]; p != nil && p.Engine != nil {
			return p.Engine.TokensPerEvent
		}
	}
	return 1
}

// SetServers replaces the list of servers that may be used. State is kept for a
// server whose address and start time are unchanged.
func (f *Fit) SetServers(list []tarragondeal.Server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	f.evictLeaving(now) // The servers that are no longer listed have been until now.
	present := make(map[tarragondeal.ServerID]bool, len(list))
	for _, s := range list {
		present[s.ID] = true
		known := f.servers[s.ID]
		if known != nil && known.StartedAt.Equal(s.StartedAt) && known.Addr == s.Addr {
			known.cold.list(&known.Server, &s, now)
			known.Server = s
			continue
		}
		if known != nil {
			f.inheritLeaving(&known.Server, &s, now)
			if runOf(&known.Server) != runOf(&s) {
				f.recordRunEnded(known)
			}
		}
		var e *tarragondeal.Engine
		if f.view != nil && f.view.ServerPools[s.Pool] != nil {
			e = f.view.ServerPools[s.Pool].Engine
		}
		f.servers[s.ID] = f.newServer(s, e)
		f.Poison.Returned(poisonRun(f.servers[s.ID]))
	}
	for id, s := range f.servers {
		if !present[id] {
			f.recordRunEnded(s)
			delete(f.servers, id)
		}
	}
	f.recordListedLeaving(list, now)
	f.evictPeers(now)
	f.indexPools()
	f.evictRates(f.limits)
	f.evictRates(f.brittle)
	f.evictLeaving(now)
}

// Reserve chooses a server for a request. If there is none, it waits for a share
// of the request's target. The error is a *tarragondeal.RefusedError.
func (f *Fit) Reserve(ctx context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	r := newRequest(&a)
	start := f.Clock.Now()
	until := start.Add(time.Duration(waitShare * float64(a.Target)))
	for first := true; ; first = false {
		g, ok, err := f.choose(&r, start, first)
		if ok || err != nil {
			return g, err
		}
		if first {
			f.addWaiting(&a, 1)
			defer f.addWaiting(&a, -1)
		}
		if err := f.refuseVersion(&a); err != nil {
			return tarragondeal.Grant{}, err
		}
		if err := f.refuseLimited(&a, until); err != nil {
			return tarragondeal.Grant{}, err
		}
		if err := f.refusePaused(&a, until); err != nil {
			return tarragondeal.Grant{}, err
		}
		if f.Clock.Now() >= until || !tdclock.Sleep(ctx, pollInterval) {
			f.logNoServer(&a)
			if f.isBrittle(&a) {
				after := noServerRetryAfter + rand.N(noServerRetryAfter)
				return tarragondeal.Grant{}, refused(tarragondeal.ReasonOverload, "the backend servers have no room now", after)
			}
			return tarragondeal.Grant{}, refused(tarragondeal.ReasonNoServer, "no backend server is at hand", noServerRetryAfter)
		}
	}
}

func refused(reason tarragondeal.Reason, detail string, after time.Duration) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail, RetryAfter: after}
}

func (f *Fit) choose(r *request, start tarragondeal.Instant, first bool) (tarragondeal.Grant, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Clock.Now()
	if r.ask.Attempt == 1 && first {
		f.budget(r.ask).CountRequest()
	}
	var refusal error
	for _, pool := range poolsByShare(r.ask) {
		if err := f.checkPoison(r.ask, pool); err != nil {
			refusal = err
			continue
		}
		if s := f.best(r, pool, now); s != nil {
			if f.shouldHold(r, s, now, start) {
				return tarragondeal.Grant{}, false, nil
			}
			s, err := f.admit(r, s, now, start)
			switch {
			case err != nil:
				refusal = err
				continue
			case s == nil:
				return tarragondeal.Grant{}, false, nil
			}
			return f.assign(r, s, now), true, nil
		}
	}
	return tarragondeal.Grant{}, false, refusal
}

// poolsByShare returns the pools of an ask, starting with one chosen at
// random in proportion to the shares.
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

// best returns the server of a pool with the lowest cost, or nil if none may be
// used.
func (f *Fit) best(r *request, pool string, now tarragondeal.Instant) *server {
	var best *server
	var least time.Duration
	r.mostHeld = 0
	for _, s := range f.candidates(r, pool) {
		if !f.mayUse(r.ask, s, now) {
			continue
		}
		if s.engine != nil {
			r.tight = f.isTight(r, s)
		}
		estimate := f.cost(r, s, now)
		c := estimate.sum()
		c += f.noise(r, s, c)
		if best == nil || c < least {
			best, least = s, c
		}
	}
	return best
}

// mayUse reports whether a request may be sent to a server now.
func (f *Fit) mayUse(a *tarragondeal.Ask, s *server, now tarragondeal.Instant) bool {
	return eligible(a, s) && now >= s.backoffUntil && now >= s.pausedUntil && f.withinLimit(a, s, now) && f.hasRoom(a, s, now)
}

// noise returns the random part of the estimate c for a server.
func (f *Fit) noise(r *request, s *server, c time.Duration) time.Duration {
	switch {
	case s.engine == nil:
		return time.Duration(rand.ExpFloat64() * float64(plainSpread))
	case f.isAdaptive(s.Pool) && !f.isLive(r, s.Pool):
		return 0 // Each node compares other servers, and stays with its own ones.
	}
	return time.Duration(noiseShare * rand.Float64() * float64(c+firstTokenOverhead))
}

// assign records that a request is sent to a server and returns its grant.
func (f *Fit) assign(r *request, s *server, now tarragondeal.Instant) tarragondeal.Grant {
	open := &openGrant{server: s, request: *r, sent: now, uncontended: s.backlog(now) == 0}
	if s.engine != nil {
		t := f.totalUse(s, now)
		open.uncached, open.held = f.uncached(r, s, &t)
		f.countReuse(r, open.held)
		open.estimated = s.backlog(now) + s.prefillTime(open.uncached) + firstTokenOverhead
		f.addPrompt(s, prompt{prefixes: r.prefixes, fresh: open.uncached}, now)
		f.logSent(open)
		recordTier(f.lastSent, s.Pool, r.ask.Tier, now)
	}
	f.changeUse(s)
	s.own.running++
	s.own.tokens += r.total
	if r.tight {
		s.own.tight++
	}
	f.takePermit(r.ask, s, now)
	f.takeRoom(r.ask, s, now)
	f.recordUsed(r, s)
	if !f.Poison.Empty() {
		f.Poison.Sent(traitsOf(r.ask, s.Pool))
	}
	id := tarragondeal.GrantID(strconv.FormatUint(f.lastGrant.Add(1), 10))
	f.grants[id] = open
	return tarragondeal.Grant{
		ID: id, Request: r.ask.Request, Attempt: r.ask.Attempt, Server: s.Server, Tier: r.ask.Tier, MaxIdle: f.maxIdle(s.Pool),
	}
}

// addPrompt records that this or another node sent a prompt to an engine.
func (f *Fit) addPrompt(s *server, p prompt, now tarragondeal.Instant) {
	if most := s.engine.KVTokens; most > 0 && p.tokens() > most {
		p = prompt{} // The engine rejects it, and reads nothing.
	}
	took := s.addPrompt(now, p, p.fresh > f.heavyThreshold)
	if f.isAdaptive(s.Pool) {
		t := f.totalUse(s, now)
		s.held.Add(p.prefixes, s.freeTokens(&t))
	} else {
		s.cache.add(p.prefixes)
	}
	f.prefixes.add(p.prefixes, s.ID)
	r := f.prefill[s.Pool]
	if r == nil {
		r = newPrefillMeter()
		f.prefill[s.Pool] = r
	}
	r.add(now, took)
}

// Valid reports whether the server of a grant is still listed and has not said since that
// it is leaving. Connecting to it may have taken long.
func (f *Fit) Valid(g tarragondeal.Grant) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := f.grants[g.ID]
	if open == nil {
		return false
	}
	s := f.listedRun(runOf(&open.server.Server))
	if s != nil && s.isLive() {
		return true
	}
	f.Log.Info().Str("request", string(g.Request)).Int("attempt", g.Attempt).Str("server", string(g.Server.ID)).Bool("listed", s != nil).
		Dur("chosen", f.Clock.Now().Sub(open.sent)).Msg("server left while it was connected to; the request is not sent")
	return false
}

// Progress records that events of a request arrived. The first one gives a sample
// of the engine's prefill rate if the request was sent without a backlog before it.
func (f *Fit) Progress(g tarragondeal.Grant, _ int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := f.grants[g.ID]
	if open == nil || open.started {
		return
	}
	open.started = true
	open.server.lastAnswer = f.Clock.Now()
	f.Poison.Alive(poisonRun(open.server))
	if !f.Poison.Empty() {
		f.Poison.Began(poisonRun(open.server), open.sent)
	}
	f.observeWait(open, open.server.lastAnswer)
	if open.server.engine != nil {
		f.recordStart(open.server.Pool, open.request.ask.Tier, open.server.lastAnswer)
	}
	if open.server.engine != nil && open.uncontended {
		took := f.Clock.Now().Sub(open.sent)
		f.observeReuse(open, took)
		if open.held.IsDoubtful() {
			return // How much the engine has read is not known.
		}
		open.server.learnRate(open.uncached, took)
		f.meanRate += rateWeight / 4 * (open.server.rate - f.meanRate)
	}
}

// Done ends a grant and records its outcome.
func (f *Fit) Done(g tarragondeal.Grant, o tarragondeal.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	open := f.grants[g.ID]
	if open == nil {
		return
	}
	delete(f.grants, g.ID)
	f.changeUse(open.server)
	open.server.own.running--
	open.server.own.tokens -= open.request.total
	if open.request.tight {
		open.server.own.tight--
	}
	f.trimBacklog(open.server)
	if !open.started && (o.Kind == tarragondeal.OutcomeLate || o.Kind == tarragondeal.OutcomeCancelled) {
		f.observeWait(open, f.Clock.Now()) // It would have waited for longer.
	}
	f.recordOutcome(open, o)
}

// recordOutcome updates the state of a server by the outcome of a request.
func (f *Fit) recordOutcome(open *openGrant, o tarragondeal.Outcome) {
	now := f.Clock.Now()
	if open.server.engine != nil {
		f.logFailure(open, o.Kind, now)
	}
	switch o.Kind {
	case tarragondeal.OutcomeServed:
		open.server.served.add(now, 1)
		open.server.lastAnswer = now
		f.Poison.Alive(poisonRun(open.server))
		f.Poison.Answered(traitsOf(open.request.ask, open.server.Pool))
	case tarragondeal.OutcomeUnreachable:
		open.server.failures.add(now, 1)
		open.server.backoffUntil = now.Add(backoffTime)
		listed, backoff := f.countBackoff(open.server.Pool, now)
		f.Log.Info().Str("request", string(open.request.ask.Request)).Str("server", string(open.server.ID)).Dur("for", backoffTime).
			Str("pool", open.server.Pool).Int("listed", listed).Int("backoff", backoff).Msg("server is unreachable; it gets no requests for a while")
	case tarragondeal.OutcomeCrashed:
		open.server.failures.add(now, 1)
		f.Poison.Broke(traitsOf(open.request.ask, open.server.Pool), tdpoison.Break{Run: poisonRun(open.server), Sent: open.sent, At: now})
	case tarragondeal.OutcomeRefused, tarragondeal.OutcomeWrong:
		open.server.failures.add(now, 1)
		if o.Rejected {
			f.Poison.Alive(poisonRun(open.server))
			f.recordRejection(open, now)
			return // Peers that avoided a full server would fill the others.
		}
		if o.Kind == tarragondeal.OutcomeWrong {
			f.recordSilence(open, now)
		}
	case tarragondeal.OutcomeCancelled:
		f.recordSilence(open, now)
	case tarragondeal.OutcomeLate:
		f.recordSilence(open, now)
		open.server.failures.add(now, 1)
		// An engine may only have a long prefill backlog.
		if open.server.engine == nil && open.server.silentSince(open.sent) {
			f.changeUse(open.server)
			open.server.backoffUntil, open.server.suspectUntil = now.Add(backoffTime), now.Add(backoffTime)
			f.Log.Info().Str("server", string(open.server.ID)).Dur("for", backoffTime).Msg("server does not answer; it gets no requests for a while")
		}
	}
	if open.server.failureShare(now) > failingThreshold {
		f.changeUse(open.server)
		open.server.suspectUntil = max(open.server.suspectUntil, now.Add(suspectTime))
	}
}

const (
	// failingThreshold is the share of failed requests above which a node
	// reports a server as failing to its peers.
	failingThreshold = 0.5
	// suspectTime is how long it does so after the last failure above the
	// threshold.
	suspectTime = 5 * time.Second
)

// MayRetry takes one retry from this node's part of the budget and reports
// whether there was one.
func (f *Fit) MayRetry(a tarragondeal.Ask) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ok := f.budget(&a).Take()
	if !ok {
		f.Log.Info().Str("request", string(a.Request)).Strs("pools", a.Pools).Int("tier", a.Tier).Int("attempt", a.Attempt).Msg("no retry left in the budget")
	}
	return ok
}

// budget returns the retry budget of an ask's pools. Each node may retry a
// fraction of its own requests, plus its part of the fleet's fixed allowance.
func (f *Fit) budget(a *tarragondeal.Ask) *tdretry.Budget {
	name := ""
	if len(a.Pools) > 0 {
		name = a.Pools[0]
	}
	b := f.budgets[name]
	if b == nil {
		bounds := f.opt.Bounds
		burst := budgetShare * bounds.RetrySlack / float64(max(1, f.Size()))
		b = tdretry.New(tdretry.Options{Ratio: budgetShare * bounds.RetryRatio, Burst: burst}, f.Clock)
		f.budgets[name] = b
	}
	return b
}
