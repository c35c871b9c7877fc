package tdlisting

import (
	"sync"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/fleet/tdmirror"
)

// Apply activates a configuration as a whole and returns its version. It returns an
// error, and changes nothing, if the value is invalid or its version is not higher
// than active.
type Apply func(value []byte, active tarragondeal.Version) (tarragondeal.Version, error)

// Config tracks the active configuration. It is safe for concurrent use.
type Config struct {
	key   string
	apply Apply
	clock tarragondeal.Clock
	log   zerolog.Logger

	mu      sync.Mutex
	version tarragondeal.Version
	rev     tarragondeal.Revision
}

// NewConfig returns a Config for the configuration that is stored under key.
func NewConfig(key string, c tarragondeal.Clock, log zerolog.Logger, apply Apply) *Config {
	return &Config{key: key, apply: apply, clock: c, log: log}
}

// Version returns the active version, or zero before the first.
func (c *Config) Version() tarragondeal.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Follow applies changes of the copy of the store.
func (c *Config) Follow(changes tdmirror.Changes) {
	for _, e := range changes.Entries {
		if e.Key == c.key && !e.Deleted {
			c.applyEntry(e)
		}
	}
}

func (c *Config) applyEntry(e tarragondeal.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Revision <= c.rev {
		return
	}
	start := c.clock.Now()
	version, err := c.apply(e.Value, c.version)
	if err != nil {
		c.log.Error().Err(tdlog.Bounded(err)).Uint64("revision", uint64(e.Revision)).Uint64("inForce", uint64(c.version)).
			Msg("configuration rejected, keeping the previous one")
		return
	}
	c.log.Info().Uint64("version", uint64(version)).Uint64("before", uint64(c.version)).Uint64("revision", uint64(e.Revision)).
		Int("bytes", len(e.Value)).Dur("took", c.clock.Now().Sub(start)).Msg("configuration in force")
	c.version, c.rev = version, e.Revision
}
