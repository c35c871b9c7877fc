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

// Intervals of the owner's duties.
const (
	tickEvery  = 50 * time.Millisecond
	placeEvery = 250 * time.Millisecond
	pollTick   = 50 * time.Millisecond
	// pauseBound is the longest gap between ticks after which a node still
	// takes itself for the owner.
	pauseBound = time.Second
	// rejoinWait is how long a node that was paused waits to hear of the
	// membership.
	rejoinWait = 1500 * time.Millisecond
	rateMemory = 5 * time.Minute
)

// Links reaches other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Site tells what is configured and listed.
type Site interface {
	// Servers returns the listed backend servers.
	Servers() []tarragondeal.Server
	// Slots returns how many requests a pool's servers run at once.
	Slots(pool string) int
	// Region returns the region of a data centre.
	Region(dataCentre string) string
}

// Holder tells which grants the callers' side of this node holds.
type Holder interface {
	// Held returns the grants of some servers that run, and makes this node
	// refuse late grants of any other owner than the one named.
	Held(servers []tarragondeal.ServerID, owner tarragondeal.NodeID) []*Held
}

// Deps are what an owner needs.
type Deps struct {
	Members tarragondeal.Members
	Links   Links
	Site    Site
	Loads   tarragondeal.LoadReader
	Clock   tarragondeal.Clock
	Scope   tally.Scope
	Log     zerolog.Logger
}

// Options are an owner's times.
type Options struct {
	// StartWait is how long a node that starts waits to hear of other nodes
	// before it owns anything.
	StartWait time.Duration
	// PollEvery is how often each server's load is read.
	PollEvery time.Duration
}

// Owner owns this node's part of the servers. Its methods are safe for
// concurrent use.
type Owner struct {
	UnimplementedOwnersServer
	Deps
	opt       Options
	self      tarragondeal.NodeID
	placement atomic.Pointer[Placement]
	holder    Holder

	mu       sync.Mutex
	book     *Book
	rates    *tdhealth.Rates
	lastTick tarragondeal.Instant
	holdOff  tarragondeal.Instant // Nothing is owned until then.
	taking   map[tarragondeal.ServerID]*taking
}

// New returns an owner that owns nothing yet.
func New(d Deps, opt Options) *Owner {
	rates := tdhealth.NewRates()
	now := d.Clock.Now()
	o := &Owner{
		Deps: d, opt: opt, self: d.Members.Self().Node, rates: rates,
		book:     NewBook(uint64(d.Clock.Wall().UnixNano()), rates),
		lastTick: now, holdOff: now.Add(opt.StartWait),
		taking: make(map[tarragondeal.ServerID]*taking),
	}
	o.placement.Store(Place(nil, nil, d.Site.Region))
	return o
}

// SetHolder sets who tells of this node's own grants. Call it before Run.
func (o *Owner) SetHolder(h Holder) { o.holder = h }

// Register registers the owner's calls with the server for peers.
func (o *Owner) Register(s *grpc.Server) { RegisterOwnersServer(s, o) }

// Placement returns who owns which server, as this node sees it.
func (o *Owner) Placement() *Placement { return o.placement.Load() }

// Ask is Reserve for callers on this node.
func (o *Owner) Ask(ctx context.Context, a Asked) *ReserveReply {
	o.mu.Lock()
	w, reply := o.book.Ask(o.Clock.Now(), a)
	o.mu.Unlock()
	if reply != nil {
		return reply
	}
	select {
	case reply = <-w.C:
		return reply
	case <-ctx.Done():
		o.Withdraw(Key{Server: a.Server, Ticket: a.Request.GetTicket()})
		return &ReserveReply{Verdict: Verdict_VERDICT_NONE}
	}
}

// Withdraw takes back a request that waits, or a grant that is not used.
func (o *Owner) Withdraw(k Key) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.book.Withdraw(o.Clock.Now(), k)
}

// Reserve serves a peer's call.
func (o *Owner) Reserve(ctx context.Context, in *ReserveRequest) (*ReserveReply, error) {
	reply := o.Ask(ctx, Asked{
		Node: tarragondeal.NodeID(in.GetNode()), Server: tarragondeal.ServerID(in.GetServer()),
		Request: in.GetRequest(), DataCentre: in.GetDataCentre(),
	})
	return reply, nil
}

