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
	// maxTries bounds how often a change of keys is made again on top of a
	// newer set.
	maxTries = 10
	// conflictWait is how long a newer set may take to come into force here
	// after a conflict.
	conflictWait = 2 * time.Second
	// conflictJitter spreads out operators that race each other.
	conflictJitter = 100 * time.Millisecond
)

func (o *Operator) keys(*http.Request, httprouter.Params) (any, error) {
	out := Keys{Keys: []KeyInfo{}}
	v := o.Config.View()
	if v == nil {
		return out, nil
	}
	out.Version = v.Version
	for _, k := range v.Set.Keys {
		out.Keys = append(out.Keys, KeyInfo{Name: k.Name, Workspace: k.Workspace, Withdrawn: k.Withdrawn, Limits: k.Limits})
	}
	return out, nil
}

func (o *Operator) issue(r *http.Request, _ httprouter.Params) (any, error) {
	var in NewKey
	if err := read(r, &in); err != nil {
		return nil, err
	}
	note := in.Note
	if note == "" {
		note = fmt.Sprintf("issue key %s for %s", in.Key.Name, in.Key.Workspace)
	}
	return o.change(r.Context(), note, waitOf(in.Wait), func(set *tarragondeal.Set) (bool, error) {
		return addKey(set, in.Key)
	})
}

// addKey adds a key to a set. A key that stands there already, word for
// word, was added by an earlier try whose answer was lost.
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

func (o *Operator) withdraw(r *http.Request, p httprouter.Params) (any, error) {
	var in NewKey
	if err := read(r, &in); err != nil {
		return nil, err
	}
	name := p.ByName("name")
	note := in.Note
	if note == "" {
		note = "withdraw key " + name
	}
	return o.change(r.Context(), note, waitOf(in.Wait), func(set *tarragondeal.Set) (bool, error) {
		return withdrawKey(set, name)
	})
}

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

// change publishes the set in force with its keys changed. When another set
// comes in between, the change is made again on top of that one. A try whose
// answer was lost is made again too: the change then finds itself done.
func (o *Operator) change(ctx context.Context, note string, wait time.Duration, edit func(*tarragondeal.Set) (bool, error)) (any, error) {
	if len(note) > maxNoteBytes {
		return nil, badRequest(fmt.Sprintf("note: more than %d bytes", maxNoteBytes))
	}
	var last error
	for range maxTries {
		base, set := o.copySet()
		changed, err := edit(set)
		if err != nil {
			return nil, err
		}
		if !changed {
			out := o.inForce(ctx, base, wait)
			out.Changed = last != nil // An earlier try did it.
			return out, nil
		}
		if faults := tdset.Check(set); len(faults) > 0 {
			return nil, &tdset.FaultsError{File: "set", Faults: faults}
		}
		version, err := o.Config.Publish(ctx, base, set, o.publication(ctx, note))
		if err == nil {
			o.Log.Info().Uint64("version", uint64(version)).Str("by", nameOf(ctx)).Msg("keys changed")
			return o.inForce(ctx, version, wait), nil
		}
		if !worthAnother(err) {
			return nil, err
		}
		last = err
		if err := o.awaitNewer(ctx, base); err != nil {
			return nil, err
		}
	}
	return nil, last
}

// worthAnother tells whether a change of keys may be tried again: when
// another set came in between, or when this one may have.
func worthAnother(err error) bool {
	var conflict *tarragondeal.ConflictError
	var store *tarragondeal.StoreError
	return errors.As(err, &conflict) || errors.As(err, &store) && !store.Settled
}

// copySet returns the set in force with keys that may be changed.
func (o *Operator) copySet() (tarragondeal.Version, *tarragondeal.Set) {
	v := o.Config.View()
	if v == nil {
		return 0, &tarragondeal.Set{}
	}
	set := *v.Set
	set.Keys = slices.Clone(v.Set.Keys)
	return v.Version, &set
}

// awaitNewer waits until a set newer than base is in force at this node, for
// a bounded time.
func (o *Operator) awaitNewer(ctx context.Context, base tarragondeal.Version) error {
	limit := time.NewTimer(conflictWait)
	defer limit.Stop()
	for {
		changed := o.Config.Changed()
		if o.version() > base {
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
