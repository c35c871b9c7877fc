package tdmember

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
)

// Links reach nodes by their addresses.
type Links interface {
	Dial(addr netip.AddrPort) (grpc.ClientConnInterface, error)
}

// Options are what membership works with. Clock must be given; the rest may
// be left out.
type Options struct {
	Clock tarragondeal.Clock
	Log   zerolog.Logger
	Scope tally.Scope
	// Every is the time between two heartbeats along an edge.
	Every time.Duration
	// Seeds are addresses of other nodes, for joining.
	Seeds []netip.AddrPort
	VMs   tarragondeal.VMList
	Store tarragondeal.Store
}

// Multiples of the time between two heartbeats.
const (
	suspectBeats = 3 // Silence before a node is suspected.
	deadBeats    = 6 // Suspicion before it is taken for dead.
	pauseBeats   = 4 // A tick this late means that this process was paused.
)

const (
	defaultEvery = 500 * time.Millisecond
	keepDead     = 6 * time.Hour
)

// Members is what one node knows of the others. Its methods are safe for
// concurrent use.
type Members struct {
	opt Options

	mu      sync.Mutex
	table   *table
	peers   map[tarragondeal.NodeID]*peer // Both ends of edges, by node.
	wake    chan struct{}                 // Asks for an early round.
	lastRun tarragondeal.Instant          // Of the last tick.
	heardAt tarragondeal.Instant          // Any peer, since the last pause.
	heard   bool
	resumed chan struct{}
	hidden  bool // A change of levels has not been shown to readers.

	snapshot atomic.Pointer[snapshot]
}

// snapshot is what readers see. It is immutable.
type snapshot struct {
	self    tarragondeal.Member
	members []tarragondeal.Member
	changed chan struct{}
}

// New returns the membership of a node that knows only itself. Its
// incarnation is taken from the wall clock, so that it is later than that of
// the node's last process.
func New(self tarragondeal.Member, opt Options) *Members {
	if opt.Every <= 0 {
		opt.Every = defaultEvery
	}
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	if self.Incarnation == 0 {
		self.Incarnation = uint64(opt.Clock.Wall().UnixMilli())
	}
	m := &Members{
		opt:     opt,
		table:   newTable(self, deadBeats*opt.Every, keepDead),
		peers:   make(map[tarragondeal.NodeID]*peer),
		wake:    make(chan struct{}, 1),
		lastRun: opt.Clock.Now(),
		resumed: make(chan struct{}),
	}
	m.publish()
	return m
}

// Self returns this node.
func (m *Members) Self() tarragondeal.Member { return m.snapshot.Load().self }

// Members returns all known nodes but dead ones, in the order of their
// names. The slice is shared: callers must not change it.
func (m *Members) Members() []tarragondeal.Member { return m.snapshot.Load().members }

// Changed returns a channel that is closed at the next change.
func (m *Members) Changed() <-chan struct{} { return m.snapshot.Load().changed }

// Neighbours returns the nodes at the other ends of this node's edges.
func (m *Members) Neighbours() []tarragondeal.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]tarragondeal.NodeID, 0, len(m.peers))
	for n := range m.peers {
		out = append(out, n)
	}
	return out
}

// Known returns how many other nodes are remembered, dead ones included.
func (m *Members) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.table.entries) - 1
}

// Fresh reports whether this node's view can be relied on: the process has
// not been paused since it last heard from a peer, or there is none.
func (m *Members) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.late(m.opt.Clock.Now()) {
		return false
	}
	return m.heard || len(m.snapshot.Load().members) == 1
}

// Late reports whether this membership has not run for so long that the
// process must have been paused. It is true from the end of a pause until
// Resumed says so.
func (m *Members) Late() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.late(m.opt.Clock.Now())
}

// late is the decision; the lock is held.
func (m *Members) late(now tarragondeal.Instant) bool {
	return now.Sub(m.lastRun) > pauseBeats*m.opt.Every
}

// Heard returns when a peer was last heard, and false when none was since
// the process started or was last paused.
func (m *Members) Heard() (tarragondeal.Instant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.heardAt, m.heard
}

// Resumed returns a channel that is closed when this process finds that it
// was paused. Duties then drop what they hold. Ask again after each close.
func (m *Members) Resumed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resumed
}

// SetConfig tells the others which configuration this node has in force.
func (m *Members) SetConfig(v tarragondeal.Version) {
	m.change(func(self *tarragondeal.Member) { self.Config = v })
}

// SetLoad tells the others how much this node carries. Small changes are
// not passed on, since loads are many and change all along.
func (m *Members) SetLoad(load float64) {
	const step = 0.1
	now := m.Self().Load
	if load-now < step && now-load < step {
		return
	}
	m.change(func(self *tarragondeal.Member) { self.Load = min(max(load, 0), maxLoad/loadScale) })
}

// Leave tells the others that this node is stopping.
func (m *Members) Leave() {
	m.change(func(self *tarragondeal.Member) { self.State = tarragondeal.MemberLeaving })
}

func (m *Members) change(f func(*tarragondeal.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, newest := m.table.entries[m.table.self], m.table.newest
	m.table.change(f)
	after := m.table.entries[m.table.self]
	m.spread(m.table.self, "", after.State != before.State, after.State != before.State || after.Config > newest)
	m.publish()
}

// publish makes a change visible to readers. The lock is held.
func (m *Members) publish() {
	m.rewire(m.show())
}

// show makes a change visible that moves no edges. The lock is held.
func (m *Members) show() *snapshot {
	next := &snapshot{
		self: m.table.entries[m.table.self].Member, members: m.table.members(),
		changed: make(chan struct{}),
	}
	m.hidden = false
	last := m.snapshot.Swap(next)
	if last != nil {
		close(last.changed)
	}
	return next
}

// Wait returns when ctx ends or check holds of the members.
func (m *Members) Wait(ctx context.Context, check func([]tarragondeal.Member) bool) error {
	for {
		changed := m.Changed()
		if check(m.Members()) {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}
