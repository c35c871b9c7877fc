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

	mu      sync.Mutex
	highest uint64 // That this node knows of.
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
func (f *Fences) next(rev uint64) uint64 {
	complete, millis := f.complete(), uint64(max(f.wall().UnixMilli(), 0))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.eras.Known().Era == 0 && complete && rev > f.highest {
		f.highest = rev
		return rev
	}
	token := millis<<holderBits | f.suffix
	if token <= f.highest {
		token = (f.highest>>holderBits+1)<<holderBits | f.suffix
	}
	f.highest = token
	return token
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
