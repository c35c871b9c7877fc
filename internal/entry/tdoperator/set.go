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

// maxNoteBytes is the maximum size of the note of a publication.
const maxNoteBytes = 500

// defaultHistory is the number of publications returned if the request has no
// limit.
const defaultHistory = 20

// maxHistory is the maximum number of publications in one response.
const maxHistory = 200

// getSet returns the set in force, or the set of the version in the query.
func (a *API) getSet(r *http.Request, _ httprouter.Params) (any, error) {
	text := r.URL.Query().Get("version")
	if text == "" {
		if v := a.Config.View(); v != nil {
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
		return Published{Set: &tarragondeal.Set{}}, nil // No set had been published.
	}
	set, err := a.Config.Published(r.Context(), version)
	if err != nil {
		return nil, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: fmt.Sprintf("version %d can't be read: %v", version, err)}
	}
	return Published{Version: version, Set: set}, nil
}

// putSet publishes a set. The request names the version that the set is based
// on.
func (a *API) putSet(r *http.Request, _ httprouter.Params) (any, error) {
	var in Published
	if err := decodeBody(r, &in); err != nil {
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
	if err := a.checkWithdrawn(r.Context(), in.Version, doc.Set); err != nil {
		return nil, err
	}
	version, err := a.Config.Publish(r.Context(), in.Version, doc.Set, a.publication(r.Context(), in.Note))
	if err != nil {
		return nil, err
	}
	a.Log.Info().Uint64("version", uint64(version)).Str("by", operatorFromContext(r.Context())).Msg("set published")
	out := a.awaitInForce(r.Context(), version, clampWait(in.Wait))
	out.Warnings = doc.Warnings
	return out, nil
}

// checkWithdrawn returns a *tdset.FaultsError if the set would reactivate keys
// that are withdrawn in version base. A set that was made from an older version
// can do so.
func (a *API) checkWithdrawn(ctx context.Context, base tarragondeal.Version, set *tarragondeal.Set) error {
	before, err := a.setByVersion(ctx, base)
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

// setByVersion returns the set of version v. It returns nil for version zero and
// for versions older than the one in force.
func (a *API) setByVersion(ctx context.Context, v tarragondeal.Version) (*tarragondeal.Set, error) {
	if now := a.Config.View(); now != nil && now.Version == v {
		return now.Set, nil
	}
	if v == 0 || v < a.version() {
		return nil, nil // The publication fails with a conflict, or is the first one.
	}
	set, err := a.Config.Published(ctx, v)
	var store *tarragondeal.StoreError
	if err != nil && !errors.As(err, &store) {
		return nil, badRequest(fmt.Sprintf("version: the set is based on version %d, which can't be read: %v", v, err))
	}
	return set, err
}

func (a *API) publication(ctx context.Context, note string) tarragondeal.Publication {
	return tarragondeal.Publication{At: a.Clock.Wall(), By: operatorFromContext(ctx), Note: note}
}

// awaitInForce waits until version v is in force at every live node, at most for
// wait. The result lists the nodes that lag.
func (a *API) awaitInForce(ctx context.Context, v tarragondeal.Version, wait time.Duration) Result {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	lagging, err := a.Config.InForce(ctx, v)
	if err != nil && len(lagging) == 0 {
		// It is not known which nodes lag. Use the versions in the member list.
		for _, m := range a.Members.Members() {
			if m.Config < v {
				lagging = append(lagging, m.Node)
			}
		}
	}
	return Result{Version: v, Changed: true, Lagging: lagging}
}

func (a *API) history(r *http.Request, _ httprouter.Params) (any, error) {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > maxHistory {
			return nil, badRequest(fmt.Sprintf("limit: expected a number from 1 to %d", maxHistory))
		}
		limit = n
	}
	list, err := a.Config.History(r.Context(), limit)
	if err != nil {
		return nil, err
	}
	return History{Publications: list}, nil
}
