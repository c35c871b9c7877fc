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
	defaultTTL     = 10 * time.Second
	defaultMargin  = 500 * time.Millisecond
	renewalsPerTTL = 3
	maxCandidates  = 3 // Nodes that retry at the short interval.
	// nonCandidateFactor is how many times longer the other nodes wait between
	// attempts, so that a large fleet stays within the store's rate limits.
	nonCandidateFactor = 30
	releaseTimeout     = 2 * time.Second
	reacquireDelay     = 100 * time.Millisecond
	// availableStagger is the interval between the attempts of the candidates
	// when a lease becomes available. It is longer than an acquisition takes.
	availableStagger = 150 * time.Millisecond
)

// KeyPrefix is the prefix of the store keys that name the holders of leases.
const KeyPrefix = "held/"

// Options configures Leases. Zero fields get defaults.
type Options struct {
	TTL    time.Duration
	Margin time.Duration // Safety margin before the expiry of a lease.
	// Fences assigns fencing tokens. Nil means that they are those of the store, which then
	// must never go back.
	Fences *Fences
	Log    zerolog.Logger
	Scope  tally.Scope
}

// Leases acquires and renews leases for one process.
type Leases struct {
	store     tarragondeal.Store
	clock     tarragondeal.Clock
	members   tarragondeal.Members
	holder    string
	opt       Options
	mu        sync.Mutex
	available map[string]chan struct{} // By lease name.
	terms     map[string]*term         // The current ones, by lease name.
}

// New returns Leases whose holder is the process of members.Self().
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
	l := &Leases{
		store: store, clock: clock, members: members, opt: opt, holder: Holder(members.Self()),
		available: make(map[string]chan struct{}), terms: make(map[string]*term),
	}
	if opt.Fences != nil {
		opt.Fences.eras.Subscribe(l.endTerms)
	}
	return l
}

// endTerms ends the terms of this process when an era begins: the store may have forgotten its
// leases, and given their ids to others.
func (l *Leases) endTerms(era tarragondeal.Era) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, t := range l.terms {
		l.opt.Log.Info().Str("lease", name).Uint64("fence", t.Fence()).Uint64("era", uint64(era)).Msg("lease lost: the store came back from an earlier copy")
		t.end()
	}
}

// Observe ends this process's term of a lease if a later entry of its key names another holder,
// or the key was deleted. Renewals may go on to succeed, since the store can give the id of a
// lease again.
func (l *Leases) Observe(name string, e tarragondeal.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.terms[name]
	if t == nil || uint64(e.Revision) <= t.current().Fence || !e.Deleted && string(e.Value) == l.holder {
		return
	}
	l.opt.Log.Info().Str("lease", name).Uint64("fence", t.Fence()).Uint64("revision", uint64(e.Revision)).
		Str("holder", string(e.Value)).Msg("lease lost: the store names another holder")
	t.end()
}

// Holder returns the name under which the process of m holds leases. It
// consists of the node's name and the incarnation of the process.
func Holder(m tarragondeal.Member) string {
	return fmt.Sprintf("%s/%d", m.Node, m.Incarnation)
}

// NotifyAvailable reports that a lease was released or has expired in the
// store. A pending Hold for it retries without waiting for its timer.
func (l *Leases) NotifyAvailable(name string) {
	select {
	case l.availableChan(name) <- struct{}{}:
	default: // A notification is pending already.
	}
}

func (l *Leases) availableChan(name string) chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.available[name] == nil {
		l.available[name] = make(chan struct{}, 1)
	}
	return l.available[name]
}

// Hold acquires a lease, runs duty while it is held, and starts over when the
// duty ends or the lease is lost. It returns nil when ctx ends.
func (l *Leases) Hold(ctx context.Context, name string, duty func(ctx context.Context, h tarragondeal.Held) error) error {
	for ctx.Err() == nil {
		t, err := l.acquire(ctx, name)
		if err != nil {
			l.waitForRetry(ctx, name, l.retryDelay(name, err))
			continue
		}
		l.opt.Log.Info().Str("lease", name).Uint64("fence", t.Fence()).Uint64("before", t.fenceBefore).
			Uint64("era", uint64(l.era())).Uint64("revision", t.current().Fence).Strs("predecessors", t.predecessors).Msg("lease acquired")
		l.runDuty(ctx, t, duty)
		sleep(ctx, jitter(reacquireDelay))
	}
	return nil
}

// waitForRetry waits for d or until the lease becomes available. In the latter
// case the candidates retry one after another, in the order of their rank.
func (l *Leases) waitForRetry(ctx context.Context, name string, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	case <-l.availableChan(name):
		sleep(ctx, availableStagger*time.Duration(min(rank(name, l.members), maxCandidates)))
	}
}

