package tdlease_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/platform/tdkv"
	"tarragondeal/internal/standin/tdplatform"
)

// silentStore is a store that doesn't answer one call.
type silentStore struct {
	tarragondeal.Store
	op string // The call; empty once it was made.
}

// silence waits for the end of the call that isn't answered.
func (s *silentStore) silence(ctx context.Context, op string) error {
	if s.op != op {
		return nil
	}
	s.op = ""
	<-ctx.Done()
	return &tarragondeal.StoreError{Op: op, Err: ctx.Err()}
}

func (s *silentStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (tarragondeal.Lease, error) {
	if err := s.silence(ctx, "acquire"); err != nil {
		return tarragondeal.Lease{}, err
	}
	return s.Store.Acquire(ctx, name, holder, ttl)
}

func (s *silentStore) Get(ctx context.Context, key string) (tarragondeal.Entry, error) {
	if err := s.silence(ctx, "get"); err != nil {
		return tarragondeal.Entry{}, err
	}
	return s.Store.Get(ctx, key)
}

func (s *silentStore) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	if err := s.silence(ctx, "swap"); err != nil {
		return tarragondeal.Entry{}, err
	}
	return s.Store.Swap(ctx, key, value, prev)
}

// TestStoreThatDoesNotAnswer guards against a node that is never a candidate for a lease
// again since one call of the store got no response.
func TestStoreThatDoesNotAnswer(t *testing.T) {
	for _, op := range []string{"acquire", "get", "swap"} {
		clock := tdclock.New()
		srv := httptest.NewServer(tdplatform.New(tdplatform.Options{}).Handler())
		defer srv.Close()
		kv := tdkv.New(srv.URL, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, clock)
		l := tdlease.New(&silentStore{Store: kv, op: op}, clock, singleNode{tarragondeal.Member{Node: "a", Incarnation: 3}},
			tdlease.Options{TTL: shortTTL, Margin: 100 * time.Millisecond})
		ctx, cancel := context.WithCancel(t.Context())
		held := make(chan struct{}, 1)
		ended := make(chan error, 1)
		go func() {
			ended <- l.Hold(ctx, "orders", func(context.Context, tarragondeal.Held) error {
				held <- struct{}{}
				cancel()
				return nil
			})
		}()
		select {
		case <-held:
		case <-time.After(10 * shortTTL):
			t.Errorf("%s: the lease is not acquired", op)
		}
		cancel()
		if err := <-ended; err != nil {
			t.Errorf("%s: %v", op, err)
		}
	}
}
