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

// takeTries is how often one call writes its claim before it gives up.
const takeTries = 3

// Deps are what claims work with.
type Deps struct {
	Store   tarragondeal.Store
	Members tarragondeal.Members
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
	Scope   tally.Scope // Nil for no metrics.
}

// Config bounds claims.
type Config struct {
	// MaxRun is how long a request may run. Later its outcome is unknown to
	// callers that repeat it, unless the answer was recorded.
	MaxRun time.Duration
	// MaxAnswer is the largest answer that is kept, in bytes.
	MaxAnswer int
	// Wait bounds the store's part of one call.
	Wait time.Duration
	// Pending bounds the writes that wait for the store to come back.
	Pending int
}

// Claims takes claims in the store.
type Claims struct {
	Deps
	cfg     Config
	pending *tdring.Ring[job]
	sleep   func(ctx context.Context, d time.Duration)
	newMark func() string
}

// New returns claims kept in the store.
func New(d Deps, cfg Config) *Claims {
	if d.Scope == nil {
		d.Scope = tally.NoopScope
	}
	return &Claims{
		Deps: d, cfg: cfg, pending: tdring.New[job](cfg.Pending),
		sleep: sleep, newMark: uuid.NewString,
	}
}

// Take claims the right to run. It writes the same record until the store's
// answer is certain: a repeat of the write that finds its own mark has it.
func (c *Claims) Take(ctx context.Context, k tarragondeal.ClaimKey, digest string) (tarragondeal.Claim, error) {
	if err := checkKey(k); err != nil {
		return tarragondeal.Claim{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.cfg.Wait)
	defer cancel()
	t, err := c.newTaking(k, digest)
	if err != nil {
		return tarragondeal.Claim{}, err
	}
	for n := range takeTries {
		if n > 0 {
			c.sleep(ctx, time.Duration(n)*retryStep)
		}
		var done bool
		if done, err = c.try(ctx, t); done {
			break
		}
	}
	c.count(err)
	if err == nil {
		return t.claim, nil
	}
	if t.unsettled {
		// The write may still take effect. Nothing will run on its account,
		// so the claim is given back when the store can be reached.
		c.later(job{claim: t.claim, target: t.with(stateReleased), taking: true})
	}
	return tarragondeal.Claim{}, err
}

func (c *Claims) count(err error) {
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

// taking is one call's attempt to get a claim.
type taking struct {
	claim     tarragondeal.Claim
	record    record
	value     []byte
	prev      tarragondeal.Revision
	unsettled bool // A write of the record may have taken effect.
}

func (c *Claims) newTaking(k tarragondeal.ClaimKey, digest string) (*taking, error) {
	self := c.Members.Self()
	t := &taking{record: record{
		State: stateClaimed, Mark: c.newMark(), Digest: digest,
		Node: self.Node, Incarnation: self.Incarnation,
		At: c.Clock.Wall(), MaxRun: tarragondeal.Duration(c.cfg.MaxRun),
	}}
	t.claim = tarragondeal.Claim{Key: k, Mark: t.record.Mark, Digest: digest}
	var err error
	t.value, err = encode(t.record)
	return t, err
}

func (t *taking) with(s state) record {
	r := t.record
	r.State = s
	return r
}

// try writes the record once. It reports true when no further try makes
// sense; the claim is held if the error is nil then.
func (c *Claims) try(ctx context.Context, t *taking) (bool, error) {
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
	e, err = c.current(ctx, t.claim.Key, conflict.Current)
	if err != nil {
		return false, err
	}
	return c.found(t, e)
}

// found judges what stands in the place of the claim.
func (c *Claims) found(t *taking, e tarragondeal.Entry) (bool, error) {
	t.prev = e.Revision
	if e.Revision == 0 {
		return false, lost(t.claim.Key, "claim vanished between two calls")
	}
	there, err := decode(e.Value)
	if err != nil {
		return true, err
	}
	switch {
	case there.Mark == t.record.Mark:
		t.claim.Revision, t.unsettled = e.Revision, false
		return true, nil
	case there.State == stateReleased:
		return false, lost(t.claim.Key, "claim was given back meanwhile")
	}
	// Another call's mark stands there, and no write of this call can take
	// effect any more: each asked for a revision that is past.
	t.unsettled = false
	return true, refusal(t.claim.Key, t.claim.Digest, there, c.Clock.Wall(), c.lives(there))
}

// current returns what stands at the key. A conflict need not tell.
func (c *Claims) current(ctx context.Context, k tarragondeal.ClaimKey, told tarragondeal.Entry) (tarragondeal.Entry, error) {
	if told.Revision != 0 && len(told.Value) > 0 {
		return told, nil
	}
	return c.Store.Get(ctx, storeKey(k))
}

// lives reports whether the process that holds a claim may still run.
func (c *Claims) lives(r record) bool {
	for _, m := range c.Members.Members() {
		if m.Node == r.Node {
			return m.Incarnation == r.Incarnation && m.State != tarragondeal.MemberDead
		}
	}
	return false
}

// settled reports whether a failed call certainly had no effect.
func settled(err error) bool {
	var s *tarragondeal.StoreError
	return errors.As(err, &s) && s.Settled
}

func lost(k tarragondeal.ClaimKey, what string) error {
	return &tarragondeal.StoreError{Op: "claim", Key: storeKey(k), Settled: true, Err: errors.New(what)}
}
