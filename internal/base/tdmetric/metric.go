// Package tdmetric makes the metrics of a process and serves them in the
// form that common scrapers read.
//
// # Usage
//
//	m := tdmetric.New("node1")
//	defer m.Close()
//	m.Scope.SubScope("store").Counter("calls").Inc(1)
//	mux.Handle("GET /metrics", m.Handler())
package tdmetric

import (
	"io"
	"net/http"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// reportEvery is how often counters are handed to the reporter.
const reportEvery = time.Second

// Metrics is the root scope of a process and its reporter.
type Metrics struct {
	Scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter
}

// New returns metrics labelled with the node's name.
func New(node string) *Metrics {
	registry := prom.NewRegistry()
	r := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:         "tarragondeal",
		Tags:           map[string]string{"node": node},
		CachedReporter: r,
		Separator:      prometheus.DefaultSeparator,
		// The scrapers' names allow no dots, which tally's own metrics have.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	return &Metrics{Scope: scope, closer: closer, reporter: r}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close hands over what has not been reported yet.
func (m *Metrics) Close() error { return m.closer.Close() }
