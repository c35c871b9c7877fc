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

// hand is a clock that the test moves.
type hand struct{ now tarragondeal.Instant }

func (h *hand) Now() tarragondeal.Instant { return h.now }
func (h *hand) Wall() time.Time           { return time.Unix(0, 0).UTC() }

// slow lets time pass while each call is answered.
type slow struct {
	clock *hand
	by    time.Duration
}

func (s slow) RoundTrip(r *http.Request) (*http.Response, error) {
	res, err := http.DefaultTransport.RoundTrip(r)
	s.clock.now = s.clock.now.Add(s.by)
	return res, err
}

// TestLeaseRunsFromBeforeTheCall checks that a slow answer leaves the holder
// less time, never more than the service gives.
func TestLeaseRunsFromBeforeTheCall(t *testing.T) {
	srv := httptest.NewServer(tdplatform.New(tdplatform.Options{}).Handler())
	defer srv.Close()
	clock := &hand{now: 7}
	const ttl, by = time.Minute, 20 * time.Second
	kv := tdkv.New(srv.URL, &http.Client{Transport: slow{clock: clock, by: by}}, clock)
	ctx := context.Background()
	l, err := kv.Acquire(ctx, "orders", "node1/1", ttl)
	if err != nil {
		t.Fatal(err)
	}
	if got, most := l.Expires, tarragondeal.Instant(7).Add(ttl); got > most {
		t.Errorf("acquired until %d, the service gives until %d", got, most)
	}
	before := clock.now
	if l, err = kv.Renew(ctx, l, ttl); err != nil {
		t.Fatal(err)
	}
	if got, most := l.Expires, before.Add(ttl); got > most {
		t.Errorf("renewed until %d, the service gives until %d", got, most)
	}
}
