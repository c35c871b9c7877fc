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
	e := NewEvacuations(func(key string) (string, bool) { return strings.CutPrefix(key, "e/") }, zerolog.Nop(), func(list []string) {
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
