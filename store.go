package tarragondeal

import (
	"context"
	"time"
)

// Revision counts the writes of the platform's key-value service. Zero as a
// previous revision stands for "does not exist".
type Revision uint64

// Entry is one key of the key-value service and what it holds.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
}

// MaxValueBytes is the largest value the key-value service takes.
const MaxValueBytes = 1 << 20

// Lease is an exclusive right that lapses on its own. Its fencing token
// rises with every acquisition by whichever holder.
type Lease struct {
	Name    string
	Holder  string
	Fence   uint64
	Expires Instant // By the clock of the node that holds it.
	ID      uint64  // As the service names it, where it does.
}

// Store is the platform's key-value service. Every method is one call that
// counts against the service's rates. Errors are *StoreError, or
// *ConflictError where a condition did not hold.
type Store interface {
	// Get reads one key. A missing key has revision zero and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads up to limit keys that start with prefix, in order of keys,
	// beginning after the key named by after.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// Swap writes value if the key is still at revision prev.
	Swap(ctx context.Context, key string, value []byte, prev Revision) (Entry, error)
	// Delete removes the key if it is still at revision prev.
	Delete(ctx context.Context, key string, prev Revision) error
	// Watch waits for changes under prefix later than revision after. It
	// returns with none when wait is over.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Acquire takes the lease if it is free or already holder's.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Renew extends a lease that is still held with the same fencing token.
	Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
	// Release gives the lease up.
	Release(ctx context.Context, lease Lease) error
}

// Page is a part of a listing.
type Page struct {
	Entries []Entry
	More    bool // Entries follow after the last one.
	// Revision is the service's when it answered. The pages of one listing
	// are no snapshot: changes after the first page's revision must be
	// watched for.
	Revision Revision
}

// Source is what a copy of the store is kept from.
type Source interface {
	// Page reads the keys that start with prefix, beginning after the key
	// named by after.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes under prefix later than revision after. It
	// returns with none when wait is over. The error is a *HistoryError when
	// the service has forgotten what came after that revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
}
