package tdreporter

import (
	"context"
	"errors"
	"strconv"

	"tarragondeal"
	"tarragondeal/internal/account/tdusage"
)

// clean deletes what is left of windows that were reported long ago, counted
// in windows and not by a clock. The horizon moves first, so that nobody
// writes to a window whose sources are gone.
func (r *Duty) clean(ctx context.Context, l *ledger, sent int) error {
	limit := sent - r.cfg.KeepWindows
	newest := int64(0)
	var old []Closing
	for n, e := range l.entries {
		if n <= limit {
			old = append(old, e)
			newest = max(newest, e.Window)
		}
	}
	if len(old) == 0 {
		return nil
	}
	for n, e := range l.entries {
		if n > limit && e.Window <= newest {
			newest = e.Window - 1 // A window that closed late still needs its sources.
		}
	}
	if err := r.raiseHorizon(ctx, newest); err != nil {
		return err
	}
	for _, e := range old {
		if e.Window > newest {
			continue
		}
		if err := r.forget(ctx, l, e); err != nil {
			return err
		}
	}
	return nil
}

func (r *Duty) raiseHorizon(ctx context.Context, window int64) error {
	now, rev, err := tdusage.Horizon(ctx, r.Store)
	if err != nil || now >= window {
		return err
	}
	_, err = r.Store.Swap(ctx, tdusage.HorizonKey, []byte(strconv.FormatInt(window, 10)), rev)
	return err
}

// forget deletes an entry's sources and pieces and then the entry itself,
// which stays until all else is gone.
func (r *Duty) forget(ctx context.Context, l *ledger, e Closing) error {
	for _, key := range e.Billed {
		id, _, err := tdusage.ParseKey(key)
		if err != nil {
			return err
		}
		if now, _, err := tdusage.Horizon(ctx, r.Store); err != nil || id.Window > now {
			return err // It was billed as a correction to a window still kept.
		}
		if err := r.remove(ctx, key); err != nil {
			return err
		}
	}
	for _, digest := range e.Pieces {
		if l.shared(e.Number, digest) {
			continue
		}
		if err := r.remove(ctx, piecePrefix+digest); err != nil {
			return err
		}
	}
	if err := r.remove(ctx, entryKey(e.Number)); err != nil {
		return err
	}
	l.forget(e)
	return nil
}

// shared reports whether another entry has the same piece.
func (l *ledger) shared(number int, digest string) bool {
	for n, e := range l.entries {
		for _, other := range e.Pieces {
			if n != number && other == digest {
				return true
			}
		}
	}
	return false
}

func (l *ledger) forget(e Closing) {
	delete(l.entries, e.Number)
	delete(l.windows, e.Window)
	for _, key := range e.Billed {
		delete(l.billed, key)
	}
}

func (r *Duty) remove(ctx context.Context, key string) error {
	e, err := r.Store.Get(ctx, key)
	if err != nil || e.Revision == 0 {
		return err
	}
	err = r.Store.Delete(ctx, key, e.Revision)
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	return err
}

// dropVoid deletes sources that came back to a window past the horizon. All
// that was acknowledged of them has been billed, or was out of reach of the
// store for longer than windows are kept.
func (r *Duty) dropVoid(ctx context.Context, l *ledger, sources map[tdusage.SourceID]*source, horizon int64) error {
	for id, s := range sources {
		if id.Window > horizon {
			continue
		}
		for n := range s.generations {
			if _, billed := l.billed[id.Key(n)]; billed {
				continue
			}
			r.Scope.Counter("voidSources").Inc(1)
			r.Log.Error().Str("source", id.Source).Int64("window", id.Window).Msg("usage came too late to be billed")
			if err := r.remove(ctx, id.Key(n)); err != nil {
				return err
			}
		}
	}
	return nil
}
