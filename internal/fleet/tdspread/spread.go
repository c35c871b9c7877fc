package tdspread

import (
	"context"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragondeal"
	"tarragondeal/internal/base/tdring"
)

const (
	maxSources   = 2048 // Processes whose numbers are remembered.
	maxTopic     = 64   // Bytes of a topic's name.
	maxName      = 128  // Bytes of a node's name.
	ownRing      = 256
	inRing       = 1024
	queueBytes   = 256 << 10 // That wait for one neighbour.
	batchBytes   = 64 << 10  // Of one push.
	maxMessages  = 1024      // Of one push.
	batchWait    = 20 * time.Millisecond
	pushTimeout  = 2 * time.Second
	pushers      = 8
	messageExtra = 64 // Bytes of a message beside its payload.
)

// Graph tells who the neighbours are.
type Graph interface {
	tarragondeal.Members
	Neighbours() []tarragondeal.NodeID
}

// Links reach nodes by name.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Options are what spreading works with. All may be left out.
type Options struct {
	Log   zerolog.Logger
	Scope tally.Scope
}

// Spread passes messages on. Its methods are safe for concurrent use.
type Spread struct {
	UnimplementedSpreadingServer
	graph Graph
	opt   Options
	topic map[tarragondeal.Topic][]func(tarragondeal.NodeID, []byte)
	own   *tdring.Ring[*Message] // From this node, to be numbered.
	in    *tdring.Ring[*Message] // To subscribers.
	push  *tdring.Ring[tarragondeal.NodeID]
	wake  chan struct{}

	mu     sync.Mutex
	seq    uint64
	met    *lru.Cache[source, *seen]
	queues map[tarragondeal.NodeID]*queue
}

// queue is what waits for one neighbour.
type queue struct {
	messages []*Message
	bytes    int
	busy     bool
}

// New returns a spread over the edges of graph.
func New(graph Graph, opt Options) *Spread {
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	met, err := lru.New[source, *seen](maxSources)
	if err != nil {
		panic("tdspread: " + err.Error()) // The size is a positive constant.
	}
	return &Spread{
		graph: graph, opt: opt, met: met,
		topic:  make(map[tarragondeal.Topic][]func(tarragondeal.NodeID, []byte)),
		own:    tdring.New[*Message](ownRing),
		in:     tdring.New[*Message](inRing),
		push:   tdring.New[tarragondeal.NodeID](inRing),
		wake:   make(chan struct{}, 1),
		queues: make(map[tarragondeal.NodeID]*queue),
	}
}

// Register makes a server of links take pushes.
func (s *Spread) Register(r grpc.ServiceRegistrar) { RegisterSpreadingServer(r, s) }

// Subscribe hands later messages of a topic to receive, one at a time. It is
// called before Run.
func (s *Spread) Subscribe(t tarragondeal.Topic, receive func(from tarragondeal.NodeID, payload []byte)) {
	s.topic[t] = append(s.topic[t], receive)
}

// Send spreads a message to all other nodes. It reports false when the
// message is too large or too much is waiting.
func (s *Spread) Send(t tarragondeal.Topic, payload []byte) bool {
	if len(payload) > tarragondeal.MaxSpreadBytes || len(t) > maxTopic {
		return false
	}
	m := &Message{Topic: string(t), Payload: append([]byte(nil), payload...)}
	if !s.own.Push(m) {
		s.opt.Scope.Counter("dropped").Inc(1)
		return false
	}
	return true
}

// Push takes messages from a neighbour.
func (s *Spread) Push(_ context.Context, in *Messages) (*Pushed, error) {
	if len(in.GetMessages()) > maxMessages {
		return nil, status.Error(codes.InvalidArgument, "too many messages")
	}
	for _, m := range in.GetMessages() {
		if !valid(m) {
			s.opt.Scope.Counter("refused").Inc(1)
			return nil, status.Error(codes.InvalidArgument, "wrong message")
		}
	}
	for _, m := range in.GetMessages() {
		s.take(m, tarragondeal.NodeID(in.GetFrom()))
	}
	return &Pushed{}, nil
}

func valid(m *Message) bool {
	return m.GetOrigin() != "" && len(m.GetOrigin()) <= maxName && len(m.GetTopic()) <= maxTopic &&
		len(m.GetPayload()) <= tarragondeal.MaxSpreadBytes
}

