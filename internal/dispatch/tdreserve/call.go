package tdreserve

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdchoose"
	"tarragondeal/internal/dispatch/tdowner"
	"tarragondeal/internal/dispatch/tdprefix"
)

const (
	// hedgeDelay is how long to wait for the first owner before asking others.
	hedgeDelay = 10 * time.Millisecond
	// maxQueues is the maximum number of queues in which a request waits, and
	// maxQueuesUrgent that of a request whose target is closer than
	// urgentTarget.
	maxQueues       = 3
	maxQueuesUrgent = 6
	// A request that keeps waiting may use one more queue after each
	// widenInterval, up to maxQueuesWide. Otherwise it could miss its deadline
	// in its queues while requests of a lower tier start from other queues.
	maxQueuesWide = 16
	widenInterval = 200 * time.Millisecond
	urgentTarget  = 500 * time.Millisecond
	// Requests with a target closer than stragglerTarget are not sent to slow
	// servers while others have free slots. Requests with later targets still
	// are, which shows when a slow server has recovered.
	stragglerTarget = time.Second
	// maxAsks is the maximum number of reservations for one request.
	maxAsks = 64
	// ownerRetryInterval is how often servers without a reachable owner are
	// tried again.
	ownerRetryInterval = 100 * time.Millisecond
	// minRetryAfter is the minimum retry delay given to a refused caller.
	minRetryAfter = 500 * time.Millisecond
)

// reservation is one reservation sent to the owner of a server.
type reservation struct {
	server  tarragondeal.Server
	owner   tarragondeal.NodeID
	request *tdowner.Request
	cancel  context.CancelFunc
}

// reserveResult is the result of a reservation. The reply is nil if err is not.
type reserveResult struct {
	reservation *reservation
	reply       *tdowner.ReserveReply
	err         error
}

// call is one request that is waiting for a grant.
type call struct {
	d         *Dispatcher
	ask       *tarragondeal.Ask
	query     tdchoose.Query
	start     tarragondeal.Instant
	replies   chan reserveResult
	wg        conc.WaitGroup
	maxQueues int
	anyServer bool // Set after the first widenInterval: any permitted server may be asked.
	asks      int
	// ownerless are the servers without a reachable owner. They are tried again,
	// since their owners are changing.
	ownerless  []tarragondeal.ServerID
	pending    []*reservation // Reservations without a reply.
	reason     tarragondeal.Reason
	retryAfter time.Duration
}

func newCall(d *Dispatcher, a *tarragondeal.Ask, suspect bool) *call {
	c := &call{
		d: d, ask: a, start: d.Clock.Now(), replies: make(chan reserveResult, maxQueuesWide), maxQueues: maxQueues,
		query: tdchoose.Query{Ask: a, Suspect: suspect, Promised: a.Target > 0},
	}
	c.query.Urgent = a.Target > 0 && a.Target < stragglerTarget
	if a.Target > 0 && a.Target < urgentTarget {
		c.maxQueues = maxQueuesUrgent
	}
	for _, id := range a.Avoid {
		if s, ok := d.table.Server(id); ok {
			c.query.Failed = append(c.query.Failed, s.DataCentre)
		}
	}
	c.query.Match = match(d.Prefixes, a.Prefix)
	return c
}

func match(h *tdprefix.History, prefixes []uint64) tdprefix.Match {
	if h == nil || len(prefixes) == 0 {
		return tdprefix.Match{}
	}
	return h.Match(prefixes)
}

// run sends reservations until one is granted, every server has refused, or ctx
// is done.
func (c *call) run(ctx context.Context) (tarragondeal.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.finish(cancel)
	hedge := time.NewTimer(hedgeDelay)
	defer hedge.Stop()
	refresh := time.NewTicker(ownerRetryInterval)
	defer refresh.Stop()
	widen := time.NewTicker(widenInterval)
	defer widen.Stop()
	c.reserveNext(ctx, 1)
	for len(c.pending) > 0 || len(c.ownerless) > 0 {
		select {
		case r := <-c.replies:
			if g, ok := c.handleReply(r); ok {
				return g, nil
			}
			c.reserveNext(ctx, 1)
		case <-hedge.C:
			c.reserveNext(ctx, c.maxQueues)
		case <-refresh.C:
			c.refreshOwners(ctx)
		case <-widen.C:
			c.anyServer = true
			c.maxQueues = min(c.maxQueues+1, maxQueuesWide)
			c.reserveNext(ctx, 1)
		case <-ctx.Done():
			return tarragondeal.Grant{}, c.contextError(ctx)
		}
	}
	return tarragondeal.Grant{}, c.refusedError()
}

