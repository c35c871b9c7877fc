package tdqueue

import (
	"time"

	"tarragondeal"
)

// shedMemory is how long after a refusal the lower tiers do not wait.
const shedMemory = time.Second

// purge refuses the requests of lower tiers that wait while one of a higher
// tier is refused, so that none of them is started later.
func (q *Queue) purge(now tarragondeal.Instant, number int) []Refusal {
	q.tier(number).shedAt = now
	q.tier(number).sheds = true
	var out []Refusal
	for n := len(q.tiers) - 1; n >= 0 && q.tiers[n].number > number; n-- {
		for f := q.tiers[n].least(); f != nil; f = q.tiers[n].least() {
			out = append(out, q.shed(f.oldest()))
		}
	}
	for s := q.suspects.lowest(); s != nil && s.Tier > number; s = q.suspects.lowest() {
		out = append(out, q.shed(s))
	}
	return out
}

// later is when a refused request may be taken.
func (q *Queue) later(r *Request) time.Duration { return max(q.wait(r), shedMemory) }

func (q *Queue) shed(it *item) Refusal {
	q.remove(it)
	return Refusal{Request: it.Request, Reason: tarragondeal.ReasonOverload, RetryAfter: q.later(&it.Request)}
}

// shedding reports whether requests of a tier higher than this one have been
// refused of late. Until that is over, lower ones run at once or not at all.
func (q *Queue) shedding(now tarragondeal.Instant, number int) bool {
	for _, t := range q.tiers {
		if t.number >= number {
			return false
		}
		if t.sheds && now.Sub(t.shedAt) < shedMemory {
			return true
		}
	}
	return false
}

// onCredit reports whether a request can run at once in the place that is
// kept for its tier.
func (q *Queue) onCredit(t *tier, r *Request) bool {
	return t.len() == 0 && q.Free() > 0 && t.credit >= q.expected(r.Class)
}

// kept is the number of places that a tier leaves free for lower ones: one
// while lower tiers may not wait and one of them has earned a start.
func (q *Queue) kept(now tarragondeal.Instant, number int) int {
	for n := len(q.tiers) - 1; n >= 0 && q.tiers[n].number > number; n-- {
		t := q.tiers[n]
		if t.credit >= q.expected(t.class) && t.active(now) && q.shedding(now, t.number) {
			return 1
		}
	}
	return 0
}
