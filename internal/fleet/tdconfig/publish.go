package tdconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"tarragondeal"
)

// Publish writes a set that was based on version base. The error is a
// *tarragondeal.ConflictError when another set came in between, and a
// *tarragondeal.StoreError when nothing could be agreed; unless that is
// settled the set may have been published.
func (c *Config) Publish(ctx context.Context, base tarragondeal.Version, set *tarragondeal.Set, p tarragondeal.Publication) (tarragondeal.Version, error) {
	v, err := c.publish(ctx, base, set, p)
	if err != nil {
		c.Log.Warn().Err(err).Uint64("base", uint64(base)).Msg("set was not published")
	}
	return v, err
}

func (c *Config) publish(ctx context.Context, base tarragondeal.Version, set *tarragondeal.Set, p tarragondeal.Publication) (tarragondeal.Version, error) {
	e, err := c.Store.Get(ctx, rootKey)
	if err != nil {
		return 0, err
	}
	c.reached(false)
	last, err := c.catchUp(ctx, e)
	if err != nil {
		return 0, err
	}
	if last.version() != base {
		return 0, &tarragondeal.ConflictError{Op: "publish", Key: rootKey, Current: e}
	}
	made, err := cut(set, uuid.NewString(), last.root, last.contents)
	if err != nil {
		return 0, err
	}
	p.Version = base + 1
	if p.At.IsZero() {
		p.At = c.Clock.Wall()
	}
	made.root.Version, made.root.Publication = p.Version, p
	if err := c.archive(ctx, last); err != nil {
		return 0, settled(err)
	}
	if err := c.writePieces(ctx, made.new); err != nil {
		return 0, settled(err)
	}
	if err := c.swapRoot(ctx, made, last, e.Revision); err != nil {
		return 0, err
	}
	c.cleanUp(ctx, p.Version)
	return p.Version, nil
}

// settled says of a failed step before the swap of the root that nothing was
// published.
func settled(err error) error {
	var failed *tarragondeal.StoreError
	if errors.As(err, &failed) {
		out := *failed
		out.Settled = true
		return &out
	}
	return err
}

// catchUp returns the state of the root that stands in the store.
func (c *Config) catchUp(ctx context.Context, e tarragondeal.Entry) (*state, error) {
	if e.Revision == 0 {
		return &state{}, nil
	}
	r, err := decodeRoot(e.Value)
	if err != nil {
		return nil, err
	}
	now := c.now.Load()
	if now.version() < r.Version {
		if err := c.take(ctx, e.Value); err != nil {
			return nil, err
		}
		now = c.now.Load()
	}
	if now.version() != r.Version {
		// A newer version came into force since the root was read, or the
		// store went back: either way this is no base.
		return nil, &tarragondeal.ConflictError{Op: "publish", Key: rootKey, Current: e}
	}
	return now, nil
}

// archive keeps the root that is about to be superseded. Whoever supersedes
// a root archives it first, so that history has no holes.
func (c *Config) archive(ctx context.Context, last *state) error {
	if last.root == nil {
		return nil
	}
	_, err := c.Store.Swap(ctx, historyKey(last.version()), last.value, 0)
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) && string(conflict.Current.Value) == string(last.value) {
		return nil
	}
	return err
}

func historyKey(v tarragondeal.Version) string { return fmt.Sprintf("%s%020d", historyPrefix, v) }

func (c *Config) writePieces(ctx context.Context, contents map[digest][]byte) error {
	p := pool.New().WithMaxGoroutines(c.parallel).WithContext(ctx).WithCancelOnError().WithFirstError()
	for d, content := range contents {
		p.Go(func(ctx context.Context) error {
			_, err := c.Store.Swap(ctx, d.key(), content, 0)
			return err
		})
	}
	return p.Wait()
}

// swapRoot makes a cutting the published set.
func (c *Config) swapRoot(ctx context.Context, made *cutting, last *state, prev tarragondeal.Revision) error {
	value, err := json.Marshal(made.root)
	if err != nil {
		return err
	}
	if len(value) > tarragondeal.MaxValueBytes {
		return &RootError{Detail: "too large"}
	}
	_, err = c.Store.Swap(ctx, rootKey, value, prev)
	if err != nil {
		err = c.settle(ctx, made.root, err)
	}
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		c.discard(ctx, made.new)
	}
	if err != nil {
		return err
	}
	contents := make(map[digest][]byte, len(last.contents)+len(made.new))
	parts := make(map[digest]*tarragondeal.Set, len(contents))
	for d, content := range last.contents {
		contents[d], parts[d] = content, last.parts[d]
	}
	for d, content := range made.new {
		_, part, err := decodePiece(d, content)
		if err != nil {
			return err
		}
		contents[d], parts[d] = content, part
	}
	return c.enforce(made.root, value, contents, parts)
}

// settle finds out whether a root whose answer was lost was published: it
// stands in the store, or whoever superseded it has archived it.
func (c *Config) settle(ctx context.Context, r *root, lost error) error {
	var failed *tarragondeal.StoreError
	if !errors.As(lost, &failed) || failed.Settled {
		return lost
	}
	e, err := c.Store.Get(ctx, rootKey)
	if err != nil {
		return lost
	}
	now, err := decodeRoot(e.Value)
	if err != nil || now.Version < r.Version {
		return lost
	}
	if now.Version > r.Version {
		if e, err = c.Store.Get(ctx, historyKey(r.Version)); err != nil {
			return lost
		}
		if now, err = decodeRoot(e.Value); err != nil {
			return lost
		}
	}
	if now.Mark == r.Mark {
		return nil
	}
	return &tarragondeal.ConflictError{Op: "publish", Key: rootKey, Current: e}
}

// discard deletes the pieces of a root that will never be published.
func (c *Config) discard(ctx context.Context, contents map[digest][]byte) {
	for d := range contents {
		c.remove(ctx, d.key())
	}
}

// remove deletes a key, and reports whether it is gone.
func (c *Config) remove(ctx context.Context, key string) bool {
	e, err := c.Store.Get(ctx, key)
	if err == nil && e.Revision != 0 {
		err = c.Store.Delete(ctx, key, e.Revision)
	}
	if err != nil {
		c.Log.Warn().Err(err).Str("key", key).Msg("can't remove what is no longer used")
	}
	return err == nil
}
