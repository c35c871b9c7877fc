package tdmesh

import (
	"cmp"
	"context"
	"encoding/json"
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
	"tarragondeal/internal/base/tdtask"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/fleet/tdmirror"
)

// nodeKey begins the keys of nodes in the store: a node holds a lease by its name.
const nodeKey = tdlease.Keys + "node/"

const (
	// heardWithin is how long a node counts as alive after its last state. It
	// covers the longest pause between two states, and the time in which a
	// leaf finds another relay.
	heardWithin = 1200 * time.Millisecond
	// lostWithin is how long a node still counts as alive after its stream has
	// ended: it may open another one.
	lostWithin = 400 * time.Millisecond
)

// Node is an entry VM as it lists itself in the store.
type Node struct {
	Name        tarragondeal.NodeID `json:"name"`
	Incarnation uint64              `json:"incarnation"`
	DataCentre  string              `json:"dataCentre"`
	Peer        netip.AddrPort      `json:"peer"`
	Callers     netip.AddrPort      `json:"callers"`
	// Processor is the share of a core that the node may use. Nodes with more
	// relay before others.
	Processor float64 `json:"processor"`
}

// Deps are what the mesh works with.
type Deps struct {
	Store  tarragondeal.Store
	Mirror *tdmirror.Mirror
	Clock  tarragondeal.Clock
	Dialer *net.Dialer
	TTL    time.Duration // Of a node's entry in the store.
	Ready  func() bool   // Whether callers may be sent to this node.
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Mesh is one node's view of the others. It is safe for concurrent use.
type Mesh struct {
	Deps
	UnimplementedMeshServer
	self      Node
	publish   []section
	receivers map[string]receiver
	mu        sync.Mutex
	peers     map[tarragondeal.NodeID]*peer
	claims    map[tarragondeal.NodeID]claims // By the node that makes them.
	relays    map[tarragondeal.NodeID]int    // Their places in their data centres, from 0.
	parent    tarragondeal.NodeID            // The relay of this node; empty while it relays itself.
	attached  tarragondeal.Instant           // When the parent was chosen.
	source    tarragondeal.NodeID            // Where copies of the store are taken from.
	behind    tarragondeal.Instant           // Since when the source is behind; zero when it is not.
	lagging   tarragondeal.Instant           // Since when this node's copy is behind another's; zero when it is not.
	unfed     tarragondeal.Instant           // Since when no node has copies to give.
	group     *tdtask.Group
}

// Writer writes a part's section of the next state of one stream. Beside its own
// news the section has those of the nodes that passed names. It returns nil when
// there is nothing to tell.
type Writer func(passed func(tarragondeal.NodeID) bool) []byte

type section struct {
	topic string
	open  func() Writer
}

type receiver struct {
	take func(from tarragondeal.NodeID, payload []byte)
	lost func(from tarragondeal.NodeID)
}

// presence is what is known of a node's process.
type presence struct {
	incarnation uint64
	ready       bool
	wall        time.Duration // Its wall clock over this node's clock.
}

// claims are what one node tells of others. They may come before this node knows
// those from the store, and are told once.
type claims map[tarragondeal.NodeID]presence

// peer is another node.
type peer struct {
	node   Node
	listed bool // In the store.

	// What it tells itself, on a stream between the two nodes.
	presence
	heard    tarragondeal.Instant // Its last state; zero before the first.
	teller   *teller              // Of its stream; nil without.
	leaf     bool                 // It takes everything from this node.
	revision tarragondeal.Revision
	follows  bool
	fed      bool
	source   tarragondeal.NodeID

	cancel context.CancelFunc   // Ends the stream that this node opens to it; nil without.
	opened tarragondeal.Instant // When it was opened.
	rest   tarragondeal.Instant // No stream is opened before.
}

// New returns a mesh that knows only its own node.
func New(d Deps, self Node) *Mesh {
	m := &Mesh{
		Deps: d, self: self, receivers: make(map[string]receiver),
		peers: make(map[tarragondeal.NodeID]*peer), claims: make(map[tarragondeal.NodeID]claims), unfed: d.Clock.Now(),
	}
	m.place()
	d.Mirror.Subscribe(m.follow)
	return m
}

// Publish adds a part's section to the states that the node tells. Open is
// called for each stream, and the writer it returns for each state: a stream
// loses nothing until it ends, so only what is new need be written. Call it
// before the mesh runs.
func (m *Mesh) Publish(topic string, open func() Writer) {
	m.publish = append(m.publish, section{topic: topic, open: open})
}

// Receive hands the sections of other nodes to take, which come with the name of
// the node on whose stream they came. Lost, which may be nil, is told that a
// node's stream has ended. Call it before the mesh runs.
func (m *Mesh) Receive(topic string, take func(from tarragondeal.NodeID, payload []byte), lost func(from tarragondeal.NodeID)) {
	m.receivers[topic] = receiver{take: take, lost: lost}
}

// Self returns this node.
func (m *Mesh) Self() tarragondeal.Member { return m.member(m.self, tarragondeal.MemberAlive) }

func (m *Mesh) member(n Node, s tarragondeal.MemberState) tarragondeal.Member {
	return tarragondeal.Member{
		Node: n.Name, DataCentre: n.DataCentre, Incarnation: n.Incarnation, State: s, Peer: n.Peer, Entry: n.Callers,
	}
}

// Members returns this node and the others that are listed or heard, in the
// order of their names. Nodes that are listed and not heard are suspect.
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

// Changed is never closed: who needs the members asks for them.
func (m *Mesh) Changed() <-chan struct{} { return nil }

// direct reports whether a node is heard on a stream of its own.
func (m *Mesh) direct(p *peer) bool {
	return p != nil && p.heard != 0 && m.Clock.Now().Sub(p.heard) < heardWithin
}

// alive returns what is known of a node that is heard, directly or by way of
// another one.
func (m *Mesh) alive(p *peer) (presence, bool) {
	if m.direct(p) {
		return p.presence, true
	}
	for by, of := range m.claims {
		if claim, ok := of[p.node.Name]; ok && m.direct(m.peers[by]) {
			return claim, true
		}
	}
	return presence{}, false
}

// Whole reports whether all nodes that are known are heard.
func (m *Mesh) Whole() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if _, ok := m.alive(p); !ok {
			return false
		}
	}
	return true
}

