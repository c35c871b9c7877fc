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
	// grantTTL is how long an owner keeps a grant without a report.
	grantTTL = 8 * time.Second
	// fenceTTL is how long late grants of a former owner are returned.
	fenceTTL = 5 * time.Second
	// defaultDeadline is the deadline of requests whose class has none.
	defaultDeadline = 10 * time.Minute
	updateInterval  = 250 * time.Millisecond
)

// Site provides the configuration and the list of backend servers.
type Site interface {
	// Servers returns the listed backend servers.
	Servers() []tarragondeal.Server
	// Pool returns the settings of a pool that affect the choice of a server.
	Pool(name string) tdchoose.Pool
}

// Deps are the dependencies of a dispatcher.
type Deps struct {
	Self       tarragondeal.NodeID
	Owner      *tdowner.Owner
	Links      tdowner.Links
	Site       Site
	Clock      tarragondeal.Clock
	Quarantine *tdquarantine.Quarantine // Nil to disable the quarantine.
	Budget     *tdretry.Budget          // Nil for unlimited retries.
	Prefixes   *tdprefix.History
	Scope      tally.Scope
	Log        zerolog.Logger
}

// heldGrant is a grant that this node holds.
type heldGrant struct {
	grant   tarragondeal.Grant
	key     tdowner.GrantKey
	request *tdowner.Request
	ask     tarragondeal.Ask
	tokens  int
	granted tarragondeal.Instant
	unknown bool // The owner does not know the grant; send its request.
}

// fence causes late grants from any other owner to be returned.
type fence struct {
	owner tarragondeal.NodeID
	until tarragondeal.Instant
}

// Dispatcher reserves backend servers for this node's requests. It is safe for
// concurrent use.
type Dispatcher struct {
	Deps
	table    *tdchoose.Table
	mu       sync.Mutex
	grants   map[tarragondeal.GrantID]*heldGrant
	fences   map[tarragondeal.ServerID]fence
	outboxes map[tarragondeal.NodeID]*outbox
	wake     chan struct{}
	counts   Counts
	reported Counts // The counts already added to the metrics.
}

// Counts are the totals of a dispatcher since its start.
type Counts struct {
	Requests int64
	Asks     int64 // Reservations sent, including those to this node.
	Remote   int64 // Reservations sent to other nodes.
	Reports  int64 // Reports sent to other nodes.
	Unused   int64 // Grants returned unused, including possible ones.
	Refused  int64
}

// New returns a dispatcher without grants.
func New(d Deps) *Dispatcher {
	out := &Dispatcher{
		Deps: d, table: tdchoose.New(),
		grants:   make(map[tarragondeal.GrantID]*heldGrant),
		fences:   make(map[tarragondeal.ServerID]fence),
		outboxes: make(map[tarragondeal.NodeID]*outbox),
		wake:     make(chan struct{}, 1),
	}
	d.Owner.SetHolder(out)
	return out
}

// Counts returns the totals since the start.
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

// updateMetrics adds the counts since the last call to the metrics.
func (d *Dispatcher) updateMetrics() {
	d.mu.Lock()
	now, old := d.counts, d.reported
	d.reported = now
	running := len(d.grants)
	d.mu.Unlock()
	d.Scope.Counter("requests").Inc(now.Requests - old.Requests)
	d.Scope.Counter("asks").Inc(now.Asks - old.Asks)
	d.Scope.Counter("remoteAsks").Inc(now.Remote - old.Remote)
	d.Scope.Counter("reports").Inc(now.Reports - old.Reports)
	d.Scope.Counter("unusedGrants").Inc(now.Unused - old.Unused)
	d.Scope.Counter("refused").Inc(now.Refused - old.Refused)
	d.Scope.Gauge("running").Update(float64(running))
}

// Reserve waits for a grant. The error is a *tarragondeal.RefusedError.
func (d *Dispatcher) Reserve(ctx context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	if a.Deadline <= 0 {
		a.Deadline = defaultDeadline
	}
	if a.Attempt <= 1 && d.Budget != nil {
		d.Budget.CountRequest()
	}
	d.count(func(c *Counts) { c.Requests++ })
	verdict, err := d.checkQuarantine(ctx, a.Fingerprint)
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
	// The same request may have crashed servers from another node while it waited
	// here.
	if _, err := d.checkQuarantine(ctx, a.Fingerprint); err != nil {
		d.Done(g, tarragondeal.Outcome{Kind: tdowner.OutcomeWithdrawn})
		return tarragondeal.Grant{}, err
	}
	return g, nil
}

