package tdmesh

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
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
	// connectMost bounds the pause between two tries to connect.
	connectMost = 500 * time.Millisecond
	// forgetAfter is how long a node that is not listed may be silent.
	forgetAfter = 3 * time.Second
	forgetEvery = 500 * time.Millisecond
	// renewals is how often an entry is renewed in the time of its lease.
	renewals = 3
	// listTimeout bounds one call for this node's entry.
	listTimeout = time.Second
)

// connect keeps a stream to another node until ctx ends.
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
	lost := false
	for ctx.Err() == nil {
		err := m.open(ctx, NewMeshClient(conn))
		if ctx.Err() == nil && !lost {
			lost = true
			m.Log.Info().Err(err).Str("peer", string(n.Name)).Msg("stream to node ended")
		}
		tdclock.Sleep(ctx, reopenWait/2+rand.N(reopenWait))
	}
	return nil
}

func (m *Mesh) open(ctx context.Context, c MeshClient) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := c.Exchange(ctx)
	if err != nil {
		return err
	}
	return m.exchange(ctx, s)
}

// Exchange takes a stream that another node opens.
func (m *Mesh) Exchange(s grpc.BidiStreamingServer[State, State]) error {
	return m.exchange(s.Context(), s)
}

// stream is either side of a stream of states.
type stream interface {
	Send(*State) error
	Recv() (*State, error)
}

// exchange tells and takes states until the stream ends.
func (m *Mesh) exchange(ctx context.Context, s stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := m.newTeller()
	ends := make(chan error, 1)
	go func() { ends <- m.tell(ctx, s, w) }()
	err := m.take(s, w)
	cancel()
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

func (m *Mesh) interval() time.Duration {
	return tellLeast + time.Duration(m.Size()-1)*tellPerPeer
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
		if !m.heard(state) {
			continue
		}
		w.peer.Store(new(tarragondeal.NodeID(state.GetNode())))
		m.takeCopy(state)
		for _, part := range state.GetSections() {
			if receive := m.receivers[part.GetTopic()]; receive != nil {
				receive(tarragondeal.NodeID(state.GetNode()), part.GetPayload())
			}
		}
	}
}

// heard notes a state, unless a later incarnation of the node has been heard.
func (m *Mesh) heard(s *State) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[tarragondeal.NodeID(s.GetNode())]
	if p == nil {
		return false
	}
	// Incarnations come from wall clocks, which may step back: a lower one
	// is a process that came after one that fell silent.
	if s.GetIncarnation() < p.incarnation && m.heardNow(p) {
		return false
	}
	if !m.heardNow(p) {
		m.Log.Info().Str("peer", s.GetNode()).Uint64("incarnation", s.GetIncarnation()).Msg("node heard")
	}
	p.incarnation = s.GetIncarnation()
	p.wall = time.Duration(s.GetWallNanos()) - time.Duration(m.Clock.Now())
	p.heard, p.ready, p.revision = m.Clock.Now(), s.GetReady(), tarragondeal.Revision(s.GetRevision())
	p.follows, p.source = s.GetFollows(), tarragondeal.NodeID(s.GetSource())
	return true
}

// forgetPeers drops nodes that are neither listed nor heard.
func (m *Mesh) forgetPeers(ctx context.Context) error {
	for tdclock.Sleep(ctx, forgetEvery) {
		m.mu.Lock()
		for _, p := range m.peers {
			if !p.listed && m.Clock.Now().Sub(p.heard) > forgetAfter {
				m.forget(p)
			}
		}
		m.mu.Unlock()
	}
	return nil
}

// keepListed keeps this node's entry in the store.
func (m *Mesh) keepListed(ctx context.Context) error {
	value, err := json.Marshal(m.self)
	if err != nil {
		return err
	}
	name := "node/" + string(m.self.Name)
	var lease *tarragondeal.Lease
	for ctx.Err() == nil {
		next, err := m.listOnce(ctx, lease, name, string(value))
		wait := m.TTL / renewals
		if err == nil {
			lease = &next
		} else {
			var conflict *tarragondeal.ConflictError
			if errors.As(err, &conflict) {
				lease = nil
			}
			m.Log.Debug().Err(err).Msg("this node's entry was not renewed")
			wait = reopenWait + rand.N(m.TTL/renewals)
		}
		tdclock.Sleep(ctx, wait)
	}
	return m.leave(ctx, lease)
}

func (m *Mesh) listOnce(ctx context.Context, held *tarragondeal.Lease, name, value string) (tarragondeal.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	if held != nil {
		return m.Store.Renew(ctx, *held, m.TTL)
	}
	return m.Store.Acquire(ctx, name, value, m.TTL)
}

func (m *Mesh) leave(ctx context.Context, lease *tarragondeal.Lease) error {
	if lease == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), listTimeout)
	defer cancel()
	if err := m.Store.Release(ctx, *lease); err != nil {
		m.Log.Info().Err(err).Msg("this node's entry was not removed")
	}
	return nil
}
