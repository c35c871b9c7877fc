package tdpace

import (
	"math"
	"time"

	"tarragondeal"
)

const (
	// waitWeight is the weight of a new sample of how far estimated waits are off.
	waitWeight = 0.1
	// waitHalfLife is the half-life of what is known of it while there are no samples.
	waitHalfLife = time.Second
	// maxWaitError bounds a sample.
	maxWaitError = 4 * time.Second
)

// waitError follows by how much requests wait longer than estimated. Estimates rest on what
// other nodes reported, which is old under a burst, and on what engines are expected to have
// cached.
type waitError struct {
	mean float64 // In seconds.
	at   tarragondeal.Instant
}

func (e *waitError) now(now tarragondeal.Instant) float64 {
	return e.mean * math.Exp2(-max(0, now.Sub(e.at)).Seconds()/waitHalfLife.Seconds())
}

// ObserveWait records that a request began after a time at an engine of the pool, where
// another was estimated.
func (p *Pool) ObserveWait(estimated, actual time.Duration, now tarragondeal.Instant) {
	sample := min(max(actual-estimated, -maxWaitError), maxWaitError)
	mean := p.wait.now(now)
	p.wait = waitError{mean: mean + waitWeight*(sample.Seconds()-mean), at: now}
}

// UnexpectedWait returns by how much requests wait longer than estimated, on average.
func (p *Pool) UnexpectedWait(now tarragondeal.Instant) time.Duration {
	return max(0, seconds(p.wait.now(now)))
}
