package tdstore

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"time"

	"tarragondeal"
)

// Store is a client of the key-value service. Its methods are safe for
// concurrent use.
type Store struct {
	kv      tarragondeal.Store
	clock   tarragondeal.Clock
	opt     Options
	circuit circuit
	reads   *budget
	writes  *budget
	bulk    *budget
	count   counters
}

// New returns a client that makes its calls through kv.
func New(kv tarragondeal.Store, clock tarragondeal.Clock, opt Options) *Store {
	opt = opt.defaults()
	return &Store{
		kv: kv, clock: clock, opt: opt,
		circuit: circuit{maxFailures: maxFailures, probeInterval: opt.ProbeInterval, recoverySpread: opt.RecoverySpread},
		reads:   newBudget(opt.Reads), writes: newBudget(opt.Writes * (1 - bulkShare)),
		bulk:  newBudget(opt.Writes * bulkShare),
		count: newCounters(opt.Scope),
	}
}

// Unavailable reports whether the service is considered unavailable.
func (s *Store) Unavailable() bool { return s.circuit.isOpen() }

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (tarragondeal.Entry, error) {
	c := call{op: "get", key: key, urgent: s.urgent(key), budget: s.reads}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Entry, error) {
		return s.kv.Get(ctx, key)
	})
}

// List reads up to limit keys that start with prefix, beginning after the key
// named by after.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]tarragondeal.Entry, error) {
	c := call{op: "list", key: prefix, urgent: s.urgent(prefix), budget: s.reads}
	return do(ctx, s, c, func(ctx context.Context, _ bool) ([]tarragondeal.Entry, error) {
		return s.kv.List(ctx, prefix, after, limit)
	})
}

// Watch waits for changes under prefix. It is not retried: the caller continues
// from its last revision, so that no change is missed.
func (s *Store) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	type reply struct {
		entries  []tarragondeal.Entry
		revision tarragondeal.Revision
	}
	if s.Unavailable() {
		// A probe must not wait for a change to find the service available.
		wait = min(wait, probeWatchWait)
	}
	c := call{op: "watch", key: prefix, budget: s.reads, serverWait: wait, noRetry: true}
	r, err := do(ctx, s, c, func(ctx context.Context, _ bool) (reply, error) {
		es, rev, err := s.kv.Watch(ctx, prefix, after, wait)
		return reply{es, rev}, err
	})
	return r.entries, r.revision, err
}

// Swap writes value if the key is still at revision prev. If it gets no reply,
// it is retried: at most one of the attempts can take effect, and a conflict
// shows whether an earlier one did.
func (s *Store) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	c := call{op: "swap", key: key, urgent: s.urgent(key), budget: s.writeBudget(key)}
	return do(ctx, s, c, func(ctx context.Context, again bool) (tarragondeal.Entry, error) {
		e, err := s.kv.Swap(ctx, key, value, prev)
		var conflict *tarragondeal.ConflictError
		if !again || !errors.As(err, &conflict) {
			return e, err
		}
		current := conflict.Current
		if current.Revision > prev && bytes.Equal(current.Value, value) {
			s.count.settled.Inc(1)
			return tarragondeal.Entry{Key: key, Revision: current.Revision}, nil
		}
		return e, &tarragondeal.StoreError{Op: "swap", Key: key, Err: &OverwrittenError{Current: current}}
	})
}

// Delete removes the key if it is still at revision prev.
func (s *Store) Delete(ctx context.Context, key string, prev tarragondeal.Revision) error {
	c := call{op: "delete", key: key, urgent: s.urgent(key), budget: s.writeBudget(key)}
	_, err := do(ctx, s, c, func(ctx context.Context, again bool) (struct{}, error) {
		err := s.kv.Delete(ctx, key, prev)
		var conflict *tarragondeal.ConflictError
		if !again || !errors.As(err, &conflict) {
			return struct{}{}, err
		}
		if conflict.Current.Revision == 0 {
			s.count.settled.Inc(1)
			return struct{}{}, nil
		}
		return struct{}{}, &tarragondeal.StoreError{Op: "delete", Key: key, Err: &OverwrittenError{Current: conflict.Current}}
	})
	return err
}

// Acquire takes a lease. It is idempotent for one holder and so is retried if it
// gets no reply.
func (s *Store) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (tarragondeal.Lease, error) {
	c := call{op: "acquire", key: name, urgent: true, budget: s.writes}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Lease, error) {
		return s.kv.Acquire(ctx, name, holder, ttl)
	})
}

// Renew extends a lease. It is retried if it gets no reply.
func (s *Store) Renew(ctx context.Context, l tarragondeal.Lease, ttl time.Duration) (tarragondeal.Lease, error) {
	c := call{op: "renew", key: l.Name, urgent: true, budget: s.writes}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Lease, error) {
		return s.kv.Renew(ctx, l, ttl)
	})
}

// Release releases a lease. A conflict on a retry means that an earlier attempt
// took effect or that the lease was lost: either way it is no longer held.
func (s *Store) Release(ctx context.Context, l tarragondeal.Lease) error {
	c := call{op: "release", key: l.Name, urgent: true, budget: s.writes}
	_, err := do(ctx, s, c, func(ctx context.Context, again bool) (struct{}, error) {
		err := s.kv.Release(ctx, l)
		var conflict *tarragondeal.ConflictError
		if again && errors.As(err, &conflict) {
			s.count.settled.Inc(1)
			return struct{}{}, nil
		}
		return struct{}{}, err
	})
	return err
}

func (s *Store) urgent(key string) bool { return hasAnyPrefix(key, s.opt.Urgent) }

func (s *Store) writeBudget(key string) *budget {
	if hasAnyPrefix(key, s.opt.Bulk) {
		return s.bulk
	}
	return s.writes
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}
