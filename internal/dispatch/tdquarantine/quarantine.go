package tdquarantine

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc/pool"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"tarragondeal"
	"tarragondeal/internal/base/tdring"
)

const (
	// Topic is the topic on which crash notices are disseminated.
	Topic tarragondeal.Topic = "quarantine"

	queueSize          = 256
	notifyTimeout      = time.Second
	maxConcurrentCalls = 32
)

// Links connects to other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Deps holds the dependencies of a quarantine.
type Deps struct {
	Members tarragondeal.Members
	Links   Links
	Spread  tarragondeal.Spread // Nil if notices are sent by direct calls only.
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
}

// Quarantine holds one node's quarantine and notifies the other nodes of crashes.
// Crashes are rare, so a notice is sent to every node directly. It is also sent
// by the slower Spread, for nodes that can't be reached directly.
type Quarantine struct {
	UnimplementedQuarantineServer
	Deps
	mu    sync.Mutex
	table *Table
	queue *tdring.Ring[Notice]
}

// New returns an empty quarantine.
func New(d Deps) *Quarantine {
	q := &Quarantine{Deps: d, table: NewTable(), queue: tdring.New[Notice](queueSize)}
	if d.Spread != nil {
		d.Spread.Subscribe(Topic, q.receive)
	}
	return q
}

// Register registers the Quarantine service with the server for peers.
func (q *Quarantine) Register(s *grpc.Server) { RegisterQuarantineServer(s, q) }

// Crashed records a run of this node whose server crashed, and queues its
// notice for the other nodes. If the queue is full, the notice is dropped.
func (q *Quarantine) Crashed(n Notice) {
	q.add(n)
	if !q.queue.Push(n) {
		q.Log.Warn().Str("server", string(n.Server)).Msg("crash notice queue is full, other nodes are not notified")
	}
}

func (q *Quarantine) add(n Notice) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Add(q.Clock.Now(), n)
}

// Check returns the verdict on a request and how long it stays valid.
func (q *Quarantine) Check(fingerprint uint64) (Verdict, time.Duration) {
	if fingerprint == 0 {
		return Clear, 0
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.table.Check(q.Clock.Now(), fingerprint)
}

// Served clears a request that ran to completion.
func (q *Quarantine) Served(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.table.Served(fingerprint)
}

// Run notifies other nodes of crashes until ctx is done.
func (q *Quarantine) Run(ctx context.Context) error {
	calls := pool.New().WithMaxGoroutines(maxConcurrentCalls)
	defer calls.Wait()
	for {
		n, err := q.queue.Pop(ctx)
		if err != nil {
			return nil
		}
		q.broadcast(ctx, calls, n)
	}
}

func (q *Quarantine) broadcast(ctx context.Context, calls *pool.Pool, n Notice) {
	in := &CrashNotice{Server: string(n.Server), Run: n.Run, Fingerprint: n.Fingerprint}
	if q.Spread != nil {
		if b, err := proto.Marshal(in); err == nil {
			q.Spread.Send(Topic, b)
		}
	}
	self := q.Members.Self().Node
	for _, m := range q.Members.Members() {
		if m.Node != self {
			calls.Go(func() { q.notify(ctx, m.Node, in) })
		}
	}
}

func (q *Quarantine) notify(ctx context.Context, node tarragondeal.NodeID, in *CrashNotice) {
	ctx, cancel := context.WithTimeout(ctx, notifyTimeout)
	defer cancel()
	conn, err := q.Links.Conn(node)
	if err == nil {
		_, err = NewQuarantineClient(conn).Tell(ctx, in)
	}
	if err != nil {
		q.Log.Debug().Err(err).Str("peer", string(node)).Msg("can't notify peer of a crash")
	}
}

// Tell implements QuarantineServer.
func (q *Quarantine) Tell(_ context.Context, in *CrashNotice) (*CrashNoticeReply, error) {
	q.add(Notice{Server: tarragondeal.ServerID(in.GetServer()), Run: in.GetRun(), Fingerprint: in.GetFingerprint()})
	return &CrashNoticeReply{}, nil
}

func (q *Quarantine) receive(_ tarragondeal.NodeID, payload []byte) {
	var in CrashNotice
	if err := proto.Unmarshal(payload, &in); err != nil {
		q.Log.Warn().Err(err).Msg("can't decode crash notice")
		return
	}
	_, _ = q.Tell(context.Background(), &in)
}
