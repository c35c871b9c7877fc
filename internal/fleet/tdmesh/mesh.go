package tdmesh

import (
	"cmp"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/base/tdtask"
	"tarragondeal/internal/fleet/tdera"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/fleet/tdmirror"
)

// nodePrefix is the key prefix of node entries in the store. Each node holds a
// lease under its own name.
const nodePrefix = tdlease.KeyPrefix + "node/"

const (
	// aliveTimeout is how long a node counts as alive after its last state. It
	// covers the longest interval between two states and the time that a leaf
	// needs to switch to another relay.
	aliveTimeout = 1200 * time.Millisecond
	// reconnectGrace is how long a node still counts as alive after its stream
	// has ended, since it may open another one.
	reconnectGrace = 400 * time.Millisecond
)

// Node is the entry that an entry VM writes about itself to the store.
type Node struct {
	Name        tarragondeal.NodeID `json:"name"`
	Incarnation uint64              `json:"incarnation"`
	DataCentre  string              `json:"dataCentre"`
	Peer        netip.AddrPort      `json:"peer"`
	Callers     netip.AddrPort      `json:"callers"`
	// Processor is the share of a core that the node may use. Nodes with a
	// larger share are preferred as relays.
	Processor float64 `json:"processor"`
}

// isReachable reports whether other nodes can connect to the entry's address. Another writer
// may have left any value.
func (n *Node) isReachable() bool {
	return n.Peer.IsValid() && n.Peer.Port() != 0 && !n.Peer.Addr().IsUnspecified()
}

// Deps are the dependencies of a mesh.
type Deps struct {
	Store  tarragondeal.Store
	Mirror *tdmirror.Mirror
	Eras   *tdera.Tracker // Nil means that the store never goes back.
	// Fences are the fencing tokens that this node knows of, which the nodes exchange. Nil
	// means that there are none.
	Fences Fences
	// FirstStart is set if no node of the deployment has run before.
	FirstStart bool
	Clock      tarragondeal.Clock
	Dialer     *net.Dialer
	TTL        time.Duration // Of a node's entry in the store.
	Ready      func() bool   // Whether callers may be sent to this node.
	Log        zerolog.Logger
	Scope      tally.Scope
}

// Fences keeps the highest fencing token that this node knows of.
type Fences interface {
	Highest() uint64
	Raise(token uint64)
}

// Mesh is one node's view of the others. It is safe for concurrent use.
type Mesh struct {
	Deps
	UnimplementedMeshServer
	self              Node
	counter           *stateCounter
	publishers        []publisher
	receivers         map[string]receiver
	services          []func(grpc.ServiceRegistrar)
	mu                sync.Mutex
	peers             map[tarragondeal.NodeID]*peer
	forwarded         map[tarragondeal.NodeID]presences // By the node that sent them.
	relays            map[tarragondeal.NodeID]int       // Ranks within their data centres, from 0.
	parent            tarragondeal.NodeID               // The relay of this node; empty if this node is a relay.
	parentSince       tarragondeal.Instant              // When the parent was chosen.
	source            tarragondeal.NodeID               // The node that sends copies of the store; empty for none.
	sourceBehindSince tarragondeal.Instant              // Zero while the source is up to date.
	selfAheadSince    tarragondeal.Instant              // Zero while the source is up to this node's revision, or reads eras.
	era               tarragondeal.Era                  // Of this node's copy of the store, when it was read last.
	selfBehindSince   tarragondeal.Instant              // Zero while no other node has a newer revision.
	checkedAt         tarragondeal.Instant              // When the streams were checked last; zero before the first time.
	resumedAt         tarragondeal.Instant              // When this node last ran again after it stood still; zero before.
	remembersSince    int64                             // Since when this node has received all, in milliseconds since 1970; zero means always.
	noSourceSince     tarragondeal.Instant              // Since when no source of copies is available; zero while one is.
	noSourceTimeout   time.Duration                     // How long this node waits without a source before it follows the store.
	followReason      followReason                      // At the last check.
	reenter           chan struct{}                     // Holds a token while this node's entry must be written again.
	copyAt            tarragondeal.Instant              // When the store confirmed this node's copy at the latest; zero if not known.
	group             *tdtask.Group
	survey            *survey // The latest; nil if it no longer holds.

	packMu sync.Mutex
	packed []packedCopy // The copies that were packed last, oldest first.
}

