package tdoperator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

// maxNoteBytes bounds why a set is published.
const maxNoteBytes = 500

// defaultHistory is how many publications are shown when none is asked for.
const defaultHistory = 20

// maxHistory bounds how many publications one call shows.
const maxHistory = 200

// get returns the set in force, or that of the version asked for.
func (o *Operator) get(r *http.Request, _ httprouter.Params) (any, error) {
	text := r.URL.Query().Get("version")
	if text == "" {
		if v := o.Config.View(); v != nil {
			return Published{Version: v.Version, Set: v.Set}, nil
		}
		return Published{Set: &tarragondeal.Set{}}, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return nil, badRequest("version: expected a number")
	}
	version := tarragondeal.Version(n)
	if version == 0 {
		return Published{Set: &tarragondeal.Set{}}, nil // Before the first one.
	}
	set, err := o.Config.Published(r.Context(), version)
	if err != nil {
		return nil, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: fmt.Sprintf("version %d can't be read: %v", version, err)}
	}
	return Published{Version: version, Set: set}, nil
}

// put publishes a set that was made from the version it names.
func (o *Operator) put(r *http.Request, _ httprouter.Params) (any, error) {
	var in Published
	if err := read(r, &in); err != nil {
		return nil, err
	}
	if len(in.Note) > maxNoteBytes {
		return nil, badRequest(fmt.Sprintf("note: more than %d bytes", maxNoteBytes))
	}
	doc, err := in.document()
	if err == nil {
		err = doc.Err()
	}
	if err != nil {
		return nil, err
	}
	if err := o.keepWithdrawn(r.Context(), in.Version, doc.Set); err != nil {
		return nil, err
	}
	version, err := o.Config.Publish(r.Context(), in.Version, doc.Set, o.publication(r.Context(), in.Note))
	if err != nil {
		return nil, err
	}
	o.Log.Info().Uint64("version", uint64(version)).Str("by", nameOf(r.Context())).Msg("set published")
	out := o.inForce(r.Context(), version, waitOf(in.Wait))
	out.Warnings = doc.Warnings
	return out, nil
}

// keepWithdrawn returns the faults of a set that would give withdrawn keys
// back, as one made from an old version does.
func (o *Operator) keepWithdrawn(ctx context.Context, base tarragondeal.Version, set *tarragondeal.Set) error {
	before, err := o.setOf(ctx, base)
	if err != nil || before == nil {
		return err
	}
	withdrawn := make(map[string]bool)
	for _, k := range before.Keys {
		if k.Withdrawn {
			withdrawn[k.Digest] = true
		}
	}
	var faults []tdset.Fault
	for n, k := range set.Keys {
		if !k.Withdrawn && withdrawn[k.Digest] {
			faults = append(faults, tdset.Fault{
				Path: fmt.Sprintf("keys[%d].withdrawn", n), Text: fmt.Sprintf("key %q has been withdrawn and can't be given back", k.Name),
			})
		}
	}
	if len(faults) > 0 {
		return &tdset.FaultsError{File: "set", Faults: faults}
	}
	return nil
}

// setOf returns the set of a version, or nil where there was none.
func (o *Operator) setOf(ctx context.Context, v tarragondeal.Version) (*tarragondeal.Set, error) {
	if now := o.Config.View(); now != nil && now.Version == v {
		return now.Set, nil
	}
	if v == 0 || v < o.version() {
		return nil, nil // Publishing meets a conflict, or is the first.
	}
	set, err := o.Config.Published(ctx, v)
	var store *tarragondeal.StoreError
	if err != nil && !errors.As(err, &store) {
		return nil, badRequest(fmt.Sprintf("version: the set is based on version %d, which can't be read: %v", v, err))
	}
	return set, err
}

func (o *Operator) publication(ctx context.Context, note string) tarragondeal.Publication {
	return tarragondeal.Publication{At: o.Clock.Wall(), By: nameOf(ctx), Note: note}
}

// inForce waits until a version is in force at every live node.
func (o *Operator) inForce(ctx context.Context, v tarragondeal.Version, wait time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	lagging, err := o.Config.InForce(ctx, v)
	if err != nil && len(lagging) == 0 {
		// It can't be told who lags, so nothing is known of the others.
		for _, m := range o.Members.Members() {
			if m.Config < v {
				lagging = append(lagging, m.Node)
			}
		}
	}
	return Result{Version: v, Changed: true, Lagging: lagging}
}

func (o *Operator) history(r *http.Request, _ httprouter.Params) (any, error) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return nil, badRequest(fmt.Sprintf("limit: expected a number from 1 to %d", maxHistory))
		}
		limit = n
	}
	list, err := o.Config.History(r.Context(), limit)
	if err != nil {
		return nil, err
	}
	return History{Publications: list}, nil
}
