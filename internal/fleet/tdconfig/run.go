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
	watchWait  = 20 * time.Second       // At most.
	askWait    = 200 * time.Millisecond // Between two rounds of asking around.
	askPatient = 3 * time.Second        // For enough answers, before fewer do.
)

// Run follows the published set until ctx ends.
func (c *Config) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	wg.Go(func() { c.watchStore(ctx) })
	wg.Go(func() { c.takeRoots(ctx) })
	wg.Go(func() { c.followMembers(ctx) })
	c.askAround(ctx)
	wg.Wait()
	return nil
}

// watchStore watches the root whenever this node is one of those that do.
func (c *Config) watchStore(ctx context.Context) {
	for ctx.Err() == nil {
		changed := c.Members.Changed()
		if !c.watcher() {
			wait(ctx, changed)
			continue
		}
		c.watchWhile(ctx)
	}
}

// watchWhile watches the root until this node should no longer.
func (c *Config) watchWhile(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	var wg conc.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() {
		tdstore.Follow(ctx, &observed{Store: c.Store, answered: func() { c.reached(false) }}, rootKey, min(watchWait, c.StaleMax/3),
			func(e tarragondeal.Entry) {
				if e.Key == rootKey && !e.Deleted {
					_ = c.rootsC.Send(ctx, e.Value)
				}
			},
			func(err error) { c.Log.Debug().Err(err).Msg("can't watch the store") })
	})
	for ctx.Err() == nil {
		changed := c.Members.Changed()
		if !c.watcher() {
			return
		}
		wait(ctx, changed)
	}
}

// observed is a store that tells when it answered a watch.
type observed struct {
	tarragondeal.Store
	answered func()
}

// Watch waits for changes under prefix.
func (o *observed) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	es, r, err := o.Store.Watch(ctx, prefix, after, wait)
	if err == nil {
		o.answered()
	}
	return es, r, err
}

// takeRoots brings roots that were heard of into force.
func (c *Config) takeRoots(ctx context.Context) {
	for {
		value, err := c.rootsC.Pop(ctx)
		if err != nil {
			return
		}
		for c.rootsC.Len() > 0 { // Only the newest matters.
			if value, err = c.rootsC.Pop(ctx); err != nil {
				return
			}
		}
		if err := c.take(ctx, value); err != nil && ctx.Err() == nil {
			c.Log.Error().Err(err).Msg("can't take a published set")
			c.again(ctx, value)
		}
	}
}

// again hands a root back after a while, unless a newer one is there.
func (c *Config) again(ctx context.Context, value []byte) {
	sleep(ctx, askWait/2+rand.N(askWait))
	if c.rootsC.Len() == 0 {
		c.rootsC.Push(value)
	}
}

// followMembers pulls versions that other nodes have.
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
		// Changes are many while a version spreads: look at them together.
		step := min(pause, askWait/4)
		sleep(ctx, step)
		waited += step
	}
}

// askAround asks the store and several nodes for the newest version, at the
// start and after each pause of the process.
func (c *Config) askAround(ctx context.Context) {
	for ctx.Err() == nil {
		resumed := c.Members.Resumed()
		c.confirm(false)
		began := c.Clock.Now()
		for ctx.Err() == nil && !c.ask(ctx, c.Clock.Now().Sub(began) > askPatient) {
			sleep(ctx, askWait/2+rand.N(askWait))
		}
		c.confirm(true)
		wait(ctx, resumed)
	}
}

// ask makes one round. It reports whether the node may rely on what it has:
// the store answered, or enough others did, or all there are.
func (c *Config) ask(ctx context.Context, patient bool) bool {
	short, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if e, err := c.Store.Get(short, rootKey); err == nil {
		if e.Revision == 0 || c.take(ctx, e.Value) == nil {
			c.reached(true)
			return true
		}
	}
	answers, others := 0, 0
	self := c.Members.Self().Node
	ms := c.Members.Members()
	var best []byte
	top := c.now.Load().version()
	for _, n := range rand.Perm(len(ms)) {
		m := ms[n]
		if m.Node == self {
			continue
		}
		others++
		if others > asked {
			break
		}
		value, v, err := c.newest(ctx, m, top)
		if err != nil {
			continue
		}
		answers++
		if v > top {
			best, top = value, v
		}
	}
	if best != nil && c.take(ctx, best) != nil {
		return false
	}
	return enough(answers, others, patient)
}

// enough decides whether answers of that many others will do.
func enough(answers, others int, patient bool) bool {
	switch {
	case answers >= askedEnough:
		return true
	case !patient:
		return false // Others may join yet.
	default:
		return answers > 0 || others == 0
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
