package tdreuse

import "time"

const (
	// othersShare weighs the time for which an engine reads a prompt by how long it delays the
	// requests behind it, and by what another engine that has the prefix would save.
	othersShare = 2
	// lateShare weighs the time by which a request begins after its target.
	lateShare = 3
)

// Offer is what an engine can do for a request.
type Offer struct {
	Wait time.Duration // Until it begins to read the prompt.
	Read time.Duration // Time to read what it is not expected to have cached.
}

// Cost returns the cost of an offer for a request that has to begin within target. What is
// saved for other requests doesn't count as far as this one would be late for it.
func (o Offer) Cost(target time.Duration) time.Duration {
	begin := o.Wait + o.Read
	c := begin + othersShare*o.Read
	if target > 0 && begin > target {
		c += lateShare * (begin - target)
	}
	return c
}
