package tdlisting

import (
	"strconv"
	"testing"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// TestLostConfigurationIsOffered guards against a node that starts with an older configuration,
// which the store has since it came back from a copy, and against configurations that nodes send
// each other although the store has them.
func TestLostConfigurationIsOffered(t *testing.T) {
	newConfig := func() *Config {
		return NewConfig("config", &fakeClock{}, zerolog.Nop(), func(value []byte, active tarragondeal.Version) (tarragondeal.Version, error) {
			n, err := strconv.Atoi(string(value))
			if version := tarragondeal.Version(n); err == nil && version <= active {
				return 0, &tarragondeal.VersionError{Version: version, InForce: active}
			}
			return tarragondeal.Version(n), err
		})
	}
	for _, c := range []struct {
		name    string
		era     tarragondeal.Era
		stored  []string // In the store after that, in turn; an empty one is none.
		offered string
	}{
		{"the first era", 0, []string{"13"}, ""},
		{"an older one", 5, []string{"10"}, "12"},
		{"none", 5, []string{""}, "12"},
		{"the same", 5, []string{"12"}, ""},
		{"an older one, then written again", 5, []string{"10", "12"}, ""},
		{"none, then a later one", 5, []string{"", "13"}, ""},
		{"an invalid one", 5, []string{"10", "x"}, "12"},
	} {
		live, started := newConfig(), newConfig()
		put := func(f *Config, value string) {
			f.Follow(tdmirror.Changes{Entries: []tarragondeal.Entry{{Key: "config", Value: []byte(value), Deleted: value == ""}}})
			f.applyPending()
		}
		put(live, "12")
		if c.era != 0 {
			live.StartEra(c.era)
			started.StartEra(c.era)
		}
		for _, value := range c.stored {
			put(live, value)
		}
		write := live.Writer()
		if got := string(write(nil)); got != c.offered {
			t.Errorf("%s: %q is offered, want %q", c.name, got, c.offered)
		}
		if write(nil) != nil {
			t.Errorf("%s: offered twice on one stream", c.name)
		}
		if c.offered == "" {
			continue
		}
		put(started, "10")
		started.Receive("live", []byte(c.offered))
		put(started, "11") // At the same time.
		if got := started.Version(); got != 12 {
			t.Errorf("%s: version %d is in force", c.name, got)
		}
		if again := string(started.Writer()(nil)); again != c.offered {
			t.Errorf("%s: the node that received it offers %q", c.name, again)
		}
		put(started, "14")
		if got := started.Version(); got != 14 || started.Writer()(nil) != nil {
			t.Errorf("%s: version %d is in force after a later one, or offered", c.name, got)
		}
	}
}