// refreshOwners cancels the reservations whose server has a new owner, and lets
// servers without a reachable owner be tried again.
func (c *call) refreshOwners(ctx context.Context) {
	p := c.d.Owner.Placement()
	for _, a := range c.pending {
		if p.Owner(a.server.ID) != a.owner {
			a.cancel()
		}
	}
	if len(c.ownerless) == 0 {
		return
	}
	c.query.Tried = slices.DeleteFunc(c.query.Tried, func(id tarragondeal.ServerID) bool {
		return slices.Contains(c.ownerless, id)
	})
	c.ownerless = c.ownerless[:0]
	c.reserveNext(ctx, 1)
}

// reserveNext reserves up to n more servers, as long as fewer than c.maxQueues
// reservations are pending.
func (c *call) reserveNext(ctx context.Context, n int) {
	n = min(n, c.maxQueues-len(c.pending))
	if n <= 0 || c.asks >= maxAsks {
		return
	}
	var best [maxQueuesWide]tdchoose.Choice
	now := c.d.Clock.Now()
	k := c.d.table.Choose(now, &c.query, best[:n])
	if k == 0 && (len(c.pending) == 0 || c.anyServer) {
		k = c.d.table.ChooseFallback(now, &c.query, best[:n])
	}
	for _, choice := range best[:k] {
		c.query.Tried = append(c.query.Tried, choice.Server.ID)
		copies := 1
		if choice.Busy || len(c.pending) > 0 {
			copies = c.maxQueues
		}
		c.reserve(ctx, choice.Server, copies)
	}
}

func (c *call) reserve(ctx context.Context, s tarragondeal.Server, copies int) {
	a := &reservation{server: s, owner: c.d.Owner.Placement().Owner(s.ID), request: c.request(copies)}
	ctx, a.cancel = context.WithCancel(ctx)
	c.asks++
	c.pending = append(c.pending, a)
	c.d.count(func(n *Counts) { n.Asks++ })
	c.wg.Go(func() {
		reply, err := c.d.send(ctx, a)
		c.replies <- reserveResult{reservation: a, reply: reply, err: err}
	})
}

// request returns the message for an owner. The deadline and the target are sent
// as remaining durations, since the clocks of VMs can't be compared.
func (c *call) request(copies int) *tdowner.Request {
	a := c.ask
	passed := c.d.Clock.Now().Sub(c.start)
	target := uint32(0)
	if a.Target > 0 {
		target = max(1, tdowner.Milliseconds(a.Target-passed))
	}
	return &tdowner.Request{
		Ticket: newTicket(), Tier: int32(a.Tier), Class: a.Class, MinShare: float32(a.MinShare),
		Workspace: a.Workspace, Weight: float32(a.Weight), Work: float32(a.Work), Copies: int32(copies),
		Suspect: c.query.Suspect, Promised: c.query.Promised,
		TargetMs: target, DeadlineMs: tdowner.Milliseconds(a.Deadline - passed),
	}
}

// send sends a reservation to the server's owner.
func (d *Dispatcher) send(ctx context.Context, a *reservation) (*tdowner.ReserveReply, error) {
	if a.owner == d.Self {
		in := tdowner.Reservation{Node: d.Self, Server: a.server.ID, Request: a.request, DataCentre: a.server.DataCentre}
		return d.Owner.ReserveLocal(ctx, in), nil
	}
	conn, err := d.Links.Conn(a.owner)
	if err != nil {
		return nil, err
	}
	d.count(func(n *Counts) { n.Remote++ })
	return tdowner.NewOwnersClient(conn).Reserve(ctx, &tdowner.ReserveRequest{
		Node: string(d.Self), Server: string(a.server.ID), Request: a.request, DataCentre: a.server.DataCentre,
	})
}

