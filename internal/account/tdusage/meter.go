package tdusage

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
)

const (
	keepTimeout = 250 * time.Millisecond // Of one call of Keep.
	stopTimeout = 5 * time.Second        // Of the last flush when the node stops.
	// maxPeerTries is the number of peers that a commit tries before it falls
	// back to the store.
	maxPeerTries = 2
	// heartbeatInterval is the time after which a process with pending counts
	// calls its peer again.
	heartbeatInterval = 3 * time.Second
)

// Links provides connections to other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Deps holds the dependencies of a Meter.
type Deps struct {
	Store   tarragondeal.Store
	Members tarragondeal.Members
	Links   Links
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Config holds the settings of a Meter.
type Config struct {
	Window     time.Duration // Length of a window.
	Gather     time.Duration // Delay before a commit, so that it covers more calls of Add.
	StoreEvery time.Duration // Least time between commits to the store when no peer answers.
	FlushEvery time.Duration // Time between flushes to the store.
	AckWait    time.Duration // Longest time that Add waits for a second copy.
}

// Meter counts the usage of one process.
type Meter struct {
	Deps
	cfg             Config
	process         string
	mu              sync.Mutex
	buffer          *buffer
	seq             uint64
	flushed         []*Flushed
	batch           *batch
	commitRequested chan struct{}
	// The fields below are used only by the goroutine of Run.
	peer            tarragondeal.NodeID
	lastKeep        tarragondeal.Instant
	lastStoreCommit tarragondeal.Instant
}

// batch is the result of a commit, shared by the calls of Add that it covers.
// The error is valid once done is closed.
type batch struct {
	done chan struct{}
	err  error
}

func newBatch() *batch { return &batch{done: make(chan struct{})} }

// New returns an empty Meter.
func New(d Deps, cfg Config) *Meter {
	process := string(d.Members.Self().Node) + "." + uuid.NewString()[:13]
	return &Meter{
		Deps: d, cfg: cfg, process: process, buffer: newBuffer(process),
		batch: newBatch(), commitRequested: make(chan struct{}, 1),
	}
}

// Add counts delivered work and waits until a second copy exists. On an error
// the usage is still counted, but may be lost if this VM fails.
func (m *Meter) Add(ctx context.Context, u tarragondeal.Usage) error {
	c := Counts{InputTokens: int64(u.InputTokens), OutputTokens: int64(u.OutputTokens)}
	if u.Last {
		c.Requests = 1
	}
	if c == (Counts{}) {
		return nil
	}
	window := WindowStart(m.Clock.Wall(), m.cfg.Window)
	m.mu.Lock()
	m.buffer.add(window, LineKey{u.Workspace, u.Route}, c)
	b := m.batch
	m.mu.Unlock()
	select {
	case m.commitRequested <- struct{}{}:
	default:
	}
	return m.wait(ctx, b)
}

func (m *Meter) wait(ctx context.Context, b *batch) error {
	t := time.NewTimer(m.cfg.AckWait)
	defer t.Stop()
	select {
	case <-b.done:
		return b.err
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return eris.New("timed out waiting for the acknowledgement of a peer or the store")
	}
}

// Waste counts work that is not billed.
func (m *Meter) Waste(w tarragondeal.Waste) {
	m.Scope.Tagged(map[string]string{"cause": w.Cause, "class": w.Class}).Counter("wasteTokens").Inc(int64(w.Tokens))
}

// Run sends copies to a peer and flushes to the store until the context ends,
// and then flushes all that is left.
func (m *Meter) Run(ctx context.Context) error {
	flush := time.NewTicker(m.cfg.FlushEvery)
	defer flush.Stop()
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		select {
		case <-m.commitRequested:
			tdclock.Sleep(ctx, m.cfg.Gather)
			m.commit(ctx)
		case <-heartbeat.C:
			m.heartbeat(ctx)
		case <-flush.C:
			_ = m.flushAll(ctx) // It logs errors, and the next tick tries again.
		case <-ctx.Done():
			return m.stop(ctx)
		}
	}
}

// stop copies and flushes all that is left at an orderly shutdown. The second
// commit reports to the peer what was flushed.
func (m *Meter) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	m.commit(ctx)
	_ = m.flushAll(ctx)
	m.commit(ctx)
	return nil
}

