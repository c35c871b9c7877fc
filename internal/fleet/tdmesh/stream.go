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
	// bufferBytes is the buffer size of one stream in each direction.
	bufferBytes = 4 << 10
	// maxStateBytes limits the size of a state. Nodes of earlier versions send copies of
	// any size in one state.
	maxStateBytes = maxUnpackedCopy
	// reopenDelay is the delay before a stream is opened again.
	reopenDelay = 150 * time.Millisecond
	// connectTimeout bounds one attempt to connect.
	connectTimeout = 500 * time.Millisecond
	// minStateInterval is the interval between two states of a node with one
	// stream.
	minStateInterval = 80 * time.Millisecond
	// stateIntervalPerStream is added for each further stream, so that the work
	// of a relay grows more slowly than the number of its leaves.
	stateIntervalPerStream = 3 * time.Millisecond
)

// openStream starts a task that keeps a stream to a peer until it fails or is
// cancelled. It does nothing before Run.
func (m *Mesh) openStream(p *peer) {
	if m.group == nil {
		return
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	p.openedAt, p.stalled = m.Clock.Now(), 0
	received := new(meter)
	p.received, p.bytesAtState = received, 0
	m.group.Go("tell "+string(p.node.Name), func(group context.Context) error {
		stop := context.AfterFunc(group, p.cancel)
		defer stop()
		err := m.connect(ctx, p.node, received)
		if ctx.Err() == nil {
			m.Log.Info().Err(err).Str("peer", string(p.node.Name)).Msg("stream to node ended")
		}
		m.streamEnded(ctx, p)
		return nil
	})
}

// streamEnded handles the end of a stream that this node opened. A relay whose
// stream failed is avoided for parentBackoff.
func (m *Mesh) streamEnded(ctx context.Context, p *peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if ctx.Err() != nil {
		return // Cancelled by this node.
	}
	delay := reopenDelay
	if p.node.Name == m.parent {
		delay = parentBackoff
	}
	m.closeAndBackOff(p, delay)
}

// connect dials a node and exchanges states with it until the stream ends. It
// counts the bytes received.
func (m *Mesh) connect(ctx context.Context, n Node, received *meter) error {
	conn, err := grpc.NewClient("passthrough:///"+n.Peer.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := m.Dialer.DialContext(ctx, "tcp", addr)
			if err != nil {
				return nil, err
			}
			return &meteredConn{Conn: conn, clock: m.Clock, meter: received}, nil
		}),
		grpc.WithReadBufferSize(bufferBytes), grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxStateBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.Config{
			BaseDelay: reopenDelay, Multiplier: 1.5, Jitter: 0.2, MaxDelay: connectTimeout,
		}, MinConnectTimeout: connectTimeout}),
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
	w := m.newStateWriter(n.Name)
	w.cancel = cancel
	return m.exchange(ctx, s, w)
}

// Exchange serves a stream that another node has opened.
func (m *Mesh) Exchange(s grpc.BidiStreamingServer[State, State]) error {
	return m.exchange(s.Context(), s, m.newStateWriter(""))
}

// stream is the client or server side of a stream of states.
type stream interface {
	Send(*State) error
	Recv() (*State, error)
}

// exchange sends and receives states until the stream ends.
func (m *Mesh) exchange(ctx context.Context, s stream, w *stateWriter) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sendDone := make(chan error, 1)
	go func() { sendDone <- m.sendStates(ctx, s, w) }()
	err := m.receiveStates(s, w)
	cancel()
	m.detachStream(w)
	return errors.Join(err, <-sendDone)
}

// sendStates sends states until ctx ends.
func (m *Mesh) sendStates(ctx context.Context, s stream, w *stateWriter) error {
	for {
		state := w.nextState()
		interval := m.stateInterval()
		if w.outgoing != nil {
			interval = partInterval
		}
		if !w.quiet.mayOmit(state, m.Clock.Now(), interval) {
			m.counter.add("sent", w.linkOf(true), state)
			if err := s.Send(state); err != nil {
				return err
			}
		}
		if !tdclock.Sleep(ctx, interval) {
			return nil
		}
	}
}

// stateInterval returns the interval between two states on a stream.
func (m *Mesh) stateInterval() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	streams := 0
	for _, p := range m.peers {
		if m.isDirect(p) {
			streams++
		}
	}
	return minStateInterval + time.Duration(max(0, streams-1))*stateIntervalPerStream
}

// receiveStates handles received states until the stream ends.
func (m *Mesh) receiveStates(s stream, w *stateWriter) error {
	for {
		state, err := s.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		m.handleState(state, w)
	}
}

// handleState records one state and passes its contents to the receivers.
func (m *Mesh) handleState(state *State, w *stateWriter) {
	recorded := m.recordState(state, w)
	m.counter.add("received", w.linkOf(false), state)
	if !recorded {
		return
	}
	if state.GetFollows() && state.CopyAgeMillis != nil {
		age := time.Duration(state.GetCopyAgeMillis()) * time.Millisecond
		m.Mirror.RecordOtherAnswer(m.Clock.Now().Add(-age))
	}
	m.Eras.Receive(tarragondeal.Position{Era: tarragondeal.Era(state.GetEra()), Revision: tarragondeal.Revision(state.GetRevision())})
	if m.Fences != nil {
		m.Fences.Raise(state.GetFence())
	}
	m.recordMemory(state.GetRemembersSince()) // What the peer remembers is recorded by now.
	m.applyCopy(state, w)
	for _, section := range state.GetSections() {
		if r := m.receivers[section.GetTopic()]; r.onSection != nil {
			r.onSection(tarragondeal.NodeID(state.GetNode()), section.GetPayload())
		}
	}
}

