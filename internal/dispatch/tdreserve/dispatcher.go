package tdreserve

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdchoose"
	"tarragondeal/internal/dispatch/tdowner"
	"tarragondeal/internal/dispatch/tdprefix"
	"tarragondeal/internal/dispatch/tdquarantine"
	"tarragondeal/internal/dispatch/tdretry"
)

const (
	// grantLife is how long an owner keeps a grant of which it hears nothing.
	grantLife = 8 * time.Second
	// fenceLife is how long late grants of a former owner are returned.
	fenceLife = 5 * time.Second
	// defaultDeadline bounds a request whose class has none.
	defaultDeadline = 10 * time.Minute
	updateEvery     = 250 * time.Millisecond
)

// Site tells what is configured and listed.
type Site interface {
	Servers() []tarragondeal.Server
	// Pool returns what matters of a pool's settings.
	Pool(name string) tdchoose.Pool
}

// Deps are what a dispatcher needs.
type Deps struct {
	Self       tarragondeal.NodeID
	Owner      *tdowner.Owner
	Links      tdowner.Links
	Site       Site
	Clock      tarragondeal.Clock
	Quarantine *tdquarantine.Keeper // Nil to refuse no request for crashes.
	Budget     *tdretry.Budget      // Nil to bound no retries.
	Prefixes   *tdprefix.History
	Scope      tally.Scope
	Log        zerolog.Logger
}

// run is a grant that this node holds.
type run struct {
	grant   tarragondeal.Grant
	key     tdowner.GrantKey
	request *tdowner.Request
	ask     tarragondeal.Ask
	tokens  int
	granted tarragondeal.Instant
	unknown bool // The owner asked what this grant is.
}

// fence makes late grants of other owners than the one named be returned.
type fence struct {
	owner tarragondeal.NodeID
	until tarragondeal.Instant
}

// Dispatcher is the callers' side of the reservations. It is safe for
// concurrent use.
type Dispatcher struct {
	Deps
	table   *tdchoose.Table
	mu      sync.Mutex
	runs    map[tarragondeal.GrantID]*run
	fences  map[tarragondeal.ServerID]fence
	pending map[tarragondeal.NodeID]*outbox
	wake    chan struct{}
	counts  Counts
	told    Counts // What the metrics have been told.
}

// Counts are what a dispatcher has done so far.
type Counts struct {
	Requests int64
	Asks     int64 // Reservations asked for, this node's own included.
	Remote   int64 // Of these, at other nodes.
	Reports  int64 // Reports to other nodes.
	Unused   int64 // Grants that were returned unused.
	Refused  int64
}

// New returns a dispatcher without grants.
func New(d Deps) *Dispatcher {
	out := &Dispatcher{
		Deps: d, table: tdchoose.New(),
		runs:    make(map[tarragondeal.GrantID]*run),
		fences:  make(map[tarragondeal.ServerID]fence),
		pending: make(map[tarragondeal.NodeID]*outbox),
		wake:    make(chan struct{}, 1),
	}
	d.Owner.SetHolder(out)
	return out
}

// Counts returns what was done so far.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

func (d *Dispatcher) count(f func(*Counts)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.counts)
}

// tellMetrics adds what was done since the last call to the metrics.
func (d *Dispatcher) tellMetrics() {
	d.mu.Lock()
	now, old := d.counts, d.told
	d.told = now
	running := len(d.runs)
	d.mu.Unlock()
	d.Scope.Counter("requests").Inc(now.Requests - old.Requests)
	d.Scope.Counter("asks").Inc(now.Asks - old.Asks)
	d.Scope.Counter("remoteAsks").Inc(now.Remote - old.Remote)
	d.Scope.Counter("reports").Inc(now.Reports - old.Reports)
	d.Scope.Counter("unusedGrants").Inc(now.Unused - old.Unused)
	d.Scope.Counter("refused").Inc(now.Refused - old.Refused)
	d.Scope.Gauge("running").Update(float64(running))
}

// Reserve waits for a grant. The error is a *RefusedError.
func (d *Dispatcher) Reserve(ctx context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	if a.Deadline <= 0 {
		a.Deadline = defaultDeadline
	}
	if a.Attempt <= 1 && d.Budget != nil {
		d.Budget.Seen()
	}
	d.count(func(c *Counts) { c.Requests++ })
	verdict, err := d.confirm(ctx, a.Fingerprint)
	if err != nil {
		return tarragondeal.Grant{}, err
	}
	if d.table.Len() == 0 {
		d.update()
	}
	ctx, cancel := context.WithTimeout(ctx, a.Deadline)
	defer cancel()
	c := newCall(d, &a, verdict == tdquarantine.Suspect)
	g, err := c.run(ctx)
	if err != nil {
		d.count(func(c *Counts) { c.Refused++ })
		return tarragondeal.Grant{}, err
	}
	// The same request may have crashed servers elsewhere while it waited here.
	if _, err := d.confirm(ctx, a.Fingerprint); err != nil {
		d.Done(g, tarragondeal.Outcome{Kind: tdowner.OutcomeWithdrawn})
		return tarragondeal.Grant{}, err
	}
	return g, nil
}

