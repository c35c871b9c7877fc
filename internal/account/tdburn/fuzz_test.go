package tdburn

import (
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// FuzzMeasures merges arbitrary replies of another node.
func FuzzMeasures(f *testing.F) {
	b := newBurn(&fixedClock{})
	b.Observe(sample("bench", 200*time.Millisecond, time.Second))
	b.Waste("retry", "bench", 3)
	seed, err := proto.Marshal(b.snapshot())
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
		m := newMergedMeasures()
		if m.add("n", in) != nil && len(m.classes)+len(m.pairs)+len(m.waste)+len(m.nodes) > 0 {
			t.Fatal("a rejected reply was partly merged")
		}
		if _, err := json.Marshal(m.report(config().view, nil, time.Time{})); err != nil {
			t.Fatal(err)
		}
	})
}

// FuzzLegacy applies arbitrary hand-overs of another node.
func FuzzLegacy(f *testing.F) {
	b := newBurn(&fixedClock{now: tarragondeal.Instant(80 * time.Hour)})
	b.Observe(sample("bench", 200*time.Millisecond, time.Second))
	b.Waste("retry", "bench", 3)
	for _, part := range b.handOver("n") {
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
		successor := newBurn(&fixedClock{now: tarragondeal.Instant(80 * time.Hour)})
		if successor.merge(in) != nil && len(successor.classes) > 0 {
			t.Fatal("a rejected hand-over was partly merged")
		}
		m := newMergedMeasures()
		if err := m.add("n", successor.snapshot()); err != nil {
			t.Fatal(err)
		}
	})
}
