package tdclaim

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdring"
)

// maxTakeAttempts is how many times one call tries to write its claim.
const maxTakeAttempts = 3

// Deps holds the dependencies of Claims and Cleaner.
type Deps struct {
	Store   tarragondeal.Store
	Members tarragondeal.Members
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
	Scope   tally.Scope // May be nil.
}

// Config holds the limits of Claims.
type Config struct {
	// MaxRun is how long a request may run. After that, a repeat gets the answer that
	// the outcome is unknown, unless the answer was recorded.
	MaxRun time.Duration
	// MaxAnswer is the size of the largest answer that is recorded, in bytes.
	MaxAnswer int
	// Wait bounds the time one call spends on the store.
	Wait time.Duration
	// Pending is the maximum number of writes queued while the store is
	// unavailable.
	Pending int
}

// Claims implements [tarragondeal.Claims] on the store.
type Claims struct {
	Deps
	cfg     Config
	pending *tdring.Ring[endWrite]
	sleep   func(ctx context.Context, d time.Duration)
	newMark func() string
}

// New returns a Claims that keeps its records in d.Store.
func New(d Deps, cfg Config) *Claims {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	return &Claims{
		Deps: d, cfg: cfg, pending: tdring.New[endWrite](cfg.Pending),
		sleep: sleep, newMark: uuid.NewString,
	}
}

// Take claims the right to run a request. It repeats the same write until the
// outcome is certain: if a repeat finds the call's own mark in the store, the
// claim is held. The error is a *ClaimError if another call holds or held the
// claim, a *RefusedError if the key is invalid, a *StoreError if the outcome
// stays uncertain, or another error if the record can't be decoded. The request
// must not run after an error.
func (c *Claims) Take(ctx context.Context, k tarragondeal.ClaimKey, digest string) (tarragondeal.Claim, error) {
	if err := checkKey(k); err != nil {
		return tarragondeal.Claim{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Wait)
	defer cancel()
	t, err := c.newTakeCall(k, digest)
	if err != nil {
		return tarragondeal.Claim{}, err
	}
	for n := range maxTakeAttempts {
		if n > 0 {
			c.sleep(ctx, time.Duration(n)*takeBackoffStep)
		}
		var done bool
		if done, err = c.tryWrite(ctx, t); done {
			break
		}
	}
	c.countOutcome(err)
	if err == nil {
		return t.claim, nil
	}
	if t.unsettled {
		// The write may still take effect. The request does not run in this
		// call, so the claim is released once the store is available.
		c.enqueue(endWrite{claim: t.claim, target: t.withState(stateReleased), unconfirmed: true})
	}
	return tarragondeal.Claim{}, err
}

func (c *Claims) countOutcome(err error) {
	outcome := "storeAway"
	var taken *tarragondeal.ClaimError
	switch {
	case err == nil:
		outcome = "taken"
	case errors.As(err, &taken):
		outcome = string(taken.Reason)
	}
	c.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("asked").Inc(1)
}

// takeCall is the state of one call of Take.
type takeCall struct {
	claim     tarragondeal.Claim
	record    record
	value     []byte
	prev      tarragondeal.Revision // The revision that the next write expects.
	unsettled bool                  // A write may have taken effect or may still do so.
}

func (c *Claims) newTakeCall(k tarragondeal.ClaimKey, digest string) (*takeCall, error) {
	self := c.Members.Self()
	t := &takeCall{record: record{
		State: stateClaimed, Mark: c.newMark(), Digest: digest,
		Node: self.Node, Incarnation: self.Incarnation,
		At: c.Clock.Wall(), MaxRun: tarragondeal.Duration(c.cfg.MaxRun),
	}}
	t.claim = tarragondeal.Claim{Key: k, Mark: t.record.Mark, Digest: digest}
	var err error
	t.value, err = encode(t.record)
	return t, err
}

func (t *takeCall) withState(s state) record {
	r := t.record
	r.State = s
	return r
}

// tryWrite writes the record once. It returns true if no further attempt is
// needed; the claim is then held if the error is nil.
func (c *Claims) tryWrite(ctx context.Context, t *takeCall) (bool, error) {
	e, err := c.Store.Swap(ctx, storeKey(t.claim.Key), t.value, t.prev)
	if err == nil {
		t.claim.Revision = e.Revision
		return true, nil
	}
	var conflict *tarragondeal.ConflictError
	if !errors.As(err, &conflict) {
		t.unsettled = t.unsettled || !settled(err)
		return false, err
	}
	e, err = c.currentEntry(ctx, t.claim.Key, conflict.Current)
	if err != nil {
		return false, err
	}
	return c.resolve(t, e)
}

// resolve decides, after a conflict with the entry e, whether the claim is held,
// refused, or must be attempted again at the entry's revision. Its results are
// those of tryWrite.
func (c *Claims) resolve(t *takeCall, e tarragondeal.Entry) (bool, error) {
	t.prev = e.Revision
	if e.Revision == 0 {
		return false, lostError(t.claim.Key, "claim was deleted between two calls")
	}
	existing, err := decode(e.Value)
	if err != nil {
		return true, err
	}
	switch {
	case existing.Mark == t.record.Mark:
		t.claim.Revision, t.unsettled = e.Revision, false
		return true, nil
	case existing.State == stateReleased:
		return false, lostError(t.claim.Key, "claim was released by another call")
	}
	// The entry has another call's mark. No write of this call can take effect
	// any more, since each expects an earlier revision.
	t.unsettled = false
	return true, refusal(t.claim.Key, t.claim.Digest, existing, c.Clock.Wall(), c.holderAlive(existing))
}

// currentEntry returns the entry of a claim. It asks the store if the conflict
// did not include the entry.
func (c *Claims) currentEntry(ctx context.Context, k tarragondeal.ClaimKey, reported tarragondeal.Entry) (tarragondeal.Entry, error) {
	if reported.Revision != 0 && len(reported.Value) > 0 {
		return reported, nil
	}
	return c.Store.Get(ctx, storeKey(k))
}

// holderAlive reports whether the process that holds a claim may still be
// running.
func (c *Claims) holderAlive(r record) bool {
	for _, m := range c.Members.Members() {
		if m.Node == r.Node {
			return m.Incarnation == r.Incarnation && m.State != tarragondeal.MemberDead
		}
	}
	return false
}

// settled reports whether a failed call to the store certainly had no effect.
func settled(err error) bool {
	var s *tarragondeal.StoreError
	return errors.As(err, &s) && s.Settled
}

// lostError returns the error for a claim that changed between a write and the
// read after it. The write had no effect, so it may be repeated.
func lostError(k tarragondeal.ClaimKey, msg string) error {
	return &tarragondeal.StoreError{Op: "claim", Key: storeKey(k), Settled: true, Err: errors.New(msg)}
}
