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
	// Topic is the topic on which notices are spread.
	Topic tarragondeal.Topic = "quarantine"

	ringSize    = 256
	tellTimeout = time.Second
	tellsAtOnce = 32
)

// Links reaches other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Deps are what a quarantine needs.
type Deps struct {
	Members tarragondeal.Members
	Links   Links
	Spread  tarragondeal.Spread // Nil when notices go directly only.
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
}

// Keeper keeps one node's quarantine and tells the other nodes of crashes. A
// crash is rare, so its notice goes to every node directly, and by the
// slower spread to those that could not be reached.
type Keeper struct {
	UnimplementedQuarantineServer
	Deps
	mu    sync.Mutex
	table *Table
	ring  *tdring.Ring[Notice]
}

// New returns an empty quarantine.
func New(d Deps) *Keeper {
	k := &Keeper{Deps: d, table: NewTable(), ring: tdring.New[Notice](ringSize)}
	if d.Spread != nil {
		d.Spread.Subscribe(Topic, k.receive)
	}
	return k
}

// Register registers the quarantine's calls with the server for peers.
func (k *Keeper) Register(s *grpc.Server) { RegisterQuarantineServer(s, k) }

// Crashed takes a run of this node that broke with its server, and tells the
// others.
func (k *Keeper) Crashed(n Notice) {
	k.add(n)
	if !k.ring.Push(n) {
		k.Log.Warn().Str("server", string(n.Server)).Msg("too many crashes to tell other nodes of")
	}
}

func (k *Keeper) add(n Notice) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Add(k.Clock.Now(), n)
}

// Check returns what is thought of a request, and for how long.
func (k *Keeper) Check(fingerprint uint64) (Verdict, time.Duration) {
	if fingerprint == 0 {
		return Clear, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.table.Check(k.Clock.Now(), fingerprint)
}

// Served takes it that a request ran to its end.
func (k *Keeper) Served(fingerprint uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.table.Served(fingerprint)
}

// Run tells other nodes of crashes until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	tells := pool.New().WithMaxGoroutines(tellsAtOnce)
	defer tells.Wait()
	for {
		n, err := k.ring.Pop(ctx)
		if err != nil {
			return nil
		}
		k.tell(ctx, tells, n)
	}
}

func (k *Keeper) tell(ctx context.Context, tells *pool.Pool, n Notice) {
	in := &CrashNotice{Server: string(n.Server), Run: n.Run, Fingerprint: n.Fingerprint}
	if k.Spread != nil {
		if b, err := proto.Marshal(in); err == nil {
			k.Spread.Send(Topic, b)
		}
	}
	self := k.Members.Self().Node
	for _, m := range k.Members.Members() {
		if m.Node != self {
			tells.Go(func() { k.tellNode(ctx, m.Node, in) })
		}
	}
}

func (k *Keeper) tellNode(ctx context.Context, node tarragondeal.NodeID, in *CrashNotice) {
	ctx, cancel := context.WithTimeout(ctx, tellTimeout)
	defer cancel()
	conn, err := k.Links.Conn(node)
	if err == nil {
		_, err = NewQuarantineClient(conn).Tell(ctx, in)
	}
	if err != nil {
		k.Log.Debug().Err(err).Str("peer", string(node)).Msg("can't tell a node of a crash")
	}
}

// Tell serves a peer's call.
func (k *Keeper) Tell(_ context.Context, in *CrashNotice) (*CrashNoticeReply, error) {
	k.add(Notice{Server: tarragondeal.ServerID(in.GetServer()), Run: in.GetRun(), Fingerprint: in.GetFingerprint()})
	return &CrashNoticeReply{}, nil
}

func (k *Keeper) receive(_ tarragondeal.NodeID, payload []byte) {
	var in CrashNotice
	if err := proto.Unmarshal(payload, &in); err != nil {
		k.Log.Warn().Err(err).Msg("bad notice of a crash")
		return
	}
	_, _ = k.Tell(context.Background(), &in)
}
