package tdburn

import (
	"time"

	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// Windows are the windows of the report, in ascending order: two to detect a
// fast burn and two to detect a slow one.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}

// Resolution and extent of the rings of counts. The fine ring serves windows up
// to its span, the coarse ring longer ones.
const (
	fineWidth   = time.Minute
	fineSpan    = 6 * time.Hour
	coarseWidth = 30 * time.Minute
	coarseSpan  = 72 * time.Hour

	pairFineWidth   = 10 * time.Minute
	pairFineSpan    = 6 * time.Hour
	pairCoarseWidth = 6 * time.Hour
	pairCoarseSpan  = 72 * time.Hour
)

// The timeline covers the span of the fine ring.
const (
	timelineStep   = 10 * time.Minute
	timelinePoints = int(fineSpan / timelineStep)
)

// counts holds the requests of one class in one time bucket, by result.
type counts struct {
	good, bad, refused, failed, reclaimable uint32
	// work is the time that requests spent at backend servers, and
	// reclaimableWork the part of it at reclaimable ones.
	work, reclaimableWork time.Duration
}

func (c *counts) add(o *counts) {
	c.good += o.good
	c.bad += o.bad
	c.refused += o.refused
	c.failed += o.failed
	c.reclaimable += o.reclaimable
	c.work += o.work
	c.reclaimableWork += o.reclaimableWork
}

func countsOf(s *tarragondeal.Sample, good bool) counts {
	c := counts{work: s.Total}
	switch {
	case good:
		c.good = 1
	default:
		c.bad = 1
	}
	if s.Refused {
		c.refused = 1
		c.work = 0
	}
	if s.Failed {
		c.failed = 1
	}
	if s.Reclaimable {
		c.reclaimable = 1
		c.reclaimableWork = c.work
	}
	return c
}

// meetsTargets reports whether a request met all targets of its class.
func meetsTargets(s *tarragondeal.Sample, c *tarragondeal.RequestClass) bool {
	if s.Refused || s.Failed {
		return false
	}
	if c == nil {
		return true // The class was removed from the configuration, and its targets with it.
	}
	within := func(d time.Duration, target tarragondeal.Duration) bool {
		return target == 0 || d <= time.Duration(target)
	}
	return within(s.FirstToken, c.FirstToken) && within(s.BetweenTokens, c.BetweenTokens) &&
		within(s.Total, c.Completion) && within(s.Total, c.Deadline)
}

// class is the state of one request class.
type class struct {
	fine, coarse *ring[counts]
	latencies    *latencies
	good, bad    tally.Counter // Exported metrics.
}

func newClass(s tally.Scope) *class {
	result := func(name string) tally.Counter {
		return s.Tagged(map[string]string{"result": name}).Counter("requests")
	}
	return &class{
		fine: newRing[counts](fineWidth, fineSpan), coarse: newRing[counts](coarseWidth, coarseSpan),
		latencies: newLatencies(), good: result("good"), bad: result("bad"),
	}
}

func (c *class) count(good bool) {
	if good {
		c.good.Inc(1)
	} else {
		c.bad.Inc(1)
	}
}

func (c *class) add(now tarragondeal.Instant, s *tarragondeal.Sample, n counts) {
	c.fine.at(now).add(&n)
	c.coarse.at(now).add(&n)
	c.latencies.add(now, s)
}

func (c *class) sum(now tarragondeal.Instant, window time.Duration) counts {
	var out counts
	r := c.coarse
	if window <= fineSpan {
		r = c.fine
	}
	r.last(now, window, out.add)
	return out
}

// timeline returns the good and bad requests of each timelineStep, newest
// first.
func (c *class) timeline(now tarragondeal.Instant) (good, bad []uint32) {
	good, bad = make([]uint32, timelinePoints), make([]uint32, timelinePoints)
	n := 0
	c.fine.last(now, fineSpan, func(b *counts) {
		k := n / int(timelineStep/fineWidth)
		good[k] += b.good
		bad[k] += b.bad
		n++
	})
	return good, bad
}

// goodBad counts the requests of a pair of workspace and class.
type goodBad struct{ good, bad uint32 }

// pair is the state of one workspace in one class.
type pair struct{ fine, coarse *ring[goodBad] }

func newPair() *pair {
	return &pair{
		fine:   newRing[goodBad](pairFineWidth, pairFineSpan),
		coarse: newRing[goodBad](pairCoarseWidth, pairCoarseSpan),
	}
}

func (p *pair) add(now tarragondeal.Instant, n goodBad) {
	for _, r := range []*ring[goodBad]{p.fine, p.coarse} {
		b := r.at(now)
		b.good += n.good
		b.bad += n.bad
	}
}

// merge adds the counts of another pair, bucket by bucket.
func (p *pair) merge(now tarragondeal.Instant, o *pair) {
	mergeRing(p.fine, o.fine, now)
	mergeRing(p.coarse, o.coarse, now)
}

func mergeRing(to, from *ring[goodBad], now tarragondeal.Instant) {
	to.at(now)
	from.at(now)
	for n := range to.buckets {
		to.buckets[n].good += from.buckets[n].good
		to.buckets[n].bad += from.buckets[n].bad
	}
}

func (p *pair) sum(now tarragondeal.Instant, window time.Duration) goodBad {
	var out goodBad
	r := p.coarse
	if window <= pairFineSpan {
		r = p.fine
	}
	r.last(now, window, func(b *goodBad) {
		out.good += b.good
		out.bad += b.bad
	})
	return out
}

// wasteCounts counts work that is not billed.
type wasteCounts struct{ requests, tokens int64 }
