package tdreporter

import (
	"context"
	"errors"
	"strconv"

	"tarragondeal"
	"tarragondeal/internal/account/tdusage"
)

// deleteReported deletes the entries, pieces and sources of windows that were
// reported at least KeepWindows entries ago; no clock is involved. It raises the
// retention horizon first, so that no process writes to a window whose sources
// are being deleted.
func (r *Duty) deleteReported(ctx context.Context, l *ledger, sent int) error {
	limit := sent - r.cfg.KeepWindows
	newest := int64(0)
	var old []LogEntry
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
			newest = e.Window - 1 // This window was closed late: its sources are still needed.
		}
	}
	if err := r.raiseHorizon(ctx, newest); err != nil {
		return err
	}
	for _, e := range old {
		if e.Window > newest {
			continue
		}
		if err := r.deleteEntry(ctx, l, e); err != nil {
			return err
		}
	}
	return nil
}

// raiseHorizon moves the retention horizon forward to a window.
func (r *Duty) raiseHorizon(ctx context.Context, window int64) error {
	horizon, rev, err := tdusage.Horizon(ctx, r.Store)
	if err != nil || horizon >= window {
		return err
	}
	_, err = r.Store.Swap(ctx, tdusage.HorizonKey, []byte(strconv.FormatInt(window, 10)), rev)
	return err
}

// deleteEntry deletes an entry's sources and pieces. It deletes the entry itself
// last, so that an interrupted deletion can be resumed.
func (r *Duty) deleteEntry(ctx context.Context, l *ledger, e LogEntry) error {
	for _, key := range e.Billed {
		id, _, err := tdusage.ParseKey(key)
		if err != nil {
			return err
		}
		if horizon, _, err := tdusage.Horizon(ctx, r.Store); err != nil || id.Window > horizon {
			return err // The source was billed as a correction and its window is still kept.
		}
		if err := r.deleteKey(ctx, key); err != nil {
			return err
		}
	}
	for _, digest := range e.Pieces {
		if l.sharesPiece(e.Number, digest) {
			continue
		}
		if err := r.deleteKey(ctx, piecePrefix+digest); err != nil {
			return err
		}
	}
	if err := r.deleteKey(ctx, entryKey(e.Number)); err != nil {
		return err
	}
	l.remove(e)
	return nil
}

// sharesPiece reports whether another entry has the same piece.
func (l *ledger) sharesPiece(number int, digest string) bool {
	for n, e := range l.entries {
		for _, other := range e.Pieces {
			if n != number && other == digest {
				return true
			}
		}
	}
	return false
}

func (l *ledger) remove(e LogEntry) {
	delete(l.entries, e.Number)
	delete(l.windows, e.Window)
	for _, key := range e.Billed {
		delete(l.billed, key)
	}
}

// deleteKey deletes a key. A key that doesn't exist or changes at the same time is
// not an error.
func (r *Duty) deleteKey(ctx context.Context, key string) error {
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

// deleteExpired deletes unbilled generations whose window is past the retention
// horizon. Their acknowledged usage has been billed already, or could not be
// written to the store for longer than windows are kept.
func (r *Duty) deleteExpired(ctx context.Context, l *ledger, sources map[tdusage.SourceID]*source, horizon int64) error {
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
			if err := r.deleteKey(ctx, id.Key(n)); err != nil {
				return err
			}
		}
	}
	return nil
}
