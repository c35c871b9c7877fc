package tdqueue

import (
	"sort"
	"time"

	"tarragondeal"
)

// DefaultMinShare is the minimum share of a class that configures none. It is
// not zero, so that no class starves.
const DefaultMinShare = 0.02

const (
	// maxCredit is the most credit that a tier can hold, as a multiple of the
	// expected duration of its next request. At that much the request runs
	// even if a higher tier misses its target.
	maxCredit = 2
	// tierIdleTimeout is how long a tier counts as active after its last request.
	tierIdleTimeout = 10 * time.Second
	// minHeadroomCapacity is the smallest capacity from which headroom is kept.
	minHeadroomCapacity = 4
)

// tier returns the tier with the given number, creating it if needed.
func (q *Queue) tier(number int) *tier {
	n := sort.Search(len(q.tiers), func(n int) bool { return q.tiers[n].number >= number })
	if n < len(q.tiers) && q.tiers[n].number == number {
		return q.tiers[n]
	}
	q.tiers = append(q.tiers, nil)
	copy(q.tiers[n+1:], q.tiers[n:])
	q.tiers[n] = newTier(number)
	return q.tiers[n]
}

// Next starts and returns the next request. It reports false if none can start.
func (q *Queue) Next(now tarragondeal.Instant) (Request, bool) {
	free := q.Free()
	if free == 0 || len(q.items) == 0 {
		return Request{}, false
	}
	it, onCredit := q.pick(now)
	if it == nil || !onCredit && free <= max(q.headroom(now, it.Tier), q.reservedSlots(now, it.Tier)) {
		return Request{}, false
	}
	q.updateCredits(now, it)
	q.remove(it)
	f := it.tier.flow(it.Workspace, it.Weight)
	f.starts++
	it.tier.virtualTime = max(it.tier.virtualTime, f.served)
	q.start(now, f, it.Request)
	return it.Request, true
}

// pick returns the request that runs next and reports whether it runs on
// credit, before one of a higher tier.
func (q *Queue) pick(now tarragondeal.Instant) (*item, bool) {
	first := q.pickByTier(now)
	if first == nil {
		return nil, false
	}
	for n := len(q.tiers) - 1; n >= 0; n-- {
		t := q.tiers[n]
		if t.number <= first.Tier {
			break
		}
		if it := q.pickOnCredit(now, t, first); it != nil {
			return it, true
		}
	}
	return first, false
}

// pickByTier returns the next request by tier and workspace alone, without
// credit. A suspect waits until no other suspect runs.
func (q *Queue) pickByTier(now tarragondeal.Instant) *item {
	var first *item
	for _, t := range q.tiers {
		if f := t.leastServed(); f != nil {
			first = f.peek(now)
			break
		}
	}
	s := q.suspects.head
	if s != nil && q.runningSuspects == 0 && (first == nil || s.Tier <= first.Tier) {
		return s
	}
	return first
}

// pickOnCredit returns the next request of the lower tier t if t's credit lets
// it run before first, else nil.
func (q *Queue) pickOnCredit(now tarragondeal.Instant, t *tier, first *item) *item {
	f := t.leastServed()
	if f == nil || t.credit <= 0 {
		return nil
	}
	it := f.peek(now)
	cost := q.expectedSeconds(it.Class)
	if t.credit < cost {
		return nil
	}
	if q.shedding(now, t.number) {
		return it // It was admitted because its tier had the credit for it.
	}
	if it.Target >= now {
		return nil
	}
	delay := seconds(q.nextSlotDelay())
	wouldMiss := first.Target < now.Add(delay)
	if wouldMiss && t.credit < maxCredit*cost {
		return nil
	}
	return it
}

// updateCredits updates the tiers' credit for the start of it. Waiting lower
// tiers earn their share of its expected duration; its own tier is debited.
func (q *Queue) updateCredits(now tarragondeal.Instant, it *item) {
	cost := q.expectedSeconds(it.Class)
	for _, t := range q.tiers {
		switch {
		case t.number < it.Tier:
		case t.number == it.Tier:
			t.credit = max(0, t.credit-cost)
		case t.len() > 0 || t.active(now) && q.shedding(now, t.number):
			q.earnCredit(t, cost)
		default:
			t.credit = 0
		}
	}
}

// earnCredit credits t with its share of cost, the expected duration in
// seconds of a request of a higher tier.
func (q *Queue) earnCredit(t *tier, cost float64) {
	limit := maxCredit * q.expectedSeconds(t.lastClass)
	t.credit = min(t.credit+max(t.share, DefaultMinShare)*cost, limit)
}

// chargeLowerTiers charges the service of f to the same workspace in the lower
// tiers where it waits, so that fairness there covers all its work.
func (q *Queue) chargeLowerTiers(f *flow, tokens float64) {
	for _, t := range q.tiers {
		if t.number <= f.tier.number {
			continue
		}
		if lower, ok := t.flows[f.name]; ok && lower.len() > 0 {
			lower.charge(tokens)
		}
	}
}

// headroom returns the number of slots that a tier leaves free for the highest
// active tier. HeadroomRound makes some servers round up fractions of a slot
// and others round them down.
func (q *Queue) headroom(now tarragondeal.Instant, number int) int {
	if q.opt.HeadroomDivisor <= 0 || q.capacity < minHeadroomCapacity {
		return 0
	}
	for _, t := range q.tiers {
		if t.number >= number {
			return 0
		}
		if t.active(now) {
			return int(float64(q.capacity)/float64(q.opt.HeadroomDivisor) + q.opt.HeadroomRound)
		}
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
