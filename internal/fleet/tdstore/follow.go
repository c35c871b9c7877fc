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

// NextBackOff returns a random part of a bound that doubles.
func (j *jitter) NextBackOff() time.Duration {
	bound := min(j.base<<j.n, maxBackoff)
	j.n++
	return rand.N(max(bound, 1))
}

// Reset starts over.
func (j *jitter) Reset() { j.n = 0 }

// Follow hands each change under prefix to take, from the present state on,
// until ctx ends. It goes on after errors from the revision that it has, and
// from the start when the service's revisions went back.
func Follow(ctx context.Context, s tarragondeal.Store, prefix string, wait time.Duration, take func(tarragondeal.Entry), fail func(error)) {
	var after tarragondeal.Revision
	retry := &jitter{base: defaultBackoff}
	for ctx.Err() == nil {
		entries, revision, err := s.Watch(ctx, prefix, after, wait)
		if err != nil {
			if ctx.Err() == nil && fail != nil {
				fail(eris.Wrap(err, "watch"))
			}
			sleep(ctx, retry.NextBackOff())
			continue
		}
		retry.Reset()
		for _, e := range entries {
			take(e)
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
