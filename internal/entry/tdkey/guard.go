package tdkey

import (
	"context"
	"sync"

	"tarragondeal"
)

// Guard cuts running requests whose key is withdrawn.
type Guard struct {
	config tarragondeal.Config
	mu     sync.Mutex
	held   map[*hold]struct{}
}

// hold is one running request.
type hold struct {
	key *tarragondeal.Key
	cut func(error)
}

// NewGuard returns a guard that follows the set in force while it runs.
func NewGuard(c tarragondeal.Config) *Guard {
	return &Guard{config: c, held: make(map[*hold]struct{})}
}

// Run follows the set in force until the context ends.
func (g *Guard) Run(ctx context.Context) error {
	for {
		changed := g.config.Changed()
		g.check()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// Hold names a running request and how it is cut. A request whose key was
// withdrawn since it was checked is cut at once. Release ends the watch.
func (g *Guard) Hold(key *tarragondeal.Key, cut func(error)) (release func()) {
	h := &hold{key: key, cut: cut}
	g.mu.Lock()
	g.held[h] = struct{}{}
	g.mu.Unlock()
	if err := stillValid(g.config.View(), key); err != nil {
		cut(err)
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.held, h)
	}
}

func (g *Guard) check() {
	v := g.config.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	for h := range g.held {
		if err := stillValid(v, h.key); err != nil {
			h.cut(err)
		}
	}
}

// stillValid returns an error if a key that was valid no longer is: it was
// withdrawn, removed, issued anew or given to another workspace.
func stillValid(v *tarragondeal.View, key *tarragondeal.Key) error {
	if v == nil {
		return nil
	}
	now := v.Keys[key.Name]
	if now != nil && !now.Withdrawn && now.Workspace == key.Workspace && now.Digest == key.Digest {
		return nil
	}
	return &tarragondeal.RefusedError{
		Reason: tarragondeal.ReasonKeyWithdrawn, Ran: tarragondeal.RanUnknown, Detail: "the key has been withdrawn",
	}
}
