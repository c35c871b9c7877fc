package tdlimit

import (
	"time"

	"tarragondeal"
)

const (
	// shareTTL is how long a node may use a share, from when it requested it.
	shareTTL = 2 * time.Second
	// grantTTL is how long the allocator counts a share as granted. It exceeds
	// shareTTL by more than the duration of a call, so that a share expires at
	// its node first.
	grantTTL = 3 * time.Second
	// minShareFraction is the least demand that a node is counted with, as a
	// fraction of an equal share, so that an idle node can admit requests and
	// show a demand.
	minShareFraction = 0.1
	// demandHeadroom bounds a node's share to this multiple of its demand, or to
	// an equal share if that is larger.
	demandHeadroom = 2
)

// grant is one node's share of one subject.
type grant struct {
	demand  amounts
	share   amounts
	expires tarragondeal.Instant
}

// amounts holds requests per second, tokens per second and concurrent requests.
type amounts [3]float64

const (
	requests   = 0
	tokens     = 1
	concurrent = 2
)

// allocator divides the limits of the subjects assigned to this node. It is not
// safe for concurrent use.
type allocator struct {
	subjects map[string]map[string]*grant
}

func newAllocator() *allocator { return &allocator{subjects: make(map[string]map[string]*grant)} }

// share grants a node its share of a subject. The argument held is the share
// that the node holds from an earlier reply, with the number of its running
// requests as the concurrent amount. The argument fleet is the number of live
// nodes, each of which may request a share.
func (a *allocator) share(now tarragondeal.Instant, node, subject string, limit, demand, held amounts, fleet int) amounts {
	nodes, ok := a.subjects[subject]
	if !ok {
		nodes = make(map[string]*grant)
		a.subjects[subject] = nodes
	}
	for name, g := range nodes {
		if now > g.expires {
			delete(nodes, name)
		}
	}
	own, ok := nodes[node]
	if !ok {
		// The node still uses the share granted by an earlier allocator.
		own = &grant{share: held}
		nodes[node] = own
	}
	own.demand, own.expires = demand, now.Add(grantTTL)
	for n := range own.share {
		own.share[n] = divide(nodes, own, n, limit[n], fleet)
	}
	own.share[concurrent] = max(own.share[concurrent], held[concurrent])
	return own.share
}

// divide returns a node's part of one amount of a limit. The part is
// proportional to the node's demand. It is at most what the other nodes leave,
// and at most what the node may need before its next request for a share, so
// that some is left for nodes that have not requested a share yet. The part of
// concurrent requests is rounded up.
func divide(nodes map[string]*grant, own *grant, n int, limit float64, fleet int) float64 {
	if limit <= 0 {
		return 0
	}
	minimum := limit / float64(len(nodes)) * minShareFraction
	sum, others := 0.0, 0.0
	for _, g := range nodes {
		sum += max(g.demand[n], minimum)
		if g != own {
			others += g.share[n]
		}
	}
	part := limit * max(own.demand[n], minimum) / sum
	part = min(part, max(demandHeadroom*own.demand[n], limit/float64(max(1, fleet))))
	if n == concurrent {
		part = float64(int(part + 0.999))
	}
	return max(0, min(part, limit-others))
}

// prune removes expired grants, and subjects that have none left.
func (a *allocator) prune(now tarragondeal.Instant) {
	for name, nodes := range a.subjects {
		for node, g := range nodes {
			if now > g.expires {
				delete(nodes, node)
			}
		}
		if len(nodes) == 0 {
			delete(a.subjects, name)
		}
	}
}
