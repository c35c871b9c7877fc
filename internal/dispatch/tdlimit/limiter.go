package tdlimit

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"google.golang.org/grpc"

	"tarragondeal"
)

const (
	refreshInterval = time.Second
	requestTimeout  = 200 * time.Millisecond
	// minRefreshInterval is the minimum time between requests for shares that
	// refusals trigger.
	minRefreshInterval = 100 * time.Millisecond
	// maxAmount is the upper bound of any amount received from a peer.
	maxAmount = 1e15
)

// Links connects to other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Deps holds the dependencies of a Limiter.
type Deps struct {
	Members tarragondeal.Members
	Links   Links
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
}

// Limiter admits or refuses requests at one node. It is safe for concurrent use.
type Limiter struct {
	UnimplementedSharesServer
	Deps
	mu        sync.Mutex
	subjects  map[string]*subject
	allocator *allocator
	refresh   chan struct{} // Signals a refusal: a larger share may be available.
}

// New returns a limiter without any shares.
func New(d Deps) *Limiter {
	return &Limiter{Deps: d, subjects: make(map[string]*subject), allocator: newAllocator(), refresh: make(chan struct{}, 1)}
}

// Register registers the Shares service with the server for peers.
func (l *Limiter) Register(s *grpc.Server) { RegisterSharesServer(s, l) }

// Admit admits a request with an estimated number of tokens. On success it
// returns a function that the caller calls with the number of tokens used when
// the request ends; otherwise it returns a RefusedError. Admit blocks only when
// the node holds no unexpired share of a subject, until the allocator replies
// or the call times out.
func (l *Limiter) Admit(ws *tarragondeal.Workspace, key *tarragondeal.Key, route *tarragondeal.Route, estimate int) (func(int), error) {
	var names [3]string
	var limits [3]tarragondeal.Limits
	n := 0
	add := func(name string, lim tarragondeal.Limits) {
		if lim != (tarragondeal.Limits{}) {
			names[n], limits[n] = name, lim
			n++
		}
	}
	if ws != nil {
		add("workspace/"+ws.Name, ws.Limits)
	}
	if key != nil {
		add("key/"+key.Name, key.Limits)
	}
	if route != nil {
		add("route/"+route.Name, route.Limits)
	}
	if n == 0 {
		return func(int) {}, nil
	}
	l.ensureShares(names[:n], limits[:n])
	return l.admit(names[:n], float64(estimate))
}

func (l *Limiter) admit(names []string, estimate float64) (func(int), error) {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	taken := make([]*subject, 0, len(names))
	for _, name := range names {
		s := l.subjects[name]
		wait, ok := s.admit(now, estimate)
		if !ok {
			for _, t := range taken {
				t.undo(estimate)
			}
			select {
			case l.refresh <- struct{}{}:
			default:
			}
			return nil, &tarragondeal.RefusedError{
				Reason: tarragondeal.ReasonLimit, Ran: tarragondeal.RanNot,
				RetryAfter: wait, Detail: "over the limit of " + name,
			}
		}
		taken = append(taken, s)
	}
	var once sync.Once
	return func(used int) { once.Do(func() { l.release(taken, estimate, float64(used)) }) }, nil
}

func (l *Limiter) release(taken []*subject, estimate, used float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range taken {
		s.release(estimate, used)
	}
}

// ensureShares registers the subjects and requests a share for those that hold
// no unexpired one.
func (l *Limiter) ensureShares(names []string, limits []tarragondeal.Limits) {
	now := l.Clock.Now()
	var need []*subject
	l.mu.Lock()
	for n, name := range names {
		s, ok := l.subjects[name]
		if !ok {
			s = &subject{name: name}
			l.subjects[name] = s
		}
		s.lastUsed = now
		s.limit = amounts{limits[n].RequestsPerSecond, limits[n].TokensPerSecond, float64(limits[n].Concurrent)}
		if now > s.expires {
			s.peak = max(s.peak, s.running+1)
			need = append(need, s)
		}
	}
	l.mu.Unlock()
	if len(need) > 0 {
		l.requestShares(context.Background(), need)
	}
}

// Run requests shares of the subjects in use until ctx is done.
func (l *Limiter) Run(ctx context.Context) error {
	t := time.NewTicker(refreshInterval)
	defer t.Stop()
	var requested tarragondeal.Instant
	for {
		select {
		case <-t.C:
		case <-l.refresh:
			if l.Clock.Now().Sub(requested) < minRefreshInterval {
				continue
			}
		case <-ctx.Done():
			return nil
		}
		requested = l.Clock.Now()
		if subjects := l.inUse(); len(subjects) > 0 {
			l.requestShares(ctx, subjects)
		}
	}
}

