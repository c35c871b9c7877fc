package tdfit

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tarragondeal"
)

const (
	// maxCached bounds the prompt parts that are remembered of one engine.
	maxCached = 4096
	// cacheShare is the share of an engine's memory that is counted on for
	// parts that no running request holds.
	cacheShare = 0.6
)

// link is a prompt part together with all parts before it.
type link struct {
	digest uint64
	tokens int
}

// chain returns the links of a prompt. Two prompts share a part only when
// they share all parts before it.
func chain(parts []tarragondeal.PromptPart) []link {
	out := make([]link, 0, len(parts))
	var sum uint64
	var buf [16]byte
	for _, p := range parts {
		put(buf[:8], sum)
		put(buf[8:], p.ID)
		sum = xxhash.Sum64(buf[:])
		out = append(out, link{digest: sum, tokens: p.Tokens})
	}
	return out
}

func put(b []byte, v uint64) {
	for n := range b {
		b[n] = byte(v >> (8 * n))
	}
}

// cache is what an engine is believed to hold of prompts, least recently used
// first out.
type cache struct {
	parts    *simplelru.LRU[uint64, int]
	tokens   int
	capacity int
}

func newCache(capacity int) *cache {
	c := &cache{capacity: int(cacheShare * float64(capacity))}
	// The only error is a size that is not above zero.
	c.parts, _ = simplelru.NewLRU(maxCached, func(_ uint64, tokens int) { c.tokens -= tokens })
	return c
}

// held returns how many tokens of a prompt the engine holds.
func (c *cache) held(links []link) int {
	tokens := 0
	for _, l := range links {
		if !c.parts.Contains(l.digest) {
			break
		}
		tokens += l.tokens
	}
	return tokens
}

// add notes that the engine reads a prompt.
func (c *cache) add(links []link) {
	for _, l := range links {
		if _, ok := c.parts.Get(l.digest); ok {
			continue
		}
		c.parts.Add(l.digest, l.tokens)
		c.tokens += l.tokens
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
