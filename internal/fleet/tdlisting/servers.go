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
	// lapseWait is how long a server is kept whose entry was missing when the
	// store came back. Live servers are listed again within two seconds.
	lapseWait = 1800 * time.Millisecond
	// lapseEvery is how often lapsed servers are looked at.
	lapseEvery = 100 * time.Millisecond
)

// Decode reads one entry.
type Decode func(key string, value []byte) (tarragondeal.Server, error)

// Servers is the list of backend servers. It is safe for concurrent use.
type Servers struct {
	prefix string
	decode Decode
	clock  tarragondeal.Clock
	log    zerolog.Logger
	apply  func([]tarragondeal.Server)

	mu     sync.Mutex
	known  map[string]tarragondeal.Server
	lapsed map[string]tarragondeal.Instant // When they are given up.
}

// NewServers returns an empty list of the entries under prefix. Apply is called
// with the whole list after each change, one call at a time.
func NewServers(prefix string, d Decode, c tarragondeal.Clock, log zerolog.Logger, apply func([]tarragondeal.Server)) *Servers {
	return &Servers{
		prefix: prefix, decode: d, clock: c, log: log, apply: apply,
		known: make(map[string]tarragondeal.Server), lapsed: make(map[string]tarragondeal.Instant),
	}
}

// Follow takes in changes of the copied store.
func (s *Servers) Follow(c tdmirror.Changes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, e := range c.Entries {
		if strings.HasPrefix(e.Key, s.prefix) {
			changed = s.follow(e, c.AfterOutage) || changed
		}
	}
	if changed {
		s.apply(s.list())
	}
}

func (s *Servers) follow(e tarragondeal.Entry, doubtful bool) bool {
	if e.Deleted {
		if doubtful {
			s.lapsed[e.Key] = s.clock.Now().Add(lapseWait)
			s.log.Info().Str("key", e.Key).Uint64("revision", uint64(e.Revision)).Msg("server's entry lapsed, kept for now")
			return false
		}
		return s.drop(e.Key, uint64(e.Revision))
	}
	delete(s.lapsed, e.Key)
	server, err := s.decode(e.Key, e.Value)
	if err != nil {
		s.log.Warn().Err(err).Str("key", e.Key).Uint64("revision", uint64(e.Revision)).Msg("entry names no server")
		return s.drop(e.Key, uint64(e.Revision))
	}
	s.known[e.Key] = server
	s.log.Info().Str("server", string(server.ID)).Str("pool", server.Pool).Str("dataCentre", server.DataCentre).
		Str("state", string(server.State)).Uint64("revision", uint64(e.Revision)).Msg("server listed")
	return true
}

func (s *Servers) drop(key string, revision uint64) bool {
	server, ok := s.known[key]
	if !ok {
		return false
	}
	delete(s.known, key)
	delete(s.lapsed, key)
	s.log.Info().Str("server", string(server.ID)).Uint64("revision", revision).Msg("server gone")
	return true
}

func (s *Servers) list() []tarragondeal.Server {
	out := make([]tarragondeal.Server, 0, len(s.known))
	for _, server := range s.known {
		out = append(out, server)
	}
	slices.SortFunc(out, func(a, b tarragondeal.Server) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Run gives up servers that did not come back, until ctx ends.
func (s *Servers) Run(ctx context.Context) error {
	for tdclock.Sleep(ctx, lapseEvery) {
		s.giveUp()
	}
	return nil
}

func (s *Servers) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for key, at := range s.lapsed {
		if s.clock.Now() >= at {
			delete(s.lapsed, key)
			changed = s.drop(key, 0) || changed
		}
	}
	if changed {
		s.apply(s.list())
	}
}
