package tdmesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// fakeClock is a clock that tests set by hand.
type fakeClock struct {
	now  tarragondeal.Instant
	wall time.Duration // The wall clock minus the monotonic clock.
}

func (c *fakeClock) Now() tarragondeal.Instant { return c.now }
func (c *fakeClock) Wall() time.Time           { return time.Unix(0, int64(c.now)+int64(c.wall)).UTC() }

func newMesh(name string, c *fakeClock) *Mesh {
	mirror := tdmirror.New(nil, c, tdmirror.Options{Prefixes: []string{nodePrefix}, Log: zerolog.Nop()})
	return New(Deps{Mirror: mirror, Clock: c, Ready: func() bool { return true }, Log: zerolog.Nop()},
		Node{Name: tarragondeal.NodeID(name), Incarnation: 1})
}

// receiveFrom records a state from a node.
func (m *Mesh) receiveFrom(name string, follows bool, wall time.Duration) {
	if m.peers[tarragondeal.NodeID(name)] == nil {
		m.addListed(Node{Name: tarragondeal.NodeID(name), Incarnation: 1})
	}
	m.recordState(&State{
		Node: name, Incarnation: 1, Ready: true, Follows: follows,
		WallNanos: int64(m.Clock.Now()) + int64(wall),
	}, m.newStateWriter(""))
}

// currentSource returns the node from which the mesh receives copies.
func (m *Mesh) currentSource(unavailable bool) tarragondeal.NodeID {
	return m.chooseSource(!unavailable && m.Follows(), tarragondeal.Position{})
}

func TestOneWrongClock(t *testing.T) {
	for _, c := range []struct {
		name   string
		own    time.Duration
		others []time.Duration
	}{
		{"own clock ahead", 5 * time.Second, []time.Duration{0, 0, 0}},
		{"own clock behind", -5 * time.Second, []time.Duration{0, 0}},
		{"another clock ahead", 0, []time.Duration{9 * time.Second, 0}},
		{"alone", 0, nil},
	} {
		clock := &fakeClock{now: tarragondeal.Instant(time.Hour), wall: c.own}
		m := newMesh("a", clock)
		for n, wall := range c.others {
			m.receiveFrom(fmt.Sprintf("b%d", n), true, wall)
		}
		if got := m.Wall(); !got.Equal(time.Unix(0, int64(clock.now)).UTC()) {
			t.Errorf("%s: off by %s", c.name, got.Sub(time.Unix(0, int64(clock.now))))
		}
	}
}

// TestNodeRejectedByStoreTakesCopies checks that a node without access to the store
// takes copies from a node that follows it.
func TestNodeRejectedByStoreTakesCopies(t *testing.T) {
	m := newMesh("a", &fakeClock{now: tarragondeal.Instant(time.Hour)})
	m.receiveFrom("b", false, 0)
	m.receiveFrom("c", true, 0)
	if got := m.currentSource(true); got != "c" {
		t.Errorf("takes copies from %q", got)
	}
}

// TestSourceThatFallsBehind checks that copies are taken from another node when
// the watch of the source has stalled: the source still reports that it follows the
// store, but its revision no longer advances.
func TestSourceThatFallsBehind(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
	m := newMesh("z", clock)
	report := func(name string, rev tarragondeal.Revision) {
		m.receiveFrom(name, true, 0)
		m.peers[tarragondeal.NodeID(name)].position.Revision = rev
	}
	report("a", 5)
	if got := m.currentSource(true); got != "a" {
		t.Fatalf("takes copies from %q", got)
	}
	for range 20 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		report("a", 5)
		report("b", 6)
		m.currentSource(true)
	}
	if got := m.currentSource(true); got != "b" {
		t.Errorf("takes copies from %q, which is behind", got)
	}
}

// TestStalledOwnWatch checks that a node which follows the store also takes copies
// once others have been ahead of it for maxSourceLag.
func TestStalledOwnWatch(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
	m := newMesh("a", clock)
	m.receiveFrom("b", true, 0)
	m.peers["b"].position.Revision = 6
	if got := m.chooseSource(true, tarragondeal.Position{Revision: 5}); got != "" {
		t.Errorf("takes copies from %q immediately", got)
	}
	clock.now = clock.now.Add(maxSourceLag + time.Millisecond)
	m.peers["b"].lastState = clock.now
	if got := m.chooseSource(true, tarragondeal.Position{Revision: 5}); got != "b" {
		t.Errorf("takes copies from %q", got)
	}
	if got := m.chooseSource(true, tarragondeal.Position{Revision: 6}); got != "" {
		t.Errorf("takes copies from %q though it has caught up", got)
	}
}

func TestSilentNodes(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
	m := newMesh("a", clock)
	m.receiveFrom("b", true, 0)
	if n := len(m.ReadyNodes()); n != 2 || !m.AllAlive() {
		t.Errorf("%d nodes are ready, all alive %t", n, m.AllAlive())
	}
	clock.now = clock.now.Add(aliveTimeout)
	if n := len(m.ReadyNodes()); n != 1 || m.AllAlive() {
		t.Errorf("%d nodes are ready, all alive %t", n, m.AllAlive())
	}
	// After the old process has gone silent, a new one with a lower incarnation
	// is accepted.
	m.recordState(&State{Node: "b", Incarnation: 0, Ready: true}, m.newStateWriter(""))
	if n := len(m.ReadyNodes()); n != 2 {
		t.Errorf("%d nodes are ready", n)
	}
}

func FuzzApplyCopy(f *testing.F) {
	f.Add("held/node/b", []byte(`{"name":"b","peer":"10.0.0.1:1"}`), uint64(3), false)
	f.Add("held/node/a", []byte(`x`), uint64(1), true)
	f.Fuzz(func(t *testing.T, key string, value []byte, rev uint64, deleted bool) {
		m := newMesh("a", &fakeClock{now: 1})
		m.applyCopy(&State{Copy: &Copy{Revision: rev, Items: []*Item{{Key: key, Value: value, Revision: rev, Deleted: deleted}}}}, m.newStateWriter("b"))
		for _, p := range m.Members() {
			if p.Node == "" {
				t.Fatal("a member has no name")
			}
		}
	})
}
