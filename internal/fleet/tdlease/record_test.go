package tdlease_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdera"
	"tarragondeal/internal/fleet/tdlease"
	"tarragondeal/internal/platform/tdkv"
	"tarragondeal/internal/standin/tdplatform"
)

// rejectingStore is a store that rejects the first writes of a holder's record.
type rejectingStore struct {
	tarragondeal.Store
	rejections int
	fence      uint64 // Of the last lease.
}

func (s *rejectingStore) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (tarragondeal.Lease, error) {
	l, err := s.Store.Acquire(ctx, name, holder, ttl)
	s.fence = l.Fence
	return l, err
}

func (s *rejectingStore) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	if s.rejections > 0 {
		s.rejections--
		return tarragondeal.Entry{}, &tarragondeal.StoreError{Op: "swap", Key: key, Settled: true, Err: eris.New("rejected")}
	}
	return s.Store.Swap(ctx, key, value, prev)
}

// TestTokenAfterRejectedRecord guards against a holder in the first era whose token is not the
// revision of its lease, since the first write of its record was rejected: nodes of builds before
// would not act any more.
func TestTokenAfterRejectedRecord(t *testing.T) {
	const ttl = 4 * time.Second // Longer than all attempts.
	clock := tdclock.New()
	srv := httptest.NewServer(tdplatform.New(tdplatform.Options{}).Handler())
	defer srv.Close()
	kv := tdkv.New(srv.URL, &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, clock)
	store := &rejectingStore{Store: kv, rejections: 2}
	fences := tdlease.NewFences("a/3", tdera.New(clock, zerolog.Nop(), nil), clock.Wall, func() bool { return true })
	l := tdlease.New(store, clock, singleNode{tarragondeal.Member{Node: "a", Incarnation: 3}}, tdlease.Options{
		TTL: ttl, Margin: 100 * time.Millisecond, Fences: fences,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var token uint64
	if err := l.Hold(ctx, "orders", func(_ context.Context, held tarragondeal.Held) error {
		token = held.Fence()
		cancel()
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if token != store.fence {
		t.Errorf("token %d at revision %d", token, store.fence)
	}
}
