package tdowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdhealth"
)

// Intervals and waits of an owner.
const (
	tickInterval      = 50 * time.Millisecond
	placementInterval = 250 * time.Millisecond
	pollTickInterval  = 50 * time.Millisecond
	// maxTickGap is the longest gap between ticks after which a node still
	// considers itself the owner.
	maxTickGap = time.Second
	// rejoinWait is how long a node that was paused waits for the current
	// membership.
	rejoinWait    = 1500 * time.Millisecond
	rateRetention = 5 * time.Minute
)

// Links returns connections to other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Site provides the configuration and the list of backend servers.
type Site interface {
	// Servers returns the listed backend servers.
	Servers() []tarragondeal.Server
	// Slots returns how many requests each server of a pool runs at once.
	Slots(pool string) int
	// Region returns the region of a data centre.
	Region(dataCentre string) string
}

// Holder provides the grants that this node's own requests hold.
type Holder interface {
	// Held returns the running grants on the given servers, and makes this node
	// return late grants on them from any owner other than the given one.
	Held(servers []tarragondeal.ServerID, owner tarragondeal.NodeID) []*Held
}

// Deps are the dependencies of an owner.
type Deps struct {
	Members tarragondeal.Members
	Links   Links
	Site    Site
	Loads   tarragondeal.LoadReader
	Clock   tarragondeal.Clock
	Scope   tally.Scope
	Log     zerolog.Logger
}

// Options configure an owner.
type Options struct {
	// StartWait is how long a starting node waits to learn of other nodes before
	// it owns any server.
	StartWait time.Duration
	// PollEvery is how often each server's load is read.
	PollEvery time.Duration
}

// Owner manages the backend servers that this node owns. Its methods are safe
// for concurrent use.
type Owner struct {
	UnimplementedOwnersServer
	Deps
	opt       Options
	self      tarragondeal.NodeID
	placement atomic.Pointer[Placement]
	holder    Holder

	mu                   sync.Mutex
	table                *Table
	rates                *tdhealth.Rates
	lastTick             tarragondeal.Instant
	takeoverDelayedUntil tarragondeal.Instant // No server is taken over until then if this node knows no other.
	takeovers            map[tarragondeal.ServerID]*takeover
}

// New returns an owner without servers.
func New(d Deps, opt Options) *Owner {
	rates := tdhealth.NewRates()
	now := d.Clock.Now()
	o := &Owner{
		Deps: d, opt: opt, self: d.Members.Self().Node, rates: rates,
		table:    NewTable(uint64(d.Clock.Wall().UnixNano()), rates),
		lastTick: now, takeoverDelayedUntil: now.Add(opt.StartWait),
		takeovers: make(map[tarragondeal.ServerID]*takeover),
	}
	o.placement.Store(Place(nil, nil, d.Site.Region))
	return o
}

// SetHolder sets the source of this node's own grants. It must be called before
// Run.
func (o *Owner) SetHolder(h Holder) { o.holder = h }

// Register registers the Owners service on the server for peers.
func (o *Owner) Register(s *grpc.Server) { RegisterOwnersServer(s, o) }

// Placement returns the current placement according to this node's view of the
// membership.
func (o *Owner) Placement() *Placement { return o.placement.Load() }

// ReserveLocal is Reserve for requests of this node. It blocks until there is a
// reply or ctx is done; the verdict is then VERDICT_NONE.
func (o *Owner) ReserveLocal(ctx context.Context, a Reservation) *ReserveReply {
	o.mu.Lock()
	w, reply := o.table.Reserve(o.Clock.Now(), a)
	o.mu.Unlock()
	if reply != nil {
		return reply
	}
	select {
	case reply = <-w.C:
		return reply
	case <-ctx.Done():
		o.Withdraw(GrantKey{Server: a.Server, Ticket: a.Request.GetTicket()})
		return &ReserveReply{Verdict: Verdict_VERDICT_NONE}
	}
}

// Withdraw cancels a waiting request, or ends a grant that will not be used.
func (o *Owner) Withdraw(k GrantKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Withdraw(o.Clock.Now(), k)
}

// Reserve implements OwnersServer.
func (o *Owner) Reserve(ctx context.Context, in *ReserveRequest) (*ReserveReply, error) {
	reply := o.ReserveLocal(ctx, Reservation{
		Node: tarragondeal.NodeID(in.GetNode()), Server: tarragondeal.ServerID(in.GetServer()),
		Request: in.GetRequest(), DataCentre: in.GetDataCentre(),
	})
	return reply, nil
}

