package tdmesh

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// forgetfulStore is a store that has given the id of each lease again: renewals succeed.
type forgetfulStore struct {
	tarragondeal.Store
	acquired int
}

func (s *forgetfulStore) Acquire(_ context.Context, name, holder string, _ time.Duration) (tarragondeal.Lease, error) {
	s.acquired++
	return tarragondeal.Lease{Name: name, Holder: holder, ID: 1}, nil
}

func (s *forgetfulStore) Renew(_ context.Context, l tarragondeal.Lease, _ time.Duration) (tarragondeal.Lease, error) {
	return l, nil
}

func (s *forgetfulStore) Release(context.Context, tarragondeal.Lease) error { return nil }

// TestForgottenEntryIsWrittenAgain guards against a node that nodes that start later don't find,
// since the store forgot its entry and renewals of its lease succeed.
func TestForgottenEntryIsWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &forgetfulStore{}
		m := newMesh("node1", &fakeClock{now: 1})
		m.Store, m.TTL = store, 6*time.Second
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- m.maintainEntry(ctx) }()
		time.Sleep(time.Second)
		m.applyChanges(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: nodePrefix + "node1", Revision: 9, Deleted: true}}})
		time.Sleep(m.TTL)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		if store.acquired != 2 {
			t.Errorf("written %d times", store.acquired)
		}
	})
}
