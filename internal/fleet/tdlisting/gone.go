package tdlisting

import (
	"cmp"
	"maps"
	"time"

	"tarragondeal"
)

const (
	// goneTTL is how long a server is remembered after it is gone.
	goneTTL = 10 * time.Minute
	// maxGone bounds the servers that are remembered.
	maxGone = 4096
	// withholdTime is how long an earlier entry of a server that is gone is withheld, unless
	// the server was leaving. The store removes the entry meanwhile if the server is silent,
	// and need not report another write that says the same.
	withholdTime = 6 * time.Second
)

// goneServer is a server that is gone, with its last entry.
type goneServer struct {
	listedServer
	at tarragondeal.Instant
}

// withheldEntry is an entry that is applied later if it is still in the store.
type withheldEntry struct {
	entry  tarragondeal.Entry
	server tarragondeal.Server
	until  tarragondeal.Instant
}

// StartEra begins a later era of the store, to which what is received next belongs.
func (s *Servers) StartEra(era tarragondeal.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// compareStatements compares which of two entries of a server was written later. It reports
// false if they don't say so.
func compareStatements(a, b *tarragondeal.Server) (int, bool) {
	if !isNumbered(a) || !isNumbered(b) {
		return 0, false
	}
	return cmp.Or(a.StartedAt.Compare(b.StartedAt), cmp.Compare(a.Statement, b.Statement)), true
}

func isNumbered(s *tarragondeal.Server) bool { return !s.StartedAt.IsZero() && s.Statement > 0 }

// isOutdated reports whether an entry is not to be applied, since the store came back from an
// earlier copy and an entry before that was written later. Within an era the order of
// revisions counts.
func (s *Servers) isOutdated(e *tarragondeal.Entry, server *tarragondeal.Server) bool {
	last, listed := s.known[e.Key]
	if !listed {
		last = s.gone[e.Key].listedServer
	}
	order, ok := compareStatements(server, &last.Server)
	if !ok || last.era == s.era || order > 0 || order == 0 && listed {
		return false
	}
	if !listed && last.State != tarragondeal.VMLeaving {
		s.withheld[e.Key] = withheldEntry{entry: *e, server: *server, until: s.clock.Now().Add(withholdTime)}
	}
	s.log.Info().Str("server", string(server.ID)).Str("state", string(server.State)).Uint64("revision", uint64(e.Revision)).
		Uint64("statement", server.Statement).Str("knownState", string(last.State)).Uint64("knownStatement", last.Statement).Bool("gone", !listed).
		Msg("server entry of an earlier copy of the store is not applied")
	return true
}

// remember keeps what the last entry of a server says that is gone.
func (s *Servers) remember(key string, server listedServer) {
	if !isNumbered(&server.Server) {
		return
	}
	if len(s.gone) >= maxGone {
		first := ""
		for k, g := range s.gone {
			if first == "" || g.at < s.gone[first].at {
				first = k
			}
		}
		delete(s.gone, first)
	}
	s.gone[key] = goneServer{listedServer: server, at: s.clock.Now()}
}

// listWithheld lists the servers whose entries were withheld and are still in the store, and
// forgets those that are gone for long.
func (s *Servers) listWithheld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, changed := s.clock.Now(), false
	for key, w := range s.withheld {
		if now >= w.until {
			delete(s.withheld, key)
			s.putServer(&w.entry, w.server)
			changed = true
		}
	}
	maps.DeleteFunc(s.gone, func(_ string, g goneServer) bool { return now.Sub(g.at) >= goneTTL })
	if changed {
		s.apply(s.list())
	}
}