// Writer returns the payload of a component's section in the next state of one
// stream. The section holds this node's updates and those of the nodes for which
// forwarded returns true. A nil payload omits the section.
type Writer func(forwarded func(tarragondeal.NodeID) bool) []byte

// publisher creates the section writers of one topic.
type publisher struct {
	topic string
	open  func() Writer
}

// receiver handles the sections of one topic.
type receiver struct {
	onSection func(from tarragondeal.NodeID, payload []byte)
	onLost    func(from tarragondeal.NodeID)
}

// presence is what is known about a running node.
type presence struct {
	incarnation uint64
	ready       bool
	wallOffset  time.Duration // Its wall clock minus this node's monotonic clock.
}

// presences are the presences that one node forwards, by node. A presence is sent
// only when it changes, so it must be kept even if it is received before the node's
// entry in the store.
type presences map[tarragondeal.NodeID]presence

// peer is the state of another node.
type peer struct {
	node   Node
	listed bool // In the store.

	// Received on a direct stream between the two nodes.
	presence
	lastState    tarragondeal.Instant  // When the last state was received; zero before the first.
	writer       *stateWriter          // Of the stream to the peer; nil without one.
	leaf         bool                  // The peer is a leaf of this node.
	position     tarragondeal.Position // Of its copy of the store.
	readsEras    bool
	fence        uint64 // The highest fencing token that it knows of.
	followsStore bool
	hasCopies    bool
	source       tarragondeal.NodeID
	copyAt       tarragondeal.Instant // When the store confirmed its copy; zero if not known.

	cancel       context.CancelFunc // Ends the stream that this node opened; nil without one.
	openedAt     tarragondeal.Instant
	received     *meter               // Of the stream that this node opened; nil before the first.
	bytesAtState uint64               // Received on it when its last state was complete.
	retryAt      tarragondeal.Instant // The earliest time to open a stream.
	stalled      time.Duration        // For how long this node stood still since the peer's last state.
}

// New returns a mesh that knows only its own node.
func New(d Deps, self Node) *Mesh {
	if d.Eras == nil {
		d.Eras = tdera.New(d.Clock, d.Log, d.Scope)
	}
	m := &Mesh{
		Deps: d, self: self, counter: newStateCounter(d.Scope), receivers: make(map[string]receiver),
		peers: make(map[tarragondeal.NodeID]*peer), forwarded: make(map[tarragondeal.NodeID]presences), noSourceSince: d.Clock.Now(),
		reenter:         make(chan struct{}, 1),
		noSourceTimeout: minNoSourceTimeout + rand.N(noSourceTimeout-minNoSourceTimeout),
	}
	if !d.FirstStart {
		m.remembersSince = d.Clock.Wall().UnixMilli()
	}
	m.assignRelays()
	d.Mirror.Subscribe(m.applyChanges)
	m.Eras.Subscribe(func(tarragondeal.Era) { m.writeEntryAgain() })
	return m
}

// writeEntryAgain makes this node write its entry in the store again soon.
func (m *Mesh) writeEntryAgain() {
	select {
	case m.reenter <- struct{}{}:
	default:
	}
}

// RemembersSince returns since when this node has received what the nodes before it knew. It is the
// zero time if that goes back to the first start of the deployment.
func (m *Mesh) RemembersSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.remembersSince == 0 {
		return time.Time{}
	}
	return time.UnixMilli(m.remembersSince)
}

