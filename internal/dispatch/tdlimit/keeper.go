package tdlimit

import (
	"time"

	"tarragondeal"
)

const (
	// shareLife is how long a node uses a share, from when it asked for it.
	shareLife = 2 * time.Second
	// keepFor is how long a keeper counts a share as given. It is longer than
	// shareLife by more than a call takes.
	keepFor = 3 * time.Second
	// floorPart is the part of an equal share that a node gets at least, so
	// that it can show a demand.
	floorPart = 0.1
	// headroom is how many times its demand a node gets at most, beyond its
	// equal part.
	headroom = 2
)

// given is one node's share of one subject.
type given struct {
	demand amounts
	share  amounts
	until  tarragondeal.Instant
}

// amounts are requests and tokens a second, and requests at once.
type amounts [3]float64

const (
	requests   = 0
	tokens     = 1
	concurrent = 2
)

// keeper divides the limits that this node keeps. It is not safe for
// concurrent use.
type keeper struct {
	subjects map[string]map[string]*given
}

func newKeeper() *keeper { return &keeper{subjects: make(map[string]map[string]*given)} }

// share returns a node's share of a subject. Held is what the node has by an
// earlier answer, and of requests at once what runs. Fleet is the number of
// live nodes, each of which may ask next.
func (k *keeper) share(now tarragondeal.Instant, node, subject string, limit, demand, held amounts, fleet int) amounts {
	nodes, ok := k.subjects[subject]
	if !ok {
		nodes = make(map[string]*given)
		k.subjects[subject] = nodes
	}
	for name, g := range nodes {
		if now > g.until {
			delete(nodes, name)
		}
	}
	own, ok := nodes[node]
	if !ok {
		// What an earlier keeper gave the node is still in use.
		own = &given{share: held}
		nodes[node] = own
	}
	own.demand, own.until = demand, now.Add(keepFor)
	for n := range own.share {
		own.share[n] = divide(nodes, own, n, limit[n], fleet)
	}
	own.share[concurrent] = max(own.share[concurrent], held[concurrent])
	return own.share
}

// divide returns a node's part of one amount: by demand, no more than the
// others leave, and no more than the node may come to need before it asks
// again, so that something is left for nodes that have not asked yet. The
// part of requests at once is a whole number.
func divide(nodes map[string]*given, own *given, n int, limit float64, fleet int) float64 {
	if limit <= 0 {
		return 0
	}
	floor := limit / float64(len(nodes)) * floorPart
	sum, others := 0.0, 0.0
	for _, g := range nodes {
		sum += max(g.demand[n], floor)
		if g != own {
			others += g.share[n]
		}
	}
	part := limit * max(own.demand[n], floor) / sum
	part = min(part, max(headroom*own.demand[n], limit/float64(max(1, fleet))))
	if n == concurrent {
		part = float64(int(part + 0.999))
	}
	return max(0, min(part, limit-others))
}

// prune forgets subjects without shares.
func (k *keeper) prune(now tarragondeal.Instant) {
	for name, nodes := range k.subjects {
		for node, g := range nodes {
			if now > g.until {
				delete(nodes, node)
			}
		}
		if len(nodes) == 0 {
			delete(k.subjects, name)
		}
	}
}
