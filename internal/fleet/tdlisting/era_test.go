package tdlisting

import (
	"bytes"
	"strconv"
	"testing"

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