// IsKnown reports whether a live peer knows of a fencing token, or of the position in the store
// that it is. It is true if there is no live peer.
func (m *Mesh) IsKnown(token uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	alone := true
	for _, p := range m.peers {
		if !m.isDirect(p) {
			continue
		}
		alone = false
		if p.fence >= token || p.position.Era == 0 && uint64(p.position.Revision) >= token {
			return true
		}
	}
	return alone
}

// Publish adds a section to the states that this node sends. Open is called once
// for each stream, and the Writer it returns once for each state. A stream loses
// no state until it ends, so a Writer need only write what has changed. Publish
// must be called before Run.
func (m *Mesh) Publish(topic string, open func() Writer) {
	m.publishers = append(m.publishers, publisher{topic: topic, open: open})
}

// Receive calls onSection for each section of a topic, with the name of the node on
// whose stream it was received. It calls onLost, which may be nil, when a node's
// stream has ended. Receive must be called before Run.
func (m *Mesh) Receive(topic string, onSection func(from tarragondeal.NodeID, payload []byte), onLost func(from tarragondeal.NodeID)) {
	m.receivers[topic] = receiver{onSection: onSection, onLost: onLost}
}

// Register adds a service of this node to the server that other nodes connect to. It
// must be called before Run.
func (m *Mesh) Register(service func(grpc.ServiceRegistrar)) {
	m.services = append(m.services, service)
}

// Self returns this node.
func (m *Mesh) Self() tarragondeal.Member { return m.member(m.self, tarragondeal.MemberAlive) }

func (m *Mesh) member(n Node, s tarragondeal.MemberState) tarragondeal.Member {
	return tarragondeal.Member{
		Node: n.Name, DataCentre: n.DataCentre, Incarnation: n.Incarnation, State: s, Peer: n.Peer, Entry: n.Callers,
	}
}

// Members returns this node and all known peers, sorted by name. Peers that are
// not alive are suspect.
func (m *Mesh) Members() []tarragondeal.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := []tarragondeal.Member{m.Self()}
	for _, p := range m.peers {
		state := tarragondeal.MemberSuspect
		if _, ok := m.alive(p); ok {
			state = tarragondeal.MemberAlive
		}
		out = append(out, m.member(p.node, state))
	}
	slices.SortFunc(out, func(a, b tarragondeal.Member) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// Changed returns nil: the mesh does not signal changes, callers poll Members.
func (m *Mesh) Changed() <-chan struct{} { return nil }

// isDirect reports whether a peer is alive on a direct stream.
func (m *Mesh) isDirect(p *peer) bool {
	return p != nil && p.lastState != 0 && m.Clock.Now().Sub(p.lastHeard()) < aliveTimeout
}

// alive returns the presence of a peer that is alive, either on a direct stream or
// as forwarded by a peer with a direct stream.
func (m *Mesh) alive(p *peer) (presence, bool) { return m.aliveBy(p, m.reported()) }

// reported returns the presences that the peers with a direct stream forward.
func (m *Mesh) reported() []presences {
	var out []presences
	for via, reported := range m.forwarded {
		if m.isDirect(m.peers[via]) {
			out = append(out, reported)
		}
	}
	return out
}

func (m *Mesh) aliveBy(p *peer, reported []presences) (presence, bool) {
	if m.isDirect(p) {
		return p.presence, true
	}
	for _, r := range reported {
		if known, ok := r[p.node.Name]; ok {
			return known, true
		}
	}
	return presence{}, false
}

// AllAlive reports whether all known nodes are alive.
func (m *Mesh) AllAlive() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if _, ok := m.alive(p); !ok {
			return false
		}
	}
	return true
}

// Alive reports whether an incarnation of a node is alive.
func (m *Mesh) Alive(name tarragondeal.NodeID, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known, ok := m.surveyed().live[name]
	return ok && known.incarnation == incarnation
}

