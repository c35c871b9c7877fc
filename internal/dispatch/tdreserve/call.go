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
	// hedgeAfter is how long the first owner has before others are asked.
	hedgeAfter = 10 * time.Millisecond
	// breadth is in how many queues a request waits at most, and
	// urgentBreadth one whose target is closer than urgent.
	breadth       = 3
	urgentBreadth = 6
	// wideBreadth is in how many queues a request waits at the end, and
	// widenEvery how long it waits for each queue more. Otherwise it could
	// miss its deadline in its queues while a lower tier is started from
	// others.
	wideBreadth = 16
	widenEvery  = 200 * time.Millisecond
	urgent      = 500 * time.Millisecond
	// slowBound is the closest target for which a straggler is asked. Work
	// with later targets shows when the straggler has recovered.
	slowBound = time.Second
	// maxAsks bounds the servers that are asked for one request.
	maxAsks = 64
	// ownerChange is how often servers that had no reachable owner are asked
	// again.
	ownerChange = 100 * time.Millisecond
	// minRetryAfter is the least time after which a refused caller is told to
	// come back.
	minRetryAfter = 500 * time.Millisecond
)

// asked is one reservation that was asked for.
type asked struct {
	server  tarragondeal.Server
	owner   tarragondeal.NodeID
	request *tdowner.Request
	cancel  context.CancelFunc
}

// replied is an asked reservation's reply. It is nil when no reply came.
type replied struct {
	asked *asked
	reply *tdowner.ReserveReply
	err   error
}

// call is one request that looks for a server.
type call struct {
	d       *Dispatcher
	ask     *tarragondeal.Ask
	query   tdchoose.Query
	start   tarragondeal.Instant
	replies chan replied
	wg      conc.WaitGroup
	breadth int
	wide    bool // It has waited so long that every permitted server will do.
	asks    int
	// lost are servers that had no reachable owner: the owners are changing.
	lost    []tarragondeal.ServerID
	pending []*asked // Asked and not replied.
	reason  tarragondeal.Reason
	retry   time.Duration
}

