// Package tdconfig publishes sets of objects and brings the newest one into
// force at a node.
//
// # Usage
//
//	c := tdconfig.New(store, log)
//	go func() { done <- c.Run(ctx) }()
//	view := c.View()
package tdconfig

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"tarragondeal"
)

// rootKey is where the published set stands.
const rootKey = "config/root"

const (
	watchWait = 20 * time.Second
	retryWait = 500 * time.Millisecond
)

// Config follows the published set.
type Config struct {
	store   tarragondeal.Store
	log     zerolog.Logger
	mu      sync.Mutex
	view    *tarragondeal.View
	root    tarragondeal.Entry
	changed chan struct{}
}

type root struct {
	Version tarragondeal.Version `json:"version"`
	Set     *tarragondeal.Set    `json:"set"`
}

// New returns a config that knows no set yet.
func New(store tarragondeal.Store, log zerolog.Logger) *Config {
	return &Config{store: store, log: log, changed: make(chan struct{})}
}

// View returns the set in force, or nil.
func (c *Config) View() *tarragondeal.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Changed returns a channel that is closed at the next change.
func (c *Config) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Run follows the store until the context ends.
func (c *Config) Run(ctx context.Context) error {
	var after tarragondeal.Revision
	for ctx.Err() == nil {
		entries, revision, err := c.store.Watch(ctx, rootKey, after, watchWait)
		if err != nil {
			if ctx.Err() == nil {
				c.log.Warn().Err(err).Msg("can't watch")
			}
			sleep(ctx, retryWait)
			continue
		}
		for _, e := range entries {
			c.take(e)
		}
		after = revision
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// take brings a set into force unless a newer one already is.
func (c *Config) take(e tarragondeal.Entry) {
	var r root
	if err := json.Unmarshal(e.Value, &r); err != nil {
		c.log.Error().Err(err).Msg("published set can't be read")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.view != nil && r.Version <= c.view.Version {
		return
	}
	c.view = tarragondeal.NewView(r.Version, r.Set)
	c.root = e
	close(c.changed)
	c.changed = make(chan struct{})
	c.log.Info().Uint64("version", uint64(r.Version)).Msg("set in force")
}

// Publish writes a set that was based on version base. The error is a
// *tarragondeal.ConflictError when another set came in between.
func (c *Config) Publish(ctx context.Context, base tarragondeal.Version, set *tarragondeal.Set, _ tarragondeal.Publication) (tarragondeal.Version, error) {
	e, err := c.store.Get(ctx, rootKey)
	if err != nil {
		return 0, err
	}
	var now root
	if e.Revision != 0 {
		if err := json.Unmarshal(e.Value, &now); err != nil {
			return 0, err
		}
	}
	if now.Version != base {
		return 0, &tarragondeal.ConflictError{Op: "publish", Key: rootKey, Current: e}
	}
	next := root{Version: base + 1, Set: set}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	written, err := c.store.Swap(ctx, rootKey, value, e.Revision)
	if err != nil {
		return 0, err
	}
	written.Value = value
	c.take(written)
	return next.Version, nil
}

// InForce names no node as lagging: this node is the only one it knows.
func (c *Config) InForce(context.Context, tarragondeal.Version) ([]tarragondeal.NodeID, error) {
	return nil, nil
}

// History returns the publication in force, if any.
func (c *Config) History(context.Context, int) ([]tarragondeal.Publication, error) {
	v := c.View()
	if v == nil {
		return nil, nil
	}
	return []tarragondeal.Publication{{Version: v.Version}}, nil
}

// Published returns the set in force if it has the version asked for.
func (c *Config) Published(_ context.Context, version tarragondeal.Version) (*tarragondeal.Set, error) {
	v := c.View()
	if v == nil || v.Version != version {
		return nil, eris.Errorf("version %d is not known", version)
	}
	return v.Set, nil
}
