package tdvm

import (
	"context"

	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// requestMetrics records request metrics for tdflow. Usage is counted by
// tdbegun, from the requests that began.
type requestMetrics struct{ scope tally.Scope }

// Add does nothing: the platform bills requests, not tokens.
func (m *requestMetrics) Add(context.Context, tarragondeal.Usage) error { return nil }

// Waste counts wasted work by cause and class.
func (m *requestMetrics) Waste(w tarragondeal.Waste) {
	m.scope.Tagged(map[string]string{"cause": w.Cause, "class": w.Class}).Counter("wasted").Inc(1)
}

// Observe records the latencies of a request.
func (m *requestMetrics) Observe(s tarragondeal.Sample) {
	scope := m.scope.Tagged(map[string]string{"class": s.Class})
	if s.FirstToken > 0 {
		scope.Timer("firstEvent").Record(s.FirstToken)
	}
	scope.Timer("total").Record(s.Total)
}
