package tdkey

import (
	"context"
	"sync"

	"tarragondeal"
)

// Guard cancels running requests whose key is withdrawn.
type Guard struct {
	config  tarragondeal.Config
	mu      sync.Mutex
	watches map[*watch]struct{}
}

// watch is a running request and the function that cancels it.
type watch struct {
	key    *tarragondeal.Key
	cancel func(error)
}

// NewGuard returns a Guard that checks keys against the current configuration.
func NewGuard(c tarragondeal.Config) *Guard {
	return &Guard{config: c, watches: make(map[*watch]struct{})}
}

// Run checks the keys of all watched requests after each change of the
// configuration, until ctx ends. The error is nil.
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

// Watch calls cancel when key is no longer valid, until release is called. If the
// key has become invalid since it was checked, it calls cancel before it returns.
// Cancel may be called more than once and must not block.
func (g *Guard) Watch(key *tarragondeal.Key, cancel func(error)) (release func()) {
	w := &watch{key: key, cancel: cancel}
	g.mu.Lock()
	g.watches[w] = struct{}{}
	g.mu.Unlock()
	if err := checkValid(g.config.View(), key); err != nil {
		cancel(err)
	}
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.watches, w)
	}
}

func (g *Guard) check() {
	v := g.config.View()
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.watches {
		if err := checkValid(v, w.key); err != nil {
			w.cancel(err)
		}
	}
}

// checkValid returns an error if a key that was valid no longer is: it was
// withdrawn, removed, reissued or moved to another workspace.
func checkValid(v *tarragondeal.View, key *tarragondeal.Key) error {
	if v == nil {
		return nil
	}
	current := v.Keys[key.Name]
	if current != nil && !current.Withdrawn && current.Workspace == key.Workspace && current.Digest == key.Digest {
		return nil
	}
	return &tarragondeal.RefusedError{
		Reason: tarragondeal.ReasonKeyWithdrawn, Ran: tarragondeal.RanUnknown, Detail: "the key has been withdrawn",
	}
}
