package tdlisting

import (
	"errors"

	"tarragondeal"
	"tarragondeal/internal/base/tdlog"
)

// Topic names the section of a node's state that holds a configuration.
const Topic = "config"

// maxOffered is the size in bytes of the largest configuration that is sent to other nodes. A
// state with a larger one could take so long that the node counts as silent.
const maxOffered = 256 << 10

// Writer returns a function for the stream to one other node. It returns the configuration in
// force, once, if the store has lost it: a node that starts meanwhile knows only what the store
// has. Operators write it again, not at once.
func (c *Config) Writer() func(func(tarragondeal.NodeID) bool) []byte {
	var sent tarragondeal.Version
	return func(func(tarragondeal.NodeID) bool) []byte {
		c.mu.Lock()
		defer c.mu.Unlock()
		if !c.lost || c.version == sent || len(c.inForce) > maxOffered {
			return nil
		}
		sent = c.version
		return c.inForce
	}
}

// Receive receives a configuration from another node. Run applies it if its version is later than
// the one in force.
func (c *Config) Receive(_ tarragondeal.NodeID, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.offered) == maxPending {
		return // The others are likely to be the same.
	}
	c.offered = append(c.offered, value)
	c.notify()
}

// setLost records whether the store lacks the configuration in force, from what it has in an era.
func (c *Config) setLost(era tarragondeal.Era, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if era == c.era {
		c.lost = lost && era != 0
	}
}

func (c *Config) applyOffered(value []byte) {
	active := c.Version()
	version, err := c.apply(value, active)
	if _, isOld := errors.AsType[*tarragondeal.VersionError](err); isOld {
		return
	}
	if err != nil {
		c.log.Error().Err(tdlog.Bounded(err)).Uint64("inForce", uint64(active)).Msg("configuration of another node rejected, keeping the previous one")
		return
	}
	c.log.Info().Uint64("version", uint64(version)).Uint64("before", uint64(active)).Int("bytes", len(value)).
		Msg("configuration of another node in force: the store has lost it")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.version, c.inForce, c.lost = version, value, true
}
