package tdreserve

import (
	"context"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdchoose"
	"tarragondeal/internal/dispatch/tdowner"
)

const (
	// flushAfter is how long ended grants are gathered into one report.
	flushAfter = 5 * time.Millisecond
	// Reports of running grants are sent to each owner at an interval that
	// grows with the number of owners, so that they cost a node no more than
	// reportBudget bytes a second.
	minReportEvery = 500 * time.Millisecond
	maxReportEvery = 2 * time.Second
	reportBudget   = 4 << 10
	reportBytes    = 300 // One report and its reply, with headers.
	reportTimeout  = time.Second
	// maxEnded bounds the ended grants that wait for one owner.
	maxEnded = 4096
)

// outbox is what one owner has yet to be told.
type outbox struct {
	ended []*tdowner.Ended
	since tarragondeal.Instant // Of the oldest.
}

// ended queues the end of a grant for its owner.
func (d *Dispatcher) ended(owner tarragondeal.NodeID, k tdowner.GrantKey, o tarragondeal.Outcome) {
	d.queue(owner, &tdowner.Ended{
		Server: string(k.Server), Ticket: k.Ticket, Tokens: uint32(max(0, o.Tokens)), Kind: int32(o.Kind),
		FirstTokenMs: tdowner.Milliseconds(o.FirstToken), TotalMs: tdowner.Milliseconds(o.Total),
	})
}

