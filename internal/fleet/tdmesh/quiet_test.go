package tdmesh

import (
	"testing"
	"time"

	"tarragondeal"
)

// TestQuietStates guards against a change that waits, and against a node that is taken for silent
// since it has nothing to say.
func TestQuietStates(t *testing.T) {
	age := uint32(5)
	base := func() *State {
		return &State{Node: "n", Incarnation: 1, Ready: true, Revision: 7, Source: "r", Leaf: true, WallNanos: 1, CopyAgeMillis: &age,
			Sections: []*Section{{Topic: "load", Payload: []byte{}}}}
	}
	const interval = minStateInterval
	for _, c := range []struct {
		name   string
		change func(s *State)
		after  time.Duration // From the last state that was sent.
		want   bool
	}{
		{"nothing new", func(*State) {}, interval, true},
		{"times only", func(s *State) { older := uint32(90); s.WallNanos, s.CopyAgeMillis = 2, &older }, interval, true},
		{"nothing new, the next one is the last in time", func(*State) {}, maxQuietTime - interval, true},
		{"nothing new, the next one is too late", func(*State) {}, maxQuietTime - interval + 1, false},
		{"a section", func(s *State) { s.Sections[0].Payload = []byte{1} }, interval, false},
		{"a presence", func(s *State) { s.Behind = []*Presence{{Node: "x"}} }, interval, false},
		{"all presences", func(s *State) { s.Whole = true }, interval, false},
		{"a copy", func(s *State) { s.Copy = &Copy{} }, interval, false},
		{"a part of a copy", func(s *State) { s.Part = &Part{} }, interval, false},
		{"a change ahead of a copy", func(s *State) { s.Ahead = []*Item{{Key: "k"}} }, interval, false},
		{"states were missed", func(s *State) { s.Missed = true }, interval, false},
		{"not ready", func(s *State) { s.Ready = false }, interval, false},
		{"a later revision", func(s *State) { s.Revision++ }, interval, false},
		{"another source", func(s *State) { s.Source = "" }, interval, false},
		{"follows the store", func(s *State) { s.Follows = true }, interval, false},
		{"has copies", func(s *State) { s.Fed = true }, interval, false},
		{"a relay", func(s *State) { s.Leaf = false }, interval, false},
		{"the first confirmation", func(s *State) { s.CopyAgeMillis = nil }, interval, false},
	} {
		var q quietState
		now := tarragondeal.Instant(time.Hour)
		if q.mayOmit(base(), now, interval) {
			t.Fatalf("%s: the first state is omitted", c.name)
		}
		s := base()
		c.change(s)
		if got := q.mayOmit(s, now.Add(c.after), interval); got != c.want {
			t.Errorf("%s: %t", c.name, got)
		}
	}
}
