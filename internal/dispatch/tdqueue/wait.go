package tdqueue

import (
	"time"

	"tarragondeal"
)

// durationWeight is the weight of the newest run in a class's mean duration.
const durationWeight = 0.1

// class is what is known of a class's runs on this server.
type class struct {
	mean  float64 // Seconds; zero until one ended.
	first time.Duration
}

// FirstToken takes how long a request of a class waited for its first token
// after its start.
func (q *Queue) FirstToken(name string, d time.Duration) {
	c := q.class(name)
	c.first += time.Duration(durationWeight * float64(d-c.first))
}

func (c *class) observe(d time.Duration) {
	if c.mean == 0 {
		c.mean = d.Seconds()
		return
	}
	c.mean += durationWeight * (d.Seconds() - c.mean)
}

const (
	// firstMargin and targetMargin keep a start from being just too late for
	// its target: what a first token takes varies, and so does the way back.
	firstMargin  = 1.5
	targetMargin = 0.05
)

// untilFirst is how long before its target a request is started at the
// latest to meet it.
func (q *Queue) untilFirst(now tarragondeal.Instant, r *Request) time.Duration {
	return time.Duration(firstMargin*float64(q.class(r.Class).first) + targetMargin*float64(r.Target.Sub(now)))
}

func (q *Queue) class(name string) *class {
	c, ok := q.classes[name]
	if !ok {
		c = &class{}
		q.classes[name] = c
	}
	return c
}

// Learn sets what a class's runs take, where nothing is known yet.
func (q *Queue) Learn(name string, mean time.Duration) {
	if c := q.class(name); c.mean == 0 {
		c.mean = mean.Seconds()
	}
}

// Mean returns the mean duration of a class's runs, or zero.
func (q *Queue) Mean(name string) time.Duration {
	if c, ok := q.classes[name]; ok {
		return seconds(c.mean)
	}
	return 0
}

// expected returns a class's mean duration in seconds, or one where nothing
// is known.
func (q *Queue) expected(name string) float64 {
	if c, ok := q.classes[name]; ok && c.mean > 0 {
		return c.mean
	}
	return 1
}

// share is the time that a waiting request adds to this queue. A request that
// waits in several queues adds its part to each.
func (q *Queue) share(r *Request) float64 {
	c, ok := q.classes[r.Class]
	if !ok {
		return 0
	}
	return c.mean / float64(max(1, r.Copies))
}

// gap is the mean time in seconds until a place becomes free.
func (q *Queue) gap() float64 {
	if len(q.running) == 0 || q.Free() > 0 {
		return 0
	}
	n := float64(len(q.running))
	return q.busy / (n * n)
}

// runMargin is how much longer than usual a run may take that is started just
// in time. What ends after its deadline is wasted.
const runMargin = 1.5

// shortest is the least time before its deadline at which a request is
// started. It is half of what is left at most, so that a class whose runs
// have been long is still tried.
func (q *Queue) shortest(now tarragondeal.Instant, r *Request) time.Duration {
	return min(seconds(runMargin*q.known(r.Class)), r.Deadline.Sub(now)/2)
}

func (q *Queue) known(name string) float64 {
	if c, ok := q.classes[name]; ok {
		return c.mean
	}
	return 0
}

// wait is how long a request would wait if it came now: behind the higher
// tiers, and in its own behind its fair part of the others.
func (q *Queue) wait(r *Request) time.Duration {
	ahead, kept := 0.0, 0.0
	for _, t := range q.tiers {
		switch {
		case t.number < r.Tier:
			ahead += t.queued
		case t.number == r.Tier:
			ahead += q.within(t, r)
		case t.len() > 0:
			kept += max(t.share, DefaultMinShare)
		}
	}
	room := float64(max(1, q.room-q.foreign))
	return seconds(q.gap() + ahead/(room*max(0.5, 1-kept)))
}

// within is the work of a tier that runs before one more request of a
// workspace.
func (q *Queue) within(t *tier, r *Request) float64 {
	own := float64(t.waiting(r.Workspace)+1) * float64(len(t.heaps[byLeast].flows)) * q.share(r)
	return min(t.queued, own)
}

// Wait returns how long a request of a tier that no workspace favours would
// wait if it came now.
func (q *Queue) Wait(number int) time.Duration {
	ahead := 0.0
	for _, t := range q.tiers {
		if t.number <= number {
			ahead += t.queued
		}
	}
	return seconds(q.gap() + ahead/float64(max(1, q.room-q.foreign)))
}

// late reports whether a request could not end before its deadline if it
// came now.
func (q *Queue) late(r *Request, now tarragondeal.Instant) (time.Duration, bool) {
	wait := q.wait(r)
	return wait, now.Add(wait+q.shortest(now, r)) > r.Deadline
}
