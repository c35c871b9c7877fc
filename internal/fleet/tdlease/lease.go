package tdlease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

const (
	defaultTTL    = 10 * time.Second
	defaultMargin = 500 * time.Millisecond
	renewals      = 3 // In the time of a lease.
	candidates    = 3 // Nodes that wait for a lease closely.
	// othersWait is how many times longer the other nodes wait between
	// tries, so that a large fleet does not use up the store's rates.
	othersWait     = 30
	releaseTimeout = 2 * time.Second
	retryWait      = 100 * time.Millisecond
	// freedStep keeps the candidates for a lease that was freed apart: it is
	// longer than acquiring takes.
	freedStep = 150 * time.Millisecond
)

// Keys is the prefix of the keys in the store that name the holders of leases.
const Keys = "held/"

// Options are what leases work with.
type Options struct {
	TTL    time.Duration
	Margin time.Duration // Kept free before a lease's end.
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Leases holds leases for one process.
type Leases struct {
	store   tarragondeal.Store
	clock   tarragondeal.Clock
	members tarragondeal.Members
	holder  string
	opt     Options
	mu      sync.Mutex
	freed   map[string]chan struct{} // Of the leases that are waited for.
}

// New returns leases that the process of members' own node may hold.
func New(store tarragondeal.Store, clock tarragondeal.Clock, members tarragondeal.Members, opt Options) *Leases {
	if opt.TTL <= 0 {
		opt.TTL = defaultTTL
	}
	if opt.Margin <= 0 {
		opt.Margin = defaultMargin
	}
	if opt.Scope == nil {
		opt.Scope = tally.NoopScope
	}
	return &Leases{store: store, clock: clock, members: members, opt: opt, holder: Holder(members.Self()), freed: make(map[string]chan struct{})}
}

// Holder returns the name under which a node's process holds leases: the
// node and the incarnation with which the process began.
func Holder(m tarragondeal.Member) string {
	return fmt.Sprintf("%s/%d", m.Node, m.Incarnation)
}

// Freed tells that a lease has ended in the store. A process that waits for it
// need not wait longer.
func (l *Leases) Freed(name string) {
	select {
	case l.freedOf(name) <- struct{}{}:
	default: // It has been told already.
	}
}

func (l *Leases) freedOf(name string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.freed[name] == nil {
		l.freed[name] = make(chan struct{}, 1)
	}
	return l.freed[name]
}

// Hold waits for a lease, runs duty while it is held, and starts over when
// it was lost. It returns when ctx ends.
func (l *Leases) Hold(ctx context.Context, name string, duty func(ctx context.Context, h tarragondeal.Held) error) error {
	for ctx.Err() == nil {
		t, err := l.begin(ctx, name)
		if err != nil {
			l.pause(ctx, name, l.wait(name, err))
			continue
		}
		l.opt.Log.Info().Str("lease", name).Uint64("fence", t.Fence()).Strs("predecessors", t.predecessors).Msg("lease acquired")
		l.serve(ctx, t, duty)
		sleep(ctx, jitter(retryWait))
	}
	return nil
}

// pause waits before the next try, or until the lease is freed. Those that wait
// closely then try one after the other.
func (l *Leases) pause(ctx context.Context, name string, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-l.freedOf(name):
		sleep(ctx, freedStep*time.Duration(min(rank(name, l.members), candidates)))
	}
}

// wait returns how long to wait before the next try. A lost answer is
// settled soon, by asking again as the same holder.
func (l *Leases) wait(name string, err error) time.Duration {
	var conflict *tarragondeal.ConflictError
	if !errors.As(err, &conflict) {
		l.opt.Log.Debug().Err(err).Str("lease", name).Msg("can't acquire")
		return jitter(l.opt.TTL / renewals)
	}
	wait := l.opt.TTL / 2
	if rank(name, l.members) >= candidates {
		wait *= othersWait
	}
	return wait/2 + jitter(wait)
}

// rank returns the place of this node among those that wait for a lease.
func rank(name string, members tarragondeal.Members) int {
	self := members.Self().Node
	score := func(n tarragondeal.NodeID) uint64 { return xxhash.Sum64String(name + "\x00" + string(n)) }
	own, place := score(self), 0
	for _, m := range members.Members() {
		if m.State == tarragondeal.MemberAlive && m.Node != self && score(m.Node) > own {
			place++
		}
	}
	return place
}

// record stands beside a lease and tells the next holder who had it.
type record struct {
	Holder string `json:"holder"` // Empty after a holder that stopped in order.
	Fence  uint64 `json:"fence"`
	// Predecessors are holders before this one, oldest first, of whom this
	// one has not made sure that they no longer act: it has not acted itself.
	Predecessors []string `json:"predecessors,omitempty"`
}

// maxPredecessors bounds how many holders in a row that never acted are
// remembered.
const maxPredecessors = 8

func recordKey(name string) string { return "lease/" + name + "/holder" }