func (l *Limiter) inUse() []*subject {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.prune(now)
	var out []*subject
	for name, s := range l.subjects {
		if s.running == 0 && now.Sub(s.lastUsed) > idleTimeout {
			delete(l.subjects, name)
			continue
		}
		out = append(out, s)
	}
	return out
}

// batch is a request to one allocator and the subjects in it.
type batch struct {
	subjects []*subject
	in       *ShareRequest
}

// requestShares requests shares of the subjects from their allocators.
func (l *Limiter) requestShares(ctx context.Context, subjects []*subject) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	now, nodes := l.Clock.Now(), l.live()
	batches := make(map[tarragondeal.NodeID]*batch)
	l.mu.Lock()
	for _, s := range subjects {
		node := allocatorOf(s.name, nodes)
		b, ok := batches[node]
		if !ok {
			b = &batch{in: &ShareRequest{Node: string(l.Members.Self().Node)}}
			batches[node] = b
		}
		b.subjects = append(b.subjects, s)
		b.in.Demands = append(b.in.Demands, s.message(now))
	}
	l.mu.Unlock()
	var wg conc.WaitGroup
	for node, b := range batches {
		wg.Go(func() { l.requestBatch(ctx, node, b, now, len(nodes)) })
	}
	wg.Wait()
}

func (s *subject) message(now tarragondeal.Instant) *Demand {
	held := amounts{}
	if now < s.expires {
		held = s.share
	}
	held[concurrent] = float64(s.running)
	return &Demand{Subject: s.name, Limit: s.limit.message(), Demand: s.report(now).message(), Held: held.message()}
}

func (l *Limiter) requestBatch(ctx context.Context, node tarragondeal.NodeID, b *batch, requested tarragondeal.Instant, nodes int) {
	reply, err := l.send(ctx, node, b.in)
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, s := range b.subjects {
		switch {
		case err == nil && n < len(reply.GetShares()):
			s.setShare(now, requested, fromMessage(reply.GetShares()[n]))
		case now > s.expires:
			s.setShare(now, now, s.equalShare(nodes))
		}
	}
}

func (l *Limiter) send(ctx context.Context, node tarragondeal.NodeID, in *ShareRequest) (*ShareReply, error) {
	if node == l.Members.Self().Node {
		return l.Ask(ctx, in)
	}
	conn, err := l.Links.Conn(node)
	if err != nil {
		return nil, err
	}
	return NewSharesClient(conn).Ask(ctx, in)
}

// Ask implements SharesServer. It grants a node its shares.
func (l *Limiter) Ask(_ context.Context, in *ShareRequest) (*ShareReply, error) {
	now := l.Clock.Now()
	out := &ShareReply{}
	fleet := len(l.live())
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range in.GetDemands() {
		share := l.allocator.share(now, in.GetNode(), d.GetSubject(),
			fromMessage(d.GetLimit()), fromMessage(d.GetDemand()), fromMessage(d.GetHeld()), fleet)
		out.Shares = append(out.Shares, share.message())
	}
	return out, nil
}

func (l *Limiter) live() []tarragondeal.NodeID {
	var out []tarragondeal.NodeID
	for _, m := range l.Members.Members() {
		if m.State == tarragondeal.MemberAlive || m.State == tarragondeal.MemberSuspect {
			out = append(out, m.Node)
		}
	}
	return out
}

// allocatorOf returns the node that allocates a subject's limit.
func allocatorOf(name string, nodes []tarragondeal.NodeID) tarragondeal.NodeID {
	var best tarragondeal.NodeID
	var top uint64
	for _, n := range nodes {
		if h := xxhash.Sum64String(string(n) + "/" + name); best == "" || h > top {
			best, top = n, h
		}
	}
	return best
}

func (a amounts) message() *Amounts {
	return &Amounts{Requests: a[requests], Tokens: a[tokens], Concurrent: uint32(a[concurrent])}
}

func fromMessage(m *Amounts) amounts {
	return amounts{sanitise(m.GetRequests()), sanitise(m.GetTokens()), float64(m.GetConcurrent())}
}

// sanitise bounds an amount received from a peer. It maps NaN and negative
// values to zero.
func sanitise(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, maxAmount)
}
