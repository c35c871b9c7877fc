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
	"tarragondeal/internal/fleet/tdmirror"
)

// nodeKey begins the keys of nodes in the store.
const nodeKey = "held/node/"

// Keys is the prefix of the keys that the mirror must copy for the mesh.
const Keys = nodeKey

const (
	// heardWithin is how long a node counts as alive after its last state.
	heardWithin = 1200 * time.Millisecond
	// tellLeast is the shortest time between two states of a small fleet; it
	// grows with the fleet so that a node's work for the mesh does not.
	tellLeast = 60 * time.Millisecond
	// tellPerPeer is added for each other node.
	tellPerPeer = 6 * time.Millisecond
	// followersLeast is how many nodes follow the store themselves in a large
	// fleet. The others take copies, which saves calls.
	followersLeast = 4
	// smallFleet is the size up to which all nodes follow the store.
	smallFleet = 8
)

// Node is an entry VM as it lists itself in the store.
type Node struct {
	Name        tarragondeal.NodeID `json:"name"`
	Incarnation uint64              `json:"incarnation"`
	DataCentre  string              `json:"dataCentre"`
	Peer        netip.AddrPort      `json:"peer"`
	Callers     netip.AddrPort      `json:"callers"`
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
	receivers map[string]func(tarragondeal.NodeID, []byte)
	mu        sync.Mutex
	peers     map[tarragondeal.NodeID]*peer
	group     *tdtask.Group
	source    tarragondeal.NodeID  // Where copies of the store are taken from.
	behind    tarragondeal.Instant // Since when the source is behind; zero when it is not.
}

// Writer writes a part's section of the next state of one stream. It returns
// nil when there is nothing to tell.
type Writer func() []byte

type section struct {
	topic string
	open  func() Writer
}

// peer is another node.
type peer struct {
	node   Node
	listed bool // In the store.
	cancel context.CancelFunc

	heard       tarragondeal.Instant // The last state; zero before the first.
	incarnation uint64
	ready       bool
	revision    tarragondeal.Revision
	follows     bool
	source      tarragondeal.NodeID
	wall        time.Duration // The node's wall clock over this node's clock.
}

// New returns a mesh that knows only its own node.
func New(d Deps, self Node) *Mesh {
	m := &Mesh{
		Deps: d, self: self, receivers: make(map[string]func(tarragondeal.NodeID, []byte)),
		peers: make(map[tarragondeal.NodeID]*peer),
	}
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

// Whole reports whether all nodes that are known are heard.
func (m *Mesh) Whole() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range m.peers {
		if !m.heardNow(p) {
			return false
		}
	}
	return true
}

// Receive hands the sections of other nodes to receive. Call it before the
// mesh runs.
func (m *Mesh) Receive(topic string, receive func(from tarragondeal.NodeID, payload []byte)) {
	m.receivers[topic] = receive
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
		if m.heardNow(p) {
			state = tarragondeal.MemberAlive
		}
		out = append(out, m.member(p.node, state))
	}
	slices.SortFunc(out, func(a, b tarragondeal.Member) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// Changed is never closed: who needs the members asks for them.
func (m *Mesh) Changed() <-chan struct{} { return nil }

func (m *Mesh) heardNow(p *peer) bool {
	return p.heard != 0 && m.Clock.Now().Sub(p.heard) < heardWithin
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
		if p.ready && m.heardNow(p) {
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
	p = &peer{node: n, listed: true}
	m.peers[n.Name] = p
	m.Log.Info().Str("peer", string(n.Name)).Uint64("incarnation", n.Incarnation).Msg("node listed")
	m.start(p)
}

// start opens the stream to a node, once the mesh runs.
func (m *Mesh) start(p *peer) {
	if m.group == nil || p.cancel != nil || p.node.Name < m.self.Name {
		return // The node whose name comes first opens the stream.
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	node := p.node
	m.group.Go("tell "+string(node.Name), func(group context.Context) error {
		stop := context.AfterFunc(group, p.cancel)
		defer stop()
		return m.connect(ctx, node)
	})
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
	if m.heardNow(p) {
		return
	}
	m.forget(p)
}

func (m *Mesh) forget(p *peer) {
	m.Log.Info().Str("peer", string(p.node.Name)).Uint64("incarnation", p.node.Incarnation).Msg("node gone")
	if p.cancel != nil {
		p.cancel()
	}
	delete(m.peers, p.node.Name)
}

// Run keeps the streams and this node's entry in the store until ctx ends.
func (m *Mesh) Run(ctx context.Context, ln net.Listener) error {
	g := tdtask.New(ctx)
	m.mu.Lock()
	m.group = g
	for _, p := range m.peers {
		m.start(p)
	}
	m.mu.Unlock()
	srv := grpc.NewServer(grpc.ReadBufferSize(bufferBytes), grpc.WriteBufferSize(bufferBytes))
	RegisterMeshServer(srv, m)
	g.Go("serve peers", func(context.Context) error { return srv.Serve(ln) })
	g.Go("list this node", m.keepListed)
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
