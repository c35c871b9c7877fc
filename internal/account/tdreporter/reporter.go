package tdreporter

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/account/tdgate"
	"tarragondeal/internal/account/tdusage"
)

// Lease is the name of the duty's lease.
const Lease = "usage"

const (
	maxCloseTries = 8
	// sourcePageSize is the number of sources listed at a time, so that the
	// answer stays below the store's size limit.
	sourcePageSize = 16
)

// Deps holds the dependencies of a Duty.
type Deps struct {
	Store  tarragondeal.Store
	Leases tarragondeal.Leases
	Gates  *tdgate.Gates
	Sink   tarragondeal.UsageSink
	Clock  tarragondeal.Clock
	Self   tarragondeal.NodeID
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Config holds the settings of a Duty.
type Config struct {
	Window time.Duration // Length of a window.
	Grace  time.Duration // Time from the end of a window until it is closed.
	Every  time.Duration // Time between two passes.
	// SendTimeout bounds one call of the sink.
	SendTimeout time.Duration
	// SinkChecksFencing is set if the sink rejects earlier fencing tokens.
	SinkChecksFencing bool
	// KeepWindows is how many entries must be reported after that of a window
	// before the window's sources are deleted.
	KeepWindows int
}

// Duty closes and reports windows while its node holds the lease.
type Duty struct {
	Deps
	cfg Config
}

// New returns a Duty.
func New(d Deps, cfg Config) *Duty { return &Duty{Deps: d, cfg: cfg} }

// Run closes and reports windows whenever this node holds the lease, until the
// context ends.
func (r *Duty) Run(ctx context.Context) error {
	return r.Leases.Hold(ctx, Lease, r.hold)
}

func (r *Duty) hold(ctx context.Context, h tarragondeal.Held) error {
	term, err := r.Gates.Enter(ctx, Lease, h)
	if err != nil {
		return err
	}
	t := time.NewTicker(r.cfg.Every)
	defer t.Stop()
	l := newLedger(r.Store)
	for {
		if err := r.pass(ctx, l, term, h.Fence()); err != nil {
			r.Scope.Counter("failures").Inc(1)
			r.Log.Warn().Err(err).Msg("usage can't be reported yet")
			var fence *tarragondeal.FenceError
			if errors.As(err, &fence) {
				return err // Another node has the duty.
			}
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// pass closes the windows that are due, reports those not yet reported, and
// deletes old ones.
func (r *Duty) pass(ctx context.Context, l *ledger, term *tdgate.Term, fence uint64) error {
	if err := l.catchUp(ctx); err != nil {
		return err
	}
	for {
		closed, err := r.closeNext(ctx, l, fence)
		if err != nil {
			return err
		}
		if !closed {
			break
		}
	}
	if err := term.Clear(ctx); err != nil {
		return err
	}
	sent, err := r.report(ctx, l, term, fence)
	if err != nil {
		return err
	}
	return r.deleteReported(ctx, l, sent)
}

// closeNext closes one window and reports whether one was due. It reads the
// sources only if a window has ended since it last found nothing to close.
func (r *Duty) closeNext(ctx context.Context, l *ledger, fence uint64) (bool, error) {
	cutoff := r.Clock.Wall().Add(-r.cfg.Grace)
	newest := tdusage.WindowStart(cutoff.Add(-r.cfg.Window), r.cfg.Window)
	if newest == l.caughtUpTo {
		return false, nil
	}
	horizon, _, err := tdusage.Horizon(ctx, r.Store)
	if err != nil {
		return false, err
	}
	sources, err := readSources(ctx, r.Store, sourcePageSize)
	if err != nil {
		return false, err
	}
	if err := r.deleteExpired(ctx, l, sources, horizon); err != nil {
		return false, err
	}
	window, onTime, late, ok := l.planNext(l.unbilled(sources, horizon), newest)
	if !ok {
		l.caughtUpTo = newest
		return false, nil
	}
	for _, all := range [][]unbilledGeneration{onTime, late} {
		for n := range all {
			if err := r.closeGeneration(ctx, &all[n]); err != nil {
				return false, err
			}
		}
	}
	if err := r.bill(ctx, l, window, onTime, late, fence); err != nil {
		return false, err
	}
	if window == newest {
		l.caughtUpTo = newest // Usage written from now on is late.
	}
	return true, nil
}

// closeGeneration closes a source generation in the store. Its counts never
// change after that.
func (r *Duty) closeGeneration(ctx context.Context, d *unbilledGeneration) error {
	key := d.id.Key(d.number)
	for range maxCloseTries {
		if d.current.content.Closed {
			return nil
		}
		next := tdusage.Generation{Closed: true, Lines: d.current.content.Lines}
		value, err := next.Encode()
		if err != nil {
			return err
		}
		e, err := r.Store.Swap(ctx, key, value, d.current.entry.Revision)
		if err == nil {
			d.current = generation{e, next}
			return nil
		}
		var conflict *tarragondeal.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
		if e, err = r.Store.Get(ctx, key); err != nil {
			return err
		}
		if e.Revision == 0 {
			return eris.Errorf("%s was deleted before it was billed", key)
		}
		stored, err := tdusage.Decode(e.Value)
		if err != nil {
			return err
		}
		d.current = generation{e, stored}
	}
	return eris.Errorf("%s not closed after %d tries", key, maxCloseTries)
}

// bill writes the pieces and then the log entry that refers to them.
func (r *Duty) bill(ctx context.Context, l *ledger, window int64, onTime, late []unbilledGeneration, fence uint64) error {
	lines, corrections := billedLines(onTime, late)
	pieces, err := writePieces(ctx, r.Store, usageLines(lines))
	if err != nil {
		return err
	}
	e := LogEntry{
		Window: window, Length: tarragondeal.Duration(r.cfg.Window), Pieces: pieces,
		Corrections: corrections, By: r.Self, Fence: fence,
	}
	for _, d := range append(onTime, late...) {
		e.Billed = append(e.Billed, d.id.Key(d.number))
	}
	if err := l.append(ctx, e); err != nil {
		return err
	}
	r.Log.Info().Time("window", time.Unix(window, 0).UTC()).Int("lines", len(lines)).
		Int("sources", len(e.Billed)).Int("corrections", corrections).Msg("window closed")
	return nil
}

// report sends the entries that the sink has not acknowledged, in order. It
// returns the number of the newest one that it has acknowledged.
func (r *Duty) report(ctx context.Context, l *ledger, term *tdgate.Term, fence uint64) (int, error) {
	at, err := r.Store.Get(ctx, sentKey)
	if err != nil {
		return 0, err
	}
	sent := 0
	if at.Revision != 0 {
		if sent, err = strconv.Atoi(string(at.Value)); err != nil {
			return 0, eris.Wrapf(err, "decode %s", sentKey)
		}
	}
	for n := sent + 1; n <= l.last; n++ {
		e, kept := l.entries[n]
		if !kept {
			return sent, eris.Errorf("entry %d of the usage log is missing", n)
		}
		if err := r.send(ctx, e, term, fence); err != nil {
			return sent, err
		}
		if at, err = r.Store.Swap(ctx, sentKey, []byte(strconv.Itoa(n)), at.Revision); err != nil {
			return sent, err // The entry will be sent again, with the same lines.
		}
		sent = n
	}
	return sent, nil
}

func (r *Duty) send(ctx context.Context, e LogEntry, term *tdgate.Term, fence uint64) error {
	lines, err := readPieces(ctx, r.Store, e)
	if err != nil {
		return err
	}
	out := tarragondeal.UsageReport{
		Window: time.Unix(e.Window, 0).UTC(), Length: time.Duration(e.Length), Lines: lines,
		Fence: fence, Sender: r.Self,
	}
	sink := tdgate.Receiver{Name: "usage sink", ChecksFencing: r.cfg.SinkChecksFencing}
	err = term.Send(ctx, sink, r.cfg.SendTimeout, func(ctx context.Context) error {
		return r.Sink.Report(ctx, out)
	})
	if err == nil {
		r.Log.Info().Time("window", out.Window).Int("lines", len(lines)).Msg("window reported")
	}
	return err
}
