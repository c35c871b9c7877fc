package tdkv_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/platform/tdkv"
	"tarragondeal/internal/standin/tdplatform"
)

// manualClock is a clock that the test advances.
type manualClock struct{ now tarragondeal.Instant }

func (c *manualClock) Now() tarragondeal.Instant { return c.now }
func (c *manualClock) Wall() time.Time           { return time.Unix(0, 0).UTC() }

// slowTransport advances the clock during each call.
type slowTransport struct {
	clock *manualClock
	delay time.Duration
}

func (s slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(r)
	s.clock.now = s.clock.now.Add(s.delay)
	return res, err
}

// TestLeaseRunsFromBeforeTheCall checks that a slow response does not extend a
// lease past its expiry at the service. This would happen if the TTL counted from
// the response.
func TestLeaseRunsFromBeforeTheCall(t *testing.T) {
	srv := httptest.NewServer(tdplatform.New(tdplatform.Options{}).Handler())
	defer srv.Close()
	clock := &manualClock{now: 7}
	const ttl, delay = time.Minute, 20 * time.Second
	kv := tdkv.New(srv.URL, &http.Client{Transport: slowTransport{clock: clock, delay: delay}}, clock)
	ctx := context.Background()
	l, err := kv.Acquire(ctx, "orders", "node1/1", ttl)
	if err != nil {
		t.Fatal(err)
	}
	if got, limit := l.Expires, tarragondeal.Instant(7).Add(ttl); got > limit {
		t.Errorf("acquired until %d, want at most %d", got, limit)
	}
	before := clock.now
	if l, err = kv.Renew(ctx, l, ttl); err != nil {
		t.Fatal(err)
	}
	if got, limit := l.Expires, before.Add(ttl); got > limit {
		t.Errorf("renewed until %d, want at most %d", got, limit)
	}
}