// handleReply handles a reply, and returns the grant if it is one.
func (c *call) handleReply(r reserveResult) (tarragondeal.Grant, bool) {
	r.reservation.cancel()
	c.pending = slices.DeleteFunc(c.pending, func(a *reservation) bool { return a == r.reservation })
	if r.err != nil {
		c.ownerless = append(c.ownerless, r.reservation.server.ID)
		c.returnGrant(r.reservation) // The owner may have granted it before the call failed.
		return tarragondeal.Grant{}, false
	}
	c.d.updateHints(r.reply.GetHints())
	switch r.reply.GetVerdict() {
	case tdowner.Verdict_VERDICT_GRANTED:
		if g, ok := c.d.accept(c, r.reservation, r.reply.GetEpoch()); ok {
			c.d.table.Started(r.reservation.server.ID)
			return g, true
		}
		c.returnGrant(r.reservation)
		c.ownerless = append(c.ownerless, r.reservation.server.ID)
	case tdowner.Verdict_VERDICT_REFUSED:
		c.handleRefusal(r.reply)
	case tdowner.Verdict_VERDICT_UNUSABLE:
		c.noteRetryAfter(r.reply)
	default:
		c.ownerless = append(c.ownerless, r.reservation.server.ID)
	}
	return tarragondeal.Grant{}, false
}

// noteRetryAfter keeps the shortest retry delay of all servers.
func (c *call) noteRetryAfter(r *tdowner.ReserveReply) {
	after := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	if c.retryAfter == 0 || after < c.retryAfter {
		c.retryAfter = after
	}
}

func (c *call) handleRefusal(r *tdowner.ReserveReply) {
	c.noteRetryAfter(r)
	if c.reason != tarragondeal.ReasonOverload {
		c.reason = tarragondeal.Reason(r.GetReason())
	}
}

// finish cancels the pending reservations and returns late grants.
func (c *call) finish(cancel context.CancelFunc) {
	cancel()
	c.wg.Wait()
	for {
		select {
		case r := <-c.replies:
			c.handleLateReply(r)
		default:
			return
		}
	}
}

// handleLateReply handles a reply that arrived after the call had ended. A
// reservation at another node without a reply may have been granted.
func (c *call) handleLateReply(r reserveResult) {
	if r.err != nil && r.reservation.owner != c.d.Self || r.reply.GetVerdict() == tdowner.Verdict_VERDICT_GRANTED {
		c.returnGrant(r.reservation)
	}
}

func (c *call) returnGrant(a *reservation) {
	c.d.count(func(n *Counts) { n.Unused++ })
	key := tdowner.GrantKey{Server: a.server.ID, Ticket: a.request.GetTicket()}
	c.d.queueEnd(a.owner, key, tarragondeal.Outcome{Kind: tdowner.OutcomeWithdrawn})
}

// refusedError returns the reason why no server accepted the request.
func (c *call) refusedError() error {
	e := &tarragondeal.RefusedError{Reason: c.reason, Ran: tarragondeal.RanNot, RetryAfter: c.retryAfter}
	switch {
	case c.reason == tarragondeal.ReasonOverload:
		e.Detail = "all permitted backend servers are busy with requests of this tier or higher ones"
	case c.reason == tarragondeal.ReasonDeadline:
		e.Detail = "the request could not be served before its deadline"
	case c.reason != "":
		e.Detail = "no permitted backend server takes the request"
	default:
		e.Reason = tarragondeal.ReasonNoServer
		e.Detail = "no backend server is up in a permitted data centre"
	}
	e.RetryAfter = jitter(max(e.RetryAfter, minRetryAfter))
	return e
}

// contextError returns the error for a request whose context was done before it
// was granted.
func (c *call) contextError(ctx context.Context) error {
	e := &tarragondeal.RefusedError{Reason: tarragondeal.ReasonDeadline, Ran: tarragondeal.RanNot, Detail: "the caller went away"}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.RetryAfter = jitter(minRetryAfter)
		e.Detail = "no backend server became free before the deadline"
	}
	return e
}

// jitter adds up to half of d, so that callers refused at the same time do not
// retry at the same time.
func jitter(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}
