package tdqueue

import (
	"time"

	"tarragondeal"
)

// durationWeight is the weight of the latest run in the moving averages of a
// class.
const durationWeight = 0.1

// classStats holds moving averages over a class's runs on this server.
type classStats struct {
	mean       float64 // Mean duration in seconds; zero if unknown.
	firstToken time.Duration
}

// ObserveFirstToken records how long after its start a request of a class
// delivered its first token.
func (q *Queue) ObserveFirstToken(name string, d time.Duration) {
	c := q.stats(name)
	c.firstToken += time.Duration(durationWeight * float64(d-c.firstToken))
}

func (c *classStats) observe(d time.Duration) {
	if c.mean == 0 {
		c.mean = d.Seconds()
		return
	}
	c.mean += durationWeight * (d.Seconds() - c.mean)
}

const (
	// firstMargin and targetMargin start a request early enough to meet its
	// target although the time to first token and the network latency of the
	// response vary.
	firstMargin  = 1.5
	targetMargin = 0.05
)

// firstTokenLead returns how long before its target a request must start to
// meet it.
func (q *Queue) firstTokenLead(now tarragondeal.Instant, r *Request) time.Duration {
	return time.Duration(firstMargin*float64(q.stats(r.Class).firstToken) + targetMargin*float64(r.Target.Sub(now)))
}

func (q *Queue) stats(name string) *classStats {
	c, ok := q.classes[name]
	if !ok {
		c = &classStats{}
		q.classes[name] = c
	}
	return c
}

// SeedMean sets the mean duration of a class's runs if it is unknown.
func (q *Queue) SeedMean(name string, mean time.Duration) {
	if c := q.stats(name); c.mean == 0 {
		c.mean = mean.Seconds()
	}
}

// Mean returns the mean duration of a class's runs, or zero if unknown.
func (q *Queue) Mean(name string) time.Duration {
	if c, ok := q.classes[name]; ok {
		return seconds(c.mean)
	}
	return 0
}

// expectedSeconds returns a class's mean duration in seconds, or one if
// unknown.
func (q *Queue) expectedSeconds(name string) float64 {
	if c, ok := q.classes[name]; ok && c.mean > 0 {
		return c.mean
	}
	return 1
}

// perQueueCost returns the time in seconds that a waiting request adds to this
// queue: its mean duration, divided by the number of queues in which it waits.
func (q *Queue) perQueueCost(r *Request) float64 {
	c, ok := q.classes[r.Class]
	if !ok {
		return 0
	}
	return c.mean / float64(max(1, r.Copies))
}

// nextSlotDelay returns the mean time in seconds until a slot becomes free.
func (q *Queue) nextSlotDelay() float64 {
	if len(q.running) == 0 || q.Free() > 0 {
		return 0
	}
	n := float64(len(q.running))
	return q.runningCost / (n * n)
}

// runMargin is the multiple of the mean duration that must be left before the
// deadline when a run starts. Work that ends after its deadline is wasted.
const runMargin = 1.5

// deadlineLead returns the least time before its deadline at which a request
// is started. It is at most half of the time left, so that requests of a class
// with long runs are still started.
func (q *Queue) deadlineLead(now tarragondeal.Instant, r *Request) time.Duration {
	return min(seconds(runMargin*q.meanSeconds(r.Class)), r.Deadline.Sub(now)/2)
}

// meanSeconds returns a class's mean duration in seconds, or zero if unknown.
func (q *Queue) meanSeconds(name string) float64 {
	if c, ok := q.classes[name]; ok {
		return c.mean
	}
	return 0
}

// estimatedWait returns how long a request would wait if it arrived now: for
// the higher tiers, and for its fair share of the others in its own tier. The
// minimum shares of lower tiers are deducted from the capacity.
func (q *Queue) estimatedWait(r *Request) time.Duration {
	ahead, reserved := 0.0, 0.0
	for _, t := range q.tiers {
		switch {
		case t.number < r.Tier:
			ahead += t.queuedCost
		case t.number == r.Tier:
			ahead += q.costAhead(t, r)
		case t.len() > 0:
			reserved += max(t.share, DefaultMinShare)
		}
	}
	slots := float64(max(1, q.capacity-q.external))
	return seconds(q.nextSlotDelay() + ahead/(slots*max(0.5, 1-reserved)))
}

// costAhead returns the cost in seconds of the requests in tier t that run
// before one more request of r's workspace.
func (q *Queue) costAhead(t *tier, r *Request) float64 {
	own := float64(t.waiting(r.Workspace)+1) * float64(len(t.heaps[byLeastServed].flows)) * q.perQueueCost(r)
	return min(t.queuedCost, own)
}

// Wait returns how long a request of a tier would wait if it arrived now and
// ran behind all waiting requests of its own and higher tiers.
func (q *Queue) Wait(number int) time.Duration {
	ahead := 0.0
	for _, t := range q.tiers {
		if t.number <= number {
			ahead += t.queuedCost
		}
	}
	return seconds(q.nextSlotDelay() + ahead/float64(max(1, q.capacity-q.external)))
}

// missesDeadline reports whether a request that arrived now could not end
// before its deadline, and returns its estimated wait.
func (q *Queue) missesDeadline(r *Request, now tarragondeal.Instant) (time.Duration, bool) {
	wait := q.estimatedWait(r)
	return wait, now.Add(wait+q.deadlineLead(now, r)) > r.Deadline
}
