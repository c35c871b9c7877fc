package tdstore

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"tarragondeal"
)

// call describes one call of the service.
type call struct {
	op, key    string
	urgent     bool
	noRetry    bool // The caller retries by itself.
	budget     *budget
	serverWait time.Duration // How long the service itself may wait.
}

// do makes a call and retries it while it gets no reply. f receives whether an
// earlier attempt may have taken effect.
func do[T any](ctx context.Context, s *Store, c call, f func(ctx context.Context, again bool) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, s.opt.Total+c.serverWait)
	defer cancel()
	attempts := uint(maxAttempts)
	if c.noRetry {
		attempts = 1
	}
	lost := false // An earlier attempt may have taken effect.
	var lastErr error
	op := func() (v T, err error) {
		// Retry returns the context's error in place of the last one. An attempt
		// that found no time left for its budget is less informative than the
		// attempt before it.
		defer func() {
			var noBudget *BudgetError
			if lastErr == nil || !errors.As(err, &noBudget) {
				lastErr = err
			}
		}()
		v, err = try(ctx, s, c, func(ctx context.Context) (T, error) { return f(ctx, lost) })
		var failed *tarragondeal.StoreError
		if err == nil || !errors.As(err, &failed) {
			return v, permanent(err)
		}
		lost = lost || !failed.Settled
		var overwritten *OverwrittenError
		var unavailable *UnavailableError
		if errors.As(err, &overwritten) || errors.As(err, &unavailable) {
			return v, permanent(err)
		}
		return v, err
	}
	v, err := backoff.Retry(ctx, op, backoff.WithBackOff(&jitter{base: s.opt.Backoff}), backoff.WithMaxTries(attempts),
		backoff.WithMaxElapsedTime(0))
	if err == nil {
		return v, nil
	}
	return v, s.finalError(c, lastErr, lost)
}

func permanent(err error) error {
	if err == nil {
		return nil
	}
	return backoff.Permanent(err)
}

// finalError returns the error of a call after its last attempt. The error is
// never settled if an earlier attempt may have taken effect.
func (s *Store) finalError(c call, err error, lost bool) error {
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

// try makes one attempt, once the circuit and the budget permit it.
func try[T any](ctx context.Context, s *Store, c call, f func(context.Context) (T, error)) (T, error) {
	var zero T
	if err := s.admit(ctx, c); err != nil {
		return zero, &tarragondeal.StoreError{Op: c.op, Key: c.key, Settled: true, Err: err}
	}
	s.count.call(c.op)
	ctx, cancel := context.WithTimeout(ctx, s.opt.Timeout+c.serverWait)
	defer cancel()
	v, err := f(ctx)
	s.record(ctx, c, err)
	return v, err
}

// admit waits until the circuit and the budget permit a call. The error is an
// UnavailableError or a BudgetError, or that of ctx.
func (s *Store) admit(ctx context.Context, c call) error {
	for {
		wait, ok := s.circuit.admit(c.urgent, s.clock.Now())
		if ok {
			break
		}
		if wait < 0 {
			s.count.unavailable.Inc(1)
			return &UnavailableError{}
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
		c.budget.setNodes(s.opt.Nodes())
	}
	if err := c.budget.wait(ctx, c.urgent); err != nil {
		s.count.noBudget.Inc(1)
		return &BudgetError{Err: err}
	}
	return nil
}

// record passes the result of an attempt to the circuit and the counters.
func (s *Store) record(ctx context.Context, c call, err error) {
	now := s.clock.Now()
	var failed *tarragondeal.StoreError
	if err == nil || !errors.As(err, &failed) || failed.Settled {
		if s.circuit.recordSuccess(now) {
			s.opt.Log.Info().Msg("store is available again")
		}
		return
	}
	s.count.failed(c.op)
	var overwritten *OverwrittenError
	if errors.Is(ctx.Err(), context.Canceled) || errors.As(err, &overwritten) {
		return
	}
	if s.circuit.recordFailure(now) {
		s.opt.Log.Warn().Err(err).Msg("store is unavailable")
	}
}
