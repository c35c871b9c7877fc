package tdfit

import (
	"slices"
	"time"

	"tarragondeal"
)

const (
	// crashTTL is how long the crashes of a request are kept.
	crashTTL = time.Minute
	// maxCrashRecords bounds the requests that are recorded.
	maxCrashRecords = 1024
	// maxCrashesPerMessage bounds the crashes in one message to a peer.
	maxCrashesPerMessage = 32
)

// crashes records which requests broke connections to servers, by fingerprint.
type crashes struct {
	clock   tarragondeal.Clock
	records map[uint64]*crashRecord
}

type crashRecord struct {
	servers []tarragondeal.ServerID
	last    tarragondeal.Instant
}

func newCrashes(c tarragondeal.Clock) *crashes {
	return &crashes{clock: c, records: make(map[uint64]*crashRecord)}
}

// add records a crash and reports whether it is new. A request without a
// fingerprint is ignored.
func (c *crashes) add(fingerprint uint64, id tarragondeal.ServerID) bool {
	if fingerprint == 0 {
		return false
	}
	now := c.clock.Now()
	if len(c.records) >= maxCrashRecords {
		c.evict(now)
	}
	r := c.records[fingerprint]
	if r == nil {
		r = &crashRecord{}
		c.records[fingerprint] = r
	}
	// A crash that is already known doesn't extend the record: peers that
	// repeat it to one another would keep it forever.
	if slices.Contains(r.servers, id) {
		return false
	}
	r.servers = append(r.servers, id)
	r.last = now
	return true
}

// evict deletes expired records, or all records if none has expired.
func (c *crashes) evict(now tarragondeal.Instant) {
	for k, r := range c.records {
		if now.Sub(r.last) > crashTTL {
			delete(c.records, k)
		}
	}
	if len(c.records) >= maxCrashRecords {
		clear(c.records)
	}
}

// servers returns the number of servers at which a request broke connections.
func (c *crashes) servers(fingerprint uint64) int {
	r := c.records[fingerprint]
	if r == nil || c.clock.Now().Sub(r.last) > crashTTL {
		return 0
	}
	return len(r.servers)
}

// recent returns the crashes to publish to peers.
func (c *crashes) recent() []*Crash {
	var out []*Crash
	now := c.clock.Now()
	for fingerprint, r := range c.records {
		if now.Sub(r.last) > crashPublishTime {
			continue
		}
		for _, id := range r.servers {
			if len(out) == maxCrashesPerMessage {
				return out
			}
			out = append(out, &Crash{Fingerprint: fingerprint, Server: string(id)})
		}
	}
	return out
}

// crashPublishTime is how long a crash is published to peers.
const crashPublishTime = 2 * time.Second