// retryDelay returns the delay before the next attempt. After a call without a
// reply the delay is short: acquiring again as the same holder is safe and
// shows whether the first call took effect.
func (l *Leases) retryDelay(name string, err error) time.Duration {
	var conflict *tarragondeal.ConflictError
	if !errors.As(err, &conflict) {
		l.opt.Log.Debug().Err(err).Str("lease", name).Msg("can't acquire lease")
		return jitter(l.opt.TTL / renewalsPerTTL)
	}
	wait := l.opt.TTL / 2
	if rank(name, l.members) >= maxCandidates {
		wait *= nonCandidateFactor
	}
	return wait/2 + jitter(wait)
}

// rank returns the position of this node among the live nodes, in the order
// of a hash of lease name and node.
func rank(name string, members tarragondeal.Members) int {
	self := members.Self().Node
	score := func(n tarragondeal.NodeID) uint64 { return xxhash.Sum64String(name + "\x00" + string(n)) }
	own, rank := score(self), 0
	for _, m := range members.Members() {
		if m.State == tarragondeal.MemberAlive && m.Node != self && score(m.Node) > own {
			rank++
		}
	}
	return rank
}

// record is stored next to a lease and tells the next holder who held it
// before.
type record struct {
	Holder string `json:"holder"` // Empty after an orderly release.
	Fence  uint64 `json:"fence"`
	// Predecessors are earlier holders, oldest first, that may still be acting
	// because this holder has not acted (no Check has succeeded) and so has not
	// ruled that out.
	Predecessors []string `json:"predecessors,omitempty"`
	// Era and Revision are those at which the holder was written, if Fence is not the
	// revision.
	Era      tarragondeal.Era `json:"era,omitempty"`
	Revision uint64           `json:"revision,omitempty"`
}

// acquisition returns that of the holder in the record.
func (r *record) acquisition() acquisition {
	if r.Revision == 0 {
		return acquisition{era: r.Era, rev: r.Fence}
	}
	return acquisition{era: r.Era, rev: r.Revision}
}

// maxPredecessors is the maximum number of predecessors in a record. The list
// grows by one with each holder in a row that never acted.
const maxPredecessors = 8

func recordKey(name string) string { return "lease/" + name + "/holder" }

// acquire acquires a lease and registers this process as its holder. The lease
// is held only if both calls got a reply, before it would have expired.
func (l *Leases) acquire(ctx context.Context, name string) (*term, error) {
	ctx, cancel := context.WithTimeout(ctx, l.opt.TTL)
	defer cancel()
	era := l.era()
	lease, err := l.store.Acquire(ctx, name, l.holder, l.opt.TTL)
	if err != nil {
		return nil, err
	}
	t := &term{clock: l.clock, margin: l.opt.Margin, lease: lease, era: era}
	if t.predecessors, err = l.registerHolder(ctx, t); err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.era() != era {
		return nil, &tarragondeal.EraError{Op: "acquire", Key: name, Reported: tarragondeal.Revision(lease.Fence), Known: tarragondeal.Position{Era: era}}
	}
	if err := t.check(0); err != nil {
		return nil, err
	}
	l.terms[name] = t
	return t, nil
}

// registerHolder replaces the record next to the lease and returns the
// predecessors.
func (l *Leases) registerHolder(ctx context.Context, t *term) ([]string, error) {
	key := recordKey(t.lease.Name)
	e, last, err := l.readRecord(ctx, key)
	if err != nil {
		return nil, err
	}
	own, before := acquisition{era: t.era, rev: t.lease.Fence}, last.acquisition()
	if before.era == own.era && before.rev > own.rev {
		return nil, &tarragondeal.ConflictError{Op: "acquire", Key: t.lease.Name, Current: e, Holder: last.Holder}
	}
	t.fenceBefore = last.Fence
	if last.Holder == l.holder && before == own && l.isHighest(last.Fence) {
		t.fence = last.Fence
		return last.Predecessors, nil
	}
	t.fence = l.nextFence(last.Fence, t.lease.Fence)
	next := record{Holder: l.holder, Fence: t.fence, Predecessors: nextPredecessors(last, l.holder)}
	if t.fence != t.lease.Fence {
		next.Era, next.Revision = t.era, t.lease.Fence
	}
	if err := l.writeRecord(ctx, key, next, e.Revision); err != nil {
		return nil, err
	}
	if l.opt.Fences != nil {
		l.opt.Fences.setRecorded()
	}
	return next.Predecessors, nil
}

// isHighest reports whether no token above the given one is known.
func (l *Leases) isHighest(token uint64) bool {
	return l.opt.Fences == nil || l.opt.Fences.Highest() <= token
}

// nextFence returns the token of a holder that was written at a revision, after a holder with
// the token before.
func (l *Leases) nextFence(before, rev uint64) uint64 {
	if l.opt.Fences == nil {
		return rev
	}
	l.opt.Fences.Raise(before)
	return l.opt.Fences.next(rev)
}

