package tdstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// jitter is exponential backoff with full jitter.
type jitter struct {
	base time.Duration
	n    int
}

// NextBackOff returns a random delay below a bound that doubles with each call.
func (j *jitter) NextBackOff() time.Duration {
	bound := min(j.base<<j.n, maxBackoff)
	j.n++
	return rand.N(max(bound, 1))
}

// Reset sets the bound back to base.
func (j *jitter) Reset() { j.n = 0 }

// Follow passes the current entries under prefix and then each change to apply,
// until ctx ends. After an error it calls onError, if not nil, and continues
// from the last revision. It starts over if the service's revisions have gone
// back.
func Follow(ctx context.Context, s tarragondeal.Store, prefix string, wait time.Duration, apply func(tarragondeal.Entry), onError func(error)) {
	var after tarragondeal.Revision
	retry := &jitter{base: defaultBackoff}
	for ctx.Err() == nil {
		entries, revision, err := s.Watch(ctx, prefix, after, wait)
		if err != nil {
			if ctx.Err() == nil && onError != nil {
				onError(eris.Wrap(err, "watch"))
			}
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		for _, e := range entries {
			apply(e)
		}
		if revision < after {
			revision = 0
		}
		after = revision
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
