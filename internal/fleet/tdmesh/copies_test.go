package tdmesh

import (
	"fmt"
	"testing"
	"time"

	"tarragondeal"
)

// TestCopiesAfterAnIgnoredOne guards against a copy of the store that lacks changes for
// good, after a node ignored a state since its sender was not in its list.
func TestCopiesAfterAnIgnoredOne(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
	a, b := newMesh("a", clock), newMesh("b", clock)
	b.addListed(a.self)
	a.addListed(b.self)
	toB, toA := a.newStateWriter(""), b.newStateWriter("a")
	const missed = 3
	for rev := tarragondeal.Revision(1); rev <= 30; rev++ {
		clock.now = clock.now.Add(100 * time.Millisecond)
		a.Mirror.Apply([]tarragondeal.Entry{{Key: fmt.Sprintf("%sx%d", nodePrefix, rev), Revision: rev}}, tarragondeal.Position{Revision: rev}, rev == 1)
		a.recordState(&State{Node: "b", Incarnation: 1, Revision: uint64(b.Mirror.Position().Revision), Source: "a"}, toB)
		s := &State{Node: "a", Incarnation: 1, Revision: uint64(rev), Copy: toB.copy(tarragondeal.Position{Revision: rev})}
		if rev == missed {
			delete(b.peers, "a")
		}
		b.handleState(s, toA)
		b.addListed(a.self)
	}
	held, rev, _ := b.Mirror.Since(tarragondeal.Position{})
	if want := int(rev.Revision); len(held) != want {
		t.Errorf("at revision %d the copy holds %d entries, want %d", rev.Revision, len(held), want)
	}
}
