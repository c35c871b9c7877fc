package tdmesh

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	// bufferBytes is the buffer of one stream in each direction.
	bufferBytes = 4 << 10
	// reopenWait is the pause before a stream is opened again.
	reopenWait = 150 * time.Millisecond
	// connectMost bounds one try to connect.
	connectMost = 500 * time.Millisecond
	// tellLeast is the pause between two states of a node with one stream.
	tellLeast = 80 * time.Millisecond
	// tellPerStream is added for each further stream, so that a relay's work
	// grows less than its leaves.
	tellPerStream = 3 * time.Millisecond
)

// start opens the stream to a node.
func (m *Mesh) start(p *peer) {
	if m.group == nil {
		return
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	p.opened = m.Clock.Now()
	m.group.Go("tell "+string(p.node.Name), func(group context.Context) error {
		stop := context.AfterFunc(group, p.cancel)
		defer stop()
		err := m.connect(ctx, p.node)
		if ctx.Err() == nil {
			m.Log.Info().Err(err).Str("peer", string(p.node.Name)).Msg("stream to node ended")
		}
		m.ended(ctx, p)
		return nil
	})
}

// ended notes that a stream which this node opened is over. A relay that has
// failed is passed over for a while.
func (m *Mesh) ended(ctx context.Context, p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return // It was ended on purpose.
	}
	rest := reopenWait
	if p.node.Name == m.parent {
		rest = parentRest
	}
	m.fail(p, rest)
}

// connect keeps one stream to another node until it ends.
func (m *Mesh) connect(ctx context.Context, n Node) error {
	conn, err := grpc.NewClient("passthrough:///"+n.Peer.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			return m.Dialer.DialContext(ctx, "tcp", addr)
		}),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
			BaseDelay: reopenWait, Multiplier: 1.5, Jitter: 0.2, MaxDelay: connectMost,
		}, MinConnectTimeout: connectMost}),
	)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := NewMeshClient(conn).Exchange(ctx)
	if err != nil {
		return err
	}
	w := m.newTeller(n.Name)
	w.cancel = cancel
	return m.exchange(ctx, s, w)
}

// Exchange takes a stream that another node opens.
func (m *Mesh) Exchange(s grpc.BidiStreamingServer[State, State]) error {
	return m.exchange(s.Context(), s, m.newTeller(""))
}

// stream is either side of a stream of states.
type stream interface {
	Send(*State) error
	Recv() (*State, error)
}

// exchange tells and takes states until the stream ends.
func (m *Mesh) exchange(ctx context.Context, s stream, w *teller) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ends := make(chan error, 1)
	go func() { ends <- m.tell(ctx, s, w) }()
	err := m.take(s, w)
	cancel()
	m.detach(w)
	return errors.Join(err, <-ends)
}

// tell sends states until ctx ends.
func (m *Mesh) tell(ctx context.Context, s stream, w *teller) error {
	for {
		if err := s.Send(w.state()); err != nil {
			return err
		}
		if !tdclock.Sleep(ctx, m.interval()) {
			return nil
		}
	}
}

// interval returns the pause between two states on a stream.
func (m *Mesh) interval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	streams := 0
	for _, p := range m.peers {
		if m.direct(p) {
			streams++
		}
	}
	return tellLeast + time.Duration(max(0, streams-1))*tellPerStream
}

// take takes states until the stream ends.
func (m *Mesh) take(s stream, w *teller) error {
	for {
		state, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		m.takeState(state, w)
	}
}

// takeState takes in one state.
func (m *Mesh) takeState(state *State, w *teller) {
	if !m.heard(state, w) {
		return
	}
	m.takeCopy(state)
	for _, part := range state.GetSections() {
		if r := m.receivers[part.GetTopic()]; r.take != nil {
			r.take(tarragondeal.NodeID(state.GetNode()), part.GetPayload())
		}
	}
}

// heard notes a state, unless a later incarnation of the node has been heard.
func (m *Mesh) heard(s *State, w *teller) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := tarragondeal.NodeID(s.GetNode())
	p := m.peers[name]
	if p == nil || w.over {
		return false
	}
	// Incarnations come from wall clocks, which may step back: a lower one
	// is a process that came after one that fell silent.
	if s.GetIncarnation() < p.incarnation && m.direct(p) {
		return false
	}
	if w.peer, w.toLeaf = name, s.GetLeaf(); !m.adopt(p, w) {
		return false
	}
	now := m.Clock.Now()
	if !m.direct(p) {
		m.Log.Info().Str("peer", s.GetNode()).Uint64("incarnation", s.GetIncarnation()).Bool("leaf", s.GetLeaf()).Msg("node heard")
	}
	p.presence = presence{
		incarnation: s.GetIncarnation(), ready: s.GetReady(), wall: time.Duration(s.GetWallNanos()) - time.Duration(now),
	}
	p.heard, p.leaf = now, w.toLeaf
	p.revision, p.source = tarragondeal.Revision(s.GetRevision()), tarragondeal.NodeID(s.GetSource())
	p.follows, p.fed = s.GetFollows(), s.GetFed()
	m.takeClaims(p, s.GetBehind(), s.GetWhole())
	return true
}

// adopt makes a stream the one to a peer. Each tells only what has changed on it,
// so that two can't be used in turns: the one between a leaf and its relay stays,
// and else the later one.
func (m *Mesh) adopt(p *peer, w *teller) bool {
	old := p.teller
	if old != nil && old != w {
		if m.carriesAll(old) && !m.carriesAll(w) {
			w.drop()
			return false
		}
		old.drop()
	}
	p.teller = w
	return true
}

// carriesAll reports whether a stream is one between a leaf and its relay.
func (m *Mesh) carriesAll(w *teller) bool {
	return w.toLeaf || w.to != "" && w.to == m.parent
}

// takeClaims takes in what a node tells of others.
func (m *Mesh) takeClaims(by *peer, list []*Presence, whole bool) {
	of := m.claims[by.node.Name]
	if of == nil || whole {
		of = make(claims)
		m.claims[by.node.Name] = of
	}
	for _, c := range list {
		name := tarragondeal.NodeID(c.GetNode())
		if c.GetGone() {
			delete(of, name)
			continue
		}
		of[name] = presence{
			incarnation: c.GetIncarnation(), ready: c.GetReady(), wall: by.wall + time.Duration(c.GetAheadNanos()),
		}
	}
}

// detach notes that a stream has ended. Its node may soon open another one.
func (m *Mesh) detach(w *teller) {
	m.mu.Lock()
	w.over = true
	p := m.peers[w.peer]
	if p == nil || p.teller != w {
		m.mu.Unlock()
		return
	}
	p.teller, p.leaf = nil, false
	p.heard = min(p.heard, m.Clock.Now().Add(lostWithin-heardWithin))
	m.mu.Unlock()
	for _, r := range m.receivers {
		if r.lost != nil {
			r.lost(w.peer)
		}
	}
}
