package tdusage

import (
	"context"
	"errors"
	"strconv"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// HorizonKey is the key of the retention horizon: the newest window whose
// sources may have been deleted after they were billed.
const HorizonKey = "usage/horizon"

// maxFlushTries bounds the tries of one flush. A try fails when another process
// writes the same source at the same time, or when the generation is closed.
const maxFlushTries = 100

// ErrPastHorizon is returned for a source whose window is at or before the
// retention horizon. As far as can still be determined, all acknowledged usage
// of the source has been billed.
var ErrPastHorizon = eris.New("usage window is past the retention horizon")

// Position is the newest generation of a source as last seen in the store. The
// zero Position starts from the first generation.
type Position struct {
	number   int
	revision tarragondeal.Revision
	content  Generation
}

// Flush merges the lines of a source into the store, starting at pos and
// updating it. It is idempotent, and several processes may flush the same
// source. It doesn't check the retention horizon.
func Flush(ctx context.Context, store tarragondeal.Store, id SourceID, lines Lines, pos *Position) error {
	for range maxFlushTries {
		if pos.content.Lines == nil {
			pos.content.Lines = make(Lines)
		}
		if pos.content.Lines.covers(lines) && pos.revision != 0 {
			return nil
		}
		if pos.content.Closed {
			// The next generation starts from the counts of this one.
			pos.number++
			pos.revision, pos.content = 0, Generation{Lines: pos.content.Lines}
			continue
		}
		if err := tryWrite(ctx, store, id, lines, pos); err != nil {
			return err
		}
	}
	return eris.Errorf("source %s not flushed after %d tries", id.Source, maxFlushTries)
}

// tryWrite tries once to merge the lines into the generation at pos. On a
// conflict it updates pos from the store and returns nil.
func tryWrite(ctx context.Context, store tarragondeal.Store, id SourceID, lines Lines, pos *Position) error {
	next := Generation{Lines: pos.content.Lines.clone()}
	next.Lines.merge(lines)
	value, err := next.Encode()
	if err != nil {
		return err
	}
	key := id.Key(pos.number)
	e, err := store.Swap(ctx, key, value, pos.revision)
	if err == nil {
		pos.revision, pos.content = e.Revision, next
		return nil
	}
	var conflict *tarragondeal.ConflictError
	if !errors.As(err, &conflict) {
		// The write may have been applied. The next flush handles both cases.
		return err
	}
	if e, err = store.Get(ctx, key); err != nil {
		return err
	}
	if e.Revision == 0 {
		*pos = Position{} // The generation has been deleted: start over.
		return nil
	}
	pos.revision = e.Revision
	pos.content, err = Decode(e.Value)
	return err
}

// Horizon returns the retention horizon and its revision in the store, which are
// zero if none has been set.
func Horizon(ctx context.Context, store tarragondeal.Store) (int64, tarragondeal.Revision, error) {
	e, err := store.Get(ctx, HorizonKey)
	if err != nil || e.Revision == 0 {
		return 0, 0, err
	}
	window, err := strconv.ParseInt(string(e.Value), 10, 64)
	return window, e.Revision, eris.Wrap(err, "decode usage horizon")
}
