package tdusage

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"tarragondeal"
)

// Bounds of what a node keeps for others.
const (
	maxCopiedLines = 2_000_000
	maxNameBytes   = 1024
)

// copied is one line of a copy.
type copied struct {
	figures Figures
	seq     uint64 // Of the message that last raised it.
}

// copySource is the copy of one source.
type copySource struct {
	origin string
	lines  map[LineKey]copied
	at     Place
}

// Copies keeps second copies of other processes' figures, and flushes those
// of processes that are not heard of any more.
type Copies struct {
	UnimplementedCopiesServer
	store    tarragondeal.Store
	clock    tarragondeal.Clock
	log      zerolog.Logger
	takeOver time.Duration
	mu       sync.Mutex
	sources  map[SourceID]*copySource
	heard    map[string]tarragondeal.Instant // By origin.
	count    int                             // Lines of all sources.
}

// NewCopies returns an empty keeper that flushes what it has of a process
// once that was silent for takeOver.
func NewCopies(store tarragondeal.Store, clock tarragondeal.Clock, log zerolog.Logger, takeOver time.Duration) *Copies {
	return &Copies{
		store: store, clock: clock, log: log, takeOver: takeOver,
		sources: make(map[SourceID]*copySource), heard: make(map[string]tarragondeal.Instant),
	}
}

// Keep merges another process's figures.
func (c *Copies) Keep(_ context.Context, r *KeepRequest) (*KeepAnswer, error) {
	if len(r.GetOrigin()) > maxNameBytes {
		return nil, status.Error(codes.InvalidArgument, "process has too long a name")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range r.GetParts() {
		if err := c.check(p); err != nil {
			return nil, err
		}
	}
	for _, p := range r.GetParts() {
		c.keep(r, p)
	}
	for _, f := range r.GetFlushed() {
		c.forget(SourceID{f.GetWindow(), f.GetSource()}, f.GetSeq())
	}
	c.heard[r.GetOrigin()] = c.clock.Now()
	return &KeepAnswer{}, nil
}

func (c *Copies) check(p *Part) error {
	if c.count+len(p.GetLines()) > maxCopiedLines {
		return status.Error(codes.ResourceExhausted, "too many lines are kept for others")
	}
	if _, _, err := ParseKey((SourceID{p.GetWindow(), p.GetSource()}).Key(0)); err != nil || len(p.GetSource()) > maxNameBytes {
		return status.Error(codes.InvalidArgument, "source has no proper name")
	}
	for _, l := range p.GetLines() {
		if len(l.GetWorkspace())+len(l.GetRoute()) > maxNameBytes {
			return status.Error(codes.InvalidArgument, "line has too long a name")
		}
	}
	return nil
}

func (c *Copies) keep(r *KeepRequest, p *Part) {
	if len(p.GetLines()) == 0 {
		return // Sources are counted by their lines.
	}
	id := SourceID{p.GetWindow(), p.GetSource()}
	s := c.sources[id]
	if s == nil {
		s = &copySource{origin: r.GetOrigin(), lines: make(map[LineKey]copied)}
		c.sources[id] = s
	}
	for k, f := range lines(p.GetLines()) {
		old, ok := s.lines[k]
		if !ok {
			c.count++
		}
		s.lines[k] = copied{figures: old.figures.max(f), seq: max(old.seq, r.GetSeq())}
	}
}

// forget drops the lines of a source that the store has.
func (c *Copies) forget(id SourceID, seq uint64) {
	s := c.sources[id]
	if s == nil {
		return
	}
	for k, l := range s.lines {
		if l.seq <= seq {
			delete(s.lines, k)
			c.count--
		}
	}
	if len(s.lines) == 0 {
		delete(c.sources, id)
	}
}

// Len returns how many lines are kept.
func (c *Copies) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.count
}

// Run flushes what silent processes left, until the context ends, and then
// all that is left.
func (c *Copies) Run(ctx context.Context) error {
	t := time.NewTicker(c.takeOver / 4)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.flushSilent(ctx, c.takeOver)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopWait)
			c.flushSilent(last, 0)
			cancel()
			return nil
		}
	}
}

// flushSilent flushes the sources of processes silent for at least d. To
// flush a live process's source is a wasted write and harmless.
func (c *Copies) flushSilent(ctx context.Context, d time.Duration) {
	for id, s := range c.silent(d) {
		err := c.flushOne(ctx, id, s)
		if err != nil {
			c.log.Warn().Err(err).Str("source", id.Source).Msg("can't flush a copy")
			if !errors.Is(err, ErrPastHorizon) {
				return // The store is away; all else would fail too.
			}
		}
	}
}

func (c *Copies) silent(d time.Duration) map[SourceID]*copySource {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[SourceID]*copySource)
	for id, s := range c.sources {
		if now.Sub(c.heard[s.origin]) >= d {
			out[id] = s
		}
	}
	for origin, at := range c.heard {
		if now.Sub(at) >= 10*d && d > 0 {
			delete(c.heard, origin)
		}
	}
	return out
}

func (c *Copies) flushOne(ctx context.Context, id SourceID, s *copySource) error {
	c.mu.Lock()
	mine, seq, at := make(Lines, len(s.lines)), uint64(0), s.at
	for k, l := range s.lines {
		mine[k], seq = l.figures, max(seq, l.seq)
	}
	c.mu.Unlock()
	horizon, _, err := Horizon(ctx, c.store)
	if err != nil {
		return err
	}
	if id.Window <= horizon {
		err = ErrPastHorizon
	} else if err := Flush(ctx, c.store, id, mine, &at); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.at = at
	c.forget(id, seq)
	return err
}
