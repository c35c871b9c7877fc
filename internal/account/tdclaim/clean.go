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

// ageKey is where the clean-up keeps its count of time.
const ageKey = "claimAge"

// CleanerLease is the lease under which one node cleans up.
const CleanerLease = "claims"

const (
	// markEvery is the time between two marks of the count of time.
	markEvery = 10 * time.Minute
	// passEvery is the time between two passes over the claims.
	passEvery = time.Minute
	// pageSize is how many claims one call lists.
	pageSize = 50
	// maxMarks bounds the marks that are kept.
	maxMarks = 1024
)

// age counts time that has surely passed since the fleet's first clean-up.
// Each stretch is measured by the monotonic clock of the node that holds the
// lease, between two writes of this record, so stretches never overlap and
// no wall clock is asked. Stretches without a holder are not counted, which
// only makes claims stay longer.
type age struct {
	Passed time.Duration `json:"passed"`
	Marks  []ageMark     `json:"marks"`
}

// ageMark says that the store had reached a revision when the count stood at
// Passed.
type ageMark struct {
	Passed   time.Duration         `json:"passed"`
	Revision tarragondeal.Revision `json:"revision"`
}

// expired returns the newest revision that is older than retention, or 0.
func (a age) expired(retention time.Duration) tarragondeal.Revision {
	var out tarragondeal.Revision
	for _, m := range a.Marks {
		if a.Passed-m.Passed >= retention {
			out = max(out, m.Revision)
		}
	}
	return out
}

// advance adds a stretch that was measured since the record was at revision
// rev, and a mark when one is due.
func (a age) advance(stretch time.Duration, rev tarragondeal.Revision, every time.Duration) age {
	next := age{Passed: a.Passed + stretch, Marks: a.Marks}
	if n := len(a.Marks); rev != 0 && (n == 0 || a.Passed-a.Marks[n-1].Passed >= every) {
		// The record was written at rev, when the count stood at a.Passed.
		next.Marks = append(append([]ageMark(nil), a.Marks...), ageMark{Passed: a.Passed, Revision: rev})
	}
	if over := len(next.Marks) - maxMarks; over > 0 {
		next.Marks = next.Marks[over:]
	}
	return next
}

// prune drops the marks before the newest expired one.
func (a age) prune(retention time.Duration) age {
	first := 0
	for n, m := range a.Marks {
		if a.Passed-m.Passed >= retention {
			first = n
		}
	}
	a.Marks = a.Marks[first:]
	return a
}

// Cleaner deletes claims past their retention.
type Cleaner struct {
	store     tarragondeal.Store
	leases    tarragondeal.Leases
	clock     tarragondeal.Clock
	log       zerolog.Logger
	retention time.Duration
	every     time.Duration
	limit     *rate.Limiter
}

// NewCleaner returns a cleaner that keeps claims for at least retention after
// their last change and deletes up to perSecond of them a second.
func NewCleaner(d Deps, leases tarragondeal.Leases, retention time.Duration, perSecond float64) *Cleaner {
	return &Cleaner{
		store: d.Store, leases: leases, clock: d.Clock, log: d.Log, retention: retention,
		every: min(markEvery, max(retention/16, time.Second)), limit: rate.NewLimiter(rate.Limit(perSecond), 1),
	}
}

// Run cleans up whenever this node holds the lease, until the context ends.
func (c *Cleaner) Run(ctx context.Context) error {
	return c.leases.Hold(ctx, CleanerLease, c.hold)
}

// hold cleans up for as long as the lease is held. Two holders at once would
// do no harm: time is counted by compare-and-swap, and a claim is deleted
// only at the revision whose age is known.
func (c *Cleaner) hold(ctx context.Context, _ tarragondeal.Held) error {
	since := c.clock.Now()
	e, a, err := c.load(ctx)
	for err == nil {
		sleep(ctx, min(passEvery, c.every))
		if ctx.Err() != nil {
			return nil
		}
		now := c.clock.Now()
		next := a.advance(now.Sub(since), e.Revision, c.every).prune(c.retention)
		if e, err = c.save(ctx, next, e.Revision); err == nil {
			since, a = now, next
			err = c.pass(ctx, a.expired(c.retention))
		}
	}
	c.log.Warn().Err(err).Msg("clean-up stopped")
	return err
}

func (c *Cleaner) load(ctx context.Context) (tarragondeal.Entry, age, error) {
	e, err := c.store.Get(ctx, ageKey)
	var a age
	if err == nil && e.Revision != 0 {
		if err = json.Unmarshal(e.Value, &a); err != nil {
			err = eris.Wrap(err, "count of time can't be read")
		}
	}
	return e, a, err
}

func (c *Cleaner) save(ctx context.Context, a age, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	value, err := json.Marshal(a)
	if err != nil {
		return tarragondeal.Entry{}, err
	}
	return c.store.Swap(ctx, ageKey, value, prev)
}

// pass deletes the claims whose last change is not later than a revision.
func (c *Cleaner) pass(ctx context.Context, upTo tarragondeal.Revision) error {
	if upTo == 0 {
		return nil
	}
	after, deleted := "", 0
	for {
		page, err := c.store.List(ctx, prefix, after, pageSize)
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
	if err := c.limit.Wait(ctx); err != nil {
		return err
	}
	err := c.store.Delete(ctx, e.Key, e.Revision)
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		return nil // It changed meanwhile, so it is not old.
	}
	return err
}
