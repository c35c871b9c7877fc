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
	maxSources      = 2048 // Sources whose sequence numbers are tracked.
	maxTopic        = 64   // Bytes of a topic's name.
	maxName         = 128  // Bytes of a node's name.
	outboxSize      = 256
	inboxSize       = 1024
	maxQueueBytes   = 256 << 10 // Queued for one neighbour.
	maxBatchBytes   = 64 << 10  // In one push.
	maxMessages     = 1024      // In one push.
	batchDelay      = 20 * time.Millisecond
	pushTimeout     = 2 * time.Second
	pushers         = 8
	messageOverhead = 64 // Estimated bytes of a message without its payload.
)

// Graph is the membership with the neighbours of this node.
type Graph interface {
	tarragondeal.Members
	Neighbours() []tarragondeal.NodeID
}

// Links provides connections to nodes by name.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Options configure a Spread. The zero value is valid.
type Options struct {
	Log   zerolog.Logger
	Scope tally.Scope
}

// Spread broadcasts, delivers and forwards messages. Its methods are safe for
// concurrent use.
type Spread struct {
	UnimplementedSpreadingServer
	graph       Graph
	opt         Options
	subscribers map[tarragondeal.Topic][]func(tarragondeal.NodeID, []byte)
	outbox      *tdring.Ring[*Message] // From this node, without a sequence number yet.
	inbox       *tdring.Ring[*Message] // To deliver to subscribers.
	pushQueue   *tdring.Ring[tarragondeal.NodeID]
	flushSignal chan struct{}

	mu       sync.Mutex
	seq      uint64
	received *lru.Cache[source, *sequenceWindow]
	queues   map[tarragondeal.NodeID]*queue
}

// queue holds the messages that wait for one neighbour.
type queue struct {
	messages []*Message
	bytes    int
	pushing  bool
}

// New returns a spread over the edges of graph.
func New(graph Graph, opt Options) *Spread {
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	received, err := lru.New[source, *sequenceWindow](maxSources)
	if err != nil {
		panic("tdspread: " + err.Error()) // The size is a positive constant.
	}
	return &Spread{
		graph: graph, opt: opt, received: received,
		subscribers: make(map[tarragondeal.Topic][]func(tarragondeal.NodeID, []byte)),
		outbox:      tdring.New[*Message](outboxSize),
		inbox:       tdring.New[*Message](inboxSize),
		pushQueue:   tdring.New[tarragondeal.NodeID](inboxSize),
		flushSignal: make(chan struct{}, 1),
		queues:      make(map[tarragondeal.NodeID]*queue),
	}
}

// Register registers the service that receives pushes.
func (s *Spread) Register(r grpc.ServiceRegistrar) { RegisterSpreadingServer(r, s) }

// Subscribe calls receive for each message of a topic, one at a time. It must be
// called before Run.
func (s *Spread) Subscribe(t tarragondeal.Topic, receive func(from tarragondeal.NodeID, payload []byte)) {
	s.subscribers[t] = append(s.subscribers[t], receive)
}

// Send queues a message for all other nodes. It reports false if the message or
// the topic is too large or the queue is full.
func (s *Spread) Send(t tarragondeal.Topic, payload []byte) bool {
	if len(payload) > tarragondeal.MaxSpreadBytes || len(t) > maxTopic {
		return false
	}
	m := &Message{Topic: string(t), Payload: append([]byte(nil), payload...)}
	if !s.outbox.Push(m) {
		s.opt.Scope.Counter("dropped").Inc(1)
		return false
	}
	return true
}

// Push receives messages from a neighbour.
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
		s.handle(m, tarragondeal.NodeID(in.GetFrom()))
	}
	return &Pushed{}, nil
}

func valid(m *Message) bool {
	return m.GetOrigin() != "" && len(m.GetOrigin()) <= maxName && len(m.GetTopic()) <= maxTopic &&
		len(m.GetPayload()) <= tarragondeal.MaxSpreadBytes
}

