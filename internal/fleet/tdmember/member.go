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

// Links opens connections to nodes by address.
type Links interface {
	Dial(addr netip.AddrPort) (grpc.ClientConnInterface, error)
}

// Options configures Members. Clock is required; the other fields are optional.
type Options struct {
	Clock tarragondeal.Clock
	Log   zerolog.Logger
	Scope tally.Scope
	// Every is the interval between two heartbeats along an edge.
	Every time.Duration
	// Seeds are addresses of other nodes to join.
	Seeds []netip.AddrPort
	VMs   tarragondeal.VMList // Further addresses to join.
	Store tarragondeal.Store  // Holds the anchors.
}

// Timeouts as multiples of the heartbeat interval.
const (
	suspectHeartbeats = 3 // Time without contact after which a node is suspected.
	deadHeartbeats    = 6 // Time under suspicion after which a node is declared dead.
	pauseHeartbeats   = 4 // Time between two ticks that means that this process was paused.
)

const (
	defaultInterval = 500 * time.Millisecond
	deadRetention   = 6 * time.Hour
)

// Members holds one node's view of the fleet. Its methods are safe for
// concurrent use.
type Members struct {
	opt Options

	mu                sync.Mutex
	table             *table
	peers             map[tarragondeal.NodeID]*peer // Nodes at the other ends of incoming and outgoing edges.
	wake              chan struct{}                 // Requests exchanges before the next tick.
	lastTick          tarragondeal.Instant          // Time of the last tick.
	lastContact       tarragondeal.Instant          // Time of the last contact with any peer.
	contacted         bool                          // There was contact with a peer since the last pause.
	resumed           chan struct{}
	levelsUnpublished bool // Changed levels are not yet in the snapshot.

	snapshot atomic.Pointer[snapshot]
}

// snapshot is the published view. It is immutable.
type snapshot struct {
	self    tarragondeal.Member
	members []tarragondeal.Member
	changed chan struct{}
}

// New returns the membership of a node that knows only itself. An incarnation
// of zero is replaced by the wall clock in milliseconds, so that it exceeds
// that of the node's previous process.
func New(self tarragondeal.Member, opt Options) *Members {
	if opt.Every <= 0 {
		opt.Every = defaultInterval
	}
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	if self.Incarnation == 0 {
		self.Incarnation = uint64(opt.Clock.Wall().UnixMilli())
	}
	m := &Members{
		opt:      opt,
		table:    newTable(self, deadHeartbeats*opt.Every, deadRetention),
		peers:    make(map[tarragondeal.NodeID]*peer),
		wake:     make(chan struct{}, 1),
		lastTick: opt.Clock.Now(),
		resumed:  make(chan struct{}),
	}
	m.publish()
	return m
}

// Self returns this node.
func (m *Members) Self() tarragondeal.Member { return m.snapshot.Load().self }

// Members returns all known nodes except dead ones, self included, sorted by
// name. The slice is shared: callers must not modify it.
func (m *Members) Members() []tarragondeal.Member { return m.snapshot.Load().members }

// Changed returns a channel that is closed at the next change of the snapshot.
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

// Known returns the number of other nodes in the table, including dead ones.
func (m *Members) Known() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.table.entries) - 1
}

// Fresh reports whether this node's view can be relied on: the process has
// not been paused since its last contact with a peer, or there is no other node.
func (m *Members) Fresh() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.paused(m.opt.Clock.Now()) {
		return false
	}
	return m.contacted || len(m.snapshot.Load().members) == 1
}

// Paused reports whether the next tick is so overdue that the process must have
// been paused. It is true from the end of a pause until the channel returned
// by Resumed is closed.
func (m *Members) Paused() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paused(m.opt.Clock.Now())
}

// paused implements Paused. m.mu must be held.
func (m *Members) paused(now tarragondeal.Instant) bool {
	return now.Sub(m.lastTick) > pauseHeartbeats*m.opt.Every
}

// LastContact returns the time of the last contact with a peer, and false if there
// was none since the process started or was last paused.
func (m *Members) LastContact() (tarragondeal.Instant, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastContact, m.contacted
}

// Resumed returns a channel that is closed when this process detects that it
// was paused. Duties then release what they hold. Each channel reports one
// pause: call Resumed again after it is closed.
func (m *Members) Resumed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.resumed
}

// SetConfig announces the version of the configuration that is in force on
// this node.
func (m *Members) SetConfig(v tarragondeal.Version) {
	m.updateSelf(func(self *tarragondeal.Member) { self.Config = v })
}

// SetLoad announces the load of this node. Changes of less than 0.1 are not
// announced, since the loads of all nodes change constantly.
func (m *Members) SetLoad(load float64) {
	const step = 0.1
	current := m.Self().Load
	if load-current < step && current-load < step {
		return
	}
	m.updateSelf(func(self *tarragondeal.Member) { self.Load = min(max(load, 0), maxLoad/loadScale) })
}

// Leave announces that this node is stopping.
func (m *Members) Leave() {
	m.updateSelf(func(self *tarragondeal.Member) { self.State = tarragondeal.MemberLeaving })
}

func (m *Members) updateSelf(f func(*tarragondeal.Member)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	before, newest := m.table.entries[m.table.self], m.table.newestConfig
	m.table.updateSelf(f)
	after := m.table.entries[m.table.self]
	m.enqueue(m.table.self, "", after.State != before.State, after.State != before.State || after.Config > newest)
	m.publish()
}

// publish stores a new snapshot and updates the edges. m.mu must be held.
func (m *Members) publish() {
	m.updateEdges(m.storeSnapshot())
}

// storeSnapshot stores a new snapshot and notifies readers. Alone it suffices
// for changes that affect no edges. m.mu must be held.
func (m *Members) storeSnapshot() *snapshot {
	next := &snapshot{
		self: m.table.entries[m.table.self].Member, members: m.table.members(),
		changed: make(chan struct{}),
	}
	m.levelsUnpublished = false
	last := m.snapshot.Swap(next)
	if last != nil {
		close(last.changed)
	}
	return next
}

// Wait blocks until check returns true for the members or ctx ends. In the
// latter case it returns the error of ctx.
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
