package tdchoose

import (
	"slices"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdprefix"
)

// Weights of the ranking, in seconds of time to the first token.
const (
	// prefixGain is what a prompt that is cached as a whole saves.
	prefixGain = 0.3
	// homeGain draws requests with one prefix to one server before any has
	// run there.
	homeGain = 0.1
	// useCost is what a server costs whose room is all used, so that equal
	// servers share the work.
	useCost = 0.05
	// slowCost is what a server costs that is half as fast as its pool.
	slowCost = 1.0
	// sameCentreCost keeps a suspect from the data centre where it met a crash.
	sameCentreCost = 2.0
	// noise spreads the choices of nodes that know the same.
	noise = 0.005
	// unknownWait is what a busy server of which nothing is known costs.
	unknownWait = 0.05
)

// overload is by how much the use of a server may exceed the mean of the
// permitted ones for a prefix to draw a request there.
const overload = 1.25

// Query is what is looked for.
type Query struct {
	Ask     *tarragondeal.Ask
	Match   tdprefix.Match
	Suspect bool // It may crash servers: prefer one that runs little else.
	// Failed are the data centres of the servers to avoid.
	Failed   []string
	Promised bool // Its class has a target.
	Urgent   bool // Its target is too close for a straggler while others are free.
	// Tried are servers that were asked already.
	Tried []tarragondeal.ServerID
}

// Choice is one server to ask.
type Choice struct {
	Server tarragondeal.Server
	Busy   bool // The request will probably wait there.
	score  float64
}

// survey is what is known of the permitted servers as a whole.
type survey struct {
	use   float64
	count int
	// By data centre: places free, and promised requests that run on
	// reclaimable servers.
	centres []centre
	free    int
	// brisk are the places free at servers that are no stragglers.
	brisk   int
	home    *entry
	homeKey uint64
}

type centre struct {
	name     string
	free     int
	promised int
}

// Choose writes the best servers to out, best first, and returns how many
// there are. It returns none when every permitted server was tried or is
// down.
func (t *Table) Choose(now tarragondeal.Instant, q *Query, out []Choice) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var room [8]centre // Enough for the data centres of one request's places.
	s := survey{centres: room[:0]}
	for _, p := range q.Ask.Pools {
		for _, c := range q.Ask.DataCentres {
			s.place(now, q, t.places[place{p, c}], c)
		}
	}
	n := 0
	for _, p := range q.Ask.Pools {
		for _, c := range q.Ask.DataCentres {
			spare := !q.Promised || s.spare(c)
			for _, e := range t.places[place{p, c}] {
				if e.down || e.reclaimable && !spare || q.Urgent && e.factor < 1 && s.brisk > 0 || q.passed(e.server.ID) {
					continue
				}
				n = insert(out, n, e, t.score(q, &s, e))
			}
		}
	}
	return n
}

// Any is like Choose for the permitted servers that Choose passes over: ones
// to avoid, stragglers, and reclaimable ones that the rest could not stand in for.
func (t *Table) Any(now tarragondeal.Instant, q *Query, out []Choice) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := survey{}
	n := 0
	for _, p := range q.Ask.Pools {
		for _, c := range q.Ask.DataCentres {
			for _, e := range t.places[place{p, c}] {
				e.look(now)
				if !e.down && !slices.Contains(q.Tried, e.server.ID) {
					n = insert(out, n, e, t.score(q, &s, e))
				}
			}
		}
	}
	return n
}

// met reports whether the request failed in a data centre before. Its
// servers may be going down together.
func (q *Query) met(dataCentre string) bool {
	return slices.Contains(q.Failed, dataCentre)
}

// passed reports whether a server was tried, or failed the request before.
func (q *Query) passed(id tarragondeal.ServerID) bool {
	return len(q.Tried) > 0 && slices.Contains(q.Tried, id) ||
		len(q.Ask.Avoid) > 0 && slices.Contains(q.Ask.Avoid, id)
}

// insert keeps out sorted.
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

// look works out what the last hint, and this node's own grants, make of a
// server now.
func (e *entry) look(now tarragondeal.Instant) {
	age := now.Sub(e.at)
	e.down = e.known && e.hint.Unusable && age < unusableLife
	e.fresh = e.known && age < hintLife
	if !e.fresh {
		e.free = max(0, e.slots-e.running)
		e.use = float64(e.running) * e.perSlot
		return
	}
	e.free = max(0, e.hint.Free-max(0, e.since))
	e.use = float64(max(0, e.hint.Running+e.since)) * e.perRoom
}

// place adds a pool's servers in one data centre.
func (s *survey) place(now tarragondeal.Instant, q *Query, entries []*entry, name string) {
	if len(entries) == 0 {
		return
	}
	c := s.centre(name)
	for _, e := range entries {
		e.look(now)
		if e.down {
			continue
		}
		s.use += e.use
		s.count++
		s.free += e.free
		if e.factor >= 1 {
			s.brisk += e.free
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

func (s *survey) centre(name string) *centre {
	for n := range s.centres {
		if s.centres[n].name == name {
			return &s.centres[n]
		}
	}
	s.centres = append(s.centres, centre{name: name})
	return &s.centres[len(s.centres)-1]
}

// spare reports whether the servers elsewhere could carry one more promised
// request beside those that run on reclaimable servers here, if this data
// centre's reclaimable servers vanished now.
func (s *survey) spare(name string) bool {
	c := s.centre(name)
	return s.free-c.free > c.promised
}

// score is what a server costs the request, less what its cache saves.
func (t *Table) score(q *Query, s *survey, e *entry) float64 {
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
		if q.met(e.server.DataCentre) {
			score += sameCentreCost
		}
	}
	if len(q.Ask.Avoid) > 0 && slices.Contains(q.Ask.Avoid, e.server.ID) {
		score += time.Hour.Seconds()
	}
	return score - s.affinity(q, e)
}

// affinity is what a prefix saves on a server, unless it would make the
// server hot.
func (s *survey) affinity(q *Query, e *entry) float64 {
	gain := 0.0
	switch {
	case q.Match.Part > 0 && q.Match.Has(e.server.ID):
		gain = q.Match.Part * prefixGain
	case q.Match.Part == 0 && s.home == e:
		gain = homeGain
	}
	if gain == 0 || s.count == 0 || e.use > overload*s.use/float64(s.count)+e.perSlot {
		return 0
	}
	return gain
}

func (t *Table) noise() float64 {
	t.random = t.random*6364136223846793005 + 1442695040888963407
	return noise / (1 << 53) * float64(t.random>>11)
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