// nextPredecessors returns the predecessors of the holder that replaces last.
// It leaves out the holder itself: a process acquires again only after its own
// duty has ended.
func nextPredecessors(last record, holder string) []string {
	out := slices.Clone(last.Predecessors)
	if last.Holder != "" {
		out = append(out, last.Holder)
	}
	out = slices.DeleteFunc(out, func(h string) bool { return h == holder })
	return out[max(0, len(out)-maxPredecessors):]
}

// clearPredecessors removes the predecessors from the record once this holder
// has acted.
func (l *Leases) clearPredecessors(ctx context.Context, t *term) error {
	key := recordKey(t.current().Name)
	e, last, err := l.readRecord(ctx, key)
	if err != nil {
		return err
	}
	if last.Holder != l.holder || last.Fence != t.Fence() {
		return &tarragondeal.ConflictError{Op: "clear predecessors", Key: t.current().Name, Current: e, Holder: last.Holder}
	}
	last.Predecessors = nil
	return l.writeRecord(ctx, key, last, e.Revision)
}

func (l *Leases) readRecord(ctx context.Context, key string) (tarragondeal.Entry, record, error) {
	var r record
	e, err := l.store.Get(ctx, key)
	if err != nil || len(e.Value) == 0 {
		return e, r, err
	}
	return e, r, eris.Wrapf(json.Unmarshal(e.Value, &r), "%s", key)
}

func (l *Leases) writeRecord(ctx context.Context, key string, r record, prev tarragondeal.Revision) error {
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = l.store.Swap(ctx, key, value, prev)
	return err
}

// runDuty runs duty until it returns, the lease is lost or ctx ends. It then
// releases the lease if it is still held.
func (l *Leases) runDuty(ctx context.Context, t *term, duty func(context.Context, tarragondeal.Held) error) {
	inner, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := t.onEnd(cancel)
	var wg conc.WaitGroup
	wg.Go(func() {
		defer cancel()
		l.renewUntilLost(inner, t)
	})
	err := duty(inner, t)
	held := t.check(0) == nil
	l.mu.Lock()
	delete(l.terms, t.lease.Name)
	l.mu.Unlock()
	stop()
	t.end()
	cancel()
	wg.Wait()
	log := l.opt.Log.Info()
	if err != nil && ctx.Err() == nil {
		log = l.opt.Log.Warn().Err(err)
	}
	log.Str("lease", t.lease.Name).Bool("held", held).Msg("duty ended")
	if held {
		l.release(ctx, t)
	}
}

// renewUntilLost renews a lease until it is lost or ctx ends.
func (l *Leases) renewUntilLost(ctx context.Context, t *term) {
	wait := l.opt.TTL / renewalsPerTTL
	for {
		sleep(ctx, min(wait, t.usable()))
		if ctx.Err() != nil || t.usable() <= 0 {
			return
		}
		l.clearPredecessorsIfActed(ctx, t)
		next, err := l.renew(ctx, t)
		var conflict *tarragondeal.ConflictError
		switch {
		case err == nil:
			t.setLease(next)
			wait = l.opt.TTL / renewalsPerTTL
		case errors.As(err, &conflict):
			t.end()
			l.opt.Scope.Counter("lost").Inc(1)
			return
		default:
			// The reply may have been lost. The known expiry stays in force
			// until another renewal gets a reply.
			wait = jitter(l.opt.TTL / renewalsPerTTL / 2)
		}
	}
}

func (l *Leases) clearPredecessorsIfActed(ctx context.Context, t *term) {
	if t.cleared || len(t.predecessors) == 0 || !t.acted.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, t.usable())
	defer cancel()
	t.cleared = l.clearPredecessors(ctx, t) == nil
}

func (l *Leases) renew(ctx context.Context, t *term) (tarragondeal.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, t.usable())
	defer cancel()
	return l.store.Renew(ctx, t.current(), l.opt.TTL)
}

// release releases a lease, so that the next holder need not wait for its
// expiry. The record then names no holder, and keeps the predecessors only if
// this holder has not acted.
func (l *Leases) release(ctx context.Context, t *term) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	lease := t.current()
	key := recordKey(lease.Name)
	e, last, err := l.readRecord(ctx, key)
	if err == nil && (last.Holder != l.holder || last.Fence != t.Fence()) {
		// The id may be that of another holder's lease by now.
		l.opt.Log.Info().Str("lease", lease.Name).Str("holder", last.Holder).Msg("lease not released: another holder is on record")
		return
	}
	if err == nil {
		next := last
		next.Holder, next.Predecessors = "", nil
		if !t.acted.Load() {
			next.Predecessors = t.predecessors
		}
		err = l.writeRecord(ctx, key, next, e.Revision)
	}
	if err == nil {
		err = l.store.Release(ctx, lease)
	}
	if err != nil {
		l.opt.Log.Warn().Err(err).Str("lease", lease.Name).Msg("can't release lease")
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
