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

// Limits on the memory that a peer can make this process use.
const (
	maxGates     = 1024
	maxNameBytes = 128
)

// Links returns connections to other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Deps holds the dependencies of Gates.
type Deps struct {
	Store   tarragondeal.Store
	Members tarragondeal.Members
	Links   Links
	VMs     tarragondeal.VMList
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
}

// Config sets when an earlier holder counts as stopped and its writes as settled.
type Config struct {
	// Settle is how long an unanswered write can still take effect.
	Settle time.Duration
	// ListLag is the maximum staleness of the platform's list of VMs.
	ListLag time.Duration
	// HoldOff is the time from the start of a term after which an earlier
	// holder counts as stopped even if nothing confirms it. Zero means never.
	HoldOff time.Duration
}

// Gates holds the gates of one process, by name.
type Gates struct {
	UnimplementedGatesServer
	Deps
	cfg       Config
	processID string // Random.
	mu        sync.Mutex
	gates     map[string]*gate
}

// New returns the Gates of this process.
func New(d Deps, cfg Config) *Gates {
	return &Gates{Deps: d, cfg: cfg, processID: uuid.NewString(), gates: make(map[string]*gate)}
}

// gate returns the gate with a name, or nil if there are too many.
func (g *Gates) gate(name string) *gate {
	g.mu.Lock()
	defer g.mu.Unlock()
	gate := g.gates[name]
	if gate == nil && len(g.gates) < maxGates {
		gate = newGate(name, g.Clock)
		g.gates[name] = gate
	}
	return gate
}

// Close closes a gate to fencing tokens below the given one. A later holder of
// the duty calls it. The answer has the ID of this process and the receivers
// with unanswered writes.
func (g *Gates) Close(_ context.Context, r *CloseRequest) (*CloseAnswer, error) {
	if len(r.GetName()) > maxNameBytes {
		return nil, status.Error(codes.InvalidArgument, "gate has too long a name")
	}
	gate := g.gate(r.GetName())
	if gate == nil {
		return nil, status.Error(codes.ResourceExhausted, "too many gates")
	}
	a := &CloseAnswer{Process: g.processID}
	for receiver, age := range gate.close(r.GetBelow()) {
		a.Unsettled = append(a.Unsettled, &Unsettled{Receiver: receiver, AgeNanos: int64(age)})
	}
	return a, nil
}
