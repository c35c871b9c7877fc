// Package tdusage counts what is billed and what is wasted.
//
// # Usage
//
//	m := tdusage.New()
//	err := m.Add(ctx, usage)
package tdusage

import (
	"context"
	"sync"

	"tarragondeal"
)

// Meter counts in memory.
type Meter struct {
	mu    sync.Mutex
	lines map[lineKey]tarragondeal.UsageLine
	waste map[string]int64
}

type lineKey struct{ workspace, route string }

// New returns an empty meter.
func New() *Meter {
	return &Meter{lines: make(map[lineKey]tarragondeal.UsageLine), waste: make(map[string]int64)}
}

// Add counts delivered work.
func (m *Meter) Add(_ context.Context, u tarragondeal.Usage) error {
	k := lineKey{u.Workspace, u.Route}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := m.lines[k]
	l.Workspace, l.Route = u.Workspace, u.Route
	l.InputTokens += int64(u.InputTokens)
	l.OutputTokens += int64(u.OutputTokens)
	if u.Last {
		l.Requests++
	}
	m.lines[k] = l
	return nil
}

// Waste counts work that nobody is billed for.
func (m *Meter) Waste(w tarragondeal.Waste) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.waste[w.Cause] += int64(w.Tokens)
}
