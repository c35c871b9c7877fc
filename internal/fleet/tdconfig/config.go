// Package tdconfig publishes sets of objects and brings the newest one into
// force at a node.
//
// # Usage
//
//	c := tdconfig.New(store, members, log)
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
	members Members
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

// Members is who has which version in force.
type Members interface {
	tarragondeal.Members
	SetConfig(v tarragondeal.Version)
}

// New returns a config that knows no set yet.
func New(store tarragondeal.Store, members Members, log zerolog.Logger) *Config {
	return &Config{store: store, members: members, log: log, changed: make(chan struct{})}
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
	c.members.SetConfig(r.Version)
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

// InForce waits until every live node has version v or a later one in force,
// or ctx ends. It returns the nodes that lag.
func (c *Config) InForce(ctx context.Context, v tarragondeal.Version) ([]tarragondeal.NodeID, error) {
	for {
		changed := c.members.Changed()
		var lagging []tarragondeal.NodeID
		for _, m := range c.members.Members() {
			if m.Config < v {
				lagging = append(lagging, m.Node)
			}
		}
		if len(lagging) == 0 {
			return nil, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return lagging, ctx.Err()
		}
	}
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