// handle delivers and forwards a message, unless it is a duplicate or this node's
// own.
func (s *Spread) handle(m *Message, from tarragondeal.NodeID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.markSeen(m) {
		s.opt.Scope.Counter("repeated").Inc(1)
		return
	}
	if m.GetOrigin() == string(s.graph.Self().Node) {
		return
	}
	s.opt.Scope.Counter("received").Inc(1)
	if !s.inbox.Push(m) {
		s.opt.Scope.Counter("dropped").Inc(1)
	}
	s.enqueue(m, from)
}

// markSeen records a message's sequence number and reports whether it is new. The
// caller holds s.mu.
func (s *Spread) markSeen(m *Message) bool {
	src := source{origin: m.GetOrigin(), incarnation: m.GetIncarnation()}
	numbers, ok := s.received.Get(src)
	if !ok {
		numbers = &sequenceWindow{}
		s.received.Add(src, numbers)
	}
	return numbers.add(m.GetSeq())
}

// enqueue queues a message for all neighbours except the sender and the origin.
// The caller holds s.mu.
func (s *Spread) enqueue(m *Message, from tarragondeal.NodeID) {
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
		for q.bytes > maxQueueBytes {
			q.bytes -= size(q.messages[0])
			q.messages = q.messages[1:]
			s.opt.Scope.Counter("dropped").Inc(1)
		}
	}
	select {
	case s.flushSignal <- struct{}{}:
	default:
	}
}

func size(m *Message) int { return len(m.GetPayload()) + messageOverhead }

// Run delivers and forwards messages until ctx ends.
func (s *Spread) Run(ctx context.Context, links Links) error {
	var wg conc.WaitGroup
	wg.Go(func() { s.sequenceOutbox(ctx) })
	wg.Go(func() { s.schedulePushes(ctx) })
	for range pushers {
		wg.Go(func() { s.runPusher(ctx, links) })
	}
	s.deliverInbox(ctx)
	wg.Wait()
	return nil
}

// sequenceOutbox assigns sequence numbers to this node's messages and queues them.
func (s *Spread) sequenceOutbox(ctx context.Context) {
	incarnation := s.graph.Self().Incarnation
	for {
		m, err := s.outbox.Pop(ctx)
		if err != nil {
			return
		}
		self := s.graph.Self()
		s.mu.Lock()
		s.seq++
		m.Origin, m.Incarnation, m.Seq = string(self.Node), incarnation, s.seq
		s.markSeen(m)
		s.enqueue(m, "")
		s.mu.Unlock()
	}
}

func (s *Spread) deliverInbox(ctx context.Context) {
	for {
		m, err := s.inbox.Pop(ctx)
		if err != nil {
			return
		}
		for _, receive := range s.subscribers[tarragondeal.Topic(m.GetTopic())] {
			receive(tarragondeal.NodeID(m.GetOrigin()), m.GetPayload())
		}
	}
}

// schedulePushes schedules a push to each neighbour with queued messages.
func (s *Spread) schedulePushes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.flushSignal:
		}
		sleep(ctx, batchDelay)
		s.mu.Lock()
		for n, q := range s.queues {
			if !q.pushing && len(q.messages) > 0 {
				q.pushing = s.pushQueue.Push(n)
			}
		}
		s.mu.Unlock()
	}
}

func (s *Spread) runPusher(ctx context.Context, links Links) {
	for {
		n, err := s.pushQueue.Pop(ctx)
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
	q.pushing = false
	if err != nil {
		// The neighbour may be down; other nodes forward the messages.
		s.opt.Scope.Counter("failedPushes").Inc(1)
		delete(s.queues, n)
		return
	}
	if len(q.messages) == 0 {
		delete(s.queues, n)
		return
	}
	select {
	case s.flushSignal <- struct{}{}:
	default:
	}
}

// batch removes the oldest messages from a queue. The caller holds s.mu.
func (s *Spread) batch(q *queue) []*Message {
	var out []*Message
	bytes := 0
	for len(q.messages) > 0 && bytes < maxBatchBytes {
		m := q.messages[0]
		q.messages = q.messages[1:]
		q.bytes -= size(m)
		bytes += size(m)
		out = append(out, m)
	}
	return out
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
