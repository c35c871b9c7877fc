// Package tdmetric creates the metrics of a process and serves them in the
// Prometheus format.
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

// reportInterval is the time between two flushes of the scope to the reporter.
const reportInterval = time.Second

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
		// Prometheus names must not contain dots, which tally's own metrics
		// have.
		SanitizeOptions:        &prometheus.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, closer: closer, reporter: r}
}

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler { return m.reporter.HTTPHandler() }

// Close flushes what has not been reported yet.
func (m *Metrics) Close() error { return m.closer.Close() }
