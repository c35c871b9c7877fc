package tdlisting

import (
	"sync"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdmirror"
)

// Apply puts a value in force as a whole, unless its version is not above the
// one that is in force. It returns the value's version.
type Apply func(value []byte, inForce tarragondeal.Version) (tarragondeal.Version, error)

// Config is the configuration in force. It is safe for concurrent use.
type Config struct {
	key   string
	apply Apply
	log   zerolog.Logger

	mu      sync.Mutex
	version tarragondeal.Version
	rev     tarragondeal.Revision
}

// NewConfig returns the configuration that is stored under key.
func NewConfig(key string, log zerolog.Logger, apply Apply) *Config {
	return &Config{key: key, apply: apply, log: log}
}

// Version returns the version in force; zero before the first.
func (c *Config) Version() tarragondeal.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// Follow takes in changes of the copied store.
func (c *Config) Follow(changes tdmirror.Changes) {
	for _, e := range changes.Entries {
		if e.Key == c.key && !e.Deleted {
			c.take(e)
		}
	}
}

func (c *Config) take(e tarragondeal.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Revision <= c.rev {
		return
	}
	version, err := c.apply(e.Value, c.version)
	if err != nil {
		c.log.Error().Err(err).Uint64("revision", uint64(e.Revision)).Uint64("inForce", uint64(c.version)).
			Msg("configuration can't be used, the one before stays")
		return
	}
	c.log.Info().Uint64("version", uint64(version)).Uint64("before", uint64(c.version)).Uint64("revision", uint64(e.Revision)).
		Msg("configuration in force")
	c.version, c.rev = version, e.Revision
}
