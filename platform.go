package tarragondeal

import (
	"context"
	"net/netip"
	"time"
)

// VMState is what the platform's list says of a VM.
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
	ColdLeft   time.Duration // How much longer it is slow after its start.
	Born       time.Time     // The start of this incarnation; zero when not told.
}

// EntryVM is one entry VM on the platform's list.
type EntryVM struct {
	Node       NodeID
	DataCentre string
	Peer       netip.AddrPort
	State      VMState
}

// VMList is the platform's lagging list of VMs.
type VMList interface {
	// Servers returns the backend servers, leaving ones included.
	Servers(ctx context.Context) ([]Server, error)
	// EntryVMs returns the entry VMs, leaving ones included.
	EntryVMs(ctx context.Context) ([]EntryVM, error)
}

// ServerOrder states how many servers of a pool a data centre should have.
// It is absolute, so repeating it is harmless.
type ServerOrder struct {
	Pool       string
	DataCentre string
	Want       int
	Spot       bool // Orders servers that the platform may take back.
	Fence      uint64
	Sender     NodeID
}

// BegunReport tells how many requests of each workspace began to run in one
// window. A window is sent with the same figures however often it is sent.
type BegunReport struct {
	Window int64 // Its number: windows of equal length follow since 1970.
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

// Orders takes orders for the platform and for engines. Errors are
// *FenceError when the receiver knows a newer fencing token, else
// *PlatformError.
type Orders interface {
	OrderServers(ctx context.Context, o ServerOrder) error
	OrderEngine(ctx context.Context, o EngineOrder) error
}

// UsageLine is what one workspace used on one route.
type UsageLine struct {
	Workspace    string `json:"workspace"`
	Route        string `json:"route"`
	Requests     int64  `json:"requests"`
	InputTokens  int64  `json:"inputTokens"`
	OutputTokens int64  `json:"outputTokens"`
}

// UsageReport is the closed figures of one window. A window is sent with the
// same figures however often it is sent.
type UsageReport struct {
	Window time.Time     `json:"window"` // Start of the window, UTC.
	Length time.Duration `json:"length"`
	Lines  []UsageLine   `json:"lines"`
	Fence  uint64        `json:"fence"`
	Sender NodeID        `json:"sender"`
}

// UsageSink takes usage reports. Errors are as for Orders.
type UsageSink interface {
	Report(ctx context.Context, r UsageReport) error
}

// Load is what a backend server reports of itself. It lags.
type Load struct {
	Server  ServerID
	Running int
	Queued  int
	Slots   int
	Leaving bool
	Models  []string
	Age     time.Duration // How old the figures were when they were sent.
}

// LoadReader reads a backend server's own report.
type LoadReader interface {
	Load(ctx context.Context, s Server) (Load, error)
}
