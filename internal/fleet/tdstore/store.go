package tdstore

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// Options are what the client works with. Zero values stand for defaults.
type Options struct {
	// Reads and Writes are what the whole fleet may call a second.
	Reads  float64
	Writes float64
	// Nodes returns how many nodes share the rates.
	Nodes func() int
	// Timeout bounds one try, and Total a call with its repeats.
	Timeout time.Duration
	Total   time.Duration
	// Urgent are the prefixes of keys whose calls go before others, as those
	// of leases do.
	Urgent []string
	// Bulk are the prefixes of keys whose writes come many at once from one
	// node at a time, as those of published sets do. They have a share of
	// the rate of their own, which is not divided among the nodes.
	Bulk []string
	// Backoff bounds the first wait before a repeat.
	Backoff time.Duration
	// Probe is the time between tries while the service is away, and Spread
	// that over which the nodes return to it.
	Probe  time.Duration
	Spread time.Duration
	Log    zerolog.Logger
	Scope  tally.Scope
}

const (
	defaultReads   = 1800
	defaultWrites  = 300
	defaultTimeout = time.Second
	defaultTotal   = 4 * time.Second
	defaultBackoff = 50 * time.Millisecond
	defaultProbe   = 2 * time.Second
	defaultSpread  = 5 * time.Second
	maxBackoff     = time.Second
	maxTries       = 5
	awayFailures   = 4
	bulkShare      = 0.2                   // Of the writes.
	probeWait      = 50 * time.Millisecond // Of a watch while the service is away.
)

// AwayError is a call that was not made because the service is away.
type AwayError struct{}

func (*AwayError) Error() string { return "the key-value service is away" }

// BudgetError is a call that was not made for want of budget.
type BudgetError struct{ Err error }

func (e *BudgetError) Error() string { return "no budget for the call: " + e.Err.Error() }

// Unwrap returns the cause.
func (e *BudgetError) Unwrap() error { return e.Err }

// OverwrittenError is a write whose answer was lost and in whose place
// another one stands: it may have taken effect before that one.
type OverwrittenError struct{ Current tarragondeal.Entry }

func (*OverwrittenError) Error() string { return "the answer was lost and another write came since" }

// Store is the client. Its methods are safe for concurrent use.
type Store struct {
	kv      tarragondeal.Store
	clock   tarragondeal.Clock
	opt     Options
	circuit circuit
	reads   *budget
	writes  *budget
	bulk    *budget
	count   counters
}

// New returns a client of the service that kv calls.
func New(kv tarragondeal.Store, clock tarragondeal.Clock, opt Options) *Store {
	opt = opt.defaults()
	return &Store{
		kv: kv, clock: clock, opt: opt,
		circuit: circuit{failures: awayFailures, probe: opt.Probe, spread: opt.Spread},
		reads:   newBudget(opt.Reads), writes: newBudget(opt.Writes * (1 - bulkShare)),
		bulk:  newBudget(opt.Writes * bulkShare),
		count: newCounters(opt.Scope),
	}
}

func (o Options) defaults() Options {
	o.Reads = or(o.Reads, defaultReads)
	o.Writes = or(o.Writes, defaultWrites)
	o.Timeout = or(o.Timeout, defaultTimeout)
	o.Total = or(o.Total, defaultTotal)
	o.Backoff = or(o.Backoff, defaultBackoff)
	o.Probe = or(o.Probe, defaultProbe)
	o.Spread = or(o.Spread, defaultSpread)
	if o.Nodes == nil {
		o.Nodes = func() int { return 1 }
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	return o
}

func or[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Away reports whether the service counts as away.
func (s *Store) Away() bool { return s.circuit.isAway() }

// Get reads one key.
func (s *Store) Get(ctx context.Context, key string) (tarragondeal.Entry, error) {
	c := call{op: "get", key: key, urgent: s.urgent(key), budget: s.reads}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Entry, error) {
		return s.kv.Get(ctx, key)
	})
}

// List reads keys that start with prefix.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]tarragondeal.Entry, error) {
	c := call{op: "list", key: prefix, urgent: s.urgent(prefix), budget: s.reads}
	return do(ctx, s, c, func(ctx context.Context, _ bool) ([]tarragondeal.Entry, error) {
		return s.kv.List(ctx, prefix, after, limit)
	})
}

