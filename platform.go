package tarragondeal

import (
	"context"
	"net/netip"
	"time"
)

// VMState is the state of a VM on the platform's list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// Server is one backend server.
type Server struct {
	ID         ServerID
	Pool       string
	DataCentre string
	Addr       netip.AddrPort
	State      VMState
	Slots      int
	Spot       bool          // The platform may take the server back at any time.
	WarmUpLeft time.Duration // Rest of the warm-up, during which it is slow, at ListedAt.
	ListedAt   Instant       // When this node received the entry; zero if unknown.
	StartedAt  time.Time     // Start of this incarnation; zero if unknown.
	Statement  uint64        // Number of the entry among those of this incarnation, from 1; zero if unknown.
	// SoftwareVersion is the version of the server's software, not of a model's
	// weights; empty if unknown.
	SoftwareVersion string
}

// Software identifies the software of backend servers. What two versions write to a
// stream doesn't fit together.
type Software struct {
	Pool    string
	Version string // Empty if unknown; then it equals no other.
}

// Known reports whether the version is known.
func (s Software) Known() bool { return s.Version != "" }

// Continues reports whether s can continue what other has begun.
func (s Software) Continues(other Software) bool { return s.Known() && s == other }

// Software returns the software of the server.
func (s *Server) Software() Software { return Software{Pool: s.Pool, Version: s.SoftwareVersion} }

// EntryVM is one entry VM on the platform's list.
type EntryVM struct {
	Node       NodeID
	DataCentre string
	Peer       netip.AddrPort
	State      VMState
}

// VMList is the platform's list of VMs, which lags behind the actual state.
type VMList interface {
	// Servers returns the backend servers, including leaving ones.
	Servers(ctx context.Context) ([]Server, error)
	// EntryVMs returns the entry VMs, including leaving ones.
	EntryVMs(ctx context.Context) ([]EntryVM, error)
}

// ServerOrder states how many servers of a pool a data centre should have.
// The number is absolute, so an order is idempotent.
type ServerOrder struct {
	Pool       string
	DataCentre string
	Want       int
	Spot       bool // Orders servers that the platform may reclaim.
	Fence      uint64
	Sender     NodeID
}

// BegunReport holds how many requests of each workspace started to run in one
// window. Every report of a window contains the same figures.
type BegunReport struct {
	Window int64 // Number of the window; windows of equal length are counted from the Unix epoch.
	Begun  map[string]int64
	Fence  uint64
	Sender NodeID
}

// EngineOrder states what a model engine should serve.
type EngineOrder struct {
	Server Server
	Models []string
	Role   string
	Fence  uint64
	Sender NodeID
}

// Orders sends orders to the platform and to engines. Errors are *FenceError
// when the receiver knows a newer fencing token, otherwise *PlatformError.
type Orders interface {
	OrderServers(ctx context.Context, o ServerOrder) error
	OrderEngine(ctx context.Context, o EngineOrder) error
}

// UsageLine is the usage of one workspace on one route.
type UsageLine struct {
	Workspace    string `json:"workspace"`
	Route        string `json:"route"`
	Requests     int64  `json:"requests"`
	InputTokens  int64  `json:"inputTokens"`
	OutputTokens int64  `json:"outputTokens"`
}

// UsageReport holds the final figures of one window. Every report of a window
// contains the same figures.
type UsageReport struct {
	Window time.Time     `json:"window"` // Start of the window, UTC.
	Length time.Duration `json:"length"`
	Lines  []UsageLine   `json:"lines"`
	Fence  uint64        `json:"fence"`
	Sender NodeID        `json:"sender"`
}

// UsageSink receives usage reports. Errors are as for Orders.
type UsageSink interface {
	Report(ctx context.Context, r UsageReport) error
}

// Load is what a backend server reports about itself. It may be out of date.
type Load struct {
	Server  ServerID
	Running int
	Queued  int
	Slots   int
	Leaving bool
	Models  []string
	Age     time.Duration // Age of the figures when they were sent.
}

// LoadReader reads the load that a backend server reports.
type LoadReader interface {
	Load(ctx context.Context, s Server) (Load, error)
}
