package tdmesh

import (
	"testing"
	"time"

	"tarragondeal"
)

// TestSurveyFollowsStates guards against a survey that is used although what it says has changed.
func TestSurveyFollowsStates(t *testing.T) {
	const name = tarragondeal.NodeID("node-2")
	for _, c := range []struct {
		name   string
		change func(m *Mesh, p *peer, w *stateWriter)
		want   presence
		live   bool
		leaf   bool
	}{
		{"nothing", func(*Mesh, *peer, *stateWriter) {}, presence{incarnation: 1, ready: true}, true, false},
		{"not ready any more", func(m *Mesh, _ *peer, w *stateWriter) {
			m.recordState(&State{Node: string(name), Incarnation: 1}, w)
		}, presence{incarnation: 1}, true, false},
		{"started again", func(m *Mesh, _ *peer, w *stateWriter) {
			m.recordState(&State{Node: string(name), Incarnation: 2, Ready: true}, w)
		}, presence{incarnation: 2, ready: true}, true, false},
		{"a leaf now", func(m *Mesh, _ *peer, w *stateWriter) {
			m.recordState(&State{Node: string(name), Incarnation: 1, Ready: true, Leaf: true}, w)
		}, presence{incarnation: 1, ready: true}, true, true},
		{"gone", func(m *Mesh, p *peer, _ *stateWriter) {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.removePeer(p)
		}, presence{}, false, false},
		{"silent", func(m *Mesh, _ *peer, _ *stateWriter) {
			m.Clock.(*fakeClock).now = m.Clock.Now().Add(2 * aliveTimeout)
		}, presence{}, false, false},
	} {
		clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
		m := newMesh("node-1", clock)
		m.addListed(Node{Name: name, Incarnation: 1})
		w := m.newStateWriter(name)
		m.recordState(&State{Node: string(name), Incarnation: 1, Ready: true}, w)
		m.mu.Lock()
		m.surveyed()
		p := m.peers[name]
		m.mu.Unlock()
		c.change(m, p, w)
		m.mu.Lock()
		s := m.surveyed()
		m.mu.Unlock()
		got, live := s.live[name]
		got.wallOffset = 0
		if live != c.live || got != c.want || s.known[name] != c.leaf || s.leaves[name] != c.leaf {
			t.Errorf("%s: %+v, live %t, known %t, leaf %t", c.name, got, live, s.known[name], s.leaves[name])
		}
	}
}

// TestSurveyIsShared guards against a survey for each stream and state.
func TestSurveyIsShared(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
	m := newMesh("node-1", clock)
	m.addListed(Node{Name: "node-2", Incarnation: 1})
	w := m.newStateWriter("node-2")
	state := &State{Node: "node-2", Incarnation: 1, Ready: true, WallNanos: int64(clock.now)}
	m.recordState(state, w)
	m.mu.Lock()
	first := m.surveyed()
	m.mu.Unlock()
	m.recordState(state, w)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.surveyed() != first {
		t.Error("a state that says nothing new needs another survey")
	}
	clock.now = clock.now.Add(liveInterval)
	if m.surveyed() == first {
		t.Error("an old survey is used")
	}
}
