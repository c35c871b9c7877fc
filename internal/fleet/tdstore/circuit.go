package tdstore

import (
	"math/rand/v2"
	"sync"
	"time"

	"tarragondeal"
)

// circuit is a circuit breaker. While it is open, calls fail except for a probe
// now and then. It has no clock: the current time is passed in.
type circuit struct {
	maxFailures    int           // Consecutive failures that open the circuit.
	probeInterval  time.Duration // Average time between probes while open.
	recoverySpread time.Duration // Period over which the nodes resume calls after an outage.
	mu             sync.Mutex
	failures       int
	open           bool
	nextProbe      tarragondeal.Instant
	resumeAt       tarragondeal.Instant // From when calls that are not urgent are admitted.
}

// admit reports whether a call may be made now. If not, it returns how long a
// call that is not urgent must wait; a negative wait means that the circuit is
// open.
func (c *circuit) admit(urgent bool, now tarragondeal.Instant) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open {
		if now < c.nextProbe {
			return -1, false
		}
		c.nextProbe = now.Add(c.probeDelay())
		return 0, true
	}
	if !urgent && now < c.resumeAt {
		return c.resumeAt.Sub(now), false
	}
	return 0, true
}

// probeDelay returns a random time between 0.5 and 1.5 probe intervals.
func (c *circuit) probeDelay() time.Duration {
	return c.probeInterval/2 + rand.N(max(c.probeInterval, 1))
}

// recordSuccess records a reply of the service and closes the circuit. It
// reports whether the circuit was open. After an outage each node resumes calls
// that are not urgent at a random time within recoverySpread, so that the
// service isn't flooded.
func (c *circuit) recordSuccess(now tarragondeal.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	wasOpen := c.open
	c.failures, c.open = 0, false
	if wasOpen {
		c.resumeAt = now.Add(rand.N(max(c.recoverySpread, 1)))
	}
	return wasOpen
}

// recordFailure records a call without a reply. It reports whether it opened
// the circuit.
func (c *circuit) recordFailure(now tarragondeal.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failures++
	if c.open || c.failures < c.maxFailures {
		return false
	}
	c.open = true
	c.nextProbe = now.Add(c.probeDelay())
	return true
}

func (c *circuit) isOpen() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}
