package tdlisting

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdmirror"
)

const (
	// relistTime is how long after the end of an outage live servers whose
	// entries expired are listed again.
	relistTime = 2 * time.Second
	// expiryGrace is how long a server is kept at most whose entry was missing
	// when the store came back.
	expiryGrace = 1800 * time.Millisecond
	// expiryCheckInterval is how often expired servers are checked for removal.
	expiryCheckInterval = 100 * time.Millisecond
)

// Decode decodes the entry of one server.
type Decode func(key string, value []byte) (tarragondeal.Server, error)

// Servers tracks the backend servers in the store. It is safe for concurrent use.
type Servers struct {
	prefix string
	decode Decode
	clock  tarragondeal.Clock
	log    zerolog.Logger
	apply  func([]tarragondeal.Server)

	mu       sync.Mutex
	era      tarragondeal.Era
	known    map[string]listedServer
	expired  map[string]tarragondeal.Instant // When to remove each server, by key.
	gone     map[string]goneServer
	withheld map[string]withheldEntry
}

// listedServer is a server with the position of its entry.
type listedServer struct {
	tarragondeal.Server
	revision tarragondeal.Revision
	era      tarragondeal.Era
}

// NewServers returns an empty list of the servers under prefix. Apply is called
// with the full list, sorted by ID, after each change, one call at a time.
func NewServers(prefix string, d Decode, c tarragondeal.Clock, log zerolog.Logger, apply func([]tarragondeal.Server)) *Servers {
	return &Servers{
		prefix: prefix, decode: d, clock: c, log: log, apply: apply,
		known: make(map[string]listedServer), expired: make(map[string]tarragondeal.Instant),
		gone: make(map[string]goneServer), withheld: make(map[string]withheldEntry),
	}
}

// Follow applies changes of the copy of the store.
func (s *Servers) Follow(c tdmirror.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, e := range c.Entries {
		if strings.HasPrefix(e.Key, s.prefix) {
			changed = s.applyEntry(e, c) || changed
		}
	}
	if changed {
		s.apply(s.list())
	}
}

func (s *Servers) applyEntry(e tarragondeal.Entry, c tdmirror.Changes) bool {
	delete(s.withheld, e.Key)
	if e.Deleted {
		if c.AfterOutage {
			until := s.clock.Now().Add(expiryGrace)
			if c.OutageEnd != 0 {
				until = min(until, c.OutageEnd.Add(relistTime))
			}
			s.expired[e.Key] = until
			s.log.Info().Str("key", e.Key).Uint64("revision", uint64(e.Revision)).Dur("for", until.Sub(s.clock.Now())).
				Bool("unavailable", c.OutageEnd == 0).Msg("server entry expired after an outage, keeping it for now")
			return false
		}
		return s.removeServer(e.Key, uint64(e.Revision))
	}
	delete(s.expired, e.Key)
	server, err := s.decode(e.Key, e.Value)
	if err != nil {
		s.log.Warn().Err(err).Str("key", e.Key).Uint64("revision", uint64(e.Revision)).Msg("invalid server entry")
		return s.removeServer(e.Key, uint64(e.Revision))
	}
	if s.isOutdated(&e, &server) {
		return false
	}
	s.putServer(&e, server)
	return true
}

// putServer lists a server.
func (s *Servers) putServer(e *tarragondeal.Entry, server tarragondeal.Server) {
	before := s.known[e.Key]
	server.ListedAt = before.ListedAt
	if before.revision != e.Revision || server != before.Server { // Another one may have the revision in a later era.
		server.ListedAt = s.clock.Now()
	}
	s.known[e.Key] = listedServer{Server: server, revision: e.Revision, era: s.era}
	delete(s.gone, e.Key)
	s.log.Info().Str("server", string(server.ID)).Str("pool", server.Pool).Str("dataCentre", server.DataCentre).
		Str("state", string(server.State)).Str("version", server.SoftwareVersion).Uint64("revision", uint64(e.Revision)).Msg("server listed")
}

func (s *Servers) removeServer(key string, revision uint64) bool {
	server, ok := s.known[key]
	if !ok {
		return false
	}
	delete(s.known, key)
	delete(s.expired, key)
	s.remember(key, server)
	s.log.Info().Str("server", string(server.ID)).Uint64("revision", revision).Msg("server gone")
	return true
}

func (s *Servers) list() []tarragondeal.Server {
	out := make([]tarragondeal.Server, 0, len(s.known))
	for _, server := range s.known {
		out = append(out, server.Server)
	}
	slices.SortFunc(out, func(a, b tarragondeal.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Run removes expired servers that were not listed again, and lists those whose entries were
// withheld and are still there, until ctx ends.
func (s *Servers) Run(ctx context.Context) error {
	for tdclock.Sleep(ctx, expiryCheckInterval) {
		s.removeExpired()
		s.listWithheld()
	}
	return nil
}

func (s *Servers) removeExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for key, at := range s.expired {
		if s.clock.Now() >= at {
			delete(s.expired, key)
			changed = s.removeServer(key, 0) || changed
		}
	}
	if changed {
		s.apply(s.list())
	}
}
