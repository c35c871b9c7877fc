package tdqueue

import (
	"sort"
	"time"

	"tarragondeal"
)

// DefaultMinShare is the share of a class that names none, so that no class
// starves.
const DefaultMinShare = 0.02

const (
	// maxCredit is the most credit that a tier holds, over the price of its
	// next request. At that much its request runs in any case.
	maxCredit = 2
	// tierMemory is how long a tier counts as in use after its last request.
	tierMemory = 10 * time.Second
	// minHeadroomRoom is the smallest room of which a part is kept.
	minHeadroomRoom = 4
)

// tier returns the tier with a number, adding it in order.
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

// Next starts the next request, if one waits and there is room for it.
func (q *Queue) Next(now tarragondeal.Instant) (Request, bool) {
	free := q.Free()
	if free == 0 || len(q.items) == 0 {
		return Request{}, false
	}
	it, overdue := q.pick(now)
	if it == nil || !overdue && free <= max(q.headroom(now, it.Tier), q.kept(now, it.Tier)) {
		return Request{}, false
	}
	q.settle(now, it)
	q.remove(it)
	f := it.tier.flow(it.Workspace, it.Weight)
	f.starts++
	it.tier.floor = max(it.tier.floor, f.served)
	q.start(now, f, it.Request)
	return it.Request, true
}

// pick chooses the request that runs next, and tells whether it does so
// before a higher one, on credit.
func (q *Queue) pick(now tarragondeal.Instant) (*item, bool) {
	first := q.ordered(now)
	if first == nil {
		return nil, false
	}
	for n := len(q.tiers) - 1; n >= 0; n-- {
		t := q.tiers[n]
		if t.number <= first.Tier {
			break
		}
		if it := q.overdue(now, t, first); it != nil {
			return it, true
		}
	}
	return first, false
}

// ordered chooses by tier and workspace alone. A suspect waits until no
// other suspect runs.
func (q *Queue) ordered(now tarragondeal.Instant) *item {
	var first *item
	for _, t := range q.tiers {
		if f := t.least(); f != nil {
			first = f.peek(now)
			break
		}
	}
	s := q.suspects.head
	if s != nil && q.suspected == 0 && (first == nil || s.Tier <= first.Tier) {
		return s
	}
	return first
}

// overdue returns the next request of a lower tier if its credit lets it run
// before first.
func (q *Queue) overdue(now tarragondeal.Instant, t *tier, first *item) *item {
	f := t.least()
	if f == nil || t.credit <= 0 {
		return nil
	}
	it := f.peek(now)
	price := q.expected(it.Class)
	if t.credit < price {
		return nil
	}
	if q.shedding(now, t.number) {
		return it // It was let in because its tier has paid.
	}
	if it.Target >= now {
		return nil
	}
	gap := seconds(q.gap())
	endangered := first.Target < now.Add(gap)
	if endangered && t.credit < maxCredit*price {
		return nil
	}
	return it
}

// settle moves credit at a start: lower tiers that wait earn their share,
// and a tier that ran before a higher one pays.
func (q *Queue) settle(now tarragondeal.Instant, it *item) {
	price := q.expected(it.Class)
	for _, t := range q.tiers {
		switch {
		case t.number < it.Tier:
		case t.number == it.Tier:
			t.credit = max(0, t.credit-price)
		case t.len() > 0 || t.active(now) && q.shedding(now, t.number):
			q.earn(t, price)
		default:
			t.credit = 0
		}
	}
}

// earn gives a tier its share of what a higher one's start cost.
func (q *Queue) earn(t *tier, price float64) {
	most := maxCredit * q.expected(t.class)
	t.credit = min(t.credit+max(t.share, DefaultMinShare)*price, most)
}

// chargeLower charges a workspace for what it was served in a higher tier
// while it waited in lower ones, so that fairness there is by all its work.
func (q *Queue) chargeLower(f *flow, tokens float64) {
	for _, t := range q.tiers {
		if t.number <= f.tier.number {
			continue
		}
		if g, ok := t.flows[f.name]; ok && g.len() > 0 {
			g.charge(tokens)
		}
	}
}

// headroom is the number of places that a tier leaves free for the highest
// tier seen of late. The part of a place is rounded up at some servers and
// down at others.
func (q *Queue) headroom(now tarragondeal.Instant, number int) int {
	if q.opt.HeadroomPart <= 0 || q.room < minHeadroomRoom {
		return 0
	}
	for _, t := range q.tiers {
		if t.number >= number {
			return 0
		}
		if t.active(now) {
			return int(float64(q.room)/float64(q.opt.HeadroomPart) + q.opt.HeadroomRound)
		}
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
