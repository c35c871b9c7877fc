package tdclaim

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// The waits between tries.
const (
	retryStep = 25 * time.Millisecond
	retryMin  = 200 * time.Millisecond
	retryMax  = 10 * time.Second
)

// job is the write that ends a claim.
type job struct {
	claim  tarragondeal.Claim
	target record
	// taking says that the claim was never surely taken, so it may be absent.
	taking bool
}

// Finish records the answer. When the store is away, the answer waits in
// memory, bounded, and is recorded later; until then, and for good if this
// VM dies first, a repeat of the request is told that its outcome is unknown.
func (c *Claims) Finish(ctx context.Context, cl tarragondeal.Claim, r tarragondeal.Recorded) error {
	if len(r.Body) > c.cfg.MaxAnswer {
		r.Body, r.Omitted = nil, true
	}
	return c.end(ctx, cl, stateFinished, &r)
}

// Abandon gives back a claim whose request has certainly not run. The claim
// stays taken until the store has confirmed that it is free.
func (c *Claims) Abandon(ctx context.Context, cl tarragondeal.Claim) error {
	return c.end(ctx, cl, stateReleased, nil)
}

func (c *Claims) end(ctx context.Context, cl tarragondeal.Claim, s state, answer *tarragondeal.Recorded) error {
	self := c.Members.Self()
	j := job{claim: cl, target: record{
		State: s, Mark: cl.Mark, Digest: cl.Digest, Node: self.Node, Incarnation: self.Incarnation,
		At: c.Clock.Wall(), MaxRun: tarragondeal.Duration(c.cfg.MaxRun), Answer: answer,
	}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Wait)
	defer cancel()
	if done, err := c.write(ctx, &j); done {
		return err
	}
	if !c.later(j) {
		return eris.Errorf("claim stays open: %d writes wait for the store", c.pending.Len())
	}
	return nil
}

// later keeps a job for when the store can be reached.
func (c *Claims) later(j job) bool {
	if c.pending.Push(j) {
		c.Scope.Gauge("waiting").Update(float64(c.pending.Len()))
		return true
	}
	c.Log.Error().Str("state", string(j.target.State)).Msg("too many claims wait for the store")
	return false
}

// write tries a job once. It reports true when the job needs no further try.
func (c *Claims) write(ctx context.Context, j *job) (bool, error) {
	value, err := encode(j.target)
	if err != nil {
		return true, err
	}
	_, err = c.Store.Swap(ctx, storeKey(j.claim.Key), value, j.claim.Revision)
	if err == nil {
		return true, nil
	}
	var conflict *tarragondeal.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	e, err := c.current(ctx, j.claim.Key, conflict.Current)
	if err != nil {
		return false, err
	}
	return j.found(e)
}

// found judges what stands in the place of a claim that is to end.
func (j *job) found(e tarragondeal.Entry) (bool, error) {
	if e.Revision == 0 {
		j.claim.Revision = 0
		if j.taking {
			return false, nil
		}
		return true, eris.New("claim is gone: it was past its retention")
	}
	there, err := decode(e.Value)
	if err != nil {
		return true, err
	}
	switch {
	case there.Mark == j.claim.Mark && there.State == j.target.State:
		return true, nil
	case there.Mark == j.claim.Mark && there.State == stateClaimed,
		// The taking may still be on its way to this revision: it must go.
		j.taking && there.State == stateReleased:
		j.claim.Revision = e.Revision
		return false, nil
	case j.taking:
		return true, nil // The claim never was this call's.
	default:
		return true, eris.Errorf("claim is %s by another call", there.State)
	}
}

// Run ends claims that could not be ended at once, until the context ends.
// Then it tries each that is left once more.
func (c *Claims) Run(ctx context.Context) error {
	for {
		j, err := c.pending.Pop(ctx)
		if err != nil {
			break // The node stops.
		}
		if !c.retry(ctx, &j) {
			c.later(j)
			break
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Wait)
	defer cancel()
	for range c.pending.Len() {
		j, err := c.pending.Pop(last)
		if err != nil {
			break
		}
		if done, err := c.write(last, &j); !done {
			c.Log.Warn().Err(err).Msg("claim stays open")
		}
	}
	return nil
}

// retry tries a job until it is done. It reports false when the context ended
// first.
func (c *Claims) retry(ctx context.Context, j *job) bool {
	wait := retryMin
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, c.cfg.Wait)
		done, err := c.write(call, j)
		cancel()
		if done {
			if err != nil {
				c.Log.Warn().Err(err).Msg("can't end a claim")
			}
			return true
		}
		c.sleep(ctx, rand.N(wait))
		wait = min(2*wait, retryMax)
	}
	return false
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
