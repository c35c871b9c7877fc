package tdmesh

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
)

// TestStateBytesByKind guards against bytes of states that are counted for no kind or for
// two.
func TestStateBytesByKind(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	c := newStateCounter(scope)
	s := &State{
		Node: "node-1", Incarnation: 7, Behind: []*Presence{{Node: "node-2"}},
		Sections: []*Section{{Topic: "load", Payload: make([]byte, 300)}, {Topic: "origins", Payload: make([]byte, 20)}},
		Copy:     &Copy{Items: []*Item{{Key: "k", Value: make([]byte, 1000)}}, Revision: 3},
		Part:     &Part{Size: 5000, Data: make([]byte, 4000)},
		Ahead:    []*Item{{Key: "k", Value: make([]byte, 100)}},
	}
	c.add("sent", linkRelayToLeaf, s)
	c.add("sent", linkRelayToLeaf, s)
	got := make(map[string]int64)
	var sum int64
	for _, v := range scope.Snapshot().Counters() {
		if v.Name() != "stateBytes" || v.Tags()["direction"] != "sent" || v.Tags()["link"] != linkRelayToLeaf {
			t.Errorf("counter %s %v", v.Name(), v.Tags())
		}
		got[v.Tags()["kind"]] += v.Value()
		sum += v.Value()
	}
	if got["load"] != 600 || got["origins"] != 40 || got[kindCopy] < 2*5100 || got[kindCopy] > 2*5200 || got[kindPresence] <= 0 {
		t.Errorf("bytes by kind: %v", got)
	}
	if want := int64(2 * proto.Size(s)); sum != want {
		t.Errorf("%d bytes counted, %d encoded", sum, want)
	}
}
