package tdreporter

import (
	"context"
	"errors"
	"strconv"

	"tarragondeal"
	"tarragondeal/internal/account/tdusage"
)

// deleteReported deletes the log entries, pieces and sources of windows whose
// report was followed by at least KeepWindows others. Age is counted in log
// entries, not in time. It raises the retention horizon first, so that no process
// writes to a window whose sources are being deleted.
func (r *Duty) deleteReported(ctx context.Context, l *ledger, sent int) error {
	limit := sent - r.cfg.KeepWindows
	horizon := int64(0)
	var old []LogEntry
	for n, e := range l.entries {
		if n <= limit {
			old = append(old, e)
			horizon = max(horizon, e.Window)
		}
	}
	if len(old) == 0 {
		return nil
	}
	for n, e := range l.entries {
		if n > limit && e.Window <= horizon {
			// This window was closed after later ones, and its entry is too recent to
			// delete. The horizon includes its own window, so it must stay below.
			horizon = e.Window - 1
		}
	}
	if err := r.raiseHorizon(ctx, horizon); err != nil {
		return err
	}
	for _, e := range old {
		if e.Window > horizon {
			continue
		}
		if err := r.deleteEntry(ctx, l, e); err != nil {
			return err
		}
	}
	return nil
}

// raiseHorizon moves the retention horizon forward to a window. It does nothing if
// the horizon is there or later.
func (r *Duty) raiseHorizon(ctx context.Context, window int64) error {
	horizon, rev, err := tdusage.Horizon(ctx, r.Store)
	if err != nil || horizon >= window {
		return err
	}
	_, err = r.Store.Swap(ctx, tdusage.HorizonKey, []byte(strconv.FormatInt(window, 10)), rev)
	return err
}

// deleteEntry deletes an entry's source generations and pieces, and the entry
// itself last, so that an interrupted deletion can be resumed. It keeps the entry
// and returns nil if the entry bills late usage of a window after the horizon:
// without the entry, that usage would be billed again.
func (r *Duty) deleteEntry(ctx context.Context, l *ledger, e LogEntry) error {
	for _, key := range e.Billed {
		id, _, err := tdusage.ParseKey(key)
		if err != nil {
			return err
		}
		if horizon, _, err := tdusage.Horizon(ctx, r.Store); err != nil || id.Window > horizon {
			return err // Nil if the window is still kept.
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

// sharesPiece reports whether an entry other than number has the same piece.
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

// deleteExpired deletes unbilled generations whose window is at or before the
// retention horizon. Either their usage has been billed already, in an entry that
// may be deleted, or it reached the store only after its window was no longer
// kept. In the second case the usage is never billed.
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
