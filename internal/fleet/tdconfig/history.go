package tdconfig

import (
	"context"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// maxCleanUpVersions is the maximum number of old versions that one
// publication removes.
const maxCleanUpVersions = 3

// cleanUp removes the oldest versions beyond Keep and the pieces that only they
// use. A piece is used by consecutive versions, so a piece that the next
// version lacks is in no later one either. The history entry of a version is
// removed last, so that the next publication completes an interrupted
// clean-up.
func (c *Config) cleanUp(ctx context.Context, newest tarragondeal.Version) {
	oldest, err := c.Store.List(ctx, historyPrefix, "", maxCleanUpVersions+1)
	if err != nil {
		c.Log.Warn().Err(err).Msg("can't list old versions")
		return
	}
	for n := 0; n+1 < len(oldest); n++ {
		old, err := decodeRoot(oldest[n].Value)
		if err != nil || old.Version+tarragondeal.Version(c.Keep) >= newest {
			return
		}
		next, err := decodeRoot(oldest[n+1].Value)
		if err != nil || !c.removeVersion(ctx, old, next) {
			return
		}
	}
}

// removeVersion removes a version and its pieces that the next one lacks. It
// reports whether all of them are gone.
func (c *Config) removeVersion(ctx context.Context, old, next *root) bool {
	used := make(map[digest]bool)
	for _, d := range next.digests() {
		used[d] = true
	}
	for _, d := range old.digests() {
		if !used[d] && !c.remove(ctx, d.key()) {
			return false
		}
	}
	return c.remove(ctx, historyKey(old.Version))
}

// archivedRoot reads the root of a superseded version.
func (c *Config) archivedRoot(ctx context.Context, v tarragondeal.Version) (*root, error) {
	e, err := c.Store.Get(ctx, historyKey(v))
	if err != nil {
		return nil, err
	}
	if e.Revision == 0 {
		return nil, eris.Errorf("version %d is not kept", v)
	}
	return decodeRoot(e.Value)
}

// rootOf reads the root of a version, which may be the published one.
func (c *Config) rootOf(ctx context.Context, v tarragondeal.Version) (*root, error) {
	e, err := c.Store.Get(ctx, rootKey)
	if err != nil {
		return nil, err
	}
	if e.Revision != 0 {
		if r, err := decodeRoot(e.Value); err != nil || r.Version == v {
			return r, err
		}
	}
	return c.archivedRoot(ctx, v)
}

// History returns up to limit publications, newest first.
func (c *Config) History(ctx context.Context, limit int) ([]tarragondeal.Publication, error) {
	e, err := c.Store.Get(ctx, rootKey)
	if err != nil || e.Revision == 0 || limit <= 0 {
		return nil, err
	}
	r, err := decodeRoot(e.Value)
	if err != nil {
		return nil, err
	}
	out := []tarragondeal.Publication{r.Publication}
	limit = min(limit, c.Keep+1)
	if limit == 1 || r.Version == 1 {
		return out, nil
	}
	from := r.Version - min(r.Version, tarragondeal.Version(limit))
	entries, err := c.Store.List(ctx, historyPrefix, historyKey(from), limit-1)
	if err != nil {
		return nil, err
	}
	for n := len(entries) - 1; n >= 0; n-- {
		old, err := decodeRoot(entries[n].Value)
		if err != nil {
			return nil, err
		}
		if old.Version < r.Version {
			out = append(out, old.Publication)
		}
	}
	return out, nil
}

// Published returns the set of version v.
func (c *Config) Published(ctx context.Context, v tarragondeal.Version) (*tarragondeal.Set, error) {
	cur := c.current.Load()
	if cur.view != nil && cur.version() == v {
		return cur.view.Set, nil
	}
	r, err := c.rootOf(ctx, v)
	if err != nil {
		return nil, err
	}
	_, parts, err := c.collectPieces(ctx, r)
	if err != nil {
		return nil, err
	}
	return assemble(r, parts)
}
