// Package tdmemstore is an in-memory key-value service with fault injection,
// for tests within one process. It serves reads, lists, compare-and-swap and
// deletes.
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

// Fault is an injected fault of one call.
type Fault int

// The faults of a call.
const (
	None       Fault = iota
	LoseAnswer       // The call takes effect; its outcome is unknown to the caller.
	LoseCall         // The call takes no effect; its outcome is unknown to the caller.
	Refuse           // The call takes no effect, and the caller knows.
)

// Store implements tarragondeal.Store, except watches and leases. Its methods
// are safe for concurrent use.
type Store struct {
	tarragondeal.Store
	Fault    func(op, key string) Fault // Nil for no faults; set before use.
	Writes   atomic.Int64
	Reads    atomic.Int64
	Bytes    atomic.Int64 // Size of all values passed to Swap.
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

// run makes one call and injects its fault.
func (s *Store) run(op, key string, do func() error) error {
	f := s.fault(op, key)
	if f == LoseCall || f == Refuse {
		return &tarragondeal.StoreError{Op: op, Key: key, Settled: f == Refuse, Err: errors.New("injected fault")}
	}
	s.mu.Lock()
	err := do()
	s.mu.Unlock()
	if f == LoseAnswer {
		return &tarragondeal.StoreError{Op: op, Key: key, Err: errors.New("injected fault")}
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

// List returns the first entries after a key whose keys start with prefix.
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

// Swap writes a key if its revision is prev.
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

// Delete deletes a key if its revision is prev.
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

// Watch is not supported and returns an error.
func (s *Store) Watch(context.Context, string, tarragondeal.Revision, time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	return nil, 0, &tarragondeal.StoreError{Op: "watch", Settled: true, Err: errors.New("not supported")}
}
