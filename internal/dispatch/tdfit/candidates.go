package tdfit

import (
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tarragondeal"
)

const (
	// smallPool is the size up to which all servers of a pool are compared.
	smallPool = 16
	// sampled is how many servers of a larger pool are compared beside those
	// that hold a part of the prompt. Nodes that choose at the same time by
	// the same figures then do not all choose the same server.
	sampled = 10
	// homesKept is how many servers are remembered for a prompt part, and
	// maxHomes for how many parts.
	homesKept = 3
	maxHomes  = 8192
)

// homes remembers which engines read a prompt part last.
type homes struct {
	of *simplelru.LRU[uint64, []tarragondeal.ServerID]
}

func newHomes() homes {
	// The only error is a size that is not above zero.
	of, _ := simplelru.NewLRU[uint64, []tarragondeal.ServerID](maxHomes, nil)
	return homes{of: of}
}

// add notes that an engine reads a prompt. The first part is left out: most
// prompts share it, so most engines hold it.
func (h homes) add(links []link, id tarragondeal.ServerID) {
	for n, l := range links {
		if n == 0 && len(links) > 1 {
			continue
		}
		known, _ := h.of.Get(l.digest)
		if slices.Contains(known, id) {
			continue
		}
		known = append(known, id)
		h.of.Add(l.digest, known[max(0, len(known)-homesKept):])
	}
}

// find returns the engines that read the longest part of a prompt.
func (h homes) find(links []link) []tarragondeal.ServerID {
	for n := len(links) - 1; n >= 0; n-- {
		if ids, ok := h.of.Get(links[n].digest); ok {
			return ids
		}
	}
	return nil
}

// candidates returns the servers of a pool that a request is compared for.
func (f *Fit) candidates(w *want, pool string) []*server {
	all := f.pools[pool]
	if len(all) <= smallPool {
		return all
	}
	out := make([]*server, 0, sampled+homesKept)
	for _, id := range f.homes.find(w.links) {
		if s := f.servers[id]; s != nil && s.Pool == pool {
			out = append(out, s)
		}
	}
	for range sampled {
		out = append(out, all[rand.IntN(len(all))])
	}
	return out
}
