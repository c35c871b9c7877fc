package tdstore_test

import (
	"context"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
)

// outcome is what the fake service does with a call.
type outcome int

const (
	answered   outcome = iota
	lostAfter          // Takes effect, and the answer is lost.
	lostBefore         // Never arrives.
	delayed            // The answer is lost, and it arrives late.
	refused            // The service says that it does nothing.
)

var errLost = eris.New("connection reset")

// fake is a key-value service in memory that fails as it is told.
type fake struct {
	tarragondeal.Store // Calls that a test does not use.
	now                map[string]tarragondeal.Entry
	revision           tarragondeal.Revision
	effects            map[string]int // Writes that took effect, by value.
	next               func() outcome
	late               []func()
	calls              int
}

func newFake(next func() outcome) *fake {
	return &fake{now: map[string]tarragondeal.Entry{}, effects: map[string]int{}, next: next}
}

// put writes past all faults, as another node would.
func (f *fake) put(key, value string) tarragondeal.Revision {
	f.revision++
	f.now[key] = tarragondeal.Entry{Key: key, Value: []byte(value), Revision: f.revision}
	return f.revision
}

// settle lets everything that is under way arrive.
func (f *fake) settle() {
	late := f.late
	f.late = nil
	for _, op := range late {
		op()
	}
}

func run[T any](f *fake, op string, do func() (T, error)) (T, error) {
	var zero T
	f.calls++
	fail := &tarragondeal.StoreError{Op: op, Err: errLost}
	switch f.next() {
	case lostAfter:
		_, _ = do()
		return zero, fail
	case lostBefore:
		return zero, fail
	case delayed:
		f.late = append(f.late, func() { _, _ = do() })
		return zero, fail
	case refused:
		fail.Settled = true
		return zero, fail
	default:
		return do()
	}
}

func (f *fake) Get(_ context.Context, key string) (tarragondeal.Entry, error) {
	return run(f, "get", func() (tarragondeal.Entry, error) { return f.now[key], nil })
}

func (f *fake) Swap(_ context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	return run(f, "swap", func() (tarragondeal.Entry, error) {
		if e := f.now[key]; e.Revision != prev {
			return tarragondeal.Entry{}, &tarragondeal.ConflictError{Op: "swap", Key: key, Current: e}
		}
		f.effects[string(value)]++
		return tarragondeal.Entry{Key: key, Revision: f.put(key, string(value))}, nil
	})
}

func (f *fake) Delete(_ context.Context, key string, prev tarragondeal.Revision) error {
	_, err := run(f, "delete", func() (int, error) {
		if e := f.now[key]; e.Revision != prev {
			return 0, &tarragondeal.ConflictError{Op: "delete", Key: key, Current: e}
		}
		delete(f.now, key)
		return 0, nil
	})
	return err
}

func (f *fake) Watch(_ context.Context, prefix string, after tarragondeal.Revision, _ time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	out, err := run(f, "watch", func() ([]tarragondeal.Entry, error) {
		var out []tarragondeal.Entry
		for _, e := range f.now {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				out = append(out, e)
			}
		}
		return out, nil
	})
	return out, f.revision, err
}
