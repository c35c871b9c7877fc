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
	askEvery   = time.Second
	askTimeout = 200 * time.Millisecond
	// urgeEvery is the least time between asks that refusals bring about.
	urgeEvery = 100 * time.Millisecond
	// mostAmount bounds what a peer may tell of any amount.
	mostAmount = 1e15
)

// Links reaches other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Deps are what a limiter needs.
type Deps struct {
	Members tarragondeal.Members
	Links   Links
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
}

// Limiter admits requests at one node. It is safe for concurrent use.
type Limiter struct {
	UnimplementedSharesServer
	Deps
	mu       sync.Mutex
	subjects map[string]*subject
	keeper   *keeper
	urge     chan struct{} // A request was refused: more of a share may be had.
}

// New returns a limiter that has admitted nothing.
func New(d Deps) *Limiter {
	return &Limiter{Deps: d, subjects: make(map[string]*subject), keeper: newKeeper(), urge: make(chan struct{}, 1)}
}

// Register registers the limiter's calls with the server for peers.
func (l *Limiter) Register(s *grpc.Server) { RegisterSharesServer(s, l) }

// Admit admits a request whose work is estimated at tokens. It blocks only at
// a subject's first request in a while, until the keeper has answered.
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
	l.prepare(names[:n], limits[:n])
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
			case l.urge <- struct{}{}:
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

// prepare makes the subjects known and gets a share of those that have none.
func (l *Limiter) prepare(names []string, limits []tarragondeal.Limits) {
	now := l.Clock.Now()
	var need []*subject
	l.mu.Lock()
	for n, name := range names {
		s, ok := l.subjects[name]
		if !ok {
			s = &subject{name: name}
			l.subjects[name] = s
		}
		s.used = now
		s.limit = amounts{limits[n].RequestsPerSecond, limits[n].TokensPerSecond, float64(limits[n].Concurrent)}
		if now > s.until {
			s.wanted = max(s.wanted, s.running+1)
			need = append(need, s)
		}
	}
	l.mu.Unlock()
	if len(need) > 0 {
		l.ask(context.Background(), need)
	}
}

// Run asks for shares of the subjects in use until ctx ends.
func (l *Limiter) Run(ctx context.Context) error {
	t := time.NewTicker(askEvery)
	defer t.Stop()
	var asked tarragondeal.Instant
	for {
		select {
		case <-t.C:
		case <-l.urge:
			if l.Clock.Now().Sub(asked) < urgeEvery {
				continue
			}
		case <-ctx.Done():
			return nil
		}
		asked = l.Clock.Now()
		if used := l.inUse(); len(used) > 0 {
			l.ask(ctx, used)
		}
	}
}

func (l *Limiter) inUse() []*subject {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.prune(now)
	var out []*subject
	for name, s := range l.subjects {
		if s.running == 0 && now.Sub(s.used) > idleAfter {
			delete(l.subjects, name)
			continue
		}
		out = append(out, s)
	}
	return out
}

// batch is what one keeper is asked for.
type batch struct {
	subjects []*subject
	in       *ShareRequest
}

// ask asks the keepers for shares.
func (l *Limiter) ask(ctx context.Context, subjects []*subject) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	now, nodes := l.Clock.Now(), l.live()
	batches := make(map[tarragondeal.NodeID]*batch)
	l.mu.Lock()
	for _, s := range subjects {
		k := keeperOf(s.name, nodes)
		b, ok := batches[k]
		if !ok {
			b = &batch{in: &ShareRequest{Node: string(l.Members.Self().Node)}}
			batches[k] = b
		}
		b.subjects = append(b.subjects, s)
		b.in.Demands = append(b.in.Demands, s.message(now))
	}
	l.mu.Unlock()
	var wg conc.WaitGroup
	for k, b := range batches {
		wg.Go(func() { l.askKeeper(ctx, k, b, now, len(nodes)) })
	}
	wg.Wait()
}

func (s *subject) message(now tarragondeal.Instant) *Demand {
	held := amounts{}
	if now < s.until {
		held = s.share
	}
	held[concurrent] = float64(s.running)
	return &Demand{Subject: s.name, Limit: s.limit.message(), Demand: s.report(now).message(), Held: held.message()}
}

func (l *Limiter) askKeeper(ctx context.Context, k tarragondeal.NodeID, b *batch, asked tarragondeal.Instant, nodes int) {
	reply, err := l.send(ctx, k, b.in)
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for n, s := range b.subjects {
		switch {
		case err == nil && n < len(reply.GetShares()):
			s.take(now, asked, fromMessage(reply.GetShares()[n]))
		case now > s.until:
			s.take(now, now, s.equal(nodes))
		}
	}
}

func (l *Limiter) send(ctx context.Context, k tarragondeal.NodeID, in *ShareRequest) (*ShareReply, error) {
	if k == l.Members.Self().Node {
		return l.Ask(ctx, in)
	}
	conn, err := l.Links.Conn(k)
	if err != nil {
		return nil, err
	}
	return NewSharesClient(conn).Ask(ctx, in)
}

// Ask serves a node's call for its shares.
func (l *Limiter) Ask(_ context.Context, in *ShareRequest) (*ShareReply, error) {
	now := l.Clock.Now()
	out := &ShareReply{}
	fleet := len(l.live())
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range in.GetDemands() {
		share := l.keeper.share(now, in.GetNode(), d.GetSubject(),
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

// keeperOf returns the node that keeps a subject.
func keeperOf(name string, nodes []tarragondeal.NodeID) tarragondeal.NodeID {
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
	return amounts{told(m.GetRequests()), told(m.GetTokens()), float64(m.GetConcurrent())}
}

// told bounds what a peer says. What is no number counts as nothing.
func told(x float64) float64 {
	if !(x > 0) {
		return 0
	}
	return min(x, mostAmount)
}