// ReadyNodes returns the nodes that are alive and ready for callers, including
// this one.
func (m *Mesh) ReadyNodes() []Node {
	ready := m.Ready()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Node
	if ready {
		out = append(out, m.self)
	}
	for name, known := range m.surveyed().live {
		if p := m.peers[name]; p != nil && known.ready {
			out = append(out, p.node)
		}
	}
	return out
}

// Size returns the number of known nodes, including this one.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + len(m.peers)
}

// Nodes returns the names of all known nodes, including this one, in no order.
func (m *Mesh) Nodes() []tarragondeal.NodeID {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]tarragondeal.NodeID, 0, 1+len(m.peers))
	out = append(out, m.self.Name)
	for name := range m.peers {
		out = append(out, name)
	}
	return out
}

// applyChanges applies changes of the node entries in the store.
func (m *Mesh) applyChanges(c tdmirror.Changes) {
	for _, e := range c.Entries {
		name, ok := strings.CutPrefix(e.Key, nodePrefix)
		if !ok {
			continue
		}
		if name == string(m.self.Name) {
			if e.Deleted {
				m.writeEntryAgain() // Renewals may go on to succeed, with the id of another lease.
			}
			continue
		}
		if e.Deleted {
			m.removeListed(tarragondeal.NodeID(name))
			continue
		}
		var n Node
		if err := json.Unmarshal(e.Value, &n); err != nil || string(n.Name) != name || !n.isReachable() {
			m.Log.Warn().Err(tdlog.Bounded(err)).Str("key", e.Key).Msg("invalid node entry")
			continue
		}
		m.addListed(n)
	}
}

func (m *Mesh) addListed(n Node) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[n.Name]
	if p != nil && p.node == n {
		p.listed = true
		return
	}
	if p != nil && p.cancel != nil {
		p.cancel()
	}
	m.peers[n.Name] = &peer{node: n, listed: true}
	m.survey = nil
	m.Log.Info().Str("peer", string(n.Name)).Uint64("incarnation", n.Incarnation).Msg("node listed")
	m.assignRelays()
}

// removeListed removes a node whose entry was deleted, unless it is still alive:
// the entry may have expired while the store was unavailable.
func (m *Mesh) removeListed(name tarragondeal.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	if p == nil {
		return
	}
	p.listed = false
	if _, ok := m.alive(p); !ok {
		m.removePeer(p)
	}
}

func (m *Mesh) removePeer(p *peer) {
	m.Log.Info().Str("peer", string(p.node.Name)).Uint64("incarnation", p.node.Incarnation).Msg("node gone")
	if p.cancel != nil {
		p.cancel()
	}
	if p.writer != nil {
		p.writer.missed = true // The peer may be listed again while its stream is open.
	}
	delete(m.peers, p.node.Name)
	delete(m.forwarded, p.node.Name)
	m.survey = nil
	m.assignRelays()
}

// Run serves and opens streams, and maintains this node's entry in the store,
// until ctx ends.
func (m *Mesh) Run(ctx context.Context, ln net.Listener) error {
	g := tdtask.New(ctx)
	m.mu.Lock()
	m.group = g
	m.mu.Unlock()
	srv := grpc.NewServer(grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes), grpc.MaxRecvMsgSize(maxStateBytes))
	RegisterMeshServer(srv, m)
	for _, register := range m.services {
		register(srv)
	}
	g.Go("serve peers", func(context.Context) error { return srv.Serve(ln) })
	g.Go("list this node", m.maintainEntry)
	g.Go("arrange streams", m.maintainStreams)
	g.Go("forget peers", m.expirePeers)
	stop := context.AfterFunc(ctx, func() {
		srv.Stop()
		g.Close()
	})
	defer stop()
	for end := range g.Ends() {
		if end.Err != nil {
			m.Log.Error().Err(end.Err).Str("duty", end.Name).Msg("duty failed")
		}
	}
	return nil
}