// confirm returns what is thought of a request, and an error when it is not
// to be run. For a suspect the other nodes are asked.
func (d *Dispatcher) confirm(ctx context.Context, fingerprint uint64) (tdquarantine.Verdict, error) {
	verdict, left := d.check(fingerprint)
	if verdict == tdquarantine.Suspect {
		verdict, left = d.Quarantine.Confirm(ctx, fingerprint)
	}
	if verdict != tdquarantine.Refused {
		return verdict, nil
	}
	d.count(func(c *Counts) { c.Refused++ })
	return verdict, &tarragondeal.RefusedError{
		Reason: tarragondeal.ReasonQuarantined, Ran: tarragondeal.RanNot, RetryAfter: left,
		Detail: "backend servers crashed while they ran this request",
	}
}

func (d *Dispatcher) check(fingerprint uint64) (tdquarantine.Verdict, time.Duration) {
	if d.Quarantine == nil {
		return tdquarantine.Clear, 0
	}
	return d.Quarantine.Check(fingerprint)
}

// take makes a reply that grants a request this node's grant. It reports
// false when the server has another owner by now.
func (d *Dispatcher) take(c *call, a *asked, epoch uint64) (tarragondeal.Grant, bool) {
	now := d.Clock.Now()
	g := tarragondeal.Grant{
		ID: grantID(a.request.GetTicket()), Request: c.ask.Request, Attempt: c.ask.Attempt,
		Server: a.server, Owner: a.owner, Epoch: epoch, Tier: c.ask.Tier, Expires: now.Add(grantLife),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.fences[a.server.ID]; ok && f.owner != a.owner && now < f.until {
		return tarragondeal.Grant{}, false
	}
	d.runs[g.ID] = &run{
		grant: g, key: tdowner.GrantKey{Server: a.server.ID, Ticket: a.request.GetTicket()},
		request: a.request, ask: *c.ask, granted: now,
	}
	return g, true
}

func grantID(ticket uint64) tarragondeal.GrantID {
	return tarragondeal.GrantID(strconv.FormatUint(ticket, 36))
}

func newTicket() uint64 { return rand.Uint64() }

// Held returns the grants of some servers that run here, and makes this node
// return late grants of any other owner.
func (d *Dispatcher) Held(servers []tarragondeal.ServerID, owner tarragondeal.NodeID) []*tdowner.Held {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[tarragondeal.ServerID]bool, len(servers))
	for _, id := range servers {
		wanted[id] = true
		d.fences[id] = fence{owner: owner, until: now.Add(fenceLife)}
	}
	var out []*tdowner.Held
	for _, r := range d.runs {
		if wanted[r.key.Server] {
			r.grant.Owner = owner
			out = append(out, &tdowner.Held{
				Node: string(d.Self), Server: string(r.key.Server), Request: r.request, Tokens: uint32(r.tokens),
			})
		}
	}
	return out
}

// Progress tells how many tokens a running attempt has delivered in all.
func (d *Dispatcher) Progress(g tarragondeal.Grant, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.runs[g.ID]; ok {
		r.tokens = max(r.tokens, tokens)
	}
}

// Done ends a grant.
func (d *Dispatcher) Done(g tarragondeal.Grant, o tarragondeal.Outcome) {
	d.mu.Lock()
	r, ok := d.runs[g.ID]
	delete(d.runs, g.ID)
	d.mu.Unlock()
	if !ok {
		return
	}
	d.table.Ended(r.key.Server)
	// The server's times begin with the grant, not with the wait for it.
	held := d.Clock.Now().Sub(r.granted)
	if o.FirstToken > 0 {
		o.FirstToken = max(time.Millisecond, o.FirstToken-max(0, o.Total-held))
	}
	o.Total = held
	if o.Kind == tarragondeal.OutcomeServed {
		d.Prefixes.Ran(r.key.Server, r.ask.Prefix)
	}
	d.judge(r, o.Kind)
	d.ended(r.grant.Owner, r.key, o)
}

// judge makes a suspect of a request that broke with its server, at once, so
// that its retry runs apart, and clears one that ran to its end.
func (d *Dispatcher) judge(r *run, kind tarragondeal.OutcomeKind) {
	f := r.ask.Fingerprint
	switch {
	case d.Quarantine == nil || f == 0:
	case kind == tarragondeal.OutcomeServed:
		d.Quarantine.Served(f)
	case kind == tarragondeal.OutcomeCrashed:
		d.Quarantine.Crashed(tdquarantine.Notice{Server: r.key.Server, Run: r.key.Ticket, Fingerprint: f})
	}
}

// MayRetry takes one retry from the fleet's budget.
func (d *Dispatcher) MayRetry(a tarragondeal.Ask) bool {
	if verdict, _ := d.check(a.Fingerprint); verdict == tdquarantine.Refused {
		return false
	}
	return d.Budget == nil || d.Budget.Take()
}
