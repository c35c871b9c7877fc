package tdengine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2"

	"tarragondeal/internal/platform/tdwire"
)

// blockBytes is the size of a cached block of a prompt.
const blockBytes = 256

// cache is an LRU cache of prompt blocks and the log of its events.
type cache struct {
	mu        sync.Mutex
	blocks    *lru.Cache[uint64, struct{}]
	events    []timedEvent
	lastSeq   uint64
	lag       time.Duration
	dropEvery int
}

type timedEvent struct {
	at    time.Time
	event tdwire.CacheEvent
}

func newCache(blocks int, lag time.Duration, dropEvery int) *cache {
	c := &cache{lag: lag, dropEvery: dropEvery}
	if blocks > 0 {
		c.blocks, _ = lru.NewWithEvict(blocks, func(b uint64, _ struct{}) {
			c.record(tdwire.CacheEvicted, b)
		})
	}
	return c
}

// lookupAndStore returns the number of tokens in the longest cached prefix of the
// prompt, and caches all of the prompt's full blocks.
func (c *cache) lookupAndStore(salt string, prompt []byte) int {
	if c.blocks == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	cached, unbroken := 0, true
	h := xxhash.New()
	_, _ = h.WriteString(salt)
	for n := blockBytes; n <= len(prompt); n += blockBytes {
		_, _ = h.Write(prompt[n-blockBytes : n])
		b := h.Sum64()
		_, ok := c.blocks.Get(b)
		unbroken = unbroken && ok
		if unbroken {
			cached += blockBytes / bytesPerToken
		}
		if !ok {
			c.blocks.Add(b, struct{}{})
			c.record(tdwire.CacheStored, b)
		}
	}
	return cached
}

// record appends an event to the log. Every dropEvery-th event is lost: it
// uses up a sequence number, so that readers see a gap.
func (c *cache) record(kind string, block uint64) {
	c.lastSeq++
	if c.dropEvery > 0 && c.lastSeq%uint64(c.dropEvery) == 0 {
		return
	}
	c.events = append(c.events, timedEvent{at: time.Now(), event: tdwire.CacheEvent{Seq: c.lastSeq, Kind: kind, Block: block}})
}

func (c *cache) clear() {
	if c.blocks == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.blocks.Purge()
	c.events = nil
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a number", http.StatusBadRequest)
		return
	}
	out := []tdwire.CacheEvent{}
	now := time.Now()
	e.cache.mu.Lock()
	for _, d := range e.cache.events {
		if d.event.Seq > after && now.Sub(d.at) >= e.cache.lag {
			out = append(out, d.event)
		}
	}
	e.cache.mu.Unlock()
	writeJSON(w, http.StatusOK, out)
}

// exportBlocks returns the cached blocks for import by another engine.
func (e *Engine) exportBlocks(w http.ResponseWriter, _ *http.Request) {
	out := tdwire.CacheCopy{}
	if e.cache.blocks != nil {
		e.cache.mu.Lock()
		out.Blocks = e.cache.blocks.Keys()
		e.cache.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, out)
}

func (e *Engine) importBlocks(w http.ResponseWriter, r *http.Request) {
	var in tdwire.CacheCopy
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, &in)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.cache.blocks != nil {
		e.cache.mu.Lock()
		for _, b := range in.Blocks {
			e.cache.blocks.Add(b, struct{}{})
		}
		e.cache.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
