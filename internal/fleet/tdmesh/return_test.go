package tdmesh

import (
	"testing"
	"time"

	"tarragondeal"
)

// TestCopyOfEarlierEraIsGivenUp guards against a copy that holds up the one of a later era, since
// the rest of its parts is sent first.
func TestCopyOfEarlierEraIsGivenUp(t *testing.T) {
	const (
		interval  = 100 * time.Millisecond
		maxStates = 2 // From the return to the copy of the era.
	)
	clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
	a, b := newMesh("a", clock), newMesh("b", clock)
	b.addListed(a.self)
	a.addListed(b.self)
	toB, toA := a.newStateWriter(""), b.newStateWriter("a")
	exchange := func() (sentPart bool) {
		clock.now = clock.now.Add(interval)
		held := b.Mirror.Position()
		a.recordState(&State{
			Node: "b", Incarnation: 1, Revision: uint64(held.Revision), Era: uint64(held.Era), Source: "a", ReadsParts: true, ReadsEras: true,
		}, toB)
		s := &State{Node: "a", Incarnation: 1}
		toB.addCopy(s, a.Mirror.Position())
		b.handleState(s, toA)
		return s.GetPart() != nil
	}
	a.Mirror.Apply([]tarragondeal.Entry{{Key: nodePrefix + "x", Value: randomValue(1 << 20), Revision: 9}}, tarragondeal.Position{Revision: 9}, true)
	if !exchange() {
		t.Fatal("the copy is not sent in parts")
	}
	a.Mirror.Apply([]tarragondeal.Entry{{Key: nodePrefix + "y", Revision: 3}}, tarragondeal.Position{Era: 5, Revision: 3}, true)
	states := 0
	for b.Mirror.Position().Era != 5 && states < 100 {
		exchange()
		states++
	}
	if states > maxStates {
		t.Errorf("after %d states", states)
	}
}

// tokenRecorder is called with each fencing token of another node.
type tokenRecorder func()

func (r tokenRecorder) Highest() uint64 { return 0 }
func (r tokenRecorder) Raise(uint64)    { r() }

// TestTokensAreKnownBeforeMemoryIsComplete guards against a node that takes itself for one that knows
// all fencing tokens before it has recorded that of the node that says so.
func TestTokensAreKnownBeforeMemoryIsComplete(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
	a := newMesh("a", clock)
	a.addListed(Node{Name: "b", Incarnation: 1})
	raised := false
	a.Fences = tokenRecorder(func() {
		raised = true
		if a.RemembersSince().IsZero() {
			t.Error("the memory is complete before the token is known")
		}
	})
	a.handleState(&State{Node: "b", Incarnation: 1, Fence: 9}, a.newStateWriter(""))
	if !raised || !a.RemembersSince().IsZero() {
		t.Errorf("raised %t, remembers since %s", raised, a.RemembersSince())
	}
}
