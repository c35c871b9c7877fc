package tdquarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tarragondeal"
)

// Bounds of what is remembered.
const (
	// SuspectFor is how long a request that ran during a crash runs apart.
	SuspectFor = 5 * time.Minute
	// RefusedFor is how long a request is refused after two crashes.
	RefusedFor = 10 * time.Minute
	// convict is how many crashes make a request refused.
	convict = 2
	// tableSize bounds the fingerprints that are remembered.
	tableSize = 16384
	// outageWindow and outageCrashes tell an outage, such as a reclaimed data
	// centre, from a request that crashes servers: so many servers within so
	// short a time are not taken down by requests that run apart.
	outageWindow  = 2 * time.Second
	outageCrashes = 3
)

// Verdict is what is thought of a request.
type Verdict int

// The verdicts.
const (
	Clear   Verdict = iota
	Suspect         // It runs apart from other suspects.
	Refused         // It is not run.
)

// Notice is one crash and what ran during it.
type Notice struct {
	Server       tarragondeal.ServerID
	Crash        uint64 // Unique to the crash.
	Fingerprints []uint64
}

// record is what is known of one fingerprint.
type record struct {
	crashes []uint64
	until   tarragondeal.Instant
}

// event is one recent crash.
type event struct {
	id     uint64
	server tarragondeal.ServerID
	at     tarragondeal.Instant
}

// Table is what one node knows of crashes. It is not safe for concurrent
// use.
type Table struct {
	records *lru.Cache[uint64, *record]
	recent  []event
	outage  map[uint64]tarragondeal.Instant // Crashes that count for nothing.
}

// NewTable returns an empty table.
func NewTable() *Table {
	c, err := lru.New[uint64, *record](tableSize)
	if err != nil {
		panic("tdquarantine: " + err.Error()) // The size is a positive constant.
	}
	return &Table{records: c, outage: make(map[uint64]tarragondeal.Instant)}
}

// Add takes a notice. It reports whether it was new.
func (t *Table) Add(now tarragondeal.Instant, n Notice) bool {
	for _, e := range t.recent {
		if e.id == n.Crash {
			return false
		}
	}
	t.note(now, n)
	for _, f := range n.Fingerprints {
		r, ok := t.records.Get(f)
		if !ok || now > r.until {
			r = &record{}
			t.records.Add(f, r)
		}
		r.crashes = append(r.crashes, n.Crash)
		r.until = max(r.until, now.Add(SuspectFor))
		if t.counted(r) >= convict {
			r.until = now.Add(RefusedFor)
		}
	}
	return true
}

// note remembers the crash, and recognises an outage.
func (t *Table) note(now tarragondeal.Instant, n Notice) {
	keep := t.recent[:0]
	for _, e := range t.recent {
		if now.Sub(e.at) < SuspectFor {
			keep = append(keep, e)
		}
	}
	t.recent = append(keep, event{id: n.Crash, server: n.Server, at: now})
	for id, at := range t.outage {
		if now.Sub(at) > RefusedFor {
			delete(t.outage, id)
		}
	}
	first := len(t.recent)
	for first > 0 && now.Sub(t.recent[first-1].at) < outageWindow {
		first--
	}
	if len(t.recent)-first < outageCrashes {
		return
	}
	for _, e := range t.recent[first:] {
		t.outage[e.id] = now
	}
}

// counted is the number of crashes that tell against a request.
func (t *Table) counted(r *record) int {
	n := 0
	for _, id := range r.crashes {
		if _, outage := t.outage[id]; !outage {
			n++
		}
	}
	return n
}

// Check returns what is thought of a request, and for how long.
func (t *Table) Check(now tarragondeal.Instant, fingerprint uint64) (Verdict, time.Duration) {
	r, ok := t.records.Get(fingerprint)
	if !ok || now > r.until {
		return Clear, 0
	}
	if t.counted(r) >= convict {
		return Refused, r.until.Sub(now)
	}
	return Suspect, r.until.Sub(now)
}

// Served takes it that a request ran to its end: it is no suspect.
func (t *Table) Served(fingerprint uint64) {
	if t.records.Len() > 0 {
		t.records.Remove(fingerprint)
	}
}
