package tdconfig

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sourcegraph/conc"

	"tarragondeal"
	"tarragondeal/internal/fleet/tdstore"
)

const (
	maxWatchWait      = 20 * time.Second
	queryInterval     = 200 * time.Millisecond // Average time between two attempts.
	enoughRepliesWait = 3 * time.Second        // After which fewer replies suffice.
)

// Run keeps the newest published set in force until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { c.watchStore(ctx) })
	wg.Go(func() { c.applyRoots(ctx) })
	wg.Go(func() { c.followMembers(ctx) })
	c.confirmLoop(ctx)
	wg.Wait()
	return nil
}

// watchStore watches the root in the store while this node is a watcher.
func (c *Config) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.Members.Changed()
		if !c.isWatcher() {
			wait(ctx, changed)
			continue
		}
		c.watchWhileWatcher(ctx)
	}
}

// watchWhileWatcher watches the root until this node is no longer a watcher.
func (c *Config) watchWhileWatcher(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		tdstore.Follow(ctx, &watchObserver{Store: c.Store, onReply: func() { c.storeReplied(false) }}, rootKey, min(maxWatchWait, c.StaleMax/3),
			func(e tarragondeal.Entry) {
				if e.Key == rootKey && !e.Deleted {
					_ = c.roots.Send(ctx, e.Value)
				}
			},
			func(err error) { c.Log.Debug().Err(err).Msg("can't watch the store") })
	})
	for ctx.Err() == nil {
		changed := c.Members.Changed()
		if !c.isWatcher() {
			return
		}
		wait(ctx, changed)
	}
}

// watchObserver is a store that calls onReply after each successful watch.
type watchObserver struct {
	tarragondeal.Store
	onReply func()
}

// Watch calls Watch of the underlying store.
func (o *watchObserver) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	es, r, err := o.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		o.onReply()
	}
	return es, r, err
}

// applyRoots applies the roots that the watch delivers.
func (c *Config) applyRoots(ctx context.Context) {
	for {
		value, err := c.roots.Pop(ctx)
		if err != nil {
			return
		}
		for c.roots.Len() > 0 { // Only the last one matters.
			if value, err = c.roots.Pop(ctx); err != nil {
				return
			}
		}
		if err := c.apply(ctx, value); err != nil && ctx.Err() == nil {
			c.Log.Error().Err(err).Msg("can't apply published set")
			c.retryRoot(ctx, value)
		}
	}
}

// retryRoot queues a root again after a delay, unless another one is queued.
func (c *Config) retryRoot(ctx context.Context, value []byte) {
	sleep(ctx, queryInterval/2+rand.N(queryInterval))
	if c.roots.Len() == 0 {
		c.roots.Push(value)
	}
}

// followMembers fetches newer versions from the nodes that announce them.
func (c *Config) followMembers(ctx context.Context) {
	var waited time.Duration
	for ctx.Err() == nil {
		changed := c.Members.Changed()
		pause := c.pullNewer(ctx, waited)
		if pause == 0 {
			waited = 0
			wait(ctx, changed)
			continue
		}
		// The membership changes often while a version spreads: handle the
		// changes in batches.
		step := min(pause, queryInterval/4)
		sleep(ctx, step)
		waited += step
	}
}

// confirmLoop confirms that this node has the newest version, at the start and
// after each pause of the process.
func (c *Config) confirmLoop(ctx context.Context) {
	for ctx.Err() == nil {
		resumed := c.Members.Resumed()
		c.setConfirmed(false)
		start := c.Clock.Now()
		for ctx.Err() == nil && !c.confirmOnce(ctx, c.Clock.Now().Sub(start) > enoughRepliesWait) {
			sleep(ctx, queryInterval/2+rand.N(queryInterval))
		}
		c.setConfirmed(true)
		wait(ctx, resumed)
	}
}

// confirmOnce queries the store, and other nodes if the store fails, and applies
// the newest version. It reports whether the node may rely on its version: the
// store replied, or enough nodes did. See repliesSuffice for relaxed.
func (c *Config) confirmOnce(ctx context.Context, relaxed bool) bool {
	queryCtx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	if e, err := c.Store.Get(queryCtx, rootKey); err == nil {
		if e.Revision == 0 || c.apply(ctx, e.Value) == nil {
			c.storeReplied(true)
			return true
		}
	}
	replies, others := 0, 0
	self := c.Members.Self().Node
	ms := c.Members.Members()
	var best []byte
	newest := c.current.Load().version()
	for _, n := range rand.Perm(len(ms)) {
		m := ms[n]
		if m.Node == self {
			continue
		}
		others++
		if others > maxQueried {
			break
		}
		value, v, err := c.queryNewest(ctx, m, newest)
		if err != nil {
			continue
		}
		replies++
		if v > newest {
			best, newest = value, v
		}
	}
	if best != nil && c.apply(ctx, best) != nil {
		return false
	}
	return repliesSuffice(replies, others, relaxed)
}

// repliesSuffice reports whether replies from that many of the other nodes
// confirm the version. If relaxed is set, one reply suffices, or none if there
// are no other nodes.
func repliesSuffice(replies, others int, relaxed bool) bool {
	switch {
	case replies >= enoughReplies:
		return true
	case !relaxed:
		return false // More nodes may still be discovered.
	default:
		return replies > 0 || others == 0
	}
}

func wait(ctx context.Context, c <-chan struct{}) {
	select {
	case <-c:
	case <-ctx.Done():
	}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
