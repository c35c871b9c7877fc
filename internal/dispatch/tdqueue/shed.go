package tdqueue

import (
	"time"

	"tarragondeal"
)

// shedPeriod is how long after a refusal requests of lower tiers are not queued.
const shedPeriod = time.Second

// shedLowerTiers records that a request of a tier is refused, and refuses all
// waiting requests of lower tiers, so that none of them is started later.
func (q *Queue) shedLowerTiers(now tarragondeal.Instant, number int) []Refusal {
	q.tier(number).refusedAt = now
	q.tier(number).refused = true
	var out []Refusal
	for n := len(q.tiers) - 1; n >= 0 && q.tiers[n].number > number; n-- {
		for f := q.tiers[n].leastServed(); f != nil; f = q.tiers[n].leastServed() {
			out = append(out, q.shed(f.oldest()))
		}
	}
	for s := q.suspects.lowest(); s != nil && s.Tier > number; s = q.suspects.lowest() {
		out = append(out, q.shed(s))
	}
	return out
}

// retryAfter returns how long until a refused request may be accepted.
func (q *Queue) retryAfter(r *Request) time.Duration { return max(q.estimatedWait(r), shedPeriod) }

func (q *Queue) shed(it *item) Refusal {
	q.remove(it)
	return Refusal{Request: it.Request, Reason: tarragondeal.ReasonOverload, RetryAfter: q.retryAfter(&it.Request)}
}

// shedding reports whether a request of a tier above number was refused within
// shedPeriod. Meanwhile, requests of tier number run at once or are refused.
func (q *Queue) shedding(now tarragondeal.Instant, number int) bool {
	for _, t := range q.tiers {
		if t.number >= number {
			return false
		}
		if t.refused && now.Sub(t.refusedAt) < shedPeriod {
			return true
		}
	}
	return false
}

// canRunOnCredit reports whether a request can run at once in the slot
// reserved for its tier.
func (q *Queue) canRunOnCredit(t *tier, r *Request) bool {
	return t.len() == 0 && q.Free() > 0 && t.credit >= q.expectedSeconds(r.Class)
}

// reservedSlots returns the number of slots that a tier leaves free for lower
// tiers: one while a lower tier can't queue requests and has the credit for a
// start, else none.
func (q *Queue) reservedSlots(now tarragondeal.Instant, number int) int {
	for n := len(q.tiers) - 1; n >= 0 && q.tiers[n].number > number; n-- {
		t := q.tiers[n]
		if t.credit >= q.expectedSeconds(t.lastClass) && t.active(now) && q.shedding(now, t.number) {
			return 1
		}
	}
	return 0
}
