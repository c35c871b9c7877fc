package tdchoose

import (
	"slices"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdprefix"
)

// Weights of the score, in seconds of time to first token.
const (
	// prefixGain is the saving for a prompt that is cached completely.
	prefixGain = 0.3
	// homeGain is the saving at the home server of a prefix that isn't cached
	// anywhere, so that requests with one prefix go to one server from the
	// first on.
	homeGain = 0.1
	// useCost is the cost of a fully used server. It balances the load of
	// equal servers.
	useCost = 0.05
	// slowCost is the cost of a server that is half as fast as its pool.
	slowCost = 1.0
	// sameDataCentreCost keeps a suspect request from the data centres where it
	// failed before.
	sameDataCentreCost = 2.0
	// noiseRange bounds the random part of a score. It spreads the choices of
	// nodes that have the same hints.
	noiseRange = 0.005
	// unknownWait is the cost of a busy server, in addition to the wait in its
	// hint if there is one.
	unknownWait = 0.05
)

// affinityUseLimit is the use of a server, relative to the mean of the permitted
// ones, up to which prefix affinity applies.
const affinityUseLimit = 1.25

// Query describes the request that a server is chosen for.
type Query struct {
	Ask     *tarragondeal.Ask
	Match   tdprefix.Match
	Suspect bool // The request may crash servers: prefer one with little load.
	// Failed lists the data centres of the servers to avoid.
	Failed   []string
	Promised bool // The request's class has a target.
	Urgent   bool // The target is too close to use a straggler while others are free.
	// Tried lists the servers that were already tried.
	Tried []tarragondeal.ServerID
}

// Choice is one ranked server.
type Choice struct {
	Server tarragondeal.Server
	Busy   bool // The server has no free slot, so the request will probably wait.
	score  float64
}

// summary is the aggregate state of the permitted servers.
type summary struct {
	use         float64
	count       int
	dataCentres []dataCentreSummary
	free        int // Free slots.
	// freeFast counts the free slots of servers that aren't stragglers.
	freeFast int
	home     *entry
	homeKey  uint64
}

// dataCentreSummary is the aggregate state of the permitted servers in one data
// centre.
type dataCentreSummary struct {
	name     string
	free     int // Free slots.
	promised int // Requests with a target that run on reclaimable servers.
}

// Choose writes the best servers to out, best first, and returns their number.
// It is zero if every permitted server was tried, is down, or is passed over (see
// ChooseFallback).
func (t *Table) Choose(now tarragondeal.Instant, q *Query, out []Choice) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var buf [8]dataCentreSummary // Avoids an allocation for up to 8 data centres.
	s := summary{dataCentres: buf[:0]}
	for _, p := range q.Ask.Pools {
		for _, c := range q.Ask.DataCentres {
			s.addPool(now, q, t.pools[poolKey{p, c}], c)
		}
	}
	n := 0
	for _, p := range q.Ask.Pools {
		for _, c := range q.Ask.DataCentres {
			spare := !q.Promised || s.canFailOver(c)
			for _, e := range t.pools[poolKey{p, c}] {
				if e.down || e.reclaimable && !spare || q.Urgent && e.factor < 1 && s.freeFast > 0 || q.excluded(e.server.ID) {
					continue
				}
				n = insert(out, n, e, t.score(q, &s, e))
			}
		}
	}
	return n
}

// ChooseFallback is like Choose, but includes the permitted servers that Choose
// passes over: those to avoid, stragglers, and reclaimable ones whose load the
// other servers could not take over. It leaves out only servers that were tried
// or are down.
func (t *Table) ChooseFallback(now tarragondeal.Instant, q *Query, out []Choice) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := summary{}
	n := 0
	for _, p := range q.Ask.Pools {
		for _, c := range q.Ask.DataCentres {
			for _, e := range t.pools[poolKey{p, c}] {
				e.refresh(now)
				if !e.down && !slices.Contains(q.Tried, e.server.ID) {
					n = insert(out, n, e, t.score(q, &s, e))
				}
			}
		}
	}
	return n
}

// failedIn reports whether the request failed in a data centre before. The servers
// of one data centre may fail together.
func (q *Query) failedIn(dataCentre string) bool {
	return slices.Contains(q.Failed, dataCentre)
}

