package tdlisting

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// maxEvacuations bounds the data centres outside of the settings that are known to be
// evacuated. Another writer may leave any number of keys.
const maxEvacuations = 1000

// Names interprets keys and data centres.
type Names struct {
	// Decode returns the data centre that a key names as evacuated.
	Decode func(key string) (dataCentre string, ok bool)
	// IsKnown reports whether the settings have a data centre. Its evacuation always counts.
	IsKnown func(dataCentre string) bool
}

// Evacuations tracks the data centres that operators have evacuated. It is safe for concurrent
// use.
type Evacuations struct {
	names Names
	log   zerolog.Logger
	apply func([]string)

	mu      sync.Mutex
	known   []string
	unknown int  // Data centres among them that the settings don't have.
	full    bool // More than maxEvacuations of these were there.
}

// NewEvacuations returns an empty list. Apply is called with the full list, sorted, after each
// change, one call at a time.
func NewEvacuations(names Names, log zerolog.Logger, apply func([]string)) *Evacuations {
	return &Evacuations{names: names, log: log, apply: apply}
}

// Follow applies changes of the copy of the store.
func (e *Evacuations) Follow(c tdmirror.Changes) {
	e.mu.Lock()
	defer e.mu.Unlock()
	changed := false
	for n := range c.Entries {
		if name, ok := e.names.Decode(c.Entries[n].Key); ok {
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
	isKnown := e.names.IsKnown(dataCentre)
	switch {
	case found == !entry.Deleted:
		return false
	case entry.Deleted:
		e.known = slices.Delete(e.known, at, at+1)
		if !isKnown {
			e.unknown--
		}
	case !isKnown && e.unknown == maxEvacuations:
		if !e.full {
			e.log.Error().Int("known", maxEvacuations).Msg("too many keys evacuate data centres that the settings lack; further ones are ignored")
		}
		e.full = true
		return false
	default:
		e.known = slices.Insert(e.known, at, dataCentre)
		if !isKnown {
			e.unknown++
		}
	}
	e.log.Info().Str("dataCentre", dataCentre).Bool("evacuated", !entry.Deleted).Uint64("revision", uint64(entry.Revision)).
		Msg("evacuation of a data centre")
	return true
}
