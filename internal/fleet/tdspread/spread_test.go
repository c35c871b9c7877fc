package tdspread

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

// TestSeenOnce checks that a number counts as new once, however numbers are
// ordered and repeated within the window.
func TestSeenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s seen
		met := make(map[uint64]bool)
		var top uint64
		for _, n := range rapid.SliceOfN(rapid.Uint64Range(1, 4*window), 1, 200).Draw(t, "numbers") {
			want := !met[n] && (n > top || top-n < window)
			top = max(top, n)
			met[n] = true
			if got := s.add(n); got != want {
				t.Fatalf("number %d: new %t, want %t", n, got, want)
			}
		}
	})
}

// lone is the graph of a node without neighbours.
type lone struct{}

func (lone) Self() tarragondeal.Member         { return tarragondeal.Member{Node: "node1", Incarnation: 1} }
func (lone) Members() []tarragondeal.Member    { return nil }
func (lone) Changed() <-chan struct{}          { return nil }
func (lone) Neighbours() []tarragondeal.NodeID { return []tarragondeal.NodeID{"node3"} }

func FuzzPush(f *testing.F) {
	for _, m := range []*Messages{
		{From: "node2", Messages: []*Message{{Origin: "node2", Incarnation: 1, Seq: 1, Topic: "t", Payload: []byte("x")}}},
		{From: "node2", Messages: []*Message{{Origin: "node1", Incarnation: 1, Seq: 1<<64 - 1}, {}}},
	} {
		seed, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var in Messages
		if proto.Unmarshal(data, &in) != nil {
			return
		}
		s := New(lone{}, Options{})
		if _, err := s.Push(context.Background(), &in); err != nil {
			return
		}
		waiting := s.in.Len()
		if waiting > len(in.GetMessages()) {
			t.Errorf("%d messages were made of %d", waiting, len(in.GetMessages()))
		}
		if _, err := s.Push(context.Background(), &in); err != nil || s.in.Len() != waiting {
			t.Errorf("messages that came again were taken again: %v", err)
		}
	})
}
