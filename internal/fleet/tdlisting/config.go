package tdlisting

import (
	"context"
	"errors"
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
	"tarragondeal/internal/fleet/tdmirror"
)

// maxPending is the number of received configurations that are kept until they are
// decoded. Only the newest valid one is applied.
const maxPending = 4

// Apply activates a configuration as a whole and returns its version. It returns an
// error, and changes nothing, if the value is invalid, and a *tarragondeal.VersionError
// if its version is not higher than active. Calls do not overlap.
type Apply func(value []byte, active tarragondeal.Version) (tarragondeal.Version, error)

// Config tracks the active configuration. Its methods but Run are safe for concurrent use.
type Config struct {
	key   string
	apply Apply
	clock tarragondeal.Clock
	log   zerolog.Logger
	wake  chan struct{} // Holds a token while configurations are pending.

	mu      sync.Mutex
	version tarragondeal.Version
	era     tarragondeal.Era
	pending []pendingConfig // In the order in which they were received.
	inForce []byte
	lost    bool     // The store has an earlier configuration, or none, since it came back from a copy.
	offered [][]byte // Configurations of other nodes that have not been decoded.
}

// pendingConfig is a configuration that has not been decoded.
type pendingConfig struct {
	tarragondeal.Entry
	era        tarragondeal.Era
	receivedAt tarragondeal.Instant
}

// NewConfig returns a Config for the configuration that is stored under key.
func NewConfig(key string, c tarragondeal.Clock, log zerolog.Logger, apply Apply) *Config {
	return &Config{key: key, apply: apply, clock: c, log: log, wake: make(chan struct{}, 1)}
}

// Version returns the active version, or zero before the first.
func (c *Config) Version() tarragondeal.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version
}

// StartEra begins a later era of the store, to which what is received next belongs.
func (c *Config) StartEra(era tarragondeal.Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era = era
}

// Follow receives changes of the copy of the store. Run applies them: decoding a large
// configuration takes long, and must not delay other changes.
func (c *Config) Follow(changes tdmirror.Changes) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range changes.Entries {
		if e.Key != c.key {
			continue
		}
		if e.Deleted {
			c.lost = c.era != 0
			continue
		}
		c.pending = append(c.pending, pendingConfig{Entry: e, era: c.era, receivedAt: c.clock.Now()})
		if over := len(c.pending) - maxPending; over > 0 {
			c.pending = slices.Delete(c.pending, 0, over)
		}
		c.notify()
	}
}

func (c *Config) notify() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Run applies received configurations until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	for {
		select {
		case <-c.wake:
			c.applyPending()
		case <-ctx.Done():
			return nil
		}
	}
}

// applyPending applies the newest valid configuration of those that are pending, in each era
// in which some were received: an entry that is received later in a later era may have an
// earlier version.
func (c *Config) applyPending() {
	c.mu.Lock()
	pending, offered := c.pending, c.offered
	c.pending, c.offered = nil, nil
	c.mu.Unlock()
	for len(pending) > 0 {
		n := 1
		for n < len(pending) && pending[n].era == pending[0].era {
			n++
		}
		c.applyNewest(pending[:n])
		pending = pending[n:]
	}
	for _, value := range offered {
		c.applyOffered(value)
	}
}

// applyNewest applies the newest valid configuration of one era. The copy of the store does
// not deliver an earlier entry after a later one.
func (c *Config) applyNewest(received []pendingConfig) {
	for n := range slices.Backward(received) {
		if c.applyEntry(&received[n]) {
			return
		}
	}
}

// applyEntry reports whether p is applied, or has the version in force.
func (c *Config) applyEntry(p *pendingConfig) bool {
	c.mu.Lock()
	active := c.version
	c.mu.Unlock()
	start := c.clock.Now()
	version, err := c.apply(p.Value, active)
	old, isOld := errors.AsType[*tarragondeal.VersionError](err)
	if isOld {
		c.setLost(p.era, old.Version < old.InForce)
	}
	if isOld && old.Version == old.InForce {
		c.log.Info().Uint64("version", uint64(active)).Uint64("revision", uint64(p.Revision)).Msg("configuration in force was written again")
		return true
	}
	if err != nil {
		c.log.Error().Err(tdlog.Bounded(err)).Uint64("revision", uint64(p.Revision)).Uint64("inForce", uint64(active)).
			Msg("configuration rejected, keeping the previous one")
		return false
	}
	c.log.Info().Uint64("version", uint64(version)).Uint64("before", uint64(active)).Uint64("revision", uint64(p.Revision)).Int("bytes", len(p.Value)).
		Dur("waited", start.Sub(p.receivedAt)).Dur("took", c.clock.Now().Sub(start)).Msg("configuration in force")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.inForce, c.lost = version, p.Value, false
	return true
}
