package tdburn

import (
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// FuzzMeasures feeds a merge with what another node might send.
func FuzzMeasures(f *testing.F) {
	b := newBurn(&fixedClock{})
	b.Observe(sample("bench", 200*time.Millisecond, time.Second))
	b.Waste("retry", "bench", 3)
	seed, err := proto.Marshal(b.measures())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(seed)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, text []byte) {
		in := &Measures{}
		if proto.Unmarshal(text, in) != nil {
			return
		}
		m := newMerged()
		if m.add("n", in) != nil && len(m.classes)+len(m.pairs)+len(m.waste)+len(m.nodes) > 0 {
			t.Fatal("a part of a refused answer was taken in")
		}
		if _, err := json.Marshal(m.report(config().view, nil, time.Time{})); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzLegacy feeds a node with what another that stops might send.
func FuzzLegacy(f *testing.F) {
	b := newBurn(&fixedClock{now: tarragondeal.Instant(80 * time.Hour)})
	b.Observe(sample("bench", 200*time.Millisecond, time.Second))
	b.Waste("retry", "bench", 3)
	for _, part := range b.legacy("n") {
		seed, err := proto.Marshal(part)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		in := &Legacy{}
		if proto.Unmarshal(text, in) != nil {
			return
		}
		heir := newBurn(&fixedClock{now: tarragondeal.Instant(80 * time.Hour)})
		if heir.inherit(in) != nil && len(heir.classes) > 0 {
			t.Fatal("a part of a refused legacy was taken in")
		}
		m := newMerged()
		if err := m.add("n", heir.measures()); err != nil {
			t.Fatal(err)
		}
	})
}