// begin acquires a lease and puts this process on record as its holder. The
// lease is held only when both were answered.
func (l *Leases) begin(ctx context.Context, name string) (*term, error) {
	lease, err := l.store.Acquire(ctx, name, l.holder, l.opt.TTL)
	if err != nil {
		return nil, err
	}
	t := &term{clock: l.clock, margin: l.opt.Margin, lease: lease}
	if t.predecessors, err = l.enter(ctx, t); err != nil {
		return nil, err
	}
	return t, t.check(0)
}

// enter swaps the record beside the lease and returns the holders before.
func (l *Leases) enter(ctx context.Context, t *term) ([]string, error) {
	key := recordKey(t.lease.Name)
	e, last, err := l.read(ctx, key)
	if err != nil {
		return nil, err
	}
	if last.Fence > t.lease.Fence {
		return nil, &tarragondeal.ConflictError{Op: "acquire", Key: t.lease.Name, Current: e, Holder: last.Holder}
	}
	if last.Holder == l.holder && last.Fence == t.lease.Fence {
		return last.Predecessors, nil
	}
	next := record{Holder: l.holder, Fence: t.lease.Fence, Predecessors: successors(last, l.holder)}
	return next.Predecessors, l.write(ctx, key, next, e.Revision)
}

// successors returns the predecessors of a holder that follows a record. A
// process's own duty has ended when the process acquires again.
func successors(last record, holder string) []string {
	out := slices.Clone(last.Predecessors)
	if last.Holder != "" {
		out = append(out, last.Holder)
	}
	out = slices.DeleteFunc(out, func(h string) bool { return h == holder })
	return out[max(0, len(out)-maxPredecessors):]
}

// settle drops the predecessors from the record once this holder has acted.
func (l *Leases) settle(ctx context.Context, t *term) error {
	key := recordKey(t.now().Name)
	e, last, err := l.read(ctx, key)
	if err != nil {
		return err
	}
	if last.Holder != l.holder || last.Fence != t.Fence() {
		return &tarragondeal.ConflictError{Op: "settle", Key: t.now().Name, Current: e, Holder: last.Holder}
	}
	return l.write(ctx, key, record{Holder: l.holder, Fence: last.Fence}, e.Revision)
}

func (l *Leases) read(ctx context.Context, key string) (tarragondeal.Entry, record, error) {
	var r record
	e, err := l.store.Get(ctx, key)
	if err != nil || len(e.Value) == 0 {
		return e, r, err
	}
	return e, r, eris.Wrapf(json.Unmarshal(e.Value, &r), "%s", key)
}

func (l *Leases) write(ctx context.Context, key string, r record, prev tarragondeal.Revision) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = l.store.Swap(ctx, key, value, prev)
	return err
}

// serve runs duty until it ends, the lease is lost, or ctx ends.
func (l *Leases) serve(ctx context.Context, t *term, duty func(context.Context, tarragondeal.Held) error) {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	wg.Go(func() {
		defer cancel()
		l.keep(inner, t)
	})
	err := duty(inner, t)
	held := t.check(0) == nil
	t.end()
	cancel()
	wg.Wait()
	log := l.opt.Log.Info()
	if err != nil && ctx.Err() == nil {
		log = l.opt.Log.Warn().Err(err)
	}
	log.Str("lease", t.lease.Name).Bool("held", held).Msg("duty under a lease ended")
	if held {
		l.release(ctx, t)
	}
}

// keep renews a lease until it is lost or ctx ends.
func (l *Leases) keep(ctx context.Context, t *term) {
	wait := l.opt.TTL / renewals
	for {
		sleep(ctx, min(wait, t.left()))
		if ctx.Err() != nil || t.left() <= 0 {
			return
		}
		l.settleIfActed(ctx, t)
		next, err := l.renew(ctx, t)
		var conflict *tarragondeal.ConflictError
		switch {
		case err == nil:
			t.extend(next)
			wait = l.opt.TTL / renewals
		case errors.As(err, &conflict):
			t.end()
			l.opt.Scope.Counter("lost").Inc(1)
			return
		default:
			// The answer may be lost; renewing again settles it, and until
			// then the lease ends when it would have without.
			wait = jitter(l.opt.TTL / renewals / 2)
		}
	}
}

func (l *Leases) settleIfActed(ctx context.Context, t *term) {
	if t.settled || len(t.predecessors) == 0 || !t.acted.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.left())
	defer cancel()
	t.settled = l.settle(ctx, t) == nil
}

func (l *Leases) renew(ctx context.Context, t *term) (tarragondeal.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, t.left())
	defer cancel()
	return l.store.Renew(ctx, t.now(), l.opt.TTL)
}

// release gives a lease up in order, so that the next holder need not wait.
func (l *Leases) release(ctx context.Context, t *term) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	lease := t.now()
	key := recordKey(lease.Name)
	e, last, err := l.read(ctx, key)
	if err == nil && last.Holder == l.holder && last.Fence == lease.Fence {
		next := record{Fence: lease.Fence}
		if !t.acted.Load() {
			next.Predecessors = t.predecessors
		}
		err = l.write(ctx, key, next, e.Revision)
	}
	if err == nil {
		err = l.store.Release(ctx, lease)
	}
	if err != nil {
		l.opt.Log.Warn().Err(err).Str("lease", lease.Name).Msg("can't release")
	}
}

func jitter(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
