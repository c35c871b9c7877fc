package tdfit

import (
	"math/rand/v2"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tarragondeal"
)

const (
	// smallPool is the pool size up to which all servers are compared.
	smallPool = 16
	// sampleSize is the number of random servers of a larger pool that are
	// compared, in addition to those that have part of the prompt cached.
	// Sampling keeps nodes that choose at the same time, from the same load
	// data, from all choosing the same server.
	sampleSize = 10
	// adaptiveSampleSize is the number of random servers in a pool where those are compared as
	// well that the node has used last. Of these it knows its own requests at once, those of
	// other nodes only later: the fewer nodes compare a server, the fewer send to it at the
	// same time.
	adaptiveSampleSize = 2
	// minIndexedTokens is the length of the shortest prefix that is recorded. A shorter one
	// is read again in less time than a server with less load saves.
	minIndexedTokens = 256
	// maxServersPerPrefix bounds the servers that are recorded for a prefix,
	// maxPrefixes the prefixes.
	maxServersPerPrefix = 3
	maxPrefixes         = 8192
)

// prefixIndex records which engines last read a prompt prefix.
type prefixIndex struct {
	servers *simplelru.LRU[uint64, []tarragondeal.ServerID]
}

func newPrefixIndex() prefixIndex {
	// The only error is a size that is not above zero.
	servers, _ := simplelru.NewLRU[uint64, []tarragondeal.ServerID](maxPrefixes, nil)
	return prefixIndex{servers: servers}
}

// add records that an engine reads a prompt.
func (x prefixIndex) add(prefixes []prefix, id tarragondeal.ServerID) {
	tokens := 0
	for _, p := range prefixes {
		if tokens += p.Tokens; tokens < minIndexedTokens {
			continue
		}
		known, _ := x.servers.Get(p.Digest)
		if slices.Contains(known, id) {
			continue
		}
		known = append(known, id)
		x.servers.Add(p.Digest, known[max(0, len(known)-maxServersPerPrefix):])
	}
}

// find returns the engines that read the longest known prefix of a prompt.
func (x prefixIndex) find(prefixes []prefix) []tarragondeal.ServerID {
	for n := len(prefixes) - 1; n >= 0; n-- {
		if ids, ok := x.servers.Get(prefixes[n].Digest); ok {
			return ids
		}
	}
	return nil
}

// candidates returns the servers of a pool whose costs are compared for a
// request.
func (f *Fit) candidates(r *request, pool string) []*server {
	all := f.pools[pool]
	if len(all) <= smallPool || r.ask.Software != nil { // Few may have the version.
		return all
	}
	out := make([]*server, 0, sampleSize+maxServersPerPrefix)
	for _, id := range f.prefixes.find(r.prefixes) {
		if s := f.servers[id]; s != nil && s.Pool == pool {
			out = append(out, s)
		}
	}
	n := sampleSize
	if f.isAdaptive(pool) && !f.isLive(r, pool) {
		used := f.keptServers(pool)
		n = max(adaptiveSampleSize, sampleSize-len(used))
		out = append(out, used...)
	}
	for range n {
		out = append(out, all[rand.IntN(len(all))])
	}
	return out
}
