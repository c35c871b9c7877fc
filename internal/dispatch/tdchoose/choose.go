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
	Ask      *tarragondeal.Ask
	Match    tdprefix.Match
	Suspect  bool // It may crash servers: prefer one that runs little else.
	Promised bool // Its class has a target.
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
	t.each(q, func(e *entry) { s.add(now, q, e) })
	n := 0
	t.each(q, func(e *entry) {
		if slices.Contains(q.Tried, e.server.ID) || e.down(now) || slices.Contains(q.Ask.Avoid, e.server.ID) {
			return
		}
		if e.reclaimable && q.Promised && !s.spare(e.server.DataCentre) {
			return
		}
		n = insert(out, n, t.choice(now, q, &s, e))
	})
	return n
}

// Any is like Choose for the permitted servers that Choose passes over: ones
// to avoid, and reclaimable ones that the rest could not stand in for.
func (t *Table) Any(now tarragondeal.Instant, q *Query, out []Choice) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := survey{}
	n := 0
	t.each(q, func(e *entry) {
		if !slices.Contains(q.Tried, e.server.ID) && !e.down(now) {
			n = insert(out, n, t.choice(now, q, &s, e))
		}
	})
	return n
}

func (t *Table) each(q *Query, f func(*entry)) {
	for _, p := range q.Ask.Pools {
		for _, c := range q.Ask.DataCentres {
			for _, e := range t.places[place{p, c}] {
				f(e)
			}
		}
	}
}

// insert keeps out sorted.
func insert(out []Choice, n int, c Choice) int {
	k := n
	for k > 0 && out[k-1].score > c.score {
		k--
	}
	if k >= len(out) {
		return n
	}
	copy(out[k+1:], out[k:min(n, len(out)-1)])
	out[k] = c
	return min(n+1, len(out))
}

func (e *entry) down(now tarragondeal.Instant) bool {
	return e.known && e.hint.Unusable && now.Sub(e.at) < unusableLife
}

func (e *entry) fresh(now tarragondeal.Instant) bool {
	return e.known && now.Sub(e.at) < hintLife
}

// free is the number of places that are probably free.
func (e *entry) free(now tarragondeal.Instant) int {
	if !e.fresh(now) {
		return max(0, e.slots-e.running)
	}
	return max(0, e.hint.Free-max(0, e.since))
}

// use is the part of the room that is probably used; over one when requests
// wait.
func (e *entry) use(now tarragondeal.Instant) float64 {
	if !e.fresh(now) {
		return float64(e.running) / float64(e.slots)
	}
	room := max(1, e.hint.Room)
	return float64(max(0, e.hint.Running+e.since)) / float64(room)
}

func (s *survey) add(now tarragondeal.Instant, q *Query, e *entry) {
	if e.down(now) {
		return
	}
	use, free := e.use(now), e.free(now)
	s.use += use
	s.count++
	s.free += free
	c := s.centre(e.server.DataCentre)
	c.free += free
	if e.reclaimable && e.fresh(now) {
		c.promised += e.hint.Promised
	}
	if len(q.Ask.Prefix) == 0 || free == 0 && use > 0 {
		return
	}
	if k := mix(q.Ask.Prefix[0] ^ e.hash); s.home == nil || k > s.homeKey {
		s.home, s.homeKey = e, k
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

func (t *Table) choice(now tarragondeal.Instant, q *Query, s *survey, e *entry) Choice {
	use, free := e.use(now), e.free(now)
	c := Choice{Server: e.server, Busy: free == 0}
	c.score = use*useCost + t.noise()
	if free == 0 {
		c.score += unknownWait
		if e.fresh(now) {
			c.score += e.hint.Wait.Seconds()
		}
	}
	if e.factor < 1 {
		c.score += slowCost * (1/max(e.factor, 0.01) - 1)
	}
	if q.Suspect {
		c.score += use
	}
	if slices.Contains(q.Ask.Avoid, e.server.ID) {
		c.score += time.Hour.Seconds()
	}
	c.score -= s.affinity(q, e, use)
	return c
}

// affinity is what a prefix saves on a server, unless it would make the
// server hot.
func (s *survey) affinity(q *Query, e *entry, use float64) float64 {
	if s.count == 0 || use > overload*s.use/float64(s.count)+1/float64(e.slots) {
		return 0
	}
	if q.Match.Part > 0 && q.Match.Has(e.server.ID) {
		return q.Match.Part * prefixGain
	}
	if q.Match.Part == 0 && s.home == e {
		return homeGain
	}
	return 0
}

func (t *Table) noise() float64 {
	t.random += 0x9e3779b97f4a7c15
	return noise * float64(mix(t.random)>>11) / (1 << 53)
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
