package tdlisting

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdmirror"
)

// evacuationGrace is how long an evacuation is kept whose key is missing since the store came
// back from an earlier copy. Operators write it again, not at once.
const evacuationGrace = 30 * time.Second

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
	clock tarragondeal.Clock
	log   zerolog.Logger
	apply func([]string)

	mu      sync.Mutex
	era     tarragondeal.Era
	known   map[string]evacuation
	unknown int  // Data centres among them that the settings don't have.
	full    bool // More than maxEvacuations of these were there.
}

// evacuation is the key of a data centre that is evacuated.
type evacuation struct {
	era   tarragondeal.Era     // In which it was received last.
	until tarragondeal.Instant // When the evacuation ends since the key is missing; zero if it is there.
}

// NewEvacuations returns an empty list. Apply is called with the full list, sorted, after each
// change, one call at a time.
func NewEvacuations(names Names, c tarragondeal.Clock, log zerolog.Logger, apply func([]string)) *Evacuations {
	return &Evacuations{names: names, clock: c, log: log, apply: apply, known: make(map[string]evacuation)}
}

// StartEra begins a later era of the store, to which what is received next belongs.
func (e *Evacuations) StartEra(era tarragondeal.Era) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.era = era
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
	e.applyIf(changed)
}

func (e *Evacuations) applyIf(changed bool) {
	if changed {
		e.apply(slices.Sorted(maps.Keys(e.known)))
	}
}

// applyEntry reports whether an entry changes the list.
func (e *Evacuations) applyEntry(dataCentre string, entry *tarragondeal.Entry) bool {
	before, found := e.known[dataCentre]
	isKnown := e.names.IsKnown(dataCentre)
	switch {
	case !found && entry.Deleted:
		return false
	case entry.Deleted && before.era != e.era:
		before.until = e.clock.Now().Add(evacuationGrace)
		e.known[dataCentre] = before
		e.log.Info().Str("dataCentre", dataCentre).Uint64("revision", uint64(entry.Revision)).Dur("for", evacuationGrace).
			Msg("key of an evacuation is missing since the store came back, keeping the evacuation for now")
		return false
	case entry.Deleted:
		e.remove(dataCentre)
	case !found && !isKnown && e.unknown == maxEvacuations:
		if !e.full {
			e.log.Error().Int("known", maxEvacuations).Msg("too many keys evacuate data centres that the settings lack; further ones are ignored")
		}
		e.full = true
		return false
	default:
		e.known[dataCentre] = evacuation{era: e.era}
		if found {
			return false
		}
		if !isKnown {
			e.unknown++
		}
	}
	e.log.Info().Str("dataCentre", dataCentre).Bool("evacuated", !entry.Deleted).Uint64("revision", uint64(entry.Revision)).
		Msg("evacuation of a data centre")
	return true
}

func (e *Evacuations) remove(dataCentre string) {
	delete(e.known, dataCentre)
	if !e.names.IsKnown(dataCentre) {
		e.unknown--
	}
}

// Run ends evacuations whose keys stay missing, until ctx ends.
func (e *Evacuations) Run(ctx context.Context) error {
	for tdclock.Sleep(ctx, expiryCheckInterval) {
		e.removeExpired()
	}
	return nil
}

func (e *Evacuations) removeExpired() {
	e.mu.Lock()
	defer e.mu.Unlock()
	now, changed := e.clock.Now(), false
	for dataCentre, k := range e.known {
		if k.until != 0 && now >= k.until {
			e.remove(dataCentre)
			e.log.Info().Str("dataCentre", dataCentre).Bool("evacuated", false).Msg("evacuation of a data centre")
			changed = true
		}
	}
	e.applyIf(changed)
}
