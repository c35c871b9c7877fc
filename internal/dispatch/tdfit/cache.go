package tdfit

import (
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdreuse"
)

const (
	// maxCachedParts bounds the prompt parts that are tracked per engine.
	maxCachedParts = 4096
	// cacheShare is the share of an engine's KV cache that is assumed to be
	// available for parts that no running request uses.
	cacheShare = 0.6
)

// prefix is a prompt part together with all parts before it.
type prefix = tdreuse.Prefix

// prefixesOf returns the prefixes of a prompt, shortest first. Two prompts share
// a part only if they share all parts before it.
func prefixesOf(parts []tarragondeal.PromptPart) []prefix {
	out := make([]prefix, 0, len(parts))
	var sum uint64
	var buf [16]byte
	for _, p := range parts {
		put(buf[:8], sum)
		put(buf[8:], p.ID)
		sum = xxhash.Sum64(buf[:])
		out = append(out, prefix{Digest: sum, Tokens: p.Tokens})
	}
	return out
}

func put(b []byte, v uint64) {
	for n := range b {
		b[n] = byte(v >> (8 * n))
	}
}

// promptCache models the prompt cache of one engine, with LRU eviction.
type promptCache struct {
	parts    *simplelru.LRU[uint64, int]
	tokens   int
	capacity int
}

func newPromptCache(capacity int) *promptCache {
	c := &promptCache{capacity: int(cacheShare * float64(capacity))}
	// The only error is a size that is not above zero.
	c.parts, _ = simplelru.NewLRU(maxCachedParts, func(_ uint64, tokens int) { c.tokens -= tokens })
	return c
}

// cachedTokens returns how many tokens of a prompt the engine is expected to
// have cached.
func (c *promptCache) cachedTokens(prefixes []prefix) int {
	tokens := 0
	for _, p := range prefixes {
		if !c.parts.Contains(p.Digest) {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}

// add records that the engine reads a prompt.
func (c *promptCache) add(prefixes []prefix) {
	for _, p := range prefixes {
		if _, ok := c.parts.Get(p.Digest); ok {
			continue
		}
		c.parts.Add(p.Digest, p.Tokens)
		c.tokens += p.Tokens
	}
	for c.tokens > c.capacity && c.parts.Len() > 0 {
		c.parts.RemoveOldest()
	}
}
