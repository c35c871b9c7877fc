package tdlease

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdera"
)

// holderBits is the number of bits of a token that differ between holders; the others are a
// time in milliseconds. Such a token fits into 53 bits until the year 2039.
const holderBits = 12

// Fences assigns fencing tokens that rise also if the revisions of the store go back. It is safe
// for concurrent use.
type Fences struct {
	eras *tdera.Tracker
	wall func() time.Time
	// complete reports whether some node remembers all tokens since the first start.
	complete func() bool
	suffix   uint64

	mu       sync.Mutex
	highest  uint64      // That this node knows of.
	assigned acquisition // For which a token was assigned here, and is not on record yet.
	token    uint64      // That token; zero for none.
}

// NewFences returns Fences for a holder. The function wall returns the time that most nodes agree
// on. The function complete reports whether the nodes' knowledge goes back to the first start of
// the deployment.
func NewFences(holder string, eras *tdera.Tracker, wall func() time.Time, complete func() bool) *Fences {
	return &Fences{eras: eras, wall: wall, complete: complete, suffix: xxhash.Sum64String(holder) & (1<<holderBits - 1)}
}

// Highest returns the highest token that this node knows of.
func (f *Fences) Highest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.highest
}

// Raise records a token that another node knows of.
func (f *Fences) Raise(token uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.highest = max(f.highest, token)
}

// next returns a token above all others for a holder that was written to the store at a
// revision. It is that revision if no token can be above it. Builds before use revisions only.
// An acquisition whose record could not be written gets the same token again, unless one above
// it is known.
func (f *Fences) next(rev uint64) uint64 {
	complete, millis := f.complete(), uint64(max(f.wall().UnixMilli(), 0))
	f.mu.Lock()
	defer f.mu.Unlock()
	own := acquisition{era: f.eras.Known().Era, rev: rev}
	if f.token != 0 && f.assigned == own && f.token == f.highest {
		return f.token
	}
	f.assigned, f.token = own, f.above(own, complete, millis)
	f.highest = f.token
	return f.token
}

// setRecorded records that the token that was assigned last is on record.
func (f *Fences) setRecorded() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.token = 0
}

// above returns a token for an acquisition above the highest one.
func (f *Fences) above(own acquisition, complete bool, millis uint64) uint64 {
	if own.era == 0 && complete && own.rev > f.highest {
		return own.rev
	}
	return max(millis, f.highest>>holderBits+1)<<holderBits | f.suffix
}

// acquisition identifies one acquisition of a lease in the store.
type acquisition struct {
	era tarragondeal.Era
	rev uint64 // At which the holder was written.
}

// era returns the era in which a lease is acquired.
func (l *Leases) era() tarragondeal.Era {
	if l.opt.Fences == nil {
		return 0
	}
	return l.opt.Fences.eras.Known().Era
}
