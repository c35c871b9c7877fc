// Package tdmember tells a node who the other nodes are.
//
// # Usage
//
//	m := tdmember.New(self)
//	for _, n := range m.Members() {
//		// ...
//	}
package tdmember

import (
	"sync"

	"tarragondeal"
)

// Members is what one node knows of the others.
type Members struct {
	mu      sync.Mutex
	self    tarragondeal.Member
	changed chan struct{}
}

// New returns the membership of a node that knows only itself.
func New(self tarragondeal.Member) *Members {
	return &Members{self: self, changed: make(chan struct{})}
}

// Self returns this node.
func (m *Members) Self() tarragondeal.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.self
}

// Members returns all known nodes.
func (m *Members) Members() []tarragondeal.Member {
	return []tarragondeal.Member{m.Self()}
}

// Changed returns a channel that is closed at the next change.
func (m *Members) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}
