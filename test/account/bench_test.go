package account_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/account/tdclaim"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/fleet/tdstore"
	"tarragondeal/internal/platform/tdkv"
	"tarragondeal/internal/standin/tdplatform"
)

type soleMember struct{}

func (soleMember) Self() tarragondeal.Member      { return tarragondeal.Member{Node: "node1"} }
func (soleMember) Members() []tarragondeal.Member { return []tarragondeal.Member{soleMember{}.Self()} }
func (soleMember) Changed() <-chan struct{}       { return nil }

// BenchmarkClaims takes and finishes claims for 8 s through the store client.
// Both the store and the client's budget allow 300 writes a second.
func BenchmarkClaims(b *testing.B) {
	const writes, workers, span = 300, 64, 8 * time.Second
	for b.Loop() {
		platform := tdplatform.New(tdplatform.Options{WritesPerSecond: writes, ReadsPerSecond: 2000})
		srv := httptest.NewServer(platform.Handler())
		clock := tdclock.New()
		kv := tdkv.New(srv.URL, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}, clock)
		store := tdstore.New(kv, clock, tdstore.Options{
			Reads: 2000, Writes: writes, Timeout: time.Second, Urgent: []string{"claim/"},
			Nodes: func() int { return 1 }, Log: zerolog.Nop(), Scope: tally.NoopScope,
		})
		claims := tdclaim.New(tdclaim.Deps{Store: store, Members: soleMember{}, Clock: clock, Log: zerolog.Nop()},
			tdclaim.Config{MaxRun: time.Minute, MaxAnswer: 16 << 10, Wait: 2 * time.Second, Pending: 1024})
		ctx, cancel := context.WithTimeout(context.Background(), span)
		var wg sync.WaitGroup
		var taken, refused, next atomic.Int64
		for range workers {
			wg.Go(func() {
				for ctx.Err() == nil {
					k := tarragondeal.ClaimKey{Workspace: "auditors", Route: "certificate", Key: fmt.Sprint(next.Add(1))}
					c, err := claims.Take(ctx, k, "digest")
					var storeErr *tarragondeal.StoreError
					if err == nil {
						err = claims.Finish(ctx, c, tarragondeal.RecordedAnswer{Status: 200, Body: []byte(`{"executions":1}`)})
						taken.Add(1)
					}
					if errors.As(err, &storeErr) {
						refused.Add(1)
					}
				}
			})
		}
		wg.Wait()
		cancel()
		r := platform.Recorded()
		srv.Close()
		b.ReportMetric(float64(taken.Load())/span.Seconds(), "claims/s")
		b.ReportMetric(float64(refused.Load())/span.Seconds(), "refused/s")
		b.ReportMetric(float64(r.Writes)/float64(max(taken.Load(), 1)), "writes/claim")
	}
}