func newCall(d *Dispatcher, a *tarragondeal.Ask, suspect bool) *call {
	c := &call{
		d: d, ask: a, start: d.Clock.Now(), replies: make(chan replied, wideBreadth), breadth: breadth,
		query: tdchoose.Query{Ask: a, Suspect: suspect, Promised: a.Target > 0},
	}
	c.query.Urgent = a.Target > 0 && a.Target < slowBound
	if a.Target > 0 && a.Target < urgent {
		c.breadth = urgentBreadth
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

// run asks until a grant comes, every server has refused, or ctx ends.
func (c *call) run(ctx context.Context) (tarragondeal.Grant, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer c.finish(cancel)
	hedge := time.NewTimer(hedgeAfter)
	defer hedge.Stop()
	renew := time.NewTicker(ownerChange)
	defer renew.Stop()
	widen := time.NewTicker(widenEvery)
	defer widen.Stop()
	c.next(ctx, 1)
	for len(c.pending) > 0 || len(c.lost) > 0 {
		select {
		case r := <-c.replies:
			if g, ok := c.replied(r); ok {
				return g, nil
			}
			c.next(ctx, 1)
		case <-hedge.C:
			c.next(ctx, c.breadth)
		case <-renew.C:
			c.renew(ctx)
		case <-widen.C:
			c.wide = true
			c.breadth = min(c.breadth+1, wideBreadth)
			c.next(ctx, 1)
		case <-ctx.Done():
			return tarragondeal.Grant{}, c.ended(ctx)
		}
	}
	return tarragondeal.Grant{}, c.refusal()
}

// renew gives up on owners that own their servers no longer, and asks the
// new ones.
func (c *call) renew(ctx context.Context) {
	p := c.d.Owner.Placement()
	for _, a := range c.pending {
		if p.Owner(a.server.ID) != a.owner {
			a.cancel()
		}
	}
	if len(c.lost) == 0 {
		return
	}
	c.query.Tried = slices.DeleteFunc(c.query.Tried, func(id tarragondeal.ServerID) bool {
		return slices.Contains(c.lost, id)
	})
	c.lost = c.lost[:0]
	c.next(ctx, 1)
}

// next asks for up to n more servers, as long as the request waits for less
// than breadth.
func (c *call) next(ctx context.Context, n int) {
	n = min(n, c.breadth-len(c.pending))
	if n <= 0 || c.asks >= maxAsks {
		return
	}
	var best [wideBreadth]tdchoose.Choice
	now := c.d.Clock.Now()
	k := c.d.table.Choose(now, &c.query, best[:n])
	if k == 0 && (len(c.pending) == 0 || c.wide) {
		k = c.d.table.Any(now, &c.query, best[:n])
	}
	for _, choice := range best[:k] {
		c.query.Tried = append(c.query.Tried, choice.Server.ID)
		copies := 1
		if choice.Busy || len(c.pending) > 0 {
			copies = c.breadth
		}
		c.reserve(ctx, choice.Server, copies)
	}
}

func (c *call) reserve(ctx context.Context, s tarragondeal.Server, copies int) {
	a := &asked{server: s, owner: c.d.Owner.Placement().Owner(s.ID), request: c.request(copies)}
	ctx, a.cancel = context.WithCancel(ctx)
	c.asks++
	c.pending = append(c.pending, a)
	c.d.count(func(n *Counts) { n.Asks++ })
	c.wg.Go(func() {
		reply, err := c.d.send(ctx, a)
		c.replies <- replied{asked: a, reply: reply, err: err}
	})
}

// request says what an owner needs to know. What is left of the deadline is
// told as a duration, since the clocks of VMs can't be compared.
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

// send asks a server's owner.
func (d *Dispatcher) send(ctx context.Context, a *asked) (*tdowner.ReserveReply, error) {
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

// replied takes a reply. It returns the grant if the reply is one.
func (c *call) replied(r replied) (tarragondeal.Grant, bool) {
	r.asked.cancel()
	c.pending = slices.DeleteFunc(c.pending, func(a *asked) bool { return a == r.asked })
	if r.err != nil {
		c.lost = append(c.lost, r.asked.server.ID)
		c.unused(r.asked) // The reply that did not come may have been a grant.
		return tarragondeal.Grant{}, false
	}
	c.d.hints(r.reply.GetHints())
	switch r.reply.GetVerdict() {
	case tdowner.Verdict_VERDICT_GRANTED:
		if g, ok := c.d.take(c, r.asked, r.reply.GetEpoch()); ok {
			c.d.table.Started(r.asked.server.ID)
			return g, true
		}
		c.unused(r.asked)
		c.lost = append(c.lost, r.asked.server.ID)
	case tdowner.Verdict_VERDICT_REFUSED:
		c.refused(r.reply)
	case tdowner.Verdict_VERDICT_UNUSABLE:
		c.later(r.reply)
	default:
		c.lost = append(c.lost, r.asked.server.ID)
	}
	return tarragondeal.Grant{}, false
}

// later notes the shortest time after which a server may take the request.
func (c *call) later(r *tdowner.ReserveReply) {
	after := time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	if c.retry == 0 || after < c.retry {
		c.retry = after
	}
}

func (c *call) refused(r *tdowner.ReserveReply) {
	c.later(r)
	if c.reason != tarragondeal.ReasonOverload {
		c.reason = tarragondeal.Reason(r.GetReason())
	}
}

// finish withdraws the reservations that lost.
func (c *call) finish(cancel context.CancelFunc) {
	cancel()
	c.wg.Wait()
	for {
		select {
		case r := <-c.replies:
			c.late(r)
		default:
			return
		}
	}
}

// late takes a reply that came when the request had its answer already. A
// reservation without a reply may have been granted.
func (c *call) late(r replied) {
	if r.err != nil && r.asked.owner != c.d.Self || r.reply.GetVerdict() == tdowner.Verdict_VERDICT_GRANTED {
		c.unused(r.asked)
	}
}

func (c *call) unused(a *asked) {
	c.d.count(func(n *Counts) { n.Unused++ })
	key := tdowner.GrantKey{Server: a.server.ID, Ticket: a.request.GetTicket()}
	c.d.ended(a.owner, key, tarragondeal.Outcome{Kind: tdowner.OutcomeWithdrawn})
}

// refusal says why no server took the request.
func (c *call) refusal() error {
	e := &tarragondeal.RefusedError{Reason: c.reason, Ran: tarragondeal.RanNot, RetryAfter: c.retry}
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
	e.RetryAfter = spread(max(e.RetryAfter, minRetryAfter))
	return e
}

// ended says why a request got no grant before its context ended.
func (c *call) ended(ctx context.Context) error {
	e := &tarragondeal.RefusedError{Reason: tarragondeal.ReasonDeadline, Ran: tarragondeal.RanNot, Detail: "the caller went away"}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		e.RetryAfter = spread(minRetryAfter)
		e.Detail = "no backend server became free before the deadline"
	}
	return e
}

// spread keeps callers that were refused together from coming back together.
func spread(d time.Duration) time.Duration {
	return d + time.Duration(rand.Int64N(int64(d)/2+1))
}