// excluded reports whether a server was tried, or failed the request before.
func (q *Query) excluded(id tarragondeal.ServerID) bool {
	return len(q.Tried) > 0 && slices.Contains(q.Tried, id) ||
		len(q.Ask.Avoid) > 0 && slices.Contains(q.Ask.Avoid, id)
}

// insert adds a server to the first n choices of out, which stay sorted by score,
// and returns their new number. If out is full, it drops the worst one.
func insert(out []Choice, n int, e *entry, score float64) int {
	k := n
	for k > 0 && out[k-1].score > score {
		k--
	}
	if k >= len(out) {
		return n
	}
	copy(out[k+1:], out[k:min(n, len(out)-1)])
	out[k] = Choice{Server: e.server, Busy: e.free == 0, score: score}
	return min(n+1, len(out))
}

// refresh computes the current state of a server from its last hint and this
// node's own grants.
func (e *entry) refresh(now tarragondeal.Instant) {
	age := now.Sub(e.hintAt)
	e.down = e.hasHint && e.hint.Unusable && age < unusableTTL
	e.fresh = e.hasHint && age < hintTTL
	if !e.fresh {
		e.free = max(0, e.slots-e.running)
		e.use = float64(e.running) * e.perSlot
		return
	}
	e.free = max(0, e.hint.Free-max(0, e.grantsSinceHint))
	e.use = float64(max(0, e.hint.Running+e.grantsSinceHint)) * e.perCapacity
}

// addPool adds a pool's servers in one data centre.
func (s *summary) addPool(now tarragondeal.Instant, q *Query, entries []*entry, name string) {
	if len(entries) == 0 {
		return
	}
	c := s.dataCentre(name)
	for _, e := range entries {
		e.refresh(now)
		if e.down {
			continue
		}
		s.use += e.use
		s.count++
		s.free += e.free
		if e.factor >= 1 {
			s.freeFast += e.free
		}
		c.free += e.free
		if e.reclaimable && e.fresh {
			c.promised += e.hint.Promised
		}
		if len(q.Ask.Prefix) == 0 || e.free == 0 && e.use > 0 {
			continue
		}
		if k := mix(q.Ask.Prefix[0] ^ e.hash); s.home == nil || k > s.homeKey {
			s.home, s.homeKey = e, k
		}
	}
}

func (s *summary) dataCentre(name string) *dataCentreSummary {
	for n := range s.dataCentres {
		if s.dataCentres[n].name == name {
			return &s.dataCentres[n]
		}
	}
	s.dataCentres = append(s.dataCentres, dataCentreSummary{name: name})
	return &s.dataCentres[len(s.dataCentres)-1]
}

// canFailOver reports whether the other data centres have free slots for the
// requests with a target on this data centre's reclaimable servers plus one
// more, in case all of these servers are reclaimed now.
func (s *summary) canFailOver(name string) bool {
	c := s.dataCentre(name)
	return s.free-c.free > c.promised
}

// score returns the cost of a server for the request, less the saving by its
// cache. Lower is better.
func (t *Table) score(q *Query, s *summary, e *entry) float64 {
	score := e.use*useCost + t.noise()
	if e.free == 0 {
		score += unknownWait
		if e.fresh {
			score += e.hint.Wait.Seconds()
		}
	}
	if e.factor < 1 {
		score += slowCost * (1/max(e.factor, 0.01) - 1)
	}
	if q.Suspect {
		score += e.use
		if q.failedIn(e.server.DataCentre) {
			score += sameDataCentreCost
		}
	}
	if len(q.Ask.Avoid) > 0 && slices.Contains(q.Ask.Avoid, e.server.ID) {
		score += time.Hour.Seconds()
	}
	return score - s.affinity(q, e)
}

// affinity returns the saving by the request's prefix on a server. It is zero for
// a server that is already more used than others, to avoid a hot spot.
func (s *summary) affinity(q *Query, e *entry) float64 {
	gain := 0.0
	switch {
	case q.Match.Fraction > 0 && q.Match.Has(e.server.ID):
		gain = q.Match.Fraction * prefixGain
	case q.Match.Fraction == 0 && s.home == e:
		gain = homeGain
	}
	if gain == 0 || s.count == 0 || e.use > affinityUseLimit*s.use/float64(s.count)+e.perSlot {
		return 0
	}
	return gain
}

func (t *Table) noise() float64 {
	t.random = t.random*6364136223846793005 + 1442695040888963407
	return noiseRange / (1 << 53) * float64(t.random>>11)
}

// mix is the finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