// Heard reports whether one run of a node's program is heard.
func (m *Mesh) Heard(name tarragondeal.NodeID, incarnation uint64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	if p == nil {
		return false
	}
	known, ok := m.alive(p)
	return ok && known.incarnation == incarnation
}

// ReadyNodes returns the nodes that callers may be sent to, this one included
// when it is ready itself.
func (m *Mesh) ReadyNodes() []Node {
	ready := m.Ready()
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Node
	if ready {
		out = append(out, m.self)
	}
	for _, p := range m.peers {
		if known, ok := m.alive(p); ok && known.ready {
			out = append(out, p.node)
		}
	}
	return out
}

// Size returns how many nodes there are, by the store or by what is heard.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return 1 + len(m.peers)
}

// follow takes in changes of the nodes' entries in the store.
func (m *Mesh) follow(c tdmirror.Changes) {
	for _, e := range c.Entries {
		name, ok := strings.CutPrefix(e.Key, nodeKey)
		if !ok || name == string(m.self.Name) {
			continue
		}
		if e.Deleted {
			m.unlist(tarragondeal.NodeID(name))
			continue
		}
		var n Node
		if err := json.Unmarshal(e.Value, &n); err != nil || string(n.Name) != name || !n.Peer.IsValid() {
			m.Log.Warn().Err(err).Str("key", e.Key).Msg("entry names no node")
			continue
		}
		m.list(n)
	}
}

func (m *Mesh) list(n Node) {
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
	m.Log.Info().Str("peer", string(n.Name)).Uint64("incarnation", n.Incarnation).Msg("node listed")
	m.place()
}

// unlist forgets a node, unless it is still heard: its entry may have lapsed
// while the store was away.
func (m *Mesh) unlist(name tarragondeal.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[name]
	if p == nil {
		return
	}
	p.listed = false
	if _, ok := m.alive(p); !ok {
		m.forget(p)
	}
}

func (m *Mesh) forget(p *peer) {
	m.Log.Info().Str("peer", string(p.node.Name)).Uint64("incarnation", p.node.Incarnation).Msg("node gone")
	if p.cancel != nil {
		p.cancel()
	}
	delete(m.peers, p.node.Name)
	delete(m.claims, p.node.Name)
	m.place()
}

// Run keeps the streams and this node's entry in the store until ctx ends.
func (m *Mesh) Run(ctx context.Context, ln net.Listener) error {
	g := tdtask.New(ctx)
	m.mu.Lock()
	m.group = g
	m.mu.Unlock()
	srv := grpc.NewServer(grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes))
	RegisterMeshServer(srv, m)
	g.Go("serve peers", func(context.Context) error { return srv.Serve(ln) })
	g.Go("list this node", m.keepListed)
	g.Go("arrange streams", m.keepArranged)
	g.Go("forget peers", m.forgetPeers)
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