func (d *Dispatcher) queue(owner tarragondeal.NodeID, e *tdowner.Ended) {
	d.mu.Lock()
	box, ok := d.pending[owner]
	if !ok {
		box = &outbox{}
		d.pending[owner] = box
	}
	if len(box.ended) == 0 {
		box.since = d.Clock.Now()
	}
	if len(box.ended) < maxEnded { // The owner ends the others when they expire.
		box.ended = append(box.ended, e)
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run tells owners of this node's grants until ctx ends, and then of those
// that have ended by then.
func (d *Dispatcher) Run(ctx context.Context) error {
	t := time.NewTicker(updateEvery)
	defer t.Stop()
	var reported tarragondeal.Instant
	for {
		d.update()
		d.tellMetrics()
		running := false
		if now := d.Clock.Now(); now.Sub(reported) >= d.reportEvery() {
			reported, running = now, true
		}
		d.report(ctx, running)
		select {
		case <-d.wake:
			d.gather(ctx)
		case <-t.C:
		case <-ctx.Done():
			d.report(context.WithoutCancel(ctx), false)
			return nil
		}
	}
}

// gather gives other grants a moment to end.
func (d *Dispatcher) gather(ctx context.Context) {
	t := time.NewTimer(flushAfter)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (d *Dispatcher) update() {
	servers := d.Site.Servers()
	d.table.Update(servers, d.Site.Pool)
	for _, s := range servers {
		d.table.Factor(s.ID, d.Owner.RelativeRate(s.ID))
	}
}

func (d *Dispatcher) reportEvery() time.Duration {
	d.mu.Lock()
	owners := make(map[tarragondeal.NodeID]struct{})
	for _, r := range d.runs {
		owners[r.grant.Owner] = struct{}{}
	}
	d.mu.Unlock()
	every := time.Duration(len(owners)*reportBytes) * time.Second / reportBudget
	return min(max(every, minReportEvery), maxReportEvery)
}

// report sends each owner what it has to be told.
func (d *Dispatcher) report(ctx context.Context, running bool) {
	reports := d.reports(running)
	var wg conc.WaitGroup
	for owner, in := range reports {
		wg.Go(func() { d.tell(ctx, owner, in) })
	}
	wg.Wait()
}

func (d *Dispatcher) reports(running bool) map[tarragondeal.NodeID]*tdowner.ReportRequest {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[tarragondeal.NodeID]*tdowner.ReportRequest)
	get := func(owner tarragondeal.NodeID) *tdowner.ReportRequest {
		in, ok := out[owner]
		if !ok {
			in = &tdowner.ReportRequest{Node: string(d.Self)}
			out[owner] = in
		}
		return in
	}
	for owner, box := range d.pending {
		get(owner).Ended = box.ended
	}
	clear(d.pending)
	if !running {
		return out
	}
	for _, r := range d.runs {
		p := &tdowner.Progress{Server: string(r.key.Server), Ticket: r.key.Ticket, Tokens: uint32(r.tokens)}
		if r.unknown {
			p.Request, r.unknown = r.request, false
		}
		in := get(r.grant.Owner)
		in.Running = append(in.Running, p)
	}
	return out
}

func (d *Dispatcher) tell(ctx context.Context, owner tarragondeal.NodeID, in *tdowner.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := d.sendReport(ctx, owner, in)
	if err != nil {
		d.keep(owner, in.GetEnded())
		return
	}
	d.hints(reply.GetHints())
	d.redirect(owner, in, reply.GetElsewhere())
	if len(reply.GetUnknown()) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ticket := range reply.GetUnknown() {
		if r, ok := d.runs[grantID(ticket)]; ok {
			r.unknown = true
		}
	}
}

// redirect tells the new owners of servers of the grants that the old one was
// told of in vain. While no other owner is known, the grants end by
// themselves.
func (d *Dispatcher) redirect(owner tarragondeal.NodeID, in *tdowner.ReportRequest, elsewhere []string) {
	for _, e := range in.GetEnded() {
		if !slices.Contains(elsewhere, e.GetServer()) {
			continue
		}
		if next := d.newOwner(tarragondeal.ServerID(e.GetServer())); next != "" && next != owner {
			d.queue(next, e)
		}
	}
}

// newOwner returns the node that took a server over lately, or else its
// owner as this node sees the membership.
func (d *Dispatcher) newOwner(id tarragondeal.ServerID) tarragondeal.NodeID {
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	if f, ok := d.fences[id]; ok && now < f.until {
		return f.owner
	}
	return d.Owner.Placement().Owner(id)
}

func (d *Dispatcher) sendReport(ctx context.Context, owner tarragondeal.NodeID, in *tdowner.ReportRequest) (*tdowner.ReportReply, error) {
	if owner == d.Self {
		return d.Owner.Report(ctx, in)
	}
	conn, err := d.Links.Conn(owner)
	if err != nil {
		return nil, err
	}
	d.count(func(n *Counts) { n.Reports++ })
	return tdowner.NewOwnersClient(conn).Report(ctx, in)
}

// keep queues ended grants again that an owner was not told of. One that can
// not be told within a grant's life ends them by itself.
func (d *Dispatcher) keep(owner tarragondeal.NodeID, ended []*tdowner.Ended) {
	if len(ended) == 0 || !d.Owner.Placement().Live(owner) {
		return
	}
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	box, ok := d.pending[owner]
	if !ok {
		box = &outbox{since: now}
		d.pending[owner] = box
	}
	if now.Sub(box.since) < grantLife && len(box.ended)+len(ended) <= maxEnded {
		box.ended = append(ended, box.ended...)
	}
}

// hints takes what owners tell of their servers.
func (d *Dispatcher) hints(hints []*tdowner.Hint) {
	if len(hints) == 0 {
		return
	}
	now := d.Clock.Now()
	for _, h := range hints {
		d.table.Hint(now, tdchoose.Hint{
			Server: tarragondeal.ServerID(h.GetServer()), Free: int(h.GetFree()), Running: int(h.GetRunning()),
			Room: int(h.GetRoom()), Promised: int(h.GetPromised()), Unusable: h.GetUnusable(),
			Wait: time.Duration(h.GetWaitMs()) * time.Millisecond,
		})
	}
	d.Owner.MergeRates(hints, d.pool)
}

func (d *Dispatcher) pool(id tarragondeal.ServerID) string {
	s, _ := d.table.Server(id)
	return s.Pool
}
