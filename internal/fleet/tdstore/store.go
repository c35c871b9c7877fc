package tdstore

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"time"

	"tarragondeal"
)

// Store is the client. Its methods are safe for concurrent use.
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

// New returns a client of the service that kv calls.
func New(kv tarragondeal.Store, clock tarragondeal.Clock, opt Options) *Store {
	opt = opt.defaults()
	return &Store{
		kv: kv, clock: clock, opt: opt,
		circuit: circuit{failures: awayFailures, probe: opt.Probe, spread: opt.Spread},
		reads:   newBudget(opt.Reads), writes: newBudget(opt.Writes * (1 - bulkShare)),
		bulk:  newBudget(opt.Writes * bulkShare),
		count: newCounters(opt.Scope),
	}
}

// Away reports whether the service counts as away.
func (s *Store) Away() bool { return s.circuit.isAway() }

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (tarragondeal.Entry, error) {
	c := call{op: "get", key: key, urgent: s.urgent(key), budget: s.reads}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Entry, error) {
		return s.kv.Get(ctx, key)
	})
}

// List reads keys that start with prefix.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]tarragondeal.Entry, error) {
	c := call{op: "list", key: prefix, urgent: s.urgent(prefix), budget: s.reads}
	return do(ctx, s, c, func(ctx context.Context, _ bool) ([]tarragondeal.Entry, error) {
		return s.kv.List(ctx, prefix, after, limit)
	})
}

// Watch waits for changes under prefix. It is made once: the caller goes on
// from the revision that it has, so that no change is missed.
func (s *Store) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	type answer struct {
		entries  []tarragondeal.Entry
		revision tarragondeal.Revision
	}
	if s.Away() {
		// The try that finds the service back should not wait for a change.
		wait = min(wait, probeWait)
	}
	c := call{op: "watch", key: prefix, budget: s.reads, wait: wait, once: true}
	a, err := do(ctx, s, c, func(ctx context.Context, _ bool) (answer, error) {
		es, r, err := s.kv.Watch(ctx, prefix, after, wait)
		return answer{es, r}, err
	})
	return a.entries, a.revision, err
}

// Swap writes value if the key is still at revision prev. After a lost
// answer the same swap is made again: at most one of the two can take
// effect, and a conflict shows whether the first one did.
func (s *Store) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	c := call{op: "swap", key: key, urgent: s.urgent(key), budget: s.writesOf(key)}
	return do(ctx, s, c, func(ctx context.Context, again bool) (tarragondeal.Entry, error) {
		e, err := s.kv.Swap(ctx, key, value, prev)
		var conflict *tarragondeal.ConflictError
		if !again || !errors.As(err, &conflict) {
			return e, err
		}
		now := conflict.Current
		if now.Revision > prev && bytes.Equal(now.Value, value) {
			s.count.settled.Inc(1)
			return tarragondeal.Entry{Key: key, Revision: now.Revision}, nil
		}
		return e, &tarragondeal.StoreError{Op: "swap", Key: key, Err: &OverwrittenError{Current: now}}
	})
}

// Delete removes the key if it is still at revision prev.
func (s *Store) Delete(ctx context.Context, key string, prev tarragondeal.Revision) error {
	c := call{op: "delete", key: key, urgent: s.urgent(key), budget: s.writesOf(key)}
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

// Acquire takes a lease. It is idempotent for one holder, so a lost answer
// is settled by asking again.
func (s *Store) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (tarragondeal.Lease, error) {
	c := call{op: "acquire", key: name, urgent: true, budget: s.writes}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Lease, error) {
		return s.kv.Acquire(ctx, name, holder, ttl)
	})
}

// Renew extends a lease. A lost answer is settled by renewing again.
func (s *Store) Renew(ctx context.Context, l tarragondeal.Lease, ttl time.Duration) (tarragondeal.Lease, error) {
	c := call{op: "renew", key: l.Name, urgent: true, budget: s.writes}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Lease, error) {
		return s.kv.Renew(ctx, l, ttl)
	})
}

// Release gives a lease up. A conflict after a lost answer means that the
// first call took effect, or that the lease was lost: it is not held either
// way.
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

func (s *Store) urgent(key string) bool { return matches(key, s.opt.Urgent) }

func (s *Store) writesOf(key string) *budget {
	if matches(key, s.opt.Bulk) {
		return s.bulk
	}
	return s.writes
}

func matches(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}
