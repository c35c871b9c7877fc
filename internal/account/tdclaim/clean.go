package tdclaim

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"tarragondeal"
)

// timelineKey is the store key of the timeline.
const timelineKey = "claimAge"

// CleanerLease is the lease of the node that deletes old claims.
const CleanerLease = "claims"

const (
	// checkpointInterval is the time between two checkpoints. It is shorter if
	// the retention is short.
	checkpointInterval = 10 * time.Minute
	// sweepInterval is the time between two sweeps over the claims. It is
	// never longer than the time between checkpoints.
	sweepInterval = time.Minute
	// pageSize is the number of claims listed in one call.
	pageSize = 50
	// maxCheckpoints is the maximum number of checkpoints in the store.
	maxCheckpoints = 1024
)

// timeline is a lower bound of the time since the fleet's first cleaner
// started, with the store revisions reached on the way. Each interval is
// measured by the monotonic clock of the node that holds the lease, between two
// writes of this record, so intervals never overlap and no wall clock is
// needed. Time without a lease holder is not counted, which only keeps claims
// longer.
type timeline struct {
	Elapsed     time.Duration `json:"passed"`
	Checkpoints []checkpoint  `json:"marks"`
}

// checkpoint is the revision that the store had reached when the timeline was
// at Elapsed.
type checkpoint struct {
	Elapsed  time.Duration         `json:"passed"`
	Revision tarragondeal.Revision `json:"revision"`
}

// expired returns the newest revision known to be at least as old as
// retention, or 0.
func (tl timeline) expired(retention time.Duration) tarragondeal.Revision {
	var out tarragondeal.Revision
	for _, cp := range tl.Checkpoints {
		if tl.Elapsed-cp.Elapsed >= retention {
			out = max(out, cp.Revision)
		}
	}
	return out
}

// advance adds the interval measured since the timeline was written at revision
// rev, and a checkpoint if one is due.
func (tl timeline) advance(interval time.Duration, rev tarragondeal.Revision, every time.Duration) timeline {
	next := timeline{Elapsed: tl.Elapsed + interval, Checkpoints: tl.Checkpoints}
	if n := len(tl.Checkpoints); rev != 0 && (n == 0 || tl.Elapsed-tl.Checkpoints[n-1].Elapsed >= every) {
		// The timeline was written at rev with tl.Elapsed.
		next.Checkpoints = append(append([]checkpoint(nil), tl.Checkpoints...), checkpoint{Elapsed: tl.Elapsed, Revision: rev})
	}
	if excess := len(next.Checkpoints) - maxCheckpoints; excess > 0 {
		next.Checkpoints = next.Checkpoints[excess:]
	}
	return next
}

// prune removes the checkpoints before the newest expired one.
func (tl timeline) prune(retention time.Duration) timeline {
	first := 0
	for n, cp := range tl.Checkpoints {
		if tl.Elapsed-cp.Elapsed >= retention {
			first = n
		}
	}
	tl.Checkpoints = tl.Checkpoints[first:]
	return tl
}

// Cleaner deletes claims after their retention.
type Cleaner struct {
	store     tarragondeal.Store
	leases    tarragondeal.Leases
	clock     tarragondeal.Clock
	log       zerolog.Logger
	retention time.Duration
	every     time.Duration // Between checkpoints.
	limiter   *rate.Limiter
}

// NewCleaner returns a Cleaner that keeps claims for at least retention after
// their last change and deletes at most perSecond of them a second.
func NewCleaner(d Deps, leases tarragondeal.Leases, retention time.Duration, perSecond float64) *Cleaner {
	return &Cleaner{
		store: d.Store, leases: leases, clock: d.Clock, log: d.Log, retention: retention,
		every: min(checkpointInterval, max(retention/16, time.Second)), limiter: rate.NewLimiter(rate.Limit(perSecond), 1),
	}
}

// Run deletes old claims while this node holds the lease, until the context
// ends.
func (c *Cleaner) Run(ctx context.Context) error {
	return c.leases.Hold(ctx, CleanerLease, c.hold)
}

// hold deletes old claims while the lease is held. Two holders at once do no
// harm: the timeline is written by compare-and-swap, and a claim is deleted only
// at the revision whose age is known.
func (c *Cleaner) hold(ctx context.Context, _ tarragondeal.Held) error {
	since := c.clock.Now()
	e, tl, err := c.load(ctx)
	for err == nil {
		sleep(ctx, min(sweepInterval, c.every))
		if ctx.Err() != nil {
			return nil
		}
		now := c.clock.Now()
		next := tl.advance(now.Sub(since), e.Revision, c.every).prune(c.retention)
		if e, err = c.save(ctx, next, e.Revision); err == nil {
			since, tl = now, next
			err = c.sweep(ctx, tl.expired(c.retention))
		}
	}
	c.log.Warn().Err(err).Msg("deletion of old claims stopped")
	return err
}

func (c *Cleaner) load(ctx context.Context) (tarragondeal.Entry, timeline, error) {
	e, err := c.store.Get(ctx, timelineKey)
	var tl timeline
	if err == nil && e.Revision != 0 {
		if err = json.Unmarshal(e.Value, &tl); err != nil {
			err = eris.Wrap(err, "decode timeline of claims")
		}
	}
	return e, tl, err
}

func (c *Cleaner) save(ctx context.Context, tl timeline, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	value, err := json.Marshal(tl)
	if err != nil {
		return tarragondeal.Entry{}, err
	}
	return c.store.Swap(ctx, timelineKey, value, prev)
}

// sweep deletes the claims last changed at revision upTo or before.
func (c *Cleaner) sweep(ctx context.Context, upTo tarragondeal.Revision) error {
	if upTo == 0 {
		return nil
	}
	after, deleted := "", 0
	for {
		page, err := c.store.List(ctx, keyPrefix, after, pageSize)
		if err != nil || len(page) == 0 {
			if deleted > 0 {
				c.log.Info().Int("claims", deleted).Msg("old claims deleted")
			}
			return err
		}
		for _, e := range page {
			after = e.Key
			if e.Revision > upTo {
				continue
			}
			if err := c.remove(ctx, e); err != nil {
				return err
			}
			deleted++
		}
	}
}

func (c *Cleaner) remove(ctx context.Context, e tarragondeal.Entry) error {
	if err := c.limiter.Wait(ctx); err != nil {
		return err
	}
	err := c.store.Delete(ctx, e.Key, e.Revision)
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		return nil // The claim has changed, so it is not old any more.
	}
	return err
}
