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
	// batchDelay is how long ended grants are collected into one report.
	batchDelay = 5 * time.Millisecond
	// Reports of running grants are sent to each owner at an interval that
	// grows with the number of owners, up to maxReportInterval, to keep a
	// node's report traffic within reportBudget bytes per second.
	minReportInterval = 500 * time.Millisecond
	maxReportInterval = 2 * time.Second
	reportBudget      = 4 << 10
	reportBytes       = 300 // Size of one report and its reply, with headers.
	reportTimeout     = time.Second
	// maxQueuedEnds is the maximum number of ended grants queued for one owner.
	maxQueuedEnds = 4096
)

// outbox holds the ended grants still to be reported to one owner.
type outbox struct {
	ended []*tdowner.Ended
	since tarragondeal.Instant // When the oldest was queued.
}

// queueEnd queues the end of a grant for its owner.
func (d *Dispatcher) queueEnd(owner tarragondeal.NodeID, k tdowner.GrantKey, o tarragondeal.Outcome) {
	d.enqueue(owner, &tdowner.Ended{
		Server: string(k.Server), Ticket: k.Ticket, Tokens: uint32(max(0, o.Tokens)), Kind: int32(o.Kind),
		FirstTokenMs: tdowner.Milliseconds(o.FirstToken), TotalMs: tdowner.Milliseconds(o.Total),
	})
}

func (d *Dispatcher) enqueue(owner tarragondeal.NodeID, e *tdowner.Ended) {
	d.mu.Lock()
	box, ok := d.outboxes[owner]
	if !ok {
		box = &outbox{}
		d.outboxes[owner] = box
	}
	if len(box.ended) == 0 {
		box.since = d.Clock.Now()
	}
	if len(box.ended) < maxQueuedEnds { // Others end at the owner when they expire.
		box.ended = append(box.ended, e)
	}
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// Run reports this node's grants to their owners until ctx is done, and then
// reports the grants that have ended by then.
func (d *Dispatcher) Run(ctx context.Context) error {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	var lastReport tarragondeal.Instant
	for {
		d.update()
		d.updateMetrics()
		running := false
		if now := d.Clock.Now(); now.Sub(lastReport) >= d.reportInterval() {
			lastReport, running = now, true
		}
		d.report(ctx, running)
		select {
		case <-d.wake:
			d.waitForBatch(ctx)
		case <-t.C:
		case <-ctx.Done():
			d.report(context.WithoutCancel(ctx), false)
			return nil
		}
	}
}

// waitForBatch waits for batchDelay, so that more grants may end.
func (d *Dispatcher) waitForBatch(ctx context.Context) {
	t := time.NewTimer(batchDelay)
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
		d.table.SetFactor(s.ID, d.Owner.RelativeRate(s.ID))
	}
}

func (d *Dispatcher) reportInterval() time.Duration {
	d.mu.Lock()
	owners := make(map[tarragondeal.NodeID]struct{})
	for _, r := range d.grants {
		owners[r.grant.Owner] = struct{}{}
	}
	d.mu.Unlock()
	every := time.Duration(len(owners)*reportBytes) * time.Second / reportBudget
	return min(max(every, minReportInterval), maxReportInterval)
}

// report sends each owner its ended grants, and its running ones if running is
// set.
func (d *Dispatcher) report(ctx context.Context, running bool) {
	reports := d.reports(running)
	var wg conc.WaitGroup
	for owner, in := range reports {
		wg.Go(func() { d.reportTo(ctx, owner, in) })
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
	for owner, box := range d.outboxes {
		get(owner).Ended = box.ended
	}
	clear(d.outboxes)
	if !running {
		return out
	}
	for _, r := range d.grants {
		p := &tdowner.Progress{Server: string(r.key.Server), Ticket: r.key.Ticket, Tokens: uint32(r.tokens)}
		if r.unknown {
			p.Request, r.unknown = r.request, false
		}
		in := get(r.grant.Owner)
		in.Running = append(in.Running, p)
	}
	return out
}

func (d *Dispatcher) reportTo(ctx context.Context, owner tarragondeal.NodeID, in *tdowner.ReportRequest) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	reply, err := d.sendReport(ctx, owner, in)
	if err != nil {
		d.requeue(owner, in.GetEnded())
		return
	}
	d.updateHints(reply.GetHints())
	d.redirect(owner, in, reply.GetElsewhere())
	if len(reply.GetUnknown()) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, ticket := range reply.GetUnknown() {
		if r, ok := d.grants[grantID(ticket)]; ok {
			r.unknown = true
		}
	}
}

// redirect queues ended grants for the new owners of their servers, after the old
// owner has answered that it does not own them. If no other owner is known, the
// grants expire.
func (d *Dispatcher) redirect(owner tarragondeal.NodeID, in *tdowner.ReportRequest, elsewhere []string) {
	for _, e := range in.GetEnded() {
		if !slices.Contains(elsewhere, e.GetServer()) {
			continue
		}
		if next := d.newOwner(tarragondeal.ServerID(e.GetServer())); next != "" && next != owner {
			d.enqueue(next, e)
		}
	}
}

// newOwner returns the node that has recently taken over a server, or else its
// owner according to this node's placement.
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

// requeue queues ended grants again after a failed report. An owner that can't
// be reached within grantTTL ends them by itself.
func (d *Dispatcher) requeue(owner tarragondeal.NodeID, ended []*tdowner.Ended) {
	if len(ended) == 0 || !d.Owner.Placement().Live(owner) {
		return
	}
	now := d.Clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	box, ok := d.outboxes[owner]
	if !ok {
		box = &outbox{since: now}
		d.outboxes[owner] = box
	}
	if now.Sub(box.since) < grantTTL && len(box.ended)+len(ended) <= maxQueuedEnds {
		box.ended = append(ended, box.ended...)
	}
}

// updateHints records the hints that owners send about their servers.
func (d *Dispatcher) updateHints(hints []*tdowner.Hint) {
	if len(hints) == 0 {
		return
	}
	now := d.Clock.Now()
	for _, h := range hints {
		d.table.Hint(now, tdchoose.Hint{
			Server: tarragondeal.ServerID(h.GetServer()), Free: int(h.GetFree()), Running: int(h.GetRunning()),
			Capacity: int(h.GetRoom()), Promised: int(h.GetPromised()), Unusable: h.GetUnusable(),
			Wait: time.Duration(h.GetWaitMs()) * time.Millisecond,
		})
	}
	d.Owner.MergeRates(hints, d.pool)
}

func (d *Dispatcher) pool(id tarragondeal.ServerID) string {
	s, _ := d.table.Server(id)
	return s.Pool
}
