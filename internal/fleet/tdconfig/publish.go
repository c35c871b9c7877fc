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

// Publish publishes a set that was made from version base and returns its
// version. The error is a *tarragondeal.ConflictError if another set was
// published in between, and a *tarragondeal.StoreError if the store failed;
// unless that error is settled, the set may have been published.
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
	c.storeReplied(false)
	last, err := c.catchUp(ctx, e)
	if err != nil {
		return 0, err
	}
	if last.version() != base {
		return 0, &tarragondeal.ConflictError{Op: "publish", Key: rootKey, Current: e}
	}
	encoded, err := encodeSet(set, uuid.NewString(), last.root, last.contents)
	if err != nil {
		return 0, err
	}
	p.Version = base + 1
	if p.At.IsZero() {
		p.At = c.Clock.Wall()
	}
	encoded.root.Version, encoded.root.Publication = p.Version, p
	if err := c.archive(ctx, last); err != nil {
		return 0, markSettled(err)
	}
	if err := c.writePieces(ctx, encoded.newPieces); err != nil {
		return 0, markSettled(err)
	}
	if err := c.swapRoot(ctx, encoded, last, e.Revision); err != nil {
		return 0, err
	}
	c.cleanUp(ctx, p.Version)
	return p.Version, nil
}

// markSettled returns err with Settled set if it is a StoreError. It is for
// steps before the swap of the root, whose failure publishes nothing.
func markSettled(err error) error {
	var failed *tarragondeal.StoreError
	if errors.As(err, &failed) {
		out := *failed
		out.Settled = true
		return &out
	}
	return err
}

// catchUp returns the state of the root in the store, fetching it if it is
// newer than the current one.
func (c *Config) catchUp(ctx context.Context, e tarragondeal.Entry) (*state, error) {
	if e.Revision == 0 {
		return &state{}, nil
	}
	r, err := decodeRoot(e.Value)
	if err != nil {
		return nil, err
	}
	cur := c.current.Load()
	if cur.version() < r.Version {
		if err := c.apply(ctx, e.Value); err != nil {
			return nil, err
		}
		cur = c.current.Load()
	}
	if cur.version() != r.Version {
		// A newer version was applied since the root was read, or the store
		// was reset to an older one: neither can be the base.
		return nil, &tarragondeal.ConflictError{Op: "publish", Key: rootKey, Current: e}
	}
	return cur, nil
}

// archive copies the root that is about to be superseded to the history. Every
// publisher does so before it swaps the root, so that the history has no gaps.
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

// writePieces writes new pieces to the store.
func (c *Config) writePieces(ctx context.Context, contents map[digest][]byte) error {
	p := pool.New().WithMaxGoroutines(c.storeConcurrency).WithContext(ctx).WithCancelOnError().WithFirstError()
	for d, content := range contents {
		p.Go(func(ctx context.Context) error {
			_, err := c.Store.Swap(ctx, d.key(), content, 0)
			return err
		})
	}
	return p.Wait()
}

// swapRoot publishes a set whose pieces are in the store, and installs it.
func (c *Config) swapRoot(ctx context.Context, encoded *encodedSet, last *state, prev tarragondeal.Revision) error {
	value, err := json.Marshal(encoded.root)
	if err != nil {
		return err
	}
	if len(value) > tarragondeal.MaxValueBytes {
		return &RootError{Detail: "too large"}
	}
	_, err = c.Store.Swap(ctx, rootKey, value, prev)
	if err != nil {
		err = c.resolvePublish(ctx, encoded.root, err)
	}
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		c.discard(ctx, encoded.newPieces)
	}
	if err != nil {
		return err
	}
	contents := make(map[digest][]byte, len(last.contents)+len(encoded.newPieces))
	parts := make(map[digest]*tarragondeal.Set, len(contents))
	for d, content := range last.contents {
		contents[d], parts[d] = content, last.parts[d]
	}
	for d, content := range encoded.newPieces {
		_, part, err := decodePiece(d, content)
		if err != nil {
			return err
		}
		contents[d], parts[d] = content, part
	}
	return c.install(encoded.root, value, contents, parts)
}

// resolvePublish determines whether a root whose swap got no reply was
// published: it is then in the store, or in the history if another publisher
// has superseded it. It returns nil if the root was published, a ConflictError
// if another one was, and lost if this can't be determined.
func (c *Config) resolvePublish(ctx context.Context, r *root, lost error) error {
	var failed *tarragondeal.StoreError
	if !errors.As(lost, &failed) || failed.Settled {
		return lost
	}
	e, err := c.Store.Get(ctx, rootKey)
	if err != nil {
		return lost
	}
	stored, err := decodeRoot(e.Value)
	if err != nil || stored.Version < r.Version {
		return lost
	}
	if stored.Version > r.Version {
		if e, err = c.Store.Get(ctx, historyKey(r.Version)); err != nil {
			return lost
		}
		if stored, err = decodeRoot(e.Value); err != nil {
			return lost
		}
	}
	if stored.ID == r.ID {
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

// remove deletes a key and reports whether it is gone. Errors are logged.
func (c *Config) remove(ctx context.Context, key string) bool {
	e, err := c.Store.Get(ctx, key)
	if err == nil && e.Revision != 0 {
		err = c.Store.Delete(ctx, key, e.Revision)
	}
	if err != nil {
		c.Log.Warn().Err(err).Str("key", key).Msg("can't remove unused key")
	}
	return err == nil
}
