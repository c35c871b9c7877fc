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

// Members is who the nodes are and which version each has in force.
type Members interface {
	tarragondeal.Members
	SetConfig(v tarragondeal.Version)
	// Heard returns when a peer was last heard since the last pause.
	Heard() (tarragondeal.Instant, bool)
	// Known returns how many other nodes are remembered, dead ones included.
	Known() int
	Resumed() <-chan struct{}
	// Late reports that the process was paused and Resumed is about to say so.
	Late() bool
}

// Links reach nodes by their addresses.
type Links interface {
	Dial(addr netip.AddrPort) (grpc.ClientConnInterface, error)
}

// Deps are what configuration works with.
type Deps struct {
	Store   tarragondeal.Store
	Members Members
	Links   Links
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
	Scope   tally.Scope
	// Watchers is how many nodes of each data centre watch the store.
	Watchers int
	// Keep is how many superseded versions are kept.
	Keep int
	// StaleMax is for how long a node that reaches neither the store nor a
	// peer takes its view for good.
	StaleMax time.Duration
}

const (
	defaultWatchers = 2
	defaultKeep     = 100
	defaultStaleMax = time.Minute
)

// Config follows the published set. Its methods are safe for concurrent use.
type Config struct {
	Deps
	now    atomic.Pointer[state]
	rootsC *tdring.Ring[[]byte] // Roots that were heard of.

	mu        sync.Mutex
	confirmed bool                 // Asked around since the start or the last pause.
	ready     bool                 // Asked around since the start.
	stored    tarragondeal.Instant // Last answer of the store.

	parallel int // Calls of the store made at once for pieces.

	taking sync.Mutex // Held while a version is fetched and brought into force.
}

// state is the version in force. It is immutable.
type state struct {
	view     *tarragondeal.View // Nil while nothing is in force.
	held     *tarragondeal.View // That of the root.
	root     *root
	value    []byte // The root as it is stored.
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

// New returns a config that knows no set yet.
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
	c := &Config{Deps: d, rootsC: tdring.New[[]byte](rootsRing), parallel: storeCalls}
	c.now.Store(&state{changed: make(chan struct{})})
	return c
}

const (
	rootsRing  = 16
	storeCalls = 4
)

// View returns the set in force, or nil. Nothing is in force before the node
// has asked around, so that it begins with the newest set that it can learn.
func (c *Config) View() *tarragondeal.View { return c.now.Load().view }

// Changed returns a channel that is closed at the next change.
func (c *Config) Changed() <-chan struct{} { return c.now.Load().changed }

// Stale reports whether the view may be out of date for longer than is
// permitted: the process was paused and has not asked around since, or it
// has reached neither the store nor a peer for StaleMax. A node that never
// knew another one can't have missed what another one published while the
// store was away, and is not stale.
func (c *Config) Stale() bool {
	c.mu.Lock()
	confirmed, last := c.confirmed, c.stored
	c.mu.Unlock()
	if !confirmed || c.Members.Late() {
		return true
	}
	heard, ok := c.Members.Heard()
	if ok {
		last = max(last, heard)
	}
	return c.Members.Known() > 0 && c.Clock.Now().Sub(last) > c.StaleMax
}

func (c *Config) reached(confirmed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stored = c.Clock.Now()
	c.confirmed = c.confirmed || confirmed
}

func (c *Config) confirm(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.confirmed = ok
	if !ok || c.ready {
		return
	}
	c.ready = true
	last := c.now.Load()
	if last.root == nil {
		return
	}
	next := *last
	next.changed = make(chan struct{})
	c.inForce(last, &next)
}

// inForce puts a state that is held back or new into force. The lock is held.
func (c *Config) inForce(last, next *state) {
	next.view = next.held
	c.now.Store(next)
	close(last.changed)
	c.Members.SetConfig(next.version())
	c.Log.Info().Uint64("version", uint64(next.version())).Msg("set in force")
}

// InForce waits until every live node has version v or a later one in force,
// or ctx ends. It returns the nodes that lag then.
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

// enforce brings a version into force unless a newer one already is. All of
// its pieces are in contents and parts, which may hold others too.
func (c *Config) enforce(r *root, value []byte, contents map[digest][]byte, parts map[digest]*tarragondeal.Set) error {
	set, err := assemble(r, parts)
	if err != nil {
		return err
	}
	next := &state{
		held: tarragondeal.NewView(r.Version, set), root: r, value: value, changed: make(chan struct{}),
		contents: make(map[digest][]byte), parts: make(map[digest]*tarragondeal.Set),
	}
	for _, d := range r.digests() {
		next.contents[d], next.parts[d] = contents[d], parts[d]
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.now.Load()
	switch {
	case r.Version <= last.version():
	case c.ready:
		c.inForce(last, next)
	default:
		next.changed = last.changed
		c.now.Store(next)
	}
	return nil
}
