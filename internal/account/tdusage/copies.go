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

// Limits on what a node keeps for other processes.
const (
	maxCopiedLines = 2_000_000
	maxNameBytes   = 1024
)

// copiedLine is one line of a copy.
type copiedLine struct {
	counts Counts
	seq    uint64 // The sequence number of the last request with this line.
}

// copiedSource is the copy of one source.
type copiedSource struct {
	origin string
	lines  map[LineKey]copiedLine
	pos    Position
}

// Copies keeps copies of other processes' usage, and flushes those of processes
// that have fallen silent.
type Copies struct {
	UnimplementedCopiesServer
	store     tarragondeal.Store
	clock     tarragondeal.Clock
	log       zerolog.Logger
	takeOver  time.Duration
	mu        sync.Mutex
	sources   map[SourceID]*copiedSource
	lastHeard map[string]tarragondeal.Instant // The time of the last request, by origin.
	lineCount int                             // The lines of all sources.
}

// NewCopies returns an empty Copies that flushes the sources of a process when
// no request came from it for takeOver.
func NewCopies(store tarragondeal.Store, clock tarragondeal.Clock, log zerolog.Logger, takeOver time.Duration) *Copies {
	return &Copies{
		store: store, clock: clock, log: log, takeOver: takeOver,
		sources: make(map[SourceID]*copiedSource), lastHeard: make(map[string]tarragondeal.Instant),
	}
}

// Keep merges another process's counts into the copies of its sources.
func (c *Copies) Keep(_ context.Context, r *KeepRequest) (*KeepAnswer, error) {
	if len(r.GetOrigin()) > maxNameBytes {
		return nil, status.Error(codes.InvalidArgument, "process has too long a name")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range r.GetParts() {
		if err := c.validate(p); err != nil {
			return nil, err
		}
	}
	for _, p := range r.GetParts() {
		c.keep(r, p)
	}
	for _, f := range r.GetFlushed() {
		c.dropStored(SourceID{f.GetWindow(), f.GetSource()}, f.GetSeq())
	}
	c.lastHeard[r.GetOrigin()] = c.clock.Now()
	return &KeepAnswer{}, nil
}

func (c *Copies) validate(p *Part) error {
	if c.lineCount+len(p.GetLines()) > maxCopiedLines {
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
		return // A source without lines would not count towards maxCopiedLines.
	}
	id := SourceID{p.GetWindow(), p.GetSource()}
	s := c.sources[id]
	if s == nil {
		s = &copiedSource{origin: r.GetOrigin(), lines: make(map[LineKey]copiedLine)}
		c.sources[id] = s
	}
	for k, n := range parseLines(p.GetLines()) {
		old, ok := s.lines[k]
		if !ok {
			c.lineCount++
		}
		s.lines[k] = copiedLine{counts: old.counts.max(n), seq: max(old.seq, r.GetSeq())}
	}
}

// dropStored drops the lines of a source that were last sent at or before seq,
// since the store has them.
func (c *Copies) dropStored(id SourceID, seq uint64) {
	s := c.sources[id]
	if s == nil {
		return
	}
	for k, l := range s.lines {
		if l.seq <= seq {
			delete(s.lines, k)
			c.lineCount--
		}
	}
	if len(s.lines) == 0 {
		delete(c.sources, id)
	}
}

// Len returns the number of lines kept.
func (c *Copies) Len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lineCount
}

// Run flushes the sources of silent processes until the context ends, and then
// flushes all that are left.
func (c *Copies) Run(ctx context.Context) error {
	t := time.NewTicker(c.takeOver / 4)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.flushSilent(ctx, c.takeOver)
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
			c.flushSilent(last, 0)
			cancel()
			return nil
		}
	}
}

// flushSilent flushes the sources of processes silent for at least d. Flushing
// the source of a live process costs a write and is otherwise harmless.
func (c *Copies) flushSilent(ctx context.Context, d time.Duration) {
	for id, s := range c.silentSources(d) {
		err := c.flushOne(ctx, id, s)
		if err != nil {
			c.log.Warn().Err(err).Str("source", id.Source).Msg("can't flush copied usage to the store")
			if !errors.Is(err, ErrPastHorizon) {
				return // The store is unavailable, so the other flushes would fail too.
			}
		}
	}
}

func (c *Copies) silentSources(d time.Duration) map[SourceID]*copiedSource {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[SourceID]*copiedSource)
	for id, s := range c.sources {
		if now.Sub(c.lastHeard[s.origin]) >= d {
			out[id] = s
		}
	}
	for origin, at := range c.lastHeard {
		if now.Sub(at) >= 10*d && d > 0 {
			delete(c.lastHeard, origin)
		}
	}
	return out
}

func (c *Copies) flushOne(ctx context.Context, id SourceID, s *copiedSource) error {
	c.mu.Lock()
	lines, seq, pos := make(Lines, len(s.lines)), uint64(0), s.pos
	for k, l := range s.lines {
		lines[k], seq = l.counts, max(seq, l.seq)
	}
	c.mu.Unlock()
	horizon, _, err := Horizon(ctx, c.store)
	if err != nil {
		return err
	}
	if id.Window <= horizon {
		err = ErrPastHorizon
	} else if err := Flush(ctx, c.store, id, lines, &pos); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s.pos = pos
	c.dropStored(id, seq)
	return err
}
