package tdspread

import (
	"context"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

// TestSequenceNumberIsNewOnce checks that a sequence number counts as new once, in
// any order and with any repetitions within the window.
func TestSequenceNumberIsNewOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var window sequenceWindow
		added := make(map[uint64]bool)
		var highest uint64
		for _, n := range rapid.SliceOfN(rapid.Uint64Range(1, 4*windowSize), 1, 200).Draw(t, "numbers") {
			want := !added[n] && (n > highest || highest-n < windowSize)
			highest = max(highest, n)
			added[n] = true
			if got := window.add(n); got != want {
				t.Fatalf("number %d: new %t, want %t", n, got, want)
			}
		}
	})
}

// testGraph is the graph of node1, whose only neighbour is node3.
type testGraph struct{}

func (testGraph) Self() tarragondeal.Member {
	return tarragondeal.Member{Node: "node1", Incarnation: 1}
}
func (testGraph) Members() []tarragondeal.Member    { return nil }
func (testGraph) Changed() <-chan struct{}          { return nil }
func (testGraph) Neighbours() []tarragondeal.NodeID { return []tarragondeal.NodeID{"node3"} }

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
		s := New(testGraph{}, Options{})
		if _, err := s.Push(context.Background(), &in); err != nil {
			return
		}
		waiting := s.inbox.Len()
		if waiting > len(in.GetMessages()) {
			t.Errorf("%d messages queued from a push of %d", waiting, len(in.GetMessages()))
		}
		if _, err := s.Push(context.Background(), &in); err != nil || s.inbox.Len() != waiting {
			t.Errorf("duplicate messages were accepted: %v", err)
		}
	})
}
