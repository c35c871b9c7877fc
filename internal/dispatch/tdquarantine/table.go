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
	// sameCrash is for how long runs of one request that broke on one server
	// are taken to have met the same crash.
	sameCrash = time.Second
)

// Verdict is what is thought of a request.
type Verdict int

// The verdicts.
const (
	Clear   Verdict = iota
	Suspect         // It runs apart from other suspects.
	Refused         // It is not run.
)

// Notice is one run of a request that broke with its server.
type Notice struct {
	Server      tarragondeal.ServerID
	Run         uint64 // Unique to the run.
	Fingerprint uint64
}

// crash is one crash during which a request ran.
type crash struct {
	server tarragondeal.ServerID
	run    uint64
	at     tarragondeal.Instant
}

// record is what is known of one fingerprint.
type record struct {
	crashes []crash
	until   tarragondeal.Instant
}

// Table is what one node knows of crashes. It is not safe for concurrent
// use.
type Table struct {
	records *lru.Cache[uint64, *record]
}

// NewTable returns an empty table.
func NewTable() *Table {
	c, err := lru.New[uint64, *record](tableSize)
	if err != nil {
		panic("tdquarantine: " + err.Error()) // The size is a positive constant.
	}
	return &Table{records: c}
}

// Add takes a notice, which may come more than once.
func (t *Table) Add(now tarragondeal.Instant, n Notice) {
	r, ok := t.records.Get(n.Fingerprint)
	if !ok || now > r.until {
		r = &record{}
		t.records.Add(n.Fingerprint, r)
	}
	if !r.add(crash{server: n.Server, run: n.Run, at: now}) {
		return
	}
	r.until = max(r.until, now.Add(SuspectFor))
	if len(r.crashes) >= convict {
		r.until = now.Add(RefusedFor)
	}
}

// add reports whether the crash was not known yet.
func (r *record) add(c crash) bool {
	for _, old := range r.crashes {
		near := old.server == c.server && c.at.Sub(old.at) < sameCrash
		if near || old.run == c.run {
			return false
		}
	}
	if len(r.crashes) < convict {
		r.crashes = append(r.crashes, c)
	}
	return true
}

// Check returns what is thought of a request, and for how long.
func (t *Table) Check(now tarragondeal.Instant, fingerprint uint64) (Verdict, time.Duration) {
	r, ok := t.records.Get(fingerprint)
	if !ok || now > r.until {
		return Clear, 0
	}
	if len(r.crashes) >= convict {
		return Refused, r.until.Sub(now)
	}
	return Suspect, r.until.Sub(now)
}

// met returns the crashes that a request met.
func (t *Table) met(fingerprint uint64) []crash {
	if r, ok := t.records.Get(fingerprint); ok {
		return r.crashes
	}
	return nil
}

// Served takes it that a request ran to its end: it is no suspect.
func (t *Table) Served(fingerprint uint64) {
	if t.records.Len() > 0 {
		t.records.Remove(fingerprint)
	}
}
