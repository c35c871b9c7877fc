package tdconfig

import (
	"context"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// cleanUpAtOnce bounds how many old versions one publication removes.
const cleanUpAtOnce = 3

// cleanUp removes the oldest kept versions beyond the bound and the pieces
// that only they had. A piece belongs to an unbroken run of versions, so that
// one which the next version lacks is in no later one either. A version's
// record goes last, so that what was broken off is done by the next
// publication.
func (c *Config) cleanUp(ctx context.Context, newest tarragondeal.Version) {
	oldest, err := c.Store.List(ctx, historyPrefix, "", cleanUpAtOnce+1)
	if err != nil {
		c.Log.Warn().Err(err).Msg("can't look for old versions")
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

// removeVersion removes what a version has and the next one has not.
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

// archived reads a superseded root.
func (c *Config) archived(ctx context.Context, v tarragondeal.Version) (*root, error) {
	e, err := c.Store.Get(ctx, historyKey(v))
	if err != nil {
		return nil, err
	}
	if e.Revision == 0 {
		return nil, eris.Errorf("version %d is not kept", v)
	}
	return decodeRoot(e.Value)
}

// rootOf reads the root of a version, superseded or not.
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
	return c.archived(ctx, v)
}

// History returns the newest publications, newest first.
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

// Published returns the set of one version.
func (c *Config) Published(ctx context.Context, v tarragondeal.Version) (*tarragondeal.Set, error) {
	now := c.now.Load()
	if now.view != nil && now.version() == v {
		return now.view.Set, nil
	}
	r, err := c.rootOf(ctx, v)
	if err != nil {
		return nil, err
	}
	_, parts, err := c.gather(ctx, r)
	if err != nil {
		return nil, err
	}
	return assemble(r, parts)
}
