package tarragondeal

import "time"

// Instant is a reading of a clock that never steps and that includes the time
// the VM was suspended. It is the time since an arbitrary origin of one VM, so
// instants of different VMs can't be compared.
type Instant time.Duration

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Clock reads the time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
	// Wall returns the current wall clock time in UTC. It may step, and it
	// differs between VMs.
	Wall() time.Time
}