// Report implements OwnersServer. This node also calls it for its own grants.
func (o *Owner) Report(_ context.Context, in *ReportRequest) (*ReportReply, error) {
	o.mu.Lock()
	unknown, elsewhere := o.table.Report(o.Clock.Now(), in)
	crashes := o.table.Crashes()
	var hints []*Hint
	if len(in.GetRunning()) > 0 {
		hints = o.table.Hints()
	}
	o.mu.Unlock()
	for _, id := range crashes {
		o.Log.Warn().Str("server", string(id)).Msg("backend server crashed")
	}
	return &ReportReply{Unknown: unknown, Elsewhere: elsewhere, Hints: hints}, nil
}

// MergeRates merges the rates that other owners have measured. Hints about
// servers that this node owns are ignored.
func (o *Owner) MergeRates(hints []*Hint, pool func(tarragondeal.ServerID) string) {
	now := o.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := o.table.servers
	for _, h := range hints {
		id := tarragondeal.ServerID(h.GetServer())
		if _, own := owned[id]; !own {
			o.rates.Merge(now, id, pool(id), float64(h.GetPerSecond()))
		}
	}
}

// RelativeRate returns a server's rate divided by its pool's rate, at most 1.
func (o *Owner) RelativeRate(id tarragondeal.ServerID) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rates.Factor(id)
}

// Run updates the placement as the membership changes, and grants and expires
// requests, until ctx is done.
func (o *Owner) Run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var placed tarragondeal.Instant
	for {
		changed := o.Members.Changed()
		if now := o.Clock.Now(); now.Sub(placed) >= placementInterval {
			placed = now
			o.updatePlacement()
		}
		select {
		case <-changed:
			placed = 0
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		o.tick()
	}
}

// tick grants and expires requests. After a gap longer than maxTickGap it
// releases all servers, since other nodes may own them by now.
func (o *Owner) tick() {
	now := o.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	gap := now.Sub(o.lastTick)
	o.lastTick = now
	if gap > maxTickGap {
		o.Log.Warn().Dur("gap", gap).Msg("process was paused, releasing its backend servers")
		o.takeoverDelayedUntil = now.Add(rejoinWait)
		for id := range o.table.Owned() {
			o.drop(id)
		}
		return
	}
	o.table.Tick(now)
}

// updatePlacement computes the placement, and adds and drops this node's
// servers.
func (o *Owner) updatePlacement() {
	p := o.placement.Load().Next(o.Site.Servers(), o.Members.Members(), o.Site.Region)
	old := o.placement.Swap(p)
	now := o.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rates.Refresh(now, rateRetention)
	o.updateMetrics()
	if now < o.takeoverDelayedUntil && len(o.Members.Members()) <= 1 || now.Sub(o.lastTick) > maxTickGap {
		return
	}
	owned := o.table.Owned()
	for _, s := range p.Owned(o.self) {
		delete(owned, s.ID)
		if !o.table.has(s.ID) {
			o.takeovers[s.ID] = newTakeover(p, o.self)
		}
		o.table.Add(now, s, o.Site.Slots(s.Pool))
	}
	for id := range owned {
		o.keepOrDrop(now, p, id)
	}
	// A holder that was in neither placement may be a node that has just started,
	// so only nodes that were live before count as dead.
	o.table.ReleaseNodes(now, func(n tarragondeal.NodeID) bool { return old.Live(n) && !p.Live(n) })
}

func (o *Owner) updateMetrics() {
	owned, waiting, running, down := o.table.totals()
	o.Scope.Gauge("servers").Update(float64(owned))
	o.Scope.Gauge("waiting").Update(float64(waiting))
	o.Scope.Gauge("running").Update(float64(running))
	o.Scope.Gauge("unusable").Update(float64(down))
}

// keepOrDrop drops a server that is no longer listed. A server that another node
// owns now is kept until that node has taken it over or handOverTimeout has
// passed, so that requests always have an owner.
func (o *Owner) keepOrDrop(now tarragondeal.Instant, p *Placement, id tarragondeal.ServerID) {
	if p.Owner(id) == "" || o.table.handOverExpired(now, id) {
		o.drop(id)
	}
}

func (o *Owner) drop(id tarragondeal.ServerID) {
	delete(o.takeovers, id)
	o.table.Remove(id)
}
