package tdoperator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/julienschmidt/httprouter"

	"tarragondeal"
	"tarragondeal/internal/object/tdset"
)

const (
	// maxAttempts is the maximum number of attempts to publish a change of keys.
	maxAttempts = 10
	// conflictWait is how long to wait, after a failed attempt, for a newer set
	// to come into force at this node.
	conflictWait = 2 * time.Second
	// conflictJitter is the maximum random delay before the next attempt, so
	// that concurrent changes do not keep conflicting.
	conflictJitter = 100 * time.Millisecond
)

func (a *API) keys(*http.Request, httprouter.Params) (any, error) {
	out := Keys{Keys: []KeyInfo{}}
	v := a.Config.View()
	if v == nil {
		return out, nil
	}
	out.Version = v.Version
	for _, k := range v.Set.Keys {
		out.Keys = append(out.Keys, KeyInfo{Name: k.Name, Workspace: k.Workspace, Withdrawn: k.Withdrawn, Limits: k.Limits})
	}
	return out, nil
}

func (a *API) issue(r *http.Request, _ httprouter.Params) (any, error) {
	var in NewKey
	if err := decodeBody(r, &in); err != nil {
		return nil, err
	}
	note := in.Note
	if note == "" {
		note = fmt.Sprintf("issue key %s for %s", in.Key.Name, in.Key.Workspace)
	}
	return a.changeKeys(r.Context(), note, clampWait(in.Wait), func(set *tarragondeal.Set) (bool, error) {
		return addKey(set, in.Key)
	})
}

// addKey adds a key to a set and reports whether the set changed. An identical
// key in the set is not an error: an earlier attempt whose response was lost has
// added it.
func addKey(set *tarragondeal.Set, key tarragondeal.Key) (bool, error) {
	for _, k := range set.Keys {
		if k == key {
			return false, nil
		}
		if k.Name == key.Name {
			return false, &Error{Status: http.StatusConflict, Code: CodeNameTaken, Message: fmt.Sprintf("another key is named %q", key.Name)}
		}
	}
	set.Keys = append(set.Keys, key)
	return true, nil
}

func (a *API) withdraw(r *http.Request, p httprouter.Params) (any, error) {
	var in NewKey
	if err := decodeBody(r, &in); err != nil {
		return nil, err
	}
	name := p.ByName("name")
	note := in.Note
	if note == "" {
		note = "withdraw key " + name
	}
	return a.changeKeys(r.Context(), note, clampWait(in.Wait), func(set *tarragondeal.Set) (bool, error) {
		return withdrawKey(set, name)
	})
}

// withdrawKey marks a key of the set as withdrawn and reports whether the set
// changed.
func withdrawKey(set *tarragondeal.Set, name string) (bool, error) {
	for n := range set.Keys {
		k := &set.Keys[n]
		if k.Name != name {
			continue
		}
		changed := !k.Withdrawn
		k.Withdrawn = true
		return changed, nil
	}
	return false, &Error{Status: http.StatusNotFound, Code: CodeNotFound, Message: fmt.Sprintf("no key is named %q", name)}
}

// changeKeys publishes the set in force with its keys changed by edit. If another
// set is published in between, the change is retried on top of that set. It is
// also retried if the outcome of an attempt is unknown: edit then reports no
// change if the attempt took effect.
func (a *API) changeKeys(ctx context.Context, note string, wait time.Duration, edit func(*tarragondeal.Set) (bool, error)) (any, error) {
	if len(note) > maxNoteBytes {
		return nil, badRequest(fmt.Sprintf("note: more than %d bytes", maxNoteBytes))
	}
	var last error
	for range maxAttempts {
		base, set := a.editableSet()
		changed, err := edit(set)
		if err != nil {
			return nil, err
		}
		if !changed {
			out := a.awaitInForce(ctx, base, wait)
			out.Changed = last != nil // An earlier attempt made the change.
			return out, nil
		}
		if faults := tdset.Check(set); len(faults) > 0 {
			return nil, &tdset.FaultsError{File: "set", Faults: faults}
		}
		version, err := a.Config.Publish(ctx, base, set, a.publication(ctx, note))
		if err == nil {
			a.Log.Info().Uint64("version", uint64(version)).Str("by", operatorFromContext(ctx)).Msg("keys changed")
			return a.awaitInForce(ctx, version, wait), nil
		}
		if !retryable(err) {
			return nil, err
		}
		last = err
		if err := a.awaitNewer(ctx, base); err != nil {
			return nil, err
		}
	}
	return nil, last
}

// retryable reports whether a change of keys can be retried after err: another
// set was published in between, or the outcome of the attempt is unknown.
func retryable(err error) bool {
	var conflict *tarragondeal.ConflictError
	var store *tarragondeal.StoreError
	return errors.As(err, &conflict) || errors.As(err, &store) && !store.Settled
}

// editableSet returns the version in force and a copy of its set. Only the keys
// of the copy may be changed; the other lists are shared.
func (a *API) editableSet() (tarragondeal.Version, *tarragondeal.Set) {
	v := a.Config.View()
	if v == nil {
		return 0, &tarragondeal.Set{}
	}
	set := *v.Set
	set.Keys = slices.Clone(v.Set.Keys)
	return v.Version, &set
}

// awaitNewer waits until a set newer than base is in force at this node, and then
// for a random time of up to conflictJitter. It returns nil after conflictWait even
// if there is no newer set; the only errors are those of ctx.
func (a *API) awaitNewer(ctx context.Context, base tarragondeal.Version) error {
	limit := time.NewTimer(conflictWait)
	defer limit.Stop()
	for {
		changed := a.Config.Changed()
		if a.version() > base {
			break
		}
		select {
		case <-changed:
			continue
		case <-limit.C:
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	select {
	case <-time.After(rand.N(conflictJitter)):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
