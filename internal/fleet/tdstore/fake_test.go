package tdstore_test

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// outcome is how the fake service handles a call.
type outcome int

const (
	answered     outcome = iota
	responseLost         // The call takes effect and its reply is lost.
	requestLost          // The call never arrives.
	delayed              // The reply is lost and the call takes effect later.
	refused              // The service replies that the call has no effect.
)

var errLost = eris.New("connection reset")

// fake is an in-memory key-value service with injected faults.
type fake struct {
	tarragondeal.Store // Nil; for the methods that no test uses.
	entries            map[string]tarragondeal.Entry
	revision           tarragondeal.Revision
	effects            map[string]int // Writes that took effect, by value.
	next               func() outcome
	pending            []func()
	calls              int
}

func newFake(next func() outcome) *fake {
	return &fake{entries: map[string]tarragondeal.Entry{}, effects: map[string]int{}, next: next}
}

// put writes a value without faults, as another node would.
func (f *fake) put(key, value string) tarragondeal.Revision {
	f.revision++
	f.entries[key] = tarragondeal.Entry{Key: key, Value: []byte(value), Revision: f.revision}
	return f.revision
}

// deliverDelayed applies all delayed calls.
func (f *fake) deliverDelayed() {
	pending := f.pending
	f.pending = nil
	for _, op := range pending {
		op()
	}
}

func run[T any](f *fake, op string, do func() (T, error)) (T, error) {
	var zero T
	f.calls++
	fail := &tarragondeal.StoreError{Op: op, Err: errLost}
	switch f.next() {
	case responseLost:
		_, _ = do()
		return zero, fail
	case requestLost:
		return zero, fail
	case delayed:
		f.pending = append(f.pending, func() { _, _ = do() })
		return zero, fail
	case refused:
		fail.Settled = true
		return zero, fail
	default:
		return do()
	}
}

func (f *fake) Get(_ context.Context, key string) (tarragondeal.Entry, error) {
	return run(f, "get", func() (tarragondeal.Entry, error) { return f.entries[key], nil })
}

func (f *fake) Swap(_ context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	return run(f, "swap", func() (tarragondeal.Entry, error) {
		if e := f.entries[key]; e.Revision != prev {
			return tarragondeal.Entry{}, &tarragondeal.ConflictError{Op: "swap", Key: key, Current: e}
		}
		f.effects[string(value)]++
		return tarragondeal.Entry{Key: key, Revision: f.put(key, string(value))}, nil
	})
}

func (f *fake) Delete(_ context.Context, key string, prev tarragondeal.Revision) error {
	_, err := run(f, "delete", func() (int, error) {
		if e := f.entries[key]; e.Revision != prev {
			return 0, &tarragondeal.ConflictError{Op: "delete", Key: key, Current: e}
		}
		delete(f.entries, key)
		return 0, nil
	})
	return err
}

func (f *fake) Watch(_ context.Context, prefix string, after tarragondeal.Revision, _ time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	out, err := run(f, "watch", func() ([]tarragondeal.Entry, error) {
		var out []tarragondeal.Entry
		for _, e := range f.entries {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		return out, nil
	})
	return out, f.revision, err
}
