package tdlisting

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// maxEvacuations bounds the data centres that are known to be evacuated. Another writer may
// leave any number of keys.
const maxEvacuations = 1000

// Evacuations tracks the data centres that operators have evacuated. It is safe for concurrent
// use.
type Evacuations struct {
	decode func(key string) (dataCentre string, ok bool)
	log    zerolog.Logger
	apply  func([]string)

	mu    sync.Mutex
	known []string
	full  bool // More than maxEvacuations were there.
}

// NewEvacuations returns an empty list. Decode returns the data centre that a key names. Apply
// is called with the full list, sorted, after each change, one call at a time.
func NewEvacuations(decode func(key string) (string, bool), log zerolog.Logger, apply func([]string)) *Evacuations {
	return &Evacuations{decode: decode, log: log, apply: apply}
}

// Follow applies changes of the copy of the store.
func (e *Evacuations) Follow(c tdmirror.Changes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for n := range c.Entries {
		if name, ok := e.decode(c.Entries[n].Key); ok {
			changed = e.applyEntry(name, &c.Entries[n]) || changed
		}
	}
	if changed {
		e.apply(slices.Clone(e.known))
	}
}

// applyEntry reports whether an entry changes the list.
func (e *Evacuations) applyEntry(dataCentre string, entry *tarragondeal.Entry) bool {
	at, found := slices.BinarySearch(e.known, dataCentre)
	switch {
	case found == !entry.Deleted:
		return false
	case entry.Deleted:
		e.known = slices.Delete(e.known, at, at+1)
	case len(e.known) == maxEvacuations:
		if !e.full {
			e.log.Error().Int("known", maxEvacuations).Msg("too many data centres are evacuated; further ones are ignored")
		}
		e.full = true
		return false
	default:
		e.known = slices.Insert(e.known, at, dataCentre)
	}
	e.log.Info().Str("dataCentre", dataCentre).Bool("evacuated", !entry.Deleted).Uint64("revision", uint64(entry.Revision)).
		Msg("evacuation of a data centre")
	return true
}