// recordMemory records since when a peer has received what the nodes before it knew.
func (m *Mesh) recordMemory(since int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.remembersSince = min(m.remembersSince, since)
}

// recordState updates a peer from its state. It reports false if the state is
// ignored: the peer is unknown, the stream is closed, a later incarnation of the
// peer is alive, or another stream to the peer takes precedence. On a stream that
// stays open, the peer then sends everything again.
func (m *Mesh) recordState(s *State, w *stateWriter) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	name := tarragondeal.NodeID(s.GetNode())
	p := m.peers[name]
	w.peerMissed = w.peerMissed || s.GetMissed()
	if w.closed {
		return false
	}
	if p == nil {
		w.missed = true
		return false
	}
	// Incarnations come from wall clocks, which may step back. After the
	// previous process has gone silent, a lower one is a new process.
	if s.GetIncarnation() < p.incarnation && m.isDirect(p) {
		w.missed = true
		return false
	}
	w.peerReadsParts = s.GetReadsParts()
	if w.peer, w.peerIsLeaf = name, s.GetLeaf(); !m.selectStream(p, w) {
		return false
	}
	now := m.Clock.Now()
	if !m.isDirect(p) {
		m.Log.Info().Str("peer", s.GetNode()).Uint64("incarnation", s.GetIncarnation()).Bool("leaf", s.GetLeaf()).Msg("node is sending its state")
	}
	p.presence = presence{
		incarnation: s.GetIncarnation(), ready: s.GetReady(), wallOffset: time.Duration(s.GetWallNanos()) - time.Duration(now),
	}
	if p.leaf != w.peerIsLeaf || p.presence.differs(m.surveyedPresence(name)) {
		m.survey = nil
	}
	p.lastState, p.leaf, p.stalled = now, w.peerIsLeaf, 0
	if p.received != nil {
		p.bytesAtState = p.received.bytes.Load()
	}
	p.position = tarragondeal.Position{Era: tarragondeal.Era(s.GetEra()), Revision: tarragondeal.Revision(s.GetRevision())}
	p.readsEras, p.fence, p.source = s.GetReadsEras(), s.GetFence(), tarragondeal.NodeID(s.GetSource())
	p.followsStore, p.hasCopies = s.GetFollows(), s.GetFed()
	p.copyAt = 0
	if s.CopyAgeMillis != nil {
		p.copyAt = now.Add(-time.Duration(s.GetCopyAgeMillis()) * time.Millisecond)
	}
	m.updateForwarded(p, s.GetBehind(), s.GetWhole())
	return true
}

// selectStream makes a stream the one that is used with a peer, and reports whether
// it did. Each stream carries only the changes since its own previous state, so two
// can't be used alternately. The stream between a leaf and its relay takes
// precedence, otherwise the newer one.
func (m *Mesh) selectStream(p *peer, w *stateWriter) bool {
	old := p.writer
	if old != nil && old != w {
		if m.isLeafStream(old) && !m.isLeafStream(w) {
			w.close()
			return false
		}
		old.close()
	}
	p.writer = w
	return true
}

// isLeafStream reports whether a stream is between a leaf and its relay.
func (m *Mesh) isLeafStream(w *stateWriter) bool {
	return w.peerIsLeaf || w.openedTo != "" && w.openedTo == m.parent
}

// updateForwarded applies the presences that a peer forwards. Replace discards
// those from earlier states.
func (m *Mesh) updateForwarded(reporter *peer, reports []*Presence, replace bool) {
	known := m.forwarded[reporter.node.Name]
	if replace && len(known) > 0 {
		known = nil
		delete(m.forwarded, reporter.node.Name)
		m.survey = nil
	}
	if len(reports) == 0 {
		return
	}
	m.survey = nil
	if known == nil {
		known = make(presences)
		m.forwarded[reporter.node.Name] = known
	}
	for _, r := range reports {
		name := tarragondeal.NodeID(r.GetNode())
		if r.GetGone() {
			delete(known, name)
			continue
		}
		known[name] = presence{
			incarnation: r.GetIncarnation(), ready: r.GetReady(), wallOffset: reporter.wallOffset + time.Duration(r.GetAheadNanos()),
		}
	}
}

// detachStream handles the end of a stream. The peer counts as alive for
// reconnectGrace, since it may open another one.
func (m *Mesh) detachStream(w *stateWriter) {
	m.mu.Lock()
	w.closed = true
	p := m.peers[w.peer]
	if p == nil || p.writer != w {
		m.mu.Unlock()
		return
	}
	p.writer, p.leaf = nil, false
	m.survey = nil
	p.lastState = min(p.lastState, m.Clock.Now().Add(reconnectGrace-aliveTimeout))
	m.mu.Unlock()
	for _, r := range m.receivers {
		if r.onLost != nil {
			r.onLost(w.peer)
		}
	}
}
