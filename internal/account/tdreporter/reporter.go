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

// Lease is the lease of the duty.
const Lease = "usage"

const (
	closeTries = 8
	// sourcePage bounds one list of sources to what an answer may hold.
	sourcePage = 16
)

// Deps are what a reporter works with.
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

// Config bounds a reporter.
type Config struct {
	Window time.Duration // Length of a window.
	Grace  time.Duration // How long after its end a window closes.
	Every  time.Duration // Time between two looks.
	// SendTimeout bounds one report.
	SendTimeout time.Duration
	// SinkChecksFencing says that the sink refuses old fencing tokens.
	SinkChecksFencing bool
	// KeepWindows is how many newer windows must be closed and reported
	// before the sources of a window are deleted.
	KeepWindows int
}

// Duty closes and reports windows when its node has the duty.
type Duty struct {
	Deps
	cfg Config
}

// New returns the duty of reporting.
func New(d Deps, cfg Config) *Duty { return &Duty{Deps: d, cfg: cfg} }

// Run has the duty whenever this node holds the lease, until the context
// ends.
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

// pass closes what is due, reports what is closed, and deletes what is old.
func (r *Duty) pass(ctx context.Context, l *ledger, term *tdgate.Term, fence uint64) error {
	if err := l.follow(ctx); err != nil {
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
	return r.clean(ctx, l, sent)
}

// closeNext closes one window, if one is due. It looks at the sources only
// when a window has ended since it last found nothing to close.
func (r *Duty) closeNext(ctx context.Context, l *ledger, fence uint64) (bool, error) {
	cutoff := r.Clock.Wall().Add(-r.cfg.Grace)
	newest := tdusage.WindowStart(cutoff.Add(-r.cfg.Window), r.cfg.Window)
	if newest == l.looked {
		return false, nil
	}
	horizon, _, err := tdusage.Horizon(ctx, r.Store)
	if err != nil {
		return false, err
	}
	sources, err := readSources(ctx, r.Store, sourcePage)
	if err != nil {
		return false, err
	}
	if err := r.dropVoid(ctx, l, sources, horizon); err != nil {
		return false, err
	}
	window, own, late, ok := l.plan(l.due(sources, horizon), newest)
	if !ok {
		l.looked = newest
		return false, nil
	}
	for _, all := range [][]due{own, late} {
		for n := range all {
			if err := r.close(ctx, &all[n]); err != nil {
				return false, err
			}
		}
	}
	if err := r.bill(ctx, l, window, own, late, fence); err != nil {
		return false, err
	}
	if window == newest {
		l.looked = newest // What comes from now on is late.
	}
	return true, nil
}

// close closes a source generation: its figures never change again.
func (r *Duty) close(ctx context.Context, d *due) error {
	key := d.id.Key(d.generation)
	for range closeTries {
		if d.now.stored.Closed {
			return nil
		}
		next := tdusage.Generation{Closed: true, Lines: d.now.stored.Lines}
		value, err := next.Encode()
		if err != nil {
			return err
		}
		e, err := r.Store.Swap(ctx, key, value, d.now.entry.Revision)
		if err == nil {
			d.now = generation{e, next}
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
		d.now = generation{e, stored}
	}
	return eris.Errorf("%s changes too fast to be closed", key)
}

// bill writes the figures and then the entry that puts them in force.
func (r *Duty) bill(ctx context.Context, l *ledger, window int64, own, late []due, fence uint64) error {
	lines, corrections := figures(own, late)
	pieces, err := writePieces(ctx, r.Store, usageLines(lines))
	if err != nil {
		return err
	}
	e := Closing{
		Window: window, Length: tarragondeal.Duration(r.cfg.Window), Pieces: pieces,
		Corrections: corrections, By: r.Self, Fence: fence,
	}
	for _, d := range append(own, late...) {
		e.Billed = append(e.Billed, d.id.Key(d.generation))
	}
	if err := l.append(ctx, e); err != nil {
		return err
	}
	r.Log.Info().Time("window", time.Unix(window, 0).UTC()).Int("lines", len(lines)).
		Int("sources", len(e.Billed)).Int("corrections", corrections).Msg("window closed")
	return nil
}

// report sends the entries that the sink has not acknowledged, in order. It
// returns the newest one that it has.
func (r *Duty) report(ctx context.Context, l *ledger, term *tdgate.Term, fence uint64) (int, error) {
	at, err := r.Store.Get(ctx, sentKey)
	if err != nil {
		return 0, err
	}
	sent := 0
	if at.Revision != 0 {
		if sent, err = strconv.Atoi(string(at.Value)); err != nil {
			return 0, eris.Wrapf(err, "%s can't be read", sentKey)
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
			return sent, err // Sent again, with the same figures.
		}
		sent = n
	}
	return sent, nil
}

func (r *Duty) send(ctx context.Context, e Closing, term *tdgate.Term, fence uint64) error {
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
