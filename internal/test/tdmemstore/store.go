// Package tdmemstore is a key-value service in memory for tests that need no
// process of their own: compare-and-swap, lists and deletes, with faults.
//
// # Usage
//
//	store := tdmemstore.New()
//	store.Fault = func(op, key string) tdmemstore.Fault { return tdmemstore.LoseAnswer }
package tdmemstore

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"tarragondeal"
)

// Fault is what goes wrong in one call.
type Fault int

// The faults of a call.
const (
	None       Fault = iota
	LoseAnswer       // It takes effect and its answer is lost.
	LoseCall         // It takes no effect, and nobody knows.
	Refuse           // It is refused, so it certainly took no effect.
)

// Store is the service. Its methods are safe for concurrent use. Watches and
// leases are not served.
type Store struct {
	tarragondeal.Store
	Fault    func(op, key string) Fault // Nil for none; set before use.
	Writes   atomic.Int64
	Reads    atomic.Int64
	Bytes    atomic.Int64 // Written.
	mu       sync.Mutex
	entries  map[string]tarragondeal.Entry
	revision tarragondeal.Revision
}

// New returns an empty store.
func New() *Store { return &Store{entries: make(map[string]tarragondeal.Entry)} }

func (s *Store) fault(op, key string) Fault {
	if s.Fault == nil {
		return None
	}
	return s.Fault(op, key)
}

// run makes one call with its fault.
func (s *Store) run(op, key string, do func() error) error {
	f := s.fault(op, key)
	if f == LoseCall || f == Refuse {
		return &tarragondeal.StoreError{Op: op, Key: key, Settled: f == Refuse, Err: errors.New("planted")}
	}
	s.mu.Lock()
	err := do()
	s.mu.Unlock()
	if f == LoseAnswer {
		return &tarragondeal.StoreError{Op: op, Key: key, Err: errors.New("planted")}
	}
	return err
}

// Get reads one key.
func (s *Store) Get(_ context.Context, key string) (tarragondeal.Entry, error) {
	s.Reads.Add(1)
	var out tarragondeal.Entry
	err := s.run("get", key, func() error {
		out = s.entries[key]
		out.Key = key
		return nil
	})
	return out, err
}

// List reads keys that start with prefix.
func (s *Store) List(_ context.Context, prefix, after string, limit int) ([]tarragondeal.Entry, error) {
	s.Reads.Add(1)
	var out []tarragondeal.Entry
	err := s.run("list", prefix, func() error {
		for key, e := range s.entries {
			if strings.HasPrefix(key, prefix) && key > after {
				out = append(out, e)
			}
		}
		return nil
	})
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out[:min(limit, len(out))], err
}

// Swap writes a key that is at revision prev.
func (s *Store) Swap(_ context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	s.Writes.Add(1)
	s.Bytes.Add(int64(len(value)))
	if len(value) > tarragondeal.MaxValueBytes {
		return tarragondeal.Entry{}, &tarragondeal.StoreError{Op: "swap", Key: key, Settled: true, Err: errors.New("value is too large")}
	}
	var out tarragondeal.Entry
	err := s.run("swap", key, func() error {
		now := s.entries[key]
		if now.Revision != prev {
			return &tarragondeal.ConflictError{Op: "swap", Key: key, Current: now}
		}
		s.revision++
		out = tarragondeal.Entry{Key: key, Value: append([]byte(nil), value...), Revision: s.revision}
		s.entries[key] = out
		return nil
	})
	return out, err
}

// Delete removes a key that is at revision prev.
func (s *Store) Delete(_ context.Context, key string, prev tarragondeal.Revision) error {
	s.Writes.Add(1)
	return s.run("delete", key, func() error {
		now := s.entries[key]
		if now.Revision != prev {
			return &tarragondeal.ConflictError{Op: "delete", Key: key, Current: now}
		}
		s.revision++
		delete(s.entries, key)
		return nil
	})
}

// Watch is not served.
func (s *Store) Watch(context.Context, string, tarragondeal.Revision, time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	return nil, 0, &tarragondeal.StoreError{Op: "watch", Settled: true, Err: errors.New("not served")}
}
