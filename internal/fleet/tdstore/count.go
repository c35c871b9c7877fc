package tdstore

import "github.com/uber-go/tally/v4"

// counters count the calls that were made, by kind, and how they went.
type counters struct {
	calls   map[string]tally.Counter
	failure map[string]tally.Counter
	settled tally.Counter // Lost answers whose call had taken effect.
	away    tally.Counter // Calls not made while the service was away.
	budget  tally.Counter // Calls not made for want of budget.
}

func newCounters(scope tally.Scope) counters {
	c := counters{
		calls: make(map[string]tally.Counter), failure: make(map[string]tally.Counter),
		settled: scope.Counter("settled"), away: scope.Counter("refusedAway"), budget: scope.Counter("refusedBudget"),
	}
	for _, op := range []string{"get", "list", "watch", "swap", "delete", "acquire", "renew", "release"} {
		tagged := scope.Tagged(map[string]string{"op": op})
		c.calls[op] = tagged.Counter("calls")
		c.failure[op] = tagged.Counter("failed")
	}
	return c
}

func (c counters) call(op string)   { c.calls[op].Inc(1) }
func (c counters) failed(op string) { c.failure[op].Inc(1) }