// Watch waits for changes under prefix. It is made once: the caller goes on
// from the revision that it has, so that no change is missed.
func (s *Store) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, wait time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	type answer struct {
		entries  []tarragondeal.Entry
		revision tarragondeal.Revision
	}
	if s.Away() {
		// The try that finds the service back should not wait for a change.
		wait = min(wait, probeWait)
	}
	c := call{op: "watch", key: prefix, budget: s.reads, wait: wait, once: true}
	a, err := do(ctx, s, c, func(ctx context.Context, _ bool) (answer, error) {
		es, r, err := s.kv.Watch(ctx, prefix, after, wait)
		return answer{es, r}, err
	})
	return a.entries, a.revision, err
}

// Swap writes value if the key is still at revision prev. After a lost
// answer the same swap is made again: at most one of the two can take
// effect, and a conflict shows whether the first one did.
func (s *Store) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	c := call{op: "swap", key: key, urgent: s.urgent(key), budget: s.writesOf(key)}
	return do(ctx, s, c, func(ctx context.Context, again bool) (tarragondeal.Entry, error) {
		e, err := s.kv.Swap(ctx, key, value, prev)
		var conflict *tarragondeal.ConflictError
		if !again || !errors.As(err, &conflict) {
			return e, err
		}
		now := conflict.Current
		if now.Revision > prev && bytes.Equal(now.Value, value) {
			s.count.settled.Inc(1)
			return tarragondeal.Entry{Key: key, Revision: now.Revision}, nil
		}
		return e, &tarragondeal.StoreError{Op: "swap", Key: key, Err: &OverwrittenError{Current: now}}
	})
}

// Delete removes the key if it is still at revision prev.
func (s *Store) Delete(ctx context.Context, key string, prev tarragondeal.Revision) error {
	c := call{op: "delete", key: key, urgent: s.urgent(key), budget: s.writesOf(key)}
	_, err := do(ctx, s, c, func(ctx context.Context, again bool) (struct{}, error) {
		err := s.kv.Delete(ctx, key, prev)
		var conflict *tarragondeal.ConflictError
		if !again || !errors.As(err, &conflict) {
			return struct{}{}, err
		}
		if conflict.Current.Revision == 0 {
			s.count.settled.Inc(1)
			return struct{}{}, nil
		}
		return struct{}{}, &tarragondeal.StoreError{Op: "delete", Key: key, Err: &OverwrittenError{Current: conflict.Current}}
	})
	return err
}

// Acquire takes a lease. It is idempotent for one holder, so a lost answer
// is settled by asking again.
func (s *Store) Acquire(ctx context.Context, name, holder string, ttl time.Duration) (tarragondeal.Lease, error) {
	c := call{op: "acquire", key: name, urgent: true, budget: s.writes}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Lease, error) {
		return s.kv.Acquire(ctx, name, holder, ttl)
	})
}

// Renew extends a lease. A lost answer is settled by renewing again.
func (s *Store) Renew(ctx context.Context, l tarragondeal.Lease, ttl time.Duration) (tarragondeal.Lease, error) {
	c := call{op: "renew", key: l.Name, urgent: true, budget: s.writes}
	return do(ctx, s, c, func(ctx context.Context, _ bool) (tarragondeal.Lease, error) {
		return s.kv.Renew(ctx, l, ttl)
	})
}

// Release gives a lease up. A conflict after a lost answer means that the
// first call took effect, or that the lease was lost: it is not held either
// way.
func (s *Store) Release(ctx context.Context, l tarragondeal.Lease) error {
	c := call{op: "release", key: l.Name, urgent: true, budget: s.writes}
	_, err := do(ctx, s, c, func(ctx context.Context, again bool) (struct{}, error) {
		err := s.kv.Release(ctx, l)
		var conflict *tarragondeal.ConflictError
		if again && errors.As(err, &conflict) {
			s.count.settled.Inc(1)
			return struct{}{}, nil
		}
		return struct{}{}, err
	})
	return err
}

func (s *Store) urgent(key string) bool { return matches(key, s.opt.Urgent) }

func (s *Store) writesOf(key string) *budget {
	if matches(key, s.opt.Bulk) {
		return s.bulk
	}
	return s.writes
}

func matches(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

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
