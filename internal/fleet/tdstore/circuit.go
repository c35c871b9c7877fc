package tdstore

import (
	"math/rand/v2"
	"sync"
	"time"

	"tarragondeal"
)

// circuit decides whether calls are made while the service may be away. It
// has no clock: now is passed in.
type circuit struct {
	failures  int           // In a row, before the service counts as away.
	probe     time.Duration // Between tries while it is away.
	spread    time.Duration // Over which the fleet comes back.
	mu        sync.Mutex
	failed    int
	away      bool
	nextProbe tarragondeal.Instant
	openAt    tarragondeal.Instant // For calls that are not urgent.
}

// admit reports whether a call is made now, and otherwise how long a call
// that is not urgent waits; a negative wait means that the service is away.
func (c *circuit) admit(urgent bool, now tarragondeal.Instant) (wait time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.away {
		if now < c.nextProbe {
			return -1, false
		}
		c.nextProbe = now.Add(c.pause())
		return 0, true
	}
	if !urgent && now < c.openAt {
		return c.openAt.Sub(now), false
	}
	return 0, true
}

func (c *circuit) pause() time.Duration { return c.probe/2 + rand.N(max(c.probe, 1)) }

// succeeded notes an answer of the service. It reports whether the service
// was away before.
func (c *circuit) succeeded(now tarragondeal.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	back := c.away
	c.failed, c.away = 0, false
	if back {
		c.openAt = now.Add(rand.N(max(c.spread, 1)))
	}
	return back
}

// gone notes a call without an answer. It reports whether the service counts
// as away from now on.
func (c *circuit) gone(now tarragondeal.Instant) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed++
	if c.away || c.failed < c.failures {
		return false
	}
	c.away = true
	c.nextProbe = now.Add(c.pause())
	return true
}

func (c *circuit) isAway() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.away
}
