package tarragondeal

import (
	"context"
	"time"
)

// Revision counts the writes to the platform's key-value service. Zero as a
// previous revision means that the key does not exist.
type Revision uint64

// Entry is one key of the key-value service with its value.
type Entry struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
}

// MaxValueBytes is the largest value that the key-value service accepts.
const MaxValueBytes = 1 << 20

// Lease is an exclusive right that expires unless it is renewed. Its fencing
// token increases with every acquisition, by any holder.
type Lease struct {
	Name    string
	Holder  string
	Fence   uint64
	Expires Instant // By the clock of the node that holds it.
	ID      uint64  // The service's id of the lease, if it has one.
}

// Store is the platform's key-value service. Every method makes one call that
// counts against the service's rate limits. Errors are *StoreError, or
// *ConflictError when a condition did not hold.
type Store interface {
	// Get reads one key. A missing key has revision zero and no error.
	Get(ctx context.Context, key string) (Entry, error)
	// List reads up to limit keys that start with prefix, sorted by key,
	// beginning after the key named by after.
	List(ctx context.Context, prefix, after string, limit int) ([]Entry, error)
	// Swap writes value if the key is still at revision prev.
	Swap(ctx context.Context, key string, value []byte, prev Revision) (Entry, error)
	// Delete removes the key if it is still at revision prev.
	Delete(ctx context.Context, key string, prev Revision) error
	// Watch waits for changes under prefix later than revision after. It
	// returns none when wait has elapsed.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
	// Acquire takes the lease if it is free or already held by holder.
	Acquire(ctx context.Context, name, holder string, ttl time.Duration) (Lease, error)
	// Renew extends a lease that is still held with the same fencing token.
	Renew(ctx context.Context, lease Lease, ttl time.Duration) (Lease, error)
	Release(ctx context.Context, lease Lease) error
}

// Page is a part of a listing.
type Page struct {
	Entries []Entry
	More    bool // Further entries follow.
	// Revision is the service's revision when it answered. The pages of one
	// listing are not a snapshot: the caller must watch for changes after the
	// first page's revision.
	Revision Revision
}

// Source lists and watches the entries from which a copy of the store is kept.
type Source interface {
	// Page reads the keys that start with prefix, beginning after the key
	// named by after.
	Page(ctx context.Context, prefix, after string) (Page, error)
	// Watch waits for changes under prefix later than revision after. It
	// returns none when wait has elapsed. The error is a *HistoryError when the
	// service has compacted the history after that revision.
	Watch(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Entry, Revision, error)
}
