package tarragondeal

import "time"

// Set is a set of objects that is checked and published as a whole.
// Objects refer to one another by name.
type Set struct {
	DataCentres    []DataCentre   `json:"dataCentres,omitempty"    yaml:"dataCentres,omitempty"`
	ServerPools    []ServerPool   `json:"serverPools,omitempty"    yaml:"serverPools,omitempty"`
	RequestClasses []RequestClass `json:"requestClasses,omitempty" yaml:"requestClasses,omitempty"`
	Workspaces     []Workspace    `json:"workspaces,omitempty"     yaml:"workspaces,omitempty"`
	Routes         []Route        `json:"routes,omitempty"         yaml:"routes,omitempty"`
	Keys           []Key          `json:"keys,omitempty"           yaml:"keys,omitempty"`
}

// DataCentre is a place where backend servers and entry VMs run.
type DataCentre struct {
	Name   string `json:"name"   yaml:"name"`
	Region string `json:"region" yaml:"region"`
}

// PoolKind says what the backend servers of a pool speak.
type PoolKind string

// The kinds of server pool.
const (
	PoolModel   PoolKind = "model"   // An OpenAI-compatible model engine.
	PoolService PoolKind = "service" // A plain HTTP service.
)

// ServerPool is a group of like backend servers.
type ServerPool struct {
	Name string   `json:"name" yaml:"name"`
	Kind PoolKind `json:"kind" yaml:"kind"`
	// Model is the name the pool's engines know their model by.
	Model string `json:"model,omitempty" yaml:"model,omitempty"`
	// Slots is how many requests one server runs at once.
	Slots int `json:"slots" yaml:"slots"`
	// Reclaimable pools can vanish a data centre at a time.
	Reclaimable bool `json:"reclaimable,omitempty" yaml:"reclaimable,omitempty"`
	// CostPerHour is the price of one running server.
	CostPerHour float64 `json:"costPerHour,omitempty" yaml:"costPerHour,omitempty"`
	// ChecksFencing says that the pool's servers refuse orders that carry an
	// old fencing token.
	ChecksFencing bool `json:"checksFencing,omitempty" yaml:"checksFencing,omitempty"`
	// Min and Max bound the servers ordered in each data centre.
	Min int `json:"min,omitempty" yaml:"min,omitempty"`
	Max int `json:"max,omitempty" yaml:"max,omitempty"`
	// Engine and Scaling come from the platform and are no part of the own
	// format. They are nil for plain services and for pools of fixed size.
	Engine  *Engine  `json:"-" yaml:"-"`
	Scaling *Scaling `json:"-" yaml:"-"`
}

// Engine is what the platform tells of the model engines of a pool.
type Engine struct {
	Slots    int // Requests that run in one batch.
	KVTokens int // Memory for running requests and cached prompt parts.
	Stride   int // Tokens in one event of a stream.
}

// Scaling bounds the servers of a pool that the platform takes orders for.
type Scaling struct {
	Min, Max   int           // Servers in each data centre, of both kinds.
	Boot       time.Duration // From an order until a new server serves.
	SpotPrice  float64       // Of a reclaimable server, as a share of a firm one's.
	ZonePrices map[string]float64
}

// RequestClass states what a kind of request is owed.
type RequestClass struct {
	Name string `json:"name" yaml:"name"`
	// Tier is the priority; tier 1 is the highest.
	Tier int `json:"tier" yaml:"tier"`
	// FirstToken and BetweenTokens are targets of streamed model answers.
	FirstToken    Duration `json:"firstToken,omitempty"    yaml:"firstToken,omitempty"`
	BetweenTokens Duration `json:"betweenTokens,omitempty" yaml:"betweenTokens,omitempty"`
	// Completion is the target for the whole answer of a plain service.
	Completion Duration `json:"completion,omitempty" yaml:"completion,omitempty"`
	// Deadline bounds the whole request; past it the answer is of no use.
	Deadline Duration `json:"deadline" yaml:"deadline"`
	// Objective is the share of requests that must meet the targets.
	Objective float64 `json:"objective,omitempty" yaml:"objective,omitempty"`
	// MinShare is the share of slots kept for a class that is late, so that
	// it never starves.
	MinShare float64 `json:"minShare,omitempty" yaml:"minShare,omitempty"`
	// Events says that answers are streams whose events have numbers. It is
	// no part of the own format.
	Events bool `json:"-" yaml:"-"`
}

// Limits bound what a workspace or key may use in the whole fleet. Zero
// means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty"   yaml:"tokensPerSecond,omitempty"`
	Concurrent        int     `json:"concurrent,omitempty"        yaml:"concurrent,omitempty"`
}

// Workspace is a tenant: whose requests run, and whose usage is billed.
type Workspace struct {
	Name string `json:"name" yaml:"name"`
	// DataCentres are the permitted places; empty permits all.
	DataCentres []string `json:"dataCentres,omitempty" yaml:"dataCentres,omitempty"`
	// Weight is the workspace's share among its tier; zero counts as one.
	Weight float64 `json:"weight,omitempty" yaml:"weight,omitempty"`
	Limits Limits  `json:"limits,omitempty" yaml:"limits,omitempty"`
	// Tier goes before the class's, unless it is zero. It is no part of the
	// own format.
	Tier int `json:"-" yaml:"-"`
}

// Route leads a kind of request to the pools that may serve it. Callers of
// models name it in the body's model field, callers of services in the path.
type Route struct {
	Name  string   `json:"name"  yaml:"name"`
	Class string   `json:"class" yaml:"class"`
	Pools []string `json:"pools" yaml:"pools"`
	// DataCentres are the permitted places; empty permits all.
	DataCentres []string `json:"dataCentres,omitempty" yaml:"dataCentres,omitempty"`
	// Workspaces that may use the route; empty permits all.
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces,omitempty"`
	// Open routes take no key. BilledTo names the workspace that pays.
	Open     bool   `json:"open,omitempty"     yaml:"open,omitempty"`
	BilledTo string `json:"billedTo,omitempty" yaml:"billedTo,omitempty"`
	// NonIdempotent requests run at most once and need an idempotency key.
	NonIdempotent bool   `json:"nonIdempotent,omitempty" yaml:"nonIdempotent,omitempty"`
	Limits        Limits `json:"limits,omitempty"        yaml:"limits,omitempty"`

	// Host, Prefix, Shares, MaxAttempts and Resumable are no part of the own
	// format: they belong to routes that callers name by host and path.
	Host        string `json:"-" yaml:"-"` // Lower case, without a port.
	Prefix      string `json:"-" yaml:"-"` // Begins the path; begins and ends with a slash.
	Shares      []int  `json:"-" yaml:"-"` // How requests are spread over Pools, in their order.
	MaxAttempts int    `json:"-" yaml:"-"` // Backend servers that one request may be sent to.
	Resumable   bool   `json:"-" yaml:"-"` // A stream may go on at another backend server.
}

// Key is a caller's credential as it is stored: a salted digest, never the
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

// MarshalText writes d the way time.Duration prints it.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads what time.ParseDuration reads.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
