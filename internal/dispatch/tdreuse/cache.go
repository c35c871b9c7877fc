package tdreuse

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// maxParts bounds the parts that are known of one engine.
	maxParts = 4096
	// sharpness is how quickly the probability that a part is cached falls where the tokens
	// added since its last use exceed the room.
	sharpness = 4
	// initialTrust is the share of an engine's room that is assumed to hold cached parts until
	// outcomes are known. minTrust and maxTrust bound it.
	initialTrust       = 0.8
	minTrust, maxTrust = 0.4, 1.5
	// missFactor and hitFactor change the share after a part that was expected was not
	// cached, and after one that was in doubt was.
	missFactor, hitFactor = 0.93, 1.03
	// doubtfulShare is the share of the room from which a cached part says something of it.
	doubtfulShare = 0.3
)

// Prefix is a part of a prompt together with all parts before it.
type Prefix struct {
	Digest uint64 // Of all these parts.
	Tokens int    // Of the last part.
}

// Cache estimates which parts of prompts one run of an engine has cached.
type Cache struct {
	parts *simplelru.LRU[uint64, float64] // The value of added when each was last used.
	added float64                         // Tokens that have been put before older ones.
	trust float64
}

// NewCache returns the cache of an engine that has read nothing.
func NewCache() *Cache {
	// The only error is a size that is not above zero.
	parts, _ := simplelru.NewLRU[uint64, float64](maxParts, nil)
	return &Cache{parts: parts, trust: initialTrust}
}

// Held is what an engine is expected to have cached of a prompt.
type Held struct {
	Known    int     // Tokens of the parts that it has read.
	Tokens   float64 // Tokens that it is expected to have cached.
	Distance float64 // Tokens added since the last use of the longest known part, relative to the room.
}

// IsDoubtful reports whether parts that the engine has read may have yielded since.
func (h Held) IsDoubtful() bool { return h.Known > 0 && h.Distance >= doubtfulShare }

// Expect returns what the engine is expected to have cached of a prompt. Room is the memory,
// in tokens, that its running requests leave.
func (c *Cache) Expect(prefixes []Prefix, room int) Held {
	var out Held
	limit := c.trust * float64(max(0, room))
	least := 1.0
	for _, p := range prefixes {
		at, ok := c.parts.Peek(p.Digest)
		if !ok {
			break
		}
		out.Known += p.Tokens
		if limit <= 0 {
			out.Distance = math.Inf(1)
			continue
		}
		out.Distance = (c.added - at) / limit
		least = min(least, 1/(1+math.Pow(out.Distance, sharpness)))
		out.Tokens += least * float64(p.Tokens)
	}
	return out
}

// Add records that the engine reads a prompt. Room is as for Expect.
//
// A part that is read again, or used after a long time, moves those behind which it was to the
// back by its tokens; one that was used a short time ago moves few.
func (c *Cache) Add(prefixes []Prefix, room int) {
	limit := c.trust * float64(max(0, room))
	for _, p := range prefixes {
		moves := 1.0
		if at, ok := c.parts.Peek(p.Digest); ok && limit > 0 {
			moves = min(1, (c.added-at)/limit)
		}
		c.added += moves * float64(p.Tokens)
		c.parts.Add(p.Digest, c.added)
	}
}

// Observe records whether the engine had cached what was expected of it.
func (c *Cache) Observe(h Held, hit bool) {
	switch {
	case !hit:
		c.trust = max(minTrust, c.trust*missFactor)
	case h.IsDoubtful():
		c.trust = min(maxTrust, c.trust*hitFactor)
	}
}

// Trust returns the share of the engine's room that is assumed to hold cached parts.
func (c *Cache) Trust() float64 { return c.trust }