// commit copies all counts so far to a peer, or to the store if no peer answers,
// and wakes the calls of Add that wait for it.
func (m *Meter) commit(ctx context.Context) {
	candidates := m.candidates()
	m.mu.Lock()
	b := m.batch
	m.batch = newBatch()
	m.mu.Unlock()
	for _, peer := range candidates {
		if b.err = m.keep(ctx, peer); b.err == nil {
			close(b.done)
			return
		}
		m.Scope.Counter("copyFailures").Inc(1)
	}
	tdclock.Sleep(ctx, m.cfg.StoreEvery-m.Clock.Now().Sub(m.lastStoreCommit))
	m.lastStoreCommit = m.Clock.Now()
	b.err = m.flushAll(ctx)
	close(b.done)
}

// candidates returns the peers to try, the current one first.
func (m *Meter) candidates() []tarragondeal.NodeID {
	all := rankPeers(m.Members.Self(), m.Members.Members())
	out := make([]tarragondeal.NodeID, 0, maxPeerTries)
	for _, n := range all {
		if n == m.peer {
			out = append(out, n)
		}
	}
	for _, n := range all {
		if n != m.peer && len(out) < maxPeerTries {
			out = append(out, n)
		}
	}
	return out
}

// keep sends the uncopied lines to a peer. A peer other than the current one
// gets all lines that are not in the store.
func (m *Meter) keep(ctx context.Context, peer tarragondeal.NodeID) error {
	m.mu.Lock()
	if peer != m.peer {
		m.buffer.markUncopied()
		m.peer = peer
	}
	m.seq++
	r := &KeepRequest{Origin: m.process, Seq: m.seq, Parts: m.buffer.takeUncopied(), Flushed: m.flushed}
	m.flushed = nil
	m.mu.Unlock()
	err := m.send(ctx, peer, r)
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		// The peer may or may not have the lines, so the next call sends all.
		m.peer = ""
		return err
	}
	m.lastKeep = m.Clock.Now()
	return nil
}

func (m *Meter) send(ctx context.Context, peer tarragondeal.NodeID, r *KeepRequest) error {
	conn, err := m.Links.Conn(peer)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	_, err = NewCopiesClient(conn).Keep(ctx, r)
	return err
}

// heartbeat commits pending counts when the peer would otherwise take this
// process for silent, or when the peer is no longer a candidate.
func (m *Meter) heartbeat(ctx context.Context) {
	m.mu.Lock()
	pending := m.buffer.pending() || len(m.flushed) > 0
	m.mu.Unlock()
	candidates := m.candidates()
	lost := len(candidates) > 0 && candidates[0] != m.peer
	if pending && (lost || m.Clock.Now().Sub(m.lastKeep) >= heartbeatInterval) {
		m.commit(ctx)
	}
}

// flushAll writes all counts to the store that it does not have yet.
func (m *Meter) flushAll(ctx context.Context) error {
	m.mu.Lock()
	all, seq := m.buffer.unstoredSnapshots(), m.seq
	m.mu.Unlock()
	for _, s := range all {
		if err := m.flushOne(ctx, s, seq); err != nil {
			m.Scope.Counter("flushFailures").Inc(1)
			m.Log.Warn().Err(err).Msg("can't flush usage to the store")
			return err
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.buffer.dropBefore(WindowStart(m.Clock.Wall(), m.cfg.Window))
	return nil
}

func (m *Meter) flushOne(ctx context.Context, s snapshot, seq uint64) error {
	err := m.flushUnexpired(ctx, &s)
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, ErrPastHorizon) {
		m.Log.Error().Str("source", s.segment.id.Source).Int64("window", s.segment.id.Window).Msg("usage is too old to be billed")
		m.buffer.remove(s.segment)
		return nil
	}
	if err != nil {
		return err
	}
	m.buffer.markStored(s)
	// The peer may drop the lines that it was sent before the snapshot.
	m.flushed = append(m.flushed, &Flushed{Source: s.segment.id.Source, Window: s.segment.id.Window, Seq: seq})
	return nil
}

// flushUnexpired flushes a snapshot, or returns ErrPastHorizon if its window is
// past the retention horizon. Only windows that have ended can be.
func (m *Meter) flushUnexpired(ctx context.Context, s *snapshot) error {
	if s.segment.id.Window < WindowStart(m.Clock.Wall(), m.cfg.Window) {
		horizon, _, err := Horizon(ctx, m.Store)
		if err != nil {
			return err
		}
		if s.segment.id.Window <= horizon {
			return ErrPastHorizon
		}
	}
	return Flush(ctx, m.Store, s.segment.id, s.lines, &s.pos)
}
