package tdpass

import "testing"

// TestRoomOfWorkspaces guards against a workspace that takes the room of the others, and
// against room that is lost or returned twice.
func TestRoomOfWorkspaces(t *testing.T) {
	m := NewRoom(100)
	for _, c := range []struct {
		workspace string
		n         int64
		want      bool
	}{
		{"a", 51, false}, {"a", 50, true}, {"a", 1, false}, {"a", 0, true},
		{"b", 30, true}, {"c", 21, false}, {"c", 20, true}, {"", 1, false}, {"", 0, true},
	} {
		if got := m.Take(c.workspace, c.n); got != c.want {
			t.Errorf("%d bytes for %q: %t", c.n, c.workspace, got)
		}
	}
	m.Free("a", 50)
	m.Free("", 0)
	if m.Taken() != 50 || !m.Take("", 50) {
		t.Errorf("%d bytes are taken after half was returned", m.Taken())
	}
	m.Free("", 50)
	m.Free("b", 30)
	m.Free("c", 20)
	if m.Taken() != 0 || len(m.by) != 0 {
		t.Errorf("%d bytes and %d workspaces remain", m.Taken(), len(m.by))
	}
}