// Report serves a peer's call, and this node's own.
func (o *Owner) Report(_ context.Context, in *ReportRequest) (*ReportReply, error) {
	o.mu.Lock()
	unknown, elsewhere := o.book.Report(o.Clock.Now(), in)
	crashes := o.book.Crashes()
	var hints []*Hint
	if len(in.GetRunning()) > 0 {
		hints = o.book.Hints()
	}
	o.mu.Unlock()
	for _, id := range crashes {
		o.Log.Warn().Str("server", string(id)).Msg("backend server crashed")
	}
	return &ReportReply{Unknown: unknown, Elsewhere: elsewhere, Hints: hints}, nil
}

// Observe takes rates that other owners have measured.
func (o *Owner) Observe(hints []*Hint, pool func(tarragondeal.ServerID) string) {
	now := o.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	owned := o.book.seats
	for _, h := range hints {
		id := tarragondeal.ServerID(h.GetServer())
		if _, own := owned[id]; !own {
			o.rates.Merge(now, id, pool(id), float64(h.GetPerSecond()))
		}
	}
}

// Factor returns a server's rate over its pool's, one at most.
func (o *Owner) Factor(id tarragondeal.ServerID) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.rates.Factor(id)
}

// Run keeps the ownership in step with the membership and grants, until ctx
// ends.
func (o *Owner) Run(ctx context.Context) error {
	t := time.NewTicker(tickEvery)
	defer t.Stop()
	var placed tarragondeal.Instant
	for {
		changed := o.Members.Changed()
		if now := o.Clock.Now(); now.Sub(placed) >= placeEvery {
			placed = now
			o.place()
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

// tick grants and expires. After a gap it gives all ownership up, since
// other nodes may own the servers by now.
func (o *Owner) tick() {
	now := o.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	gap := now.Sub(o.lastTick)
	o.lastTick = now
	if gap > pauseBound {
		o.Log.Warn().Dur("gap", gap).Msg("this node was paused and gives its servers up")
		o.holdOff = now.Add(rejoinWait)
		for id := range o.book.Owned() {
			o.drop(id)
		}
		return
	}
	o.book.Tick(now)
}

// place works out the owners, and opens and closes this node's servers.
func (o *Owner) place() {
	p := o.placement.Load().Next(o.Site.Servers(), o.Members.Members(), o.Site.Region)
	old := o.placement.Swap(p)
	now := o.Clock.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.rates.Refresh(now, rateMemory)
	o.tellMetrics()
	if now < o.holdOff && len(o.Members.Members()) <= 1 || now.Sub(o.lastTick) > pauseBound {
		return
	}
	owned := o.book.Owned()
	for _, s := range p.Owned(o.self) {
		delete(owned, s.ID)
		if !o.book.has(s.ID) {
			o.taking[s.ID] = newTaking(p, o.self)
		}
		o.book.Open(now, s, o.Site.Slots(s.Pool))
	}
	for id := range owned {
		o.keepOrDrop(now, p, id)
	}
	// A node that this one has never heard of may be starting.
	o.book.Lost(now, func(n tarragondeal.NodeID) bool { return old.Live(n) && !p.Live(n) })
}

func (o *Owner) tellMetrics() {
	owned, waiting, running, down := o.book.sums()
	o.Scope.Gauge("servers").Update(float64(owned))
	o.Scope.Gauge("waiting").Update(float64(waiting))
	o.Scope.Gauge("running").Update(float64(running))
	o.Scope.Gauge("unusable").Update(float64(down))
}

// keepOrDrop drops a server that is no longer listed. One that another node
// owns now is kept until that node takes it over, so that no request is left
// without an owner in between.
func (o *Owner) keepOrDrop(now tarragondeal.Instant, p *Placement, id tarragondeal.ServerID) {
	if p.Owner(id) == "" || o.book.outlived(now, id) {
		o.drop(id)
	}
}

func (o *Owner) drop(id tarragondeal.ServerID) {
	delete(o.taking, id)
	o.book.Close(id)
}
