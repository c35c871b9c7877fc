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
	keepTimeout = 250 * time.Millisecond
	stopWait    = 5 * time.Second
	// peerTries is how many peers one commit asks before the store.
	peerTries = 2
	// aliveEvery is how often a peer hears of a process that counts little.
	aliveEvery = 3 * time.Second
)

// Links reach other nodes.
type Links interface {
	Conn(n tarragondeal.NodeID) (grpc.ClientConnInterface, error)
}

// Deps are what a meter works with.
type Deps struct {
	Store   tarragondeal.Store
	Members tarragondeal.Members
	Links   Links
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
	Scope   tally.Scope
}

// Config bounds a meter.
type Config struct {
	Window     time.Duration // Length of a window.
	Gather     time.Duration // How long a commit gathers figures.
	StoreEvery time.Duration // Least time between commits to the store when there is no peer.
	FlushEvery time.Duration // Time between flushes to the store.
	AckWait    time.Duration // How long Add waits for a second copy.
}

// Meter counts at one process.
type Meter struct {
	Deps
	cfg     Config
	process string
	mu      sync.Mutex
	book    *book
	seq     uint64
	flushed []*Flushed
	batch   *batch
	kick    chan struct{}
	// The rest belongs to the duty that commits.
	peer       tarragondeal.NodeID
	lastKeep   tarragondeal.Instant
	lastCommit tarragondeal.Instant // To the store.
}

// batch is the Adds that one commit acknowledges.
type batch struct {
	done chan struct{}
	err  error
}

func newBatch() *batch { return &batch{done: make(chan struct{})} }

// New returns a meter with nothing counted.
func New(d Deps, cfg Config) *Meter {
	process := string(d.Members.Self().Node) + "." + uuid.NewString()[:13]
	return &Meter{
		Deps: d, cfg: cfg, process: process, book: newBook(process),
		batch: newBatch(), kick: make(chan struct{}, 1),
	}
}

// Add counts delivered work and waits until a second copy exists. With an
// error the figures are counted all the same, but this VM's death may lose
// them.
func (m *Meter) Add(ctx context.Context, u tarragondeal.Usage) error {
	f := Figures{InputTokens: int64(u.InputTokens), OutputTokens: int64(u.OutputTokens)}
	if u.Last {
		f.Requests = 1
	}
	if f == (Figures{}) {
		return nil
	}
	window := Cut(m.Clock.Wall(), m.cfg.Window)
	m.mu.Lock()
	m.book.add(window, LineKey{u.Workspace, u.Route}, f)
	b := m.batch
	m.mu.Unlock()
	select {
	case m.kick <- struct{}{}:
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
		return eris.New("usage has no second copy yet")
	}
}

// Waste counts work that nobody is billed for.
func (m *Meter) Waste(w tarragondeal.Waste) {
	m.Scope.Tagged(map[string]string{"cause": w.Cause, "class": w.Class}).Counter("wasteTokens").Inc(int64(w.Tokens))
}

// Run makes second copies and flushes to the store until the context ends,
// and then flushes all that is left.
func (m *Meter) Run(ctx context.Context) error {
	flush := time.NewTicker(m.cfg.FlushEvery)
	defer flush.Stop()
	alive := time.NewTicker(aliveEvery)
	defer alive.Stop()
	for {
		select {
		case <-m.kick:
			tdclock.Sleep(ctx, m.cfg.Gather)
			m.commit(ctx)
		case <-alive.C:
			m.tellAlive(ctx)
		case <-flush.C:
			_ = m.flushAll(ctx) // It is logged and repeated.
		case <-ctx.Done():
			return m.stop(ctx)
		}
	}
}

// stop hands over what is left when the node ends in order.
func (m *Meter) stop(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWait)
	defer cancel()
	m.commit(ctx)
	_ = m.flushAll(ctx)
	m.commit(ctx)
	return nil
}

// commit makes a second copy of all figures so far and acknowledges the Adds
// that wait for it.
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
	tdclock.Sleep(ctx, m.cfg.StoreEvery-m.Clock.Now().Sub(m.lastCommit))
	m.lastCommit = m.Clock.Now()
	b.err = m.flushAll(ctx)
	close(b.done)
}

// candidates returns the peers to ask, the present one first.
func (m *Meter) candidates() []tarragondeal.NodeID {
	all := peers(m.Members.Self(), m.Members.Members())
	out := make([]tarragondeal.NodeID, 0, peerTries)
	for _, n := range all {
		if n == m.peer {
			out = append(out, n)
		}
	}
	for _, n := range all {
		if n != m.peer && len(out) < peerTries {
			out = append(out, n)
		}
	}
	return out
}

// keep sends a peer what it lacks: everything, if it is not the peer of
// before.
func (m *Meter) keep(ctx context.Context, peer tarragondeal.NodeID) error {
	m.mu.Lock()
	if peer != m.peer {
		m.book.uncopy()
		m.peer = peer
	}
	m.seq++
	r := &KeepRequest{Origin: m.process, Seq: m.seq, Parts: m.book.takeUncopied(), Flushed: m.flushed}
	m.flushed = nil
	m.mu.Unlock()
	err := m.send(ctx, peer, r)
	if err != nil {
		m.mu.Lock()
		defer m.mu.Unlock()
		// It is not known what the peer has.
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

// tellAlive keeps the peer from taking over, and finds out when it is lost.
func (m *Meter) tellAlive(ctx context.Context) {
	m.mu.Lock()
	pending := m.book.pending() || len(m.flushed) > 0
	m.mu.Unlock()
	candidates := m.candidates()
	lost := len(candidates) > 0 && candidates[0] != m.peer
	if pending && (lost || m.Clock.Now().Sub(m.lastKeep) >= aliveEvery) {
		m.commit(ctx)
	}
}

// flushAll writes to the store what it lacks.
func (m *Meter) flushAll(ctx context.Context) error {
	m.mu.Lock()
	all, seq := m.book.unstored(), m.seq
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
	m.book.drop(Cut(m.Clock.Wall(), m.cfg.Window))
	return nil
}

func (m *Meter) flushOne(ctx context.Context, s snapshot, seq uint64) error {
	err := m.flushKept(ctx, &s)
	m.mu.Lock()
	defer m.mu.Unlock()
	if errors.Is(err, ErrPastHorizon) {
		m.Log.Error().Str("source", s.segment.id.Source).Int64("window", s.segment.id.Window).Msg("usage is too old to be billed")
		m.book.remove(s.segment)
		return nil
	}
	if err != nil {
		return err
	}
	m.book.stored(s)
	// The peer may forget what it was sent before the snapshot was taken.
	m.flushed = append(m.flushed, &Flushed{Source: s.segment.id.Source, Window: s.segment.id.Window, Seq: seq})
	return nil
}

// flushKept flushes unless the window is past the horizon, which only
// matters for windows that ended.
func (m *Meter) flushKept(ctx context.Context, s *snapshot) error {
	if s.segment.id.Window < Cut(m.Clock.Wall(), m.cfg.Window) {
		horizon, _, err := Horizon(ctx, m.Store)
		if err != nil {
			return err
		}
		if s.segment.id.Window <= horizon {
			return ErrPastHorizon
		}
	}
	return Flush(ctx, m.Store, s.segment.id, s.lines, &s.at)
}
