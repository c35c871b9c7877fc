package tdusage

import (
	"context"
	"errors"
	"strconv"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// HorizonKey holds the newest window whose sources have been deleted, after
// they were billed.
const HorizonKey = "usage/horizon"

// maxTries bounds one flush: each try is lost to another writer of the same
// source, or finds a closed generation.
const maxTries = 100

// ErrPastHorizon is a source whose window is past the horizon: all that was
// acknowledged of it has been billed, as far as anybody can still tell.
var ErrPastHorizon = eris.New("usage is older than what is kept")

// Place is where a source's open generation was last seen.
type Place struct {
	generation int
	revision   tarragondeal.Revision
	stored     Stored
}

// Flush makes the store cover the figures of a source. It may be repeated,
// and several processes may flush the same source.
func Flush(ctx context.Context, store tarragondeal.Store, id SourceID, mine Lines, at *Place) error {
	for range maxTries {
		if at.stored.Lines == nil {
			at.stored.Lines = make(Lines)
		}
		if at.stored.Lines.covers(mine) && at.revision != 0 {
			return nil
		}
		if at.stored.Closed {
			// The next generation goes on from the figures of this one.
			at.generation++
			at.revision, at.stored = 0, Stored{Lines: at.stored.Lines}
			continue
		}
		if err := write(ctx, store, id, mine, at); err != nil {
			return err
		}
	}
	return eris.Errorf("source %s changes too fast to be flushed", id.Source)
}

// write tries to extend the open generation once and learns what stands
// there.
func write(ctx context.Context, store tarragondeal.Store, id SourceID, mine Lines, at *Place) error {
	next := Stored{Lines: at.stored.Lines.clone()}
	next.Lines.merge(mine)
	value, err := next.Encode()
	if err != nil {
		return err
	}
	key := id.Key(at.generation)
	e, err := store.Swap(ctx, key, value, at.revision)
	if err == nil {
		at.revision, at.stored = e.Revision, next
		return nil
	}
	var conflict *tarragondeal.ConflictError
	if !errors.As(err, &conflict) {
		// It may have taken effect. The next try finds out.
		return err
	}
	if e, err = store.Get(ctx, key); err != nil {
		return err
	}
	if e.Revision == 0 {
		*at = Place{} // It was deleted meanwhile: begin again.
		return nil
	}
	at.revision = e.Revision
	at.stored, err = Decode(e.Value)
	return err
}

// Horizon returns the newest window whose sources may be gone.
func Horizon(ctx context.Context, store tarragondeal.Store) (int64, tarragondeal.Revision, error) {
	e, err := store.Get(ctx, HorizonKey)
	if err != nil || e.Revision == 0 {
		return 0, 0, err
	}
	window, err := strconv.ParseInt(string(e.Value), 10, 64)
	return window, e.Revision, eris.Wrap(err, "usage horizon can't be read")
}