// checkQuarantine returns the quarantine verdict on a request, and an error if it
// must not run. If it is a suspect, the other nodes are asked first.
func (d *Dispatcher) checkQuarantine(ctx context.Context, fingerprint uint64) (tdquarantine.Verdict, error) {
	verdict, left := d.quarantineVerdict(fingerprint)
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

func (d *Dispatcher) quarantineVerdict(fingerprint uint64) (tdquarantine.Verdict, time.Duration) {
	if d.Quarantine == nil {
		return tdquarantine.Clear, 0
	}
	return d.Quarantine.Check(fingerprint)
}

// accept records a granted reservation as a grant of this node. It returns false
// if the server has a new owner since.
func (d *Dispatcher) accept(c *call, a *reservation, epoch uint64) (tarragondeal.Grant, bool) {
	now := d.Clock.Now()
	g := tarragondeal.Grant{
		ID: grantID(a.request.GetTicket()), Request: c.ask.Request, Attempt: c.ask.Attempt,
		Server: a.server, Owner: a.owner, Epoch: epoch, Tier: c.ask.Tier, Expires: now.Add(grantTTL),
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.fences[a.server.ID]; ok && f.owner != a.owner && now < f.until {
		return tarragondeal.Grant{}, false
	}
	d.grants[g.ID] = &heldGrant{
		grant: g, key: tdowner.GrantKey{Server: a.server.ID, Ticket: a.request.GetTicket()},
		request: a.request, ask: *c.ask, granted: now,
	}
	return g, true
}

func grantID(ticket uint64) tarragondeal.GrantID {
	return tarragondeal.GrantID(strconv.FormatUint(ticket, 36))
}

func newTicket() uint64 { return rand.Uint64() }

// Held returns this node's running grants on the given servers, and makes this
// node return late grants on them from any other owner for fenceTTL.
func (d *Dispatcher) Held(servers []tarragondeal.ServerID, owner tarragondeal.NodeID) []*tdowner.Held {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := make(map[tarragondeal.ServerID]bool, len(servers))
	for _, id := range servers {
		wanted[id] = true
		d.fences[id] = fence{owner: owner, until: now.Add(fenceTTL)}
	}
	var out []*tdowner.Held
	for _, r := range d.grants {
		if wanted[r.key.Server] {
			r.grant.Owner = owner
			out = append(out, &tdowner.Held{
				Node: string(d.Self), Server: string(r.key.Server), Request: r.request, Tokens: uint32(r.tokens),
			})
		}
	}
	return out
}

// Progress records the total number of tokens that a running attempt has
// delivered.
func (d *Dispatcher) Progress(g tarragondeal.Grant, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.grants[g.ID]; ok {
		r.tokens = max(r.tokens, tokens)
	}
}

// Done ends a grant.
func (d *Dispatcher) Done(g tarragondeal.Grant, o tarragondeal.Outcome) {
	d.mu.Lock()
	r, ok := d.grants[g.ID]
	delete(d.grants, g.ID)
	d.mu.Unlock()
	if !ok {
		return
	}
	d.table.Ended(r.key.Server)
	// Server times are measured from the grant, without the wait for it.
	held := d.Clock.Now().Sub(r.granted)
	if o.FirstToken > 0 {
		o.FirstToken = max(time.Millisecond, o.FirstToken-max(0, o.Total-held))
	}
	o.Total = held
	if o.Kind == tarragondeal.OutcomeServed {
		d.Prefixes.Add(r.key.Server, r.ask.Prefix)
	}
	d.updateQuarantine(r, o.Kind)
	d.queueEnd(r.grant.Owner, r.key, o)
}

// updateQuarantine marks a request as suspect if its server crashed, before it
// is retried, so that the retry doesn't run beside other suspects. A request that
// was served is cleared.
func (d *Dispatcher) updateQuarantine(r *heldGrant, kind tarragondeal.OutcomeKind) {
	f := r.ask.Fingerprint
	switch {
	case d.Quarantine == nil || f == 0:
	case kind == tarragondeal.OutcomeServed:
		d.Quarantine.Served(f)
	case kind == tarragondeal.OutcomeCrashed:
		d.Quarantine.Crashed(tdquarantine.Notice{Server: r.key.Server, Run: r.key.Ticket, Fingerprint: f})
	}
}

// Valid reports whether this node still has a grant.
func (d *Dispatcher) Valid(g tarragondeal.Grant) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.grants[g.ID] != nil
}

// MayRetry takes one retry from the fleet's budget. It returns false if none is
// left or the request is quarantined.
func (d *Dispatcher) MayRetry(a tarragondeal.Ask) bool {
	if verdict, _ := d.quarantineVerdict(a.Fingerprint); verdict == tdquarantine.Refused {
		return false
	}
	return d.Budget == nil || d.Budget.Take()
}
