package tdfit

import (
	"time"

	"tarragondeal"
)

const (
	// chunkTokens is the most prompt tokens that engines read in one step.
	chunkTokens = 2048
	// gapMargin is the share of a stream's permitted pause that one step may
	// use up.
	gapMargin = 0.85
	// farAway is added for a server in another data centre, whose bytes cost.
	farAway = 4 * time.Millisecond
	// tightCost is added to a long prompt's estimate for each stream beside
	// it whose pauses it would stretch too far.
	tightCost = 50 * time.Millisecond
	// heavyCost is added to a tight stream's estimate for each millisecond of
	// long prompts that the engine read lately.
	heavyCost = 1.2
	// openCost is added to a tight stream's estimate for an engine that has
	// none: together they leave more engines to long prompts.
	openCost = 100 * time.Millisecond
	// backlogShare is the share of a request's target for which the best engine
	// may still be reading other prompts, and holdShare the share for which the
	// request is held back until it no longer does.
	backlogShare = 0.35
	holdShare    = 0.25
	// rereadCost weighs reading a part again that another engine holds.
	rereadCost = 2
	// fullCost is added for a whole batch more than the engine runs at once.
	fullCost = 4 * time.Second
	// faultCost is added for a server at which all requests fail.
	faultCost = 3 * time.Second
	// plainWork is what one call takes at a plain server, where all that
	// matters is that all calls are taken to be alike.
	plainWork = 15 * time.Millisecond
	// coldCost weighs a server that is still slow after its start.
	coldCost = 0.2
)

// want is what a request asks of an engine.
type want struct {
	ask   *tarragondeal.Ask
	links []link
	tight bool // A long prompt beside it would stretch its pauses too far.
	total int  // Tokens that it takes of the memory when it ends.
	input int
}

func newWant(a *tarragondeal.Ask) want {
	w := want{ask: a, links: chain(a.Parts), input: a.Input}
	if w.input == 0 {
		for _, p := range a.Parts {
			w.input += p.Tokens
		}
	}
	w.total = w.input + a.Output
	return w
}

// tolerance returns how many prompt tokens may be read in each step of a
// stream whose pauses are bound.
func tolerance(gap time.Duration, stride int, rate float64) int {
	if gap <= 0 {
		return chunkTokens
	}
	step := gap/time.Duration(max(1, stride)) - stepTime
	return int(gapMargin * max(0, step.Seconds()*1000) * rate)
}

// fresh returns how many tokens of the request the engine must read.
func (w *want) fresh(s *server) int { return max(1, w.input-s.cache.held(w.links)) }

// cost estimates the time after which an engine begins to answer, with what
// the request costs others counted in.
func (f *Fit) cost(w *want, s *server, now tarragondeal.Instant) time.Duration {
	t := f.total(s, now)
	c := f.common(s, &t, now)
	if s.engine == nil {
		return c + plainWork*time.Duration(t.running)/time.Duration(s.slots())
	}
	fresh := w.fresh(s)
	read := s.reading(fresh)
	c += s.backlog(now) + read + time.Duration(rereadCost*float64(read))
	if over := t.tokens + w.total - s.engine.KVTokens; over > 0 {
		c += time.Duration(float64(fullCost) * float64(over) / float64(s.engine.KVTokens))
	}
	c += time.Duration(t.running) * stepTime / 10
	switch {
	case w.tight:
		c += time.Duration(heavyCost * s.heavy.now(now) * float64(time.Millisecond))
		if t.tight == 0 {
			c += openCost
		}
	case fresh > f.heavyFrom:
		c += time.Duration(t.tight) * tightCost
	}
	return c
}

// holds reports whether a request that others go before waits for engines to
// read what they have, rather than stand in the way there.
func (f *Fit) holds(w *want, s *server, now, start tarragondeal.Instant) bool {
	if s.engine == nil || w.tight || w.ask.Target <= 0 {
		return false
	}
	if now.Sub(start) > time.Duration(holdShare*float64(w.ask.Target)) {
		return false
	}
	return s.backlog(now) > time.Duration(backlogShare*float64(w.ask.Target))
}

// common is what counts for engines and plain servers alike.
func (f *Fit) common(s *server, t *use, now tarragondeal.Instant) time.Duration {
	c := time.Duration(coldCost * float64(s.ColdLeft))
	if s.DataCentre != f.opt.DataCentre {
		c += farAway
	}
	if over := t.running - s.slots() + 1; over > 0 {
		c += fullCost * time.Duration(over) / time.Duration(s.slots())
	}
	c += time.Duration(s.fault(now) * float64(faultCost))
	if t.failing {
		c += faultCost / 2
	}
	return c
}
