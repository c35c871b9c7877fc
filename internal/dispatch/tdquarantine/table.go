package tdquarantine

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"tarragondeal"
)

// Limits of the crash records.
const (
	// SuspectFor is how long a request stays a suspect after a crash.
	SuspectFor = 5 * time.Minute
	// RefusedFor is how long a request is refused after its latest crash, once
	// refuseAfterCrashes is reached.
	RefusedFor = 10 * time.Minute
	// refuseAfterCrashes is the number of crashes after which a request is refused.
	refuseAfterCrashes = 2
	// tableSize is the maximum number of fingerprints in a table.
	tableSize = 16384
	// sameCrashWindow is the time within which failed runs of one request on one
	// server count as the same crash.
	sameCrashWindow = time.Second
)

// Verdict is the quarantine state of a request.
type Verdict int

// The verdicts.
const (
	Clear   Verdict = iota
	Suspect         // May run, but not beside other suspects.
	Refused         // Must not run.
)

// Notice reports one run of a request whose server crashed.
type Notice struct {
	Server      tarragondeal.ServerID
	Run         uint64 // Unique ID of the run.
	Fingerprint uint64
}

// crash is a crash of a server during one run of a request.
type crash struct {
	server tarragondeal.ServerID
	run    uint64
	at     tarragondeal.Instant
}

// record holds the crashes of one fingerprint.
type record struct {
	crashes []crash
	expires tarragondeal.Instant
}

// Table holds the crashes that one node knows of. It is not safe for
// concurrent use.
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

// Add records a notice. Duplicate notices have no effect.
func (t *Table) Add(now tarragondeal.Instant, n Notice) {
	r, ok := t.records.Get(n.Fingerprint)
	if !ok || now > r.expires {
		r = &record{}
		t.records.Add(n.Fingerprint, r)
	}
	if !r.add(crash{server: n.Server, run: n.Run, at: now}) {
		return
	}
	r.expires = max(r.expires, now.Add(SuspectFor))
	if len(r.crashes) >= refuseAfterCrashes {
		r.expires = now.Add(RefusedFor)
	}
}

// add records a crash and reports whether it is new.
func (r *record) add(c crash) bool {
	for _, old := range r.crashes {
		near := old.server == c.server && c.at.Sub(old.at) < sameCrashWindow
		if near || old.run == c.run {
			return false
		}
	}
	if len(r.crashes) < refuseAfterCrashes {
		r.crashes = append(r.crashes, c)
	}
	return true
}

// Check returns the verdict on a request and how long it stays valid.
func (t *Table) Check(now tarragondeal.Instant, fingerprint uint64) (Verdict, time.Duration) {
	r, ok := t.records.Get(fingerprint)
	if !ok || now > r.expires {
		return Clear, 0
	}
	if len(r.crashes) >= refuseAfterCrashes {
		return Refused, r.expires.Sub(now)
	}
	return Suspect, r.expires.Sub(now)
}

// crashes returns the recorded crashes of a request.
func (t *Table) crashes(fingerprint uint64) []crash {
	if r, ok := t.records.Get(fingerprint); ok {
		return r.crashes
	}
	return nil
}

// Served removes the record of a request that ran to completion, so that it is
// no longer a suspect.
func (t *Table) Served(fingerprint uint64) {
	if t.records.Len() > 0 {
		t.records.Remove(fingerprint)
	}
}
