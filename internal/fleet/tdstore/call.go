package tdstore

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tarragondeal"
)

// call is what is common to all calls.
type call struct {
	op, key string
	urgent  bool
	once    bool // Never repeated here.
	budget  *budget
	wait    time.Duration // For which the service itself may wait.
}

// do makes a call and repeats it while it has no answer. The function is
// told whether an earlier try may have taken effect.
func do[T any](ctx context.Context, s *Store, c call, f func(ctx context.Context, again bool) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.Total+c.wait)
	defer cancel()
	tries := uint(maxTries)
	if c.once {
		tries = 1
	}
	lost := false // An earlier try may have taken effect.
	var last error
	op := func() (v T, err error) {
		// The library reports the context's end in place of the last error, and
		// a try without time left says less than the one before it.
		defer func() {
			var late *BudgetError
			if last == nil || !errors.As(err, &late) {
				last = err
			}
		}()
		v, err = try(ctx, s, c, func(ctx context.Context) (T, error) { return f(ctx, lost) })
		var failed *tarragondeal.StoreError
		if err == nil || !errors.As(err, &failed) {
			return v, permanent(err)
		}
		lost = lost || !failed.Settled
		var overwritten *OverwrittenError
		var away *AwayError
		if errors.As(err, &overwritten) || errors.As(err, &away) {
			return v, permanent(err)
		}
		return v, err
	}
	v, err := backoff.Retry(ctx, op, backoff.WithBackOff(&jitter{base: s.opt.Backoff}), backoff.WithMaxTries(tries),
		backoff.WithMaxElapsedTime(0))
	if err == nil {
		return v, nil
	}
	return v, s.failed(c, last, lost)
}

func permanent(err error) error {
	if err == nil {
		return nil
	}
	return backoff.Permanent(err)
}

// failed gives an error its final form: a call whose earlier try may have
// taken effect is never said to be settled.
func (s *Store) failed(c call, err error, lost bool) error {
	var conflict *tarragondeal.ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	var failed *tarragondeal.StoreError
	if errors.As(err, &failed) {
		out := *failed
		out.Settled = !lost
		return &out
	}
	return &tarragondeal.StoreError{Op: c.op, Key: c.key, Settled: !lost, Err: err}
}

// try makes one call when the circuit and the budget let it.
func try[T any](ctx context.Context, s *Store, c call, f func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := s.enter(ctx, c); err != nil {
		return zero, &tarragondeal.StoreError{Op: c.op, Key: c.key, Settled: true, Err: err}
	}
	s.count.call(c.op)
	ctx, cancel := context.WithTimeout(ctx, s.opt.Timeout+c.wait)
	defer cancel()
	v, err := f(ctx)
	s.note(ctx, c, err)
	return v, err
}

// enter waits for a call's turn.
func (s *Store) enter(ctx context.Context, c call) error {
	for {
		wait, ok := s.circuit.admit(c.urgent, s.clock.Now())
		if ok {
			break
		}
		if wait < 0 {
			s.count.away.Inc(1)
			return &AwayError{}
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
	if c.budget != s.bulk {
		c.budget.fit(s.opt.Nodes())
	}
	if err := c.budget.take(ctx, c.urgent); err != nil {
		s.count.budget.Inc(1)
		return &BudgetError{Err: err}
	}
	return nil
}

// note tells the circuit how a call went.
func (s *Store) note(ctx context.Context, c call, err error) {
	now := s.clock.Now()
	var failed *tarragondeal.StoreError
	if err == nil || !errors.As(err, &failed) || failed.Settled {
		if s.circuit.succeeded(now) {
			s.opt.Log.Info().Msg("key-value service is back")
		}
		return
	}
	s.count.failed(c.op)
	var overwritten *OverwrittenError
	if errors.Is(ctx.Err(), context.Canceled) || errors.As(err, &overwritten) {
		return
	}
	if s.circuit.gone(now) {
		s.opt.Log.Warn().Err(err).Msg("key-value service is away")
	}
}
