package tdmesh

import (
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

type hand struct {
	now  tarragondeal.Instant
	wall time.Duration // The wall clock over the steady one.
}

func (h *hand) Now() tarragondeal.Instant { return h.now }
func (h *hand) Wall() time.Time           { return time.Unix(0, int64(h.now)+int64(h.wall)).UTC() }

func newMesh(name string, c *hand) *Mesh {
	mirror := tdmirror.New(nil, c, tdmirror.Options{Prefixes: []string{nodeKey}, Log: zerolog.Nop()})
	return New(Deps{Mirror: mirror, Clock: c, Ready: func() bool { return true }, Log: zerolog.Nop()},
		Node{Name: tarragondeal.NodeID(name), Incarnation: 1})
}

// hear has the mesh hear a node that follows the store or does not.
func (m *Mesh) hear(name string, follows bool, wall time.Duration) {
	if m.peers[tarragondeal.NodeID(name)] == nil {
		m.list(Node{Name: tarragondeal.NodeID(name), Incarnation: 1})
	}
	m.heard(&State{
		Node: name, Incarnation: 1, Ready: true, Follows: follows,
		WallNanos: int64(m.Clock.Now()) + int64(wall),
	}, m.newTeller(""))
}

// source returns where the mesh takes copies from.
func (m *Mesh) chosen(away bool) tarragondeal.NodeID {
	return m.chooseSource(!away && m.Follows(), 0)
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
		clock := &hand{now: tarragondeal.Instant(time.Hour), wall: c.own}
		m := newMesh("a", clock)
		for n, wall := range c.others {
			m.hear(fmt.Sprintf("b%d", n), true, wall)
		}
		if got := m.Wall(); !got.Equal(time.Unix(0, int64(clock.now)).UTC()) {
			t.Errorf("%s: off by %s", c.name, got.Sub(time.Unix(0, int64(clock.now))))
		}
	}
}

// TestNodeTheStoreTurnsAway checks that it takes copies from one that follows.
func TestNodeTheStoreTurnsAway(t *testing.T) {
	m := newMesh("a", &hand{now: tarragondeal.Instant(time.Hour)})
	m.hear("b", false, 0)
	m.hear("c", true, 0)
	if got := m.chosen(true); got != "c" {
		t.Errorf("takes copies from %q", got)
	}
}

// TestSourceThatFallsBehind checks that copies are taken from another node when
// the source, which still believes that it follows the store, hears no more of it.
func TestSourceThatFallsBehind(t *testing.T) {
	clock := &hand{now: tarragondeal.Instant(time.Hour)}
	m := newMesh("z", clock)
	tell := func(name string, rev tarragondeal.Revision) {
		m.hear(name, true, 0)
		m.peers[tarragondeal.NodeID(name)].revision = rev
	}
	tell("a", 5)
	if got := m.chosen(true); got != "a" {
		t.Fatalf("takes copies from %q", got)
	}
	for range 20 {
		clock.now = clock.now.Add(100 * time.Millisecond)
		tell("a", 5)
		tell("b", 6)
		m.chosen(true)
	}
	if got := m.chosen(true); got != "b" {
		t.Errorf("takes copies from %q, which is behind", got)
	}
}

// TestOwnWatchThatFellSilent checks that a node which follows the store takes
// copies as well once others have been ahead of it for a while.
func TestOwnWatchThatFellSilent(t *testing.T) {
	clock := &hand{now: tarragondeal.Instant(time.Hour)}
	m := newMesh("a", clock)
	m.hear("b", true, 0)
	m.peers["b"].revision = 6
	if got := m.chooseSource(true, 5); got != "" {
		t.Errorf("takes copies from %q at once", got)
	}
	clock.now = clock.now.Add(behindFor + time.Millisecond)
	m.peers["b"].heard = clock.now
	if got := m.chooseSource(true, 5); got != "b" {
		t.Errorf("takes copies from %q", got)
	}
	if got := m.chooseSource(true, 6); got != "" {
		t.Errorf("takes copies from %q though it has caught up", got)
	}
}

func TestSilentNodes(t *testing.T) {
	clock := &hand{now: tarragondeal.Instant(time.Hour)}
	m := newMesh("a", clock)
	m.hear("b", true, 0)
	if n := len(m.ReadyNodes()); n != 2 || !m.Whole() {
		t.Errorf("%d nodes are ready, whole %t", n, m.Whole())
	}
	clock.now = clock.now.Add(heardWithin)
	if n := len(m.ReadyNodes()); n != 1 || m.Whole() {
		t.Errorf("%d nodes are ready, whole %t", n, m.Whole())
	}
	// A process whose clock is behind the one that fell silent is heard.
	m.heard(&State{Node: "b", Incarnation: 0, Ready: true}, m.newTeller(""))
	if n := len(m.ReadyNodes()); n != 2 {
		t.Errorf("%d nodes are ready", n)
	}
}

func FuzzTakeCopy(f *testing.F) {
	f.Add("held/node/b", []byte(`{"name":"b","peer":"10.0.0.1:1"}`), uint64(3), false)
	f.Add("held/node/a", []byte(`x`), uint64(1), true)
	f.Fuzz(func(t *testing.T, key string, value []byte, rev uint64, deleted bool) {
		m := newMesh("a", &hand{now: 1})
		m.takeCopy(&State{Copy: &Copy{Revision: rev, Items: []*Item{{Key: key, Value: value, Revision: rev, Deleted: deleted}}}})
		for _, p := range m.Members() {
			if p.Node == "" {
				t.Fatal("a node without a name")
			}
		}
	})
}
