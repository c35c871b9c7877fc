// Package tdwire defines the JSON messages that the router exchanges over HTTP
// with the platform, model engines and plain services.
//
// # Usage
//
// The adapter packages next to this one encode and decode these types, and the
// stand-ins serve them. A platform with another format needs only other
// adapters.
package tdwire

import (
	"net/netip"
	"time"
)

// Paths of the platform's interfaces.
const (
	PathGet     = "/v1/kv/get"
	PathList    = "/v1/kv/list"
	PathSwap    = "/v1/kv/swap"
	PathDelete  = "/v1/kv/delete"
	PathWatch   = "/v1/kv/watch"
	PathAcquire = "/v1/lease/acquire"
	PathRenew   = "/v1/lease/renew"
	PathRelease = "/v1/lease/release"
	PathVMs     = "/v1/vms"
	PathOrder   = "/v1/orders/servers"
	PathUsage   = "/v1/usage"
)

// Paths of a backend server.
const (
	PathLoad   = "/load"
	PathEvents = "/events"
	PathEngine = "/orders"
	PathResume = "/v1/resume"
	PathExport = "/kv/export"
	PathImport = "/kv/import"
)

// HeaderRequest carries the request ID and attempt number. The response echoes
// it.
const HeaderRequest = "X-Request-Id"

// Entry is a key with its value and the revision of its last write.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Entries is the response to a list or a watch.
type Entries struct {
	Entries  []Entry `json:"entries"`
	Revision uint64  `json:"revision"`
}

// Swap is a request to write or delete a key if it is at revision Prev.
type Swap struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	Prev  uint64 `json:"prev"`
}

// LeaseCall is a request to acquire, renew or release a lease.
type LeaseCall struct {
	Name   string        `json:"name"`
	Holder string        `json:"holder"`
	Fence  uint64        `json:"fence,omitempty"`
	TTL    time.Duration `json:"ttl,omitempty"`
}

// LeaseAnswer is the response to a LeaseCall. Left is the time until the lease
// expires.
type LeaseAnswer struct {
	Holder string        `json:"holder"`
	Fence  uint64        `json:"fence"`
	Left   time.Duration `json:"left"`
}

// Conflict is the body of a 409 response.
type Conflict struct {
	Entry  Entry  `json:"entry"`
	Holder string `json:"holder,omitempty"`
	Fence  uint64 `json:"fence,omitempty"`
}

// VM is one element of the platform's list of VMs.
type VM struct {
	Name       string         `json:"name"`
	Kind       string         `json:"kind"` // "entry" or "server".
	Pool       string         `json:"pool,omitempty"`
	DataCentre string         `json:"dataCentre"`
	Addr       netip.AddrPort `json:"addr"`
	State      string         `json:"state"`
}

// Kinds of VM.
const (
	KindEntry  = "entry"
	KindServer = "server"
)

// ServerOrder states how many servers of a pool a data centre should have.
type ServerOrder struct {
	Pool       string `json:"pool"`
	DataCentre string `json:"dataCentre"`
	Want       int    `json:"want"`
	Fence      uint64 `json:"fence"`
	Sender     string `json:"sender"`
}

// EngineOrder states what an engine should serve.
type EngineOrder struct {
	Models []string `json:"models"`
	Role   string   `json:"role,omitempty"`
	Fence  uint64   `json:"fence"`
	Sender string   `json:"sender"`
}

// Load is a backend server's load report. Age is how old the numbers were when
// they were sent.
type Load struct {
	Running int           `json:"running"`
	Queued  int           `json:"queued"`
	Slots   int           `json:"slots"`
	Leaving bool          `json:"leaving,omitempty"`
	Models  []string      `json:"models,omitempty"`
	Age     time.Duration `json:"age"`
}

// CacheEvent reports that an engine cached or evicted a block of a prompt. A gap
// in the sequence numbers means that events were lost.
type CacheEvent struct {
	Seq   uint64 `json:"seq"`
	Kind  string `json:"kind"`
	Block uint64 `json:"block"`
}

// Kinds of cache event.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
)

// CacheCopy lists the KV cache blocks that one engine sends to another.
type CacheCopy struct {
	Blocks []uint64 `json:"blocks"`
}
