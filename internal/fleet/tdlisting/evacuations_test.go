package tdlisting

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// TestEvacuations guards against servers of an evacuated data centre that get requests, and
// against a data centre that stays unused after its evacuation has been taken back.
func TestEvacuations(t *testing.T) {
	var current []string
	applied := 0
	e := NewEvacuations(Names{
		Decode:  func(key string) (string, bool) { return strings.CutPrefix(key, "e/") },
		IsKnown: func(string) bool { return false },
	}, &fakeClock{}, zerolog.Nop(), func(list []string) {
		current = list
		applied++
	})
	for n, c := range []struct {
		key     string
		deleted bool
		want    []string
		applied int
	}{
		{"servers/a", false, nil, 0},
		{"e/a", true, nil, 0},
		{"e/b", false, []string{"b"}, 1},
		{"e/a", false, []string{"a", "b"}, 2},
		{"e/a", false, []string{"a", "b"}, 2}, // Written once more.
		{"e/b", true, []string{"a"}, 3},
	} {
		e.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: c.key, Deleted: c.deleted, Revision: tarragondeal.Revision(n + 1)}}})
		if !slices.Equal(current, c.want) || applied != c.applied {
			t.Errorf("after change %d: %q, applied %d times", n, current, applied)
		}
	}
	var entries []tarragondeal.Entry
	for n := range 2 * maxEvacuations {
		entries = append(entries, tarragondeal.Entry{Key: fmt.Sprint("e/", n), Revision: tarragondeal.Revision(100 + n)})
	}
	e.Follow(tdmirror.Changes{Entries: entries})
	if len(current) != maxEvacuations {
		t.Errorf("%d data centres are evacuated", len(current))
	}
}

// TestEvacuationsBesideManyKeys guards against an evacuation that is ignored since another writer
// has left many keys like it, and against one that is ignored after they are removed.
func TestEvacuationsBesideManyKeys(t *testing.T) {
	var current []string
	e := NewEvacuations(Names{
		Decode: func(key string) (string, bool) { return strings.CutPrefix(key, "e/") }, IsKnown: func(name string) bool { return name == "oslo" },
	}, &fakeClock{}, zerolog.Nop(), func(list []string) { current = list })
	rev := tarragondeal.Revision(0)
	write := func(key string, deleted bool) {
		rev++
		e.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: key, Deleted: deleted, Revision: rev}}})
	}
	for n := range 2 * maxEvacuations {
		write(fmt.Sprint("e/", n), false)
	}
	write("e/oslo", false)
	if !slices.Contains(current, "oslo") {
		t.Error("the evacuation of a data centre of the settings is ignored")
	}
	if len(current) > maxEvacuations+1 {
		t.Errorf("%d data centres are evacuated", len(current))
	}
	write("e/oslo", true)
	if slices.Contains(current, "oslo") {
		t.Error("an evacuation that was taken back is kept")
	}
	for n := range 2 * maxEvacuations {
		write(fmt.Sprint("e/", n), true)
	}
	if len(current) > 0 {
		t.Errorf("%d data centres are evacuated without a key", len(current))
	}
}
