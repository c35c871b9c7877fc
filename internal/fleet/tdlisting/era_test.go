package tdlisting

import (
	"bytes"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// TestConfigurationOfLaterEra guards against a configuration that is lost since an earlier copy
// of the store has lower revisions, an earlier version that comes into force, and an error line
// for the version in force that is written again.
func TestConfigurationOfLaterEra(t *testing.T) {
	type entry struct {
		era   tarragondeal.Era
		rev   tarragondeal.Revision
		value string
	}
	for _, c := range []struct {
		name    string
		inForce string
		pending []entry
		want    tarragondeal.Version
		fails   bool
	}{
		{"a later version at a lower revision", "4", []entry{{0, 50, "5"}, {7, 10, "6"}}, 6, false},
		{"the copy has an earlier version", "4", []entry{{0, 50, "5"}, {7, 10, "3"}}, 5, true},
		{"an earlier version, later than the one in force", "2", []entry{{0, 50, "5"}, {7, 60, "3"}}, 5, true},
		{"an earlier version before the later one", "4", []entry{{0, 50, "5"}, {7, 10, "3"}, {7, 11, "6"}}, 6, false},
		{"the version in force again", "4", []entry{{7, 3, "4"}}, 4, false},
		{"an earlier version alone", "4", []entry{{7, 60, "3"}}, 4, true},
		{"two eras", "4", []entry{{7, 50, "6"}, {8, 10, "7"}, {9, 1, "x"}}, 7, true},
	} {
		var log bytes.Buffer
		config := NewConfig("config", &fakeClock{}, zerolog.New(&log), func(value []byte, active tarragondeal.Version) (tarragondeal.Version, error) {
			n, err := strconv.ParseUint(string(value), 10, 64)
			if version := tarragondeal.Version(n); err == nil && version <= active {
				return 0, &tarragondeal.VersionError{Version: version, InForce: active}
			}
			return tarragondeal.Version(n), err
		})
		follow := func(e entry) {
			config.StartEra(e.era)
			config.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: "config", Value: []byte(e.value), Revision: e.rev}}})
		}
		follow(entry{0, 40, c.inForce})
		config.applyPending()
		for _, e := range c.pending {
			follow(e)
		}
		config.applyPending()
		if fails := bytes.Contains(log.Bytes(), []byte(`"level":"error"`)); config.Version() != c.want || fails != c.fails {
			t.Errorf("%s: version %d is in force, error line %t", c.name, config.Version(), fails)
		}
	}
}

// decodeStatement decodes "STARTED STATEMENT STATE".
func decodeStatement(key string, value []byte) (tarragondeal.Server, error) {
	s := tarragondeal.Server{ID: tarragondeal.ServerID(key)}
	var started int64
	_, err := fmt.Sscan(string(value), &started, &s.Statement, &s.State)
	if started > 0 {
		s.StartedAt = time.UnixMilli(started)
	}
	return s, err
}

