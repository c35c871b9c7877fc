// Package tdprefix remembers which servers have lately run which prompt
// prefixes, and so may have them in their cache.
//
// # Usage
//
//	h := tdprefix.New(16384)
//	h.Ran(server, prefixes)
//	m := h.Match(prefixes)
//	if m.Has(server) {
//		// The server may have m.Part of the prompt in its cache.
//	}
//
// Digests are salted with the workspace by whoever makes them, so affinity
// never crosses workspaces.
package tdprefix

import (
	lru "github.com/hashicorp/golang-lru/v2"

	"tarragondeal"
)

// copies is how many servers are remembered for one prefix.
const copies = 3

// servers are the last ones that ran a prefix, newest first.
type servers [copies]tarragondeal.ServerID

// Match is where the longest known prefix of a prompt may be cached.
type Match struct {
	servers servers
	Part    float64 // How much of the prompt it covers, zero for nothing.
}

// Has reports whether a server may have the prefix.
func (m *Match) Has(id tarragondeal.ServerID) bool {
	for n := range m.servers {
		if m.servers[n] == id && id != "" {
			return true
		}
	}
	return false
}

// History is what one node knows of prefixes. It is safe for concurrent use.
type History struct {
	ran *lru.Cache[uint64, servers]
}

// New returns a history of up to size prefixes.
func New(size int) (*History, error) {
	c, err := lru.New[uint64, servers](size)
	if err != nil {
		return nil, err
	}
	return &History{ran: c}, nil
}

// Ran notes that a server has the prefixes of a prompt in its cache now.
func (h *History) Ran(id tarragondeal.ServerID, prefixes []uint64) {
	for _, p := range prefixes {
		old, _ := h.ran.Get(p)
		next := servers{id}
		k := 1
		for _, o := range old {
			if o != id && k < copies {
				next[k] = o
				k++
			}
		}
		h.ran.Add(p, next)
	}
}

// Gone notes that a server does not have a prefix any more. Events that say
// so come late and with gaps; a wrong guess costs one cache miss.
func (h *History) Gone(id tarragondeal.ServerID, prefix uint64) {
	old, ok := h.ran.Get(prefix)
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
	h.ran.Add(prefix, next)
}

// Match finds the longest known one of the prefixes, which are ordered
// shortest first.
func (h *History) Match(prefixes []uint64) Match {
	for n := len(prefixes) - 1; n >= 0; n-- {
		if s, ok := h.ran.Get(prefixes[n]); ok && s[0] != "" {
			return Match{servers: s, Part: float64(n+1) / float64(len(prefixes))}
		}
	}
	return Match{}
}
