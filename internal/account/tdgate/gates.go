package tdgate

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragondeal"
)

// Bounds of what a peer can make this process remember.
const (
	maxGates     = 1024
	maxNameBytes = 128
)

// Links reach other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Deps are what gates work with.
type Deps struct {
	Store   tarragondeal.Store
	Members tarragondeal.Members
	Links   Links
	VMs     tarragondeal.VMList
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
}

// Config says when an earlier holder is cleared.
type Config struct {
	// Settle is how long a write that was given up can still take effect.
	Settle time.Duration
	// ListLag is how far the platform's list of VMs may be behind.
	ListLag time.Duration
	// HoldOff is after how long an earlier holder counts as cleared without
	// any sign of it; zero for never.
	HoldOff time.Duration
}

// Gates are the gates of one process.
type Gates struct {
	UnimplementedGatesServer
	Deps
	cfg     Config
	process string
	mu      sync.Mutex
	gates   map[string]*gate
}

// New returns the gates of this process.
func New(d Deps, cfg Config) *Gates {
	return &Gates{Deps: d, cfg: cfg, process: uuid.NewString(), gates: make(map[string]*gate)}
}

func (g *Gates) gate(name string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.gates[name]
	if out == nil && len(g.gates) < maxGates {
		out = newGate(name, g.Clock)
		g.gates[name] = out
	}
	return out
}

// Close is called by the next holder of a duty.
func (g *Gates) Close(_ context.Context, r *CloseRequest) (*CloseAnswer, error) {
	if len(r.GetName()) > maxNameBytes {
		return nil, status.Error(codes.InvalidArgument, "gate has too long a name")
	}
	gate := g.gate(r.GetName())
	if gate == nil {
		return nil, status.Error(codes.ResourceExhausted, "too many gates")
	}
	a := &CloseAnswer{Process: g.process}
	for receiver, age := range gate.close(r.GetBelow()) {
		a.Unsettled = append(a.Unsettled, &Unsettled{Receiver: receiver, AgeNanos: int64(age)})
	}
	return a, nil
}