// TestServersOfLaterEra guards against servers that left and are listed again since the store
// came back from an earlier copy, against servers that are not listed though they have written
// since, and against earlier entries that are ignored within an era.
func TestServersOfLaterEra(t *testing.T) {
	const gone = "gone"
	type step struct {
		era   tarragondeal.Era
		value string // Or gone.
		after time.Duration
		want  string // What is listed then, or nothing.
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"leaving", []step{
			{0, "5 9 leaving", 0, "5 9 leaving"}, {7, "5 3 live", 0, "5 9 leaving"}, {7, "5 4 live", goneTTL, "5 9 leaving"},
			{8, "5 2 live", 0, "5 9 leaving"}, {8, gone, 0, ""}, {9, "5 3 live", withholdTime, ""}, {9, "5 10 leaving", 0, "5 10 leaving"},
		}},
		{"gone after it was leaving", []step{
			{0, "5 9 leaving", 0, "5 9 leaving"}, {0, gone, 0, ""}, {7, "5 3 live", withholdTime, ""}, {8, "5 9 leaving", withholdTime, ""},
			{8, "5 10 live", 0, "5 10 live"}, {8, "5 3 live", 0, "5 3 live"},
		}},
		{"started again", []step{
			{0, "5 9 leaving", 0, "5 9 leaving"}, {0, gone, 0, ""}, {7, "6 1 live", 0, "6 1 live"}, {8, "5 20 live", 0, "6 1 live"},
		}},
		{"gone without leaving", []step{
			{0, "5 9 live", 0, "5 9 live"}, {0, gone, 0, ""}, {7, "5 9 live", withholdTime - 1, ""}, {7, gone, withholdTime, ""},
			{8, "5 9 live", withholdTime, "5 9 live"},
		}},
		{"the copy has less, or the same", []step{
			{0, "5 9 live", 0, "5 9 live"}, {7, "5 3 leaving", 0, "5 9 live"}, {8, "5 9 live", 0, "5 9 live"}, {8, "5 3 live", 0, "5 3 live"},
		}},
		{"remembered for a bounded time", []step{
			{0, "5 9 leaving", 0, "5 9 leaving"}, {0, gone, goneTTL, ""}, {7, "5 3 live", 0, "5 3 live"},
		}},
		{"within an era", []step{
			{0, "5 9 leaving", 0, "5 9 leaving"}, {0, "5 3 live", 0, "5 3 live"}, {0, gone, 0, ""}, {0, "4 1 live", 0, "4 1 live"},
		}},
		{"without a start", []step{{0, "0 9 leaving", 0, "0 9 leaving"}, {7, "0 3 live", 0, "0 3 live"}}},
		{"without a count", []step{{0, "5 0 leaving", 0, "5 0 leaving"}, {7, "5 0 live", 0, "5 0 live"}, {8, "4 1 live", 0, "4 1 live"}}},
	} {
		l := newServerList()
		l.decode = decodeStatement
		for n, step := range c.steps {
			l.StartEra(step.era)
			if step.value == gone {
				l.remove("s/1", false)
			} else {
				l.put("s/1", step.value)
			}
			l.clock.now = l.clock.now.Add(step.after)
			l.listWithheld()
			listed := ""
			for _, s := range l.current {
				listed = fmt.Sprint(max(0, s.StartedAt.UnixMilli()), s.Statement, " ", s.State)
			}
			if listed != step.want {
				t.Errorf("%s: after step %d %q is listed, not %q", c.name, n, listed, step.want)
			}
		}
	}
}

// TestGoneServersAreBounded guards against memory that grows with each server that was there.
func TestGoneServersAreBounded(t *testing.T) {
	l := newServerList()
	l.decode = decodeStatement
	for n := range maxGone + 10 {
		key := fmt.Sprint("s/", n)
		l.clock.now++
		l.put(key, "5 9 leaving")
		l.remove(key, false)
	}
	if _, ok := l.gone[fmt.Sprint("s/", maxGone+9)]; len(l.gone) != maxGone || !ok {
		t.Errorf("%d servers are remembered, the last one: %t", len(l.gone), ok)
	}
}

// TestEvacuationsOfLaterEra guards against requests to an evacuated data centre since the store
// came back without its key, against an evacuation that outlasts a missing key for long, and
// against one that is kept though its key was removed.
func TestEvacuationsOfLaterEra(t *testing.T) {
	type step struct {
		era   tarragondeal.Era
		gone  bool
		after time.Duration
		want  bool
	}
	for _, c := range []struct {
		name  string
		steps []step
	}{
		{"missing in a later era", []step{{7, true, evacuationGrace - 1, true}}},
		{"missing for long", []step{{7, true, evacuationGrace, false}}},
		{"written again in time", []step{{7, true, time.Second, true}, {7, false, evacuationGrace, true}, {7, true, 0, false}}},
		{"in the copy, and then removed", []step{{7, false, 0, true}, {7, true, 0, false}}},
		{"two eras", []step{{7, true, time.Second, true}, {8, false, evacuationGrace, true}, {9, true, 0, true}}},
		{"within an era", []step{{0, true, 0, false}}},
	} {
		evacuated := false
		clock := &fakeClock{now: 1}
		e := NewEvacuations(Names{
			Decode: func(key string) (string, bool) { return key, true }, IsKnown: func(string) bool { return true },
		}, clock, zerolog.Nop(), func(list []string) { evacuated = len(list) > 0 })
		for n, step := range append([]step{{0, false, 0, true}}, c.steps...) {
			e.StartEra(step.era)
			e.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: "oslo", Deleted: step.gone, Revision: 3}}, AfterOutage: true})
			clock.now = clock.now.Add(step.after)
			e.removeExpired()
			if evacuated != step.want {
				t.Errorf("%s: after step %d evacuated is %t", c.name, n, evacuated)
			}
		}
	}
}
