package tarragondeal

import "time"

// Set is a set of objects that is validated and published as a whole.
// Objects refer to one another by name.
type Set struct {
	DataCentres    []DataCentre   `json:"dataCentres,omitempty"    yaml:"dataCentres,omitempty"`
	ServerPools    []ServerPool   `json:"serverPools,omitempty"    yaml:"serverPools,omitempty"`
	RequestClasses []RequestClass `json:"requestClasses,omitempty" yaml:"requestClasses,omitempty"`
	Workspaces     []Workspace    `json:"workspaces,omitempty"     yaml:"workspaces,omitempty"`
	Routes         []Route        `json:"routes,omitempty"         yaml:"routes,omitempty"`
	Keys           []Key          `json:"keys,omitempty"           yaml:"keys,omitempty"`
}

// DataCentre is a location where backend servers and entry VMs run.
type DataCentre struct {
	Name   string `json:"name"   yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// PoolKind is the protocol of the backend servers of a pool.
type PoolKind string

// The kinds of server pool.
const (
	PoolModel   PoolKind = "model"   // An OpenAI-compatible model engine.
	PoolService PoolKind = "service" // A plain HTTP service.
)

// ServerPool is a group of identical backend servers.
type ServerPool struct {
	Name string   `json:"name" yaml:"name"`
	Kind PoolKind `json:"kind" yaml:"kind"`
	// Model is the name under which the pool's engines serve their model.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// Slots is how many requests one server runs at once.
	Slots int `json:"slots" yaml:"slots"`
	// Reclaimable pools can lose all their servers in one data centre at once.
	Reclaimable bool `json:"reclaimable,omitempty" yaml:"reclaimable,omitempty"`
	// CostPerHour is the price of one running server.
	CostPerHour float64 `json:"costPerHour,omitempty" yaml:"costPerHour,omitempty"`
	// ChecksFencing says that the pool's servers refuse orders with an old
	// fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty" yaml:"checksFencing,omitempty"`
	// Min and Max bound the servers ordered in each data centre.
	Min int `json:"min,omitempty" yaml:"min,omitempty"`
	Max int `json:"max,omitempty" yaml:"max,omitempty"`
	// Engine and Scaling come from the platform and are not part of the
	// router's own configuration format. They are nil for plain services and
	// for pools of fixed size.
	Engine *Engine `json:"-" yaml:"-"`
	// ColdRate is how many requests a second of all nodes together a server bears while it is
	// cold; zero means that there is no limit.
	ColdRate float64  `json:"-" yaml:"-"`
	Scaling  *Scaling `json:"-" yaml:"-"`
}

// Engine describes the model engines of a pool as the platform reports them.
type Engine struct {
	Slots          int // Largest batch, in requests.
	KVTokens       int // KV cache for running requests and cached prompt parts, in tokens.
	TokensPerEvent int // Tokens in one event of a stream.
}

// Scaling bounds the servers that can be ordered for a pool.
type Scaling struct {
	Min, Max   int           // Servers in each data centre, spot and on-demand together.
	Boot       time.Duration // From an order until a new server is ready.
	SpotPrice  float64       // Of a reclaimable server, relative to an on-demand one.
	ZonePrices map[string]float64
}

// RequestClass defines the priority and the latency targets of a class of
// requests.
type RequestClass struct {
	Name string `json:"name" yaml:"name"`
	// Tier is the priority; tier 1 is the highest.
	Tier int `json:"tier" yaml:"tier"`
	// FirstToken and BetweenTokens are targets of streamed model answers.
	FirstToken    Duration `json:"firstToken,omitempty"    yaml:"firstToken,omitempty"`
	BetweenTokens Duration `json:"betweenTokens,omitempty" yaml:"betweenTokens,omitempty"`
	// Completion is the target for the complete answer of a plain service.
	Completion Duration `json:"completion,omitempty" yaml:"completion,omitempty"`
	// Deadline bounds the whole request; a later answer is useless.
	Deadline Duration `json:"deadline" yaml:"deadline"`
	// Objective is the share of requests that must meet the targets.
	Objective float64 `json:"objective,omitempty" yaml:"objective,omitempty"`
	// MinShare is the share of slots reserved for a class that misses its
	// targets, so that it never starves.
	MinShare float64 `json:"minShare,omitempty" yaml:"minShare,omitempty"`
	// Events says that answers are streams of numbered events. It is not part
	// of the router's own configuration format.
	Events bool `json:"-" yaml:"-"`
}

// Limits bound what a workspace or key may use in the whole fleet. Zero
// means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"   yaml:"tokensPerSecond,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"        yaml:"concurrent,omitempty"`
}

// Workspace is a tenant, to which requests belong and usage is billed.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// DataCentres are the permitted data centres; empty permits all.
	DataCentres []string `json:"dataCentres,omitempty" yaml:"dataCentres,omitempty"`
	// Weight is the workspace's relative share within its tier; zero counts as
	// one.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	Limits Limits  `json:"limits,omitempty" yaml:"limits,omitempty"`
	// Tier overrides the tier of the class, unless it is zero. It is not part
	// of the router's own configuration format.
	Tier int `json:"-" yaml:"-"`
}

// Route maps requests to the pools that may serve them. Callers of models name
// it in the body's model field, callers of services in the path.
type Route struct {
	Name  string   `json:"name"  yaml:"name"`
	Class string   `json:"class" yaml:"class"`
	Pools []string `json:"pools" yaml:"pools"`
	// DataCentres are the permitted data centres; empty permits all.
	DataCentres []string `json:"dataCentres,omitempty" yaml:"dataCentres,omitempty"`
	// Workspaces that may use the route; empty permits all.
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
	// Open routes need no key. BilledTo is the workspace that is billed for
	// them.
	Open     bool   `json:"open,omitempty"     yaml:"open,omitempty"`
	BilledTo string `json:"billedTo,omitempty" yaml:"billedTo,omitempty"`
	// NonIdempotent requests run at most once and need an idempotency key.
	NonIdempotent bool   `json:"nonIdempotent,omitempty" yaml:"nonIdempotent,omitempty"`
	Limits        Limits `json:"limits,omitempty"        yaml:"limits,omitempty"`

	// Host, Prefix, Shares, MaxAttempts and Resumable are not part of the
	// router's own configuration format: they belong to routes that callers
	// select by host and path.
	Host        string `json:"-" yaml:"-"` // Lower case, without a port.
	Prefix      string `json:"-" yaml:"-"` // Path prefix; begins and ends with a slash.
	Shares      []int  `json:"-" yaml:"-"` // Relative weights of Pools, in the same order.
	MaxAttempts int    `json:"-" yaml:"-"` // Backend servers that one request may be sent to.
	Resumable   bool   `json:"-" yaml:"-"` // A stream may continue at another backend server.
}

// Key is a caller's stored credential. It holds a salted digest, never the
// secret itself.
type Key struct {
	Name      string `json:"name"      yaml:"name"`
	Workspace string `json:"workspace" yaml:"workspace"`
	// Salt and Digest are base64; Digest is SHA-256 over salt and secret.
	Salt      string `json:"salt"   yaml:"salt"`
	Digest    string `json:"digest" yaml:"digest"`
	Withdrawn bool   `json:"withdrawn,omitempty" yaml:"withdrawn,omitempty"`
	Limits    Limits `json:"limits,omitempty"    yaml:"limits,omitempty"`
}

// Duration is a time.Duration written as text, such as "330ms".
type Duration time.Duration

// MarshalText formats d as time.Duration does.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText accepts the syntax of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
