package tdconfig

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"tarragondeal"
	"tarragondeal/internal/base/tdring"
)

// Members lists the nodes and the version that each has in force.
type Members interface {
	tarragondeal.Members
	// SetConfig announces the version that this node has in force.
	SetConfig(v tarragondeal.Version)
	// LastContact returns the time of the last contact with a peer, and false if
	// there was none since the start or the last pause of the process.
	LastContact() (tarragondeal.Instant, bool)
	// Known returns the number of other nodes known, including dead ones.
	Known() int
	// Resumed returns a channel that is closed once the process is found to
	// have been paused.
	Resumed() <-chan struct{}
	// Paused reports whether the process was paused and the channel returned by
	// Resumed is not closed yet.
	Paused() bool
}

// Links opens connections to other nodes.
type Links interface {
	Dial(addr netip.AddrPort) (grpc.ClientConnInterface, error)
}

// Deps holds the dependencies and options of a Config. Zero values of
// Watchers, Keep and StaleMax select the defaults.
type Deps struct {
	Store   tarragondeal.Store
	Members Members
	Links   Links
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
	Scope   tally.Scope
	// Watchers is the number of nodes per data centre that watch the store.
	Watchers int
	// Keep is the number of superseded versions kept in the store.
	Keep int
	// StaleMax is how long a node that reaches neither the store nor a peer
	// may use its view before the view counts as stale.
	StaleMax time.Duration
}

const (
	defaultWatchers = 2
	defaultKeep     = 100
	defaultStaleMax = time.Minute
)

// Config keeps the newest published set in force at this node. Its methods are
// safe for concurrent use.
type Config struct {
	Deps
	current atomic.Pointer[state]
	roots   *tdring.Ring[[]byte] // Encoded roots from the store, not yet applied.

	mu             sync.Mutex
	confirmed      bool                 // The version was confirmed since the start or the last pause.
	ready          bool                 // The version was confirmed since the start.
	lastStoreReply tarragondeal.Instant // Time of the store's last reply.

	storeConcurrency int // Maximum concurrent store calls for pieces.

	applyMu sync.Mutex // Held while a version is fetched and installed.
}

// state is the newest version that the node has. It is immutable.
type state struct {
	view     *tarragondeal.View // The view in force; nil until the node is ready.
	rootView *tarragondeal.View // The view of root.
	root     *root
	value    []byte // The encoded root.
	contents map[digest][]byte
	parts    map[digest]*tarragondeal.Set
	changed  chan struct{}
}

func (s *state) version() tarragondeal.Version {
	if s.root == nil {
		return 0
	}
	return s.root.Version
}

// New returns a Config with no set in force.
func New(d Deps) *Config {
	if d.Watchers <= 0 {
		d.Watchers = defaultWatchers
	}
	if d.Keep <= 0 {
		d.Keep = defaultKeep
	}
	if d.StaleMax <= 0 {
		d.StaleMax = defaultStaleMax
	}
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	c := &Config{Deps: d, roots: tdring.New[[]byte](rootsCapacity), storeConcurrency: defaultStoreConcurrency}
	c.current.Store(&state{changed: make(chan struct{})})
	return c
}

const (
	rootsCapacity           = 16
	defaultStoreConcurrency = 4
)

// View returns the set in force, or nil. No set is in force until the node has
// queried the store or its peers, so that it starts with the newest set that
// is reachable.
func (c *Config) View() *tarragondeal.View { return c.current.Load().view }

// Changed returns a channel that is closed when another set comes into force.
func (c *Config) Changed() <-chan struct{} { return c.current.Load().changed }

// Stale reports whether the view may be out of date for longer than is
// permitted: the process was paused and has not confirmed its version since,
// or it has reached neither the store nor a peer for StaleMax. A node that
// never knew another node can't have missed another node's publication while
// the store was unavailable, so it is not stale.
func (c *Config) Stale() bool {
	c.mu.Lock()
	confirmed, last := c.confirmed, c.lastStoreReply
	c.mu.Unlock()
	if !confirmed || c.Members.Paused() {
		return true
	}
	lastContact, ok := c.Members.LastContact()
	if ok {
		last = max(last, lastContact)
	}
	return c.Members.Known() > 0 && c.Clock.Now().Sub(last) > c.StaleMax
}

// storeReplied records a reply of the store, and whether it confirmed the
// version.
func (c *Config) storeReplied(confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastStoreReply = c.Clock.Now()
	c.confirmed = c.confirmed || confirmed
}

// setConfirmed records whether the version is confirmed. The first confirmation
// puts the current version into force.
func (c *Config) setConfirmed(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = ok
	if !ok || c.ready {
		return
	}
	c.ready = true
	last := c.current.Load()
	if last.root == nil {
		return
	}
	next := *last
	next.changed = make(chan struct{})
	c.activate(last, &next)
}

// activate puts next into force in place of last. c.mu must be held.
func (c *Config) activate(last, next *state) {
	next.view = next.rootView
	c.current.Store(next)
	close(last.changed)
	c.Members.SetConfig(next.version())
	c.Log.Info().Uint64("version", uint64(next.version())).Msg("set in force")
}

// InForce waits until every live node has version v or a later one in force.
// If ctx ends first, it returns the nodes that do not.
func (c *Config) InForce(ctx context.Context, v tarragondeal.Version) ([]tarragondeal.NodeID, error) {
	for {
		changed := c.Members.Changed()
		var lagging []tarragondeal.NodeID
		for _, m := range c.Members.Members() {
			if m.Config < v {
				lagging = append(lagging, m.Node)
			}
		}
		if len(lagging) == 0 {
			return nil, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return lagging, nil
		}
	}
}

// install makes r the current version unless a newer one already is, and puts
// it into force if the node is ready. contents and parts must hold all pieces
// of r and may hold others.
func (c *Config) install(r *root, value []byte, contents map[digest][]byte, parts map[digest]*tarragondeal.Set) error {
	set, err := assemble(r, parts)
	if err != nil {
		return err
	}
	next := &state{
		rootView: tarragondeal.NewView(r.Version, set), root: r, value: value, changed: make(chan struct{}),
		contents: make(map[digest][]byte), parts: make(map[digest]*tarragondeal.Set),
	}
	for _, d := range r.digests() {
		next.contents[d], next.parts[d] = contents[d], parts[d]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.current.Load()
	switch {
	case r.Version <= last.version():
	case c.ready:
		c.activate(last, next)
	default:
		next.changed = last.changed
		c.current.Store(next)
	}
	return nil
}
