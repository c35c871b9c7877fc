package tdstore

import "github.com/uber-go/tally/v4"

// counters counts the calls that were made, by operation, and their results.
type counters struct {
	calls       map[string]tally.Counter
	failures    map[string]tally.Counter
	settled     tally.Counter // Calls without a reply that turned out to have taken effect.
	unavailable tally.Counter // Calls not made while the service was unavailable.
	noBudget    tally.Counter // Calls not made because no budget was left.
}

func newCounters(scope tally.Scope) counters {
	c := counters{
		calls: make(map[string]tally.Counter), failures: make(map[string]tally.Counter),
		settled: scope.Counter("settled"), unavailable: scope.Counter("refusedAway"), noBudget: scope.Counter("refusedBudget"),
	}
	for _, op := range []string{"get", "list", "watch", "swap", "delete", "acquire", "renew", "release"} {
		tagged := scope.Tagged(map[string]string{"op": op})
		c.calls[op] = tagged.Counter("calls")
		c.failures[op] = tagged.Counter("failed")
	}
	return c
}

func (c counters) call(op string)   { c.calls[op].Inc(1) }
func (c counters) failed(op string) { c.failures[op].Inc(1) }
