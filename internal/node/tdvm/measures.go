package tdvm

import (
	"context"

	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// measures turns what the flow tells of requests into counters and
// histograms. Usage is counted elsewhere, by requests that began.
type measures struct{ scope tally.Scope }

// Add counts nothing: the platform bills requests, not tokens.
func (m *measures) Add(context.Context, tarragondeal.Usage) error { return nil }

// Waste counts work that was done in vain.
func (m *measures) Waste(w tarragondeal.Waste) {
	m.scope.Tagged(map[string]string{"cause": w.Cause, "class": w.Class}).Counter("wasted").Inc(1)
}

// Observe counts how a request fared.
func (m *measures) Observe(s tarragondeal.Sample) {
	scope := m.scope.Tagged(map[string]string{"class": s.Class})
	if s.FirstToken > 0 {
		scope.Timer("firstEvent").Record(s.FirstToken)
	}
	scope.Timer("total").Record(s.Total)
}