// take delivers a message that is new and passes it on.
func (s *Spread) take(m *Message, from tarragondeal.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.first(m) {
		s.opt.Scope.Counter("repeated").Inc(1)
		return
	}
	if m.GetOrigin() == string(s.graph.Self().Node) {
		return
	}
	s.opt.Scope.Counter("received").Inc(1)
	if !s.in.Push(m) {
		s.opt.Scope.Counter("dropped").Inc(1)
	}
	s.queue(m, from)
}

// first reports whether a message is met for the first time. The lock is
// held.
func (s *Spread) first(m *Message) bool {
	src := source{origin: m.GetOrigin(), incarnation: m.GetIncarnation()}
	w, ok := s.met.Get(src)
	if !ok {
		w = &seen{}
		s.met.Add(src, w)
	}
	return w.add(m.GetSeq())
}

// queue passes a message on to all neighbours that can't have it. The lock
// is held.
func (s *Spread) queue(m *Message, from tarragondeal.NodeID) {
	for _, n := range s.graph.Neighbours() {
		if n == from || string(n) == m.GetOrigin() {
			continue
		}
		q := s.queues[n]
		if q == nil {
			q = &queue{}
			s.queues[n] = q
		}
		q.messages = append(q.messages, m)
		q.bytes += size(m)
		for q.bytes > queueBytes {
			q.bytes -= size(q.messages[0])
			q.messages = q.messages[1:]
			s.opt.Scope.Counter("dropped").Inc(1)
		}
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func size(m *Message) int { return len(m.GetPayload()) + messageExtra }

// Run delivers and passes on messages until ctx ends.
func (s *Spread) Run(ctx context.Context, links Links) error {
	var wg conc.WaitGroup
	wg.Go(func() { s.number(ctx) })
	wg.Go(func() { s.flush(ctx) })
	for range pushers {
		wg.Go(func() { s.work(ctx, links) })
	}
	s.deliver(ctx)
	wg.Wait()
	return nil
}

// number gives this node's messages their numbers.
func (s *Spread) number(ctx context.Context) {
	incarnation := s.graph.Self().Incarnation
	for {
		m, err := s.own.Pop(ctx)
		if err != nil {
			return
		}
		self := s.graph.Self()
		s.mu.Lock()
		s.seq++
		m.Origin, m.Incarnation, m.Seq = string(self.Node), incarnation, s.seq
		s.first(m)
		s.queue(m, "")
		s.mu.Unlock()
	}
}

func (s *Spread) deliver(ctx context.Context) {
	for {
		m, err := s.in.Pop(ctx)
		if err != nil {
			return
		}
		for _, receive := range s.topic[tarragondeal.Topic(m.GetTopic())] {
			receive(tarragondeal.NodeID(m.GetOrigin()), m.GetPayload())
		}
	}
}

// flush starts a push to each neighbour for whom something waits.
func (s *Spread) flush(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		wait(ctx, batchWait)
		s.mu.Lock()
		for n, q := range s.queues {
			if !q.busy && len(q.messages) > 0 {
				q.busy = s.push.Push(n)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Spread) work(ctx context.Context, links Links) {
	for {
		n, err := s.push.Pop(ctx)
		if err != nil {
			return
		}
		s.pushTo(ctx, links, n)
	}
}

func (s *Spread) pushTo(ctx context.Context, links Links, n tarragondeal.NodeID) {
	s.mu.Lock()
	in := &Messages{From: string(s.graph.Self().Node), Messages: s.batch(s.queues[n])}
	s.mu.Unlock()
	conn, err := links.Conn(n)
	if err == nil {
		ctx, cancel := context.WithTimeout(ctx, pushTimeout)
		_, err = NewSpreadingClient(conn).Push(ctx, in)
		cancel()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queues[n]
	q.busy = false
	if err != nil {
		// The neighbour may be gone: others pass the messages on.
		s.opt.Scope.Counter("failedPushes").Inc(1)
		delete(s.queues, n)
		return
	}
	if len(q.messages) == 0 {
		delete(s.queues, n)
		return
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// batch takes the oldest messages off a queue. The lock is held.
func (s *Spread) batch(q *queue) []*Message {
	var out []*Message
	bytes := 0
	for len(q.messages) > 0 && bytes < batchBytes {
		m := q.messages[0]
		q.messages = q.messages[1:]
		q.bytes -= size(m)
		bytes += size(m)
		out = append(out, m)
	}
	return out
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
