package tdclaim

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// Waits between attempts to write.
const (
	takeBackoffStep = 25 * time.Millisecond
	minEndBackoff   = 200 * time.Millisecond
	maxEndBackoff   = 10 * time.Second
)

// endWrite is a write that ends a claim. It may be queued and repeated.
type endWrite struct {
	claim  tarragondeal.Claim
	target record
	// unconfirmed is set if Take did not learn whether it has the claim, so
	// that the record may be absent.
	unconfirmed bool
}

// Finish records the answer. If the store is unavailable, the answer is queued
// in memory, up to a limit, and recorded later. Until then a repeat of the
// request is refused: as already running at first, and as having an unknown
// outcome after MaxRun or when this process has ended. If the process ends before
// the answer is recorded, the outcome stays unknown. Finish returns an error if
// the queue is full, if the claim was deleted or ended by another call, or if a
// record can't be encoded or decoded.
func (c *Claims) Finish(ctx context.Context, cl tarragondeal.Claim, r tarragondeal.RecordedAnswer) error {
	if len(r.Body) > c.cfg.MaxAnswer {
		r.Body, r.Omitted = nil, true
	}
	return c.end(ctx, cl, stateFinished, &r)
}

// Abandon releases a claim whose request has certainly not run. The claim stays
// taken until the store has confirmed the release. If the store is unavailable,
// the release is queued as in Finish, with the same errors.
func (c *Claims) Abandon(ctx context.Context, cl tarragondeal.Claim) error {
	return c.end(ctx, cl, stateReleased, nil)
}

func (c *Claims) end(ctx context.Context, cl tarragondeal.Claim, s state, answer *tarragondeal.RecordedAnswer) error {
	self := c.Members.Self()
	w := endWrite{claim: cl, target: record{
		State: s, Mark: cl.Mark, Digest: cl.Digest, Node: self.Node, Incarnation: self.Incarnation,
		At: c.Clock.Wall(), MaxRun: tarragondeal.Duration(c.cfg.MaxRun), Answer: answer,
	}}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Wait)
	defer cancel()
	if done, err := c.tryEnd(ctx, &w); done {
		return err
	}
	if !c.enqueue(w) {
		return eris.Errorf("claim not ended: write dropped, queue is full with %d writes", c.pending.Len())
	}
	return nil
}

// enqueue queues a write until the store is available. It returns false if the
// queue is full.
func (c *Claims) enqueue(w endWrite) bool {
	if c.pending.Push(w) {
		c.Scope.Gauge("waiting").Update(float64(c.pending.Len()))
		return true
	}
	c.Log.Error().Str("state", string(w.target.State)).Msg("write that ends a claim dropped: queue is full")
	return false
}

// tryEnd attempts a write once. It returns true if no further attempt is
// needed; the error is then nil if the claim is ended or was never taken.
func (c *Claims) tryEnd(ctx context.Context, w *endWrite) (bool, error) {
	value, err := encode(w.target)
	if err != nil {
		return true, err
	}
	_, err = c.Store.Swap(ctx, storeKey(w.claim.Key), value, w.claim.Revision)
	if err == nil {
		return true, nil
	}
	var conflict *tarragondeal.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	e, err := c.currentEntry(ctx, w.claim.Key, conflict.Current)
	if err != nil {
		return false, err
	}
	return w.resolve(e)
}

// resolve decides, after a conflict with the entry e, whether the write is done,
// can't succeed, or must be repeated. In the last case it sets the revision that
// the next attempt expects. Its results are those of tryEnd.
func (w *endWrite) resolve(e tarragondeal.Entry) (bool, error) {
	if e.Revision == 0 {
		w.claim.Revision = 0
		if w.unconfirmed {
			// A delayed write of Take may expect that there is no record.
			return false, nil
		}
		return true, eris.New("claim was deleted after its retention")
	}
	existing, err := decode(e.Value)
	if err != nil {
		return true, err
	}
	switch {
	case existing.Mark == w.claim.Mark && existing.State == w.target.State:
		return true, nil
	// A delayed write of Take may still arrive and expect the revision of a record
	// that another call released. Writing the release again changes the revision,
	// so that the delayed write fails.
	case existing.Mark == w.claim.Mark && existing.State == stateClaimed,
		w.unconfirmed && existing.State == stateReleased:
		w.claim.Revision = e.Revision
		return false, nil
	case w.unconfirmed:
		return true, nil // Take never got the claim.
	default:
		return true, eris.Errorf("claim has been %s by another call", existing.State)
	}
}

// Run does the queued writes until the context ends. Then it attempts each
// remaining one once more, within cfg.Wait in total.
func (c *Claims) Run(ctx context.Context) error {
	for {
		w, err := c.pending.Pop(ctx)
		if err != nil {
			break // The node is stopping.
		}
		if !c.retry(ctx, &w) {
			c.enqueue(w)
			break
		}
	}
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), c.cfg.Wait)
	defer cancel()
	for range c.pending.Len() {
		w, err := c.pending.Pop(last)
		if err != nil {
			break
		}
		if done, err := c.tryEnd(last, &w); !done {
			c.Log.Warn().Err(err).Msg("end of claim not confirmed before shutdown")
		}
	}
	return nil
}

// retry repeats a write until it is done. It returns false if the context ends
// first.
func (c *Claims) retry(ctx context.Context, w *endWrite) bool {
	wait := minEndBackoff
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, c.cfg.Wait)
		done, err := c.tryEnd(call, w)
		cancel()
		if done {
			if err != nil {
				c.Log.Warn().Err(err).Msg("end of claim given up: the write can't succeed")
			}
			return true
		}
		c.sleep(ctx, rand.N(wait))
		wait = min(2*wait, maxEndBackoff)
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
