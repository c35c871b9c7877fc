// Package tdprefix records which servers recently ran which prompt prefixes, and
// so may have them in their cache.
//
// # Usage
//
//	h := tdprefix.New(16384)
//	h.Add(server, prefixes)
//	m := h.Match(prefixes)
//	if m.Has(server) {
//		// The server may have m.Fraction of the prompt in its cache.
//	}
//
// Prefixes are digests. The caller salts them with the workspace, so that there is
// no affinity across workspaces.
package tdprefix

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"tarragondeal"
)

// maxServers is the number of servers that are recorded for one prefix.
const maxServers = 3

// servers lists the servers that last ran a prefix, newest first.
type servers [maxServers]tarragondeal.ServerID

// Match lists the servers that may have the longest known prefix of a prompt in
// their cache.
type Match struct {
	servers  servers
	Fraction float64 // Share of the prompt's prefixes that it covers, zero without a match.
}

// Has reports whether a server may have the prefix in its cache.
func (m *Match) Has(id tarragondeal.ServerID) bool {
	for n := range m.servers {
		if m.servers[n] == id && id != "" {
			return true
		}
	}
	return false
}

// History records the prefixes that one node has seen, with LRU eviction. It is
// safe for concurrent use.
type History struct {
	prefixes *lru.Cache[uint64, servers]
}

// New returns a history of up to size prefixes. It returns an error if size isn't
// positive.
func New(size int) (*History, error) {
	c, err := lru.New[uint64, servers](size)
	if err != nil {
		return nil, err
	}
	return &History{prefixes: c}, nil
}

// Add records that a server has the prefixes of a prompt in its cache.
func (h *History) Add(id tarragondeal.ServerID, prefixes []uint64) {
	for _, p := range prefixes {
		old, _ := h.prefixes.Get(p)
		next := servers{id}
		k := 1
		for _, o := range old {
			if o != id && k < maxServers {
				next[k] = o
				k++
			}
		}
		h.prefixes.Add(p, next)
	}
}

// Remove records that a server no longer has a prefix in its cache. Eviction
// events may be delayed or lost; a stale entry costs one cache miss.
func (h *History) Remove(id tarragondeal.ServerID, prefix uint64) {
	old, ok := h.prefixes.Get(prefix)
	if !ok {
		return
	}
	var next servers
	k := 0
	for _, o := range old {
		if o != id {
			next[k] = o
			k++
		}
	}
	h.prefixes.Add(prefix, next)
}

// Match returns the match of the longest known prefix. The prefixes are ordered
// shortest first.
func (h *History) Match(prefixes []uint64) Match {
	for n := len(prefixes) - 1; n >= 0; n-- {
		if s, ok := h.prefixes.Get(prefixes[n]); ok && s[0] != "" {
			return Match{servers: s, Fraction: float64(n+1) / float64(len(prefixes))}
		}
	}
	return Match{}
}
