package tdmirror

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"tarragondeal"
)

// cutSource is the connection of one node to a service. It fails once after each return.
type cutSource struct {
	*restoredSource
	cut bool
}

func (s *cutSource) fails() bool {
	cut := s.cut
	s.cut = false
	return cut
}

func (s *cutSource) Page(ctx context.Context, prefix, after string) (tarragondeal.Page, error) {
	if s.fails() {
		return tarragondeal.Page{}, errUnavailable
	}
	return s.restoredSource.Page(ctx, prefix, after)
}

func (s *cutSource) Watch(ctx context.Context, prefix string, after tarragondeal.Revision, _ time.Duration) ([]tarragondeal.Entry, tarragondeal.Revision, error) {
	if s.fails() {
		return nil, 0, errUnavailable
	}
	return s.restoredSource.Watch(ctx, prefix, after, 0)
}

func (s *cutSource) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	if s.fails() {
		return tarragondeal.Entry{}, errUnavailable
	}
	return s.restoredSource.Swap(ctx, key, value, prev)
}

// saved is a copy of the data of a service.
type saved struct {
	items map[string]tarragondeal.Entry
	rev   tarragondeal.Revision
}

// TestCopiesAgreeAfterReturns guards against a copy that differs from the service for good, or a
// node in another era than the others, after the service has come back from earlier copies: one
// after the other, while it is written to, and while nodes exchange copies and start again.
func TestCopiesAgreeAfterReturns(t *testing.T) {
	const (
		runs      = 600
		nodes     = 3
		actions   = 120
		quietTime = 45 * time.Second // Longer than all pauses.
	)
	for seed := range uint64(runs) {
		synctest.Test(t, func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			s := &restoredSource{fakeSource: newFakeSource()}
			var mirrors []*Mirror
			var sources []*cutSource
			start := func() (*Mirror, *cutSource) {
				source := &cutSource{restoredSource: s}
				m := newRestoredMirror(s)
				m.source, m.opt.Recorder = source, source
				return m, source
			}
			for range nodes {
				m, source := start()
				mirrors, sources = append(mirrors, m), append(sources, source)
			}
			change := func() {
				key := fmt.Sprint("a/", r.IntN(6))
				if r.IntN(4) == 0 {
					s.remove(key)
				} else {
					s.put(key, fmt.Sprint(r.IntN(3)))
				}
			}
			step := func(m *Mirror) {
				if _, err := m.step(t.Context()); err != nil {
					m.recordFailure(err)
				}
			}
			exchange := func(from, to *Mirror) {
				to.opt.Eras.Receive(from.Position())
				if from.Position().Revision > 0 && r.IntN(2) == 0 {
					entries, at, whole := from.Since(to.Position())
					to.Apply(entries, at, whole)
				}
			}
			copies := []saved{{items: maps.Clone(s.items), rev: s.rev}}
			for range actions {
				switch r.IntN(14) {
				case 0:
					copies = append(copies, saved{maps.Clone(s.items), s.rev})
				case 1:
					c := copies[r.IntN(len(copies))]
					s.items, s.rev, s.events, s.historyStart = maps.Clone(c.items), c.rev, nil, c.rev
					for range r.IntN(12) {
						change()
					}
					for _, source := range sources {
						source.cut = true
					}
				case 2, 3, 4:
					change()
				case 5:
					exchange(mirrors[r.IntN(nodes)], mirrors[r.IntN(nodes)])
				case 6:
					time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
				case 7:
					if r.IntN(3) == 0 {
						n := r.IntN(nodes)
						mirrors[n], sources[n] = start()
					}
				default:
					step(mirrors[r.IntN(nodes)])
				}
			}
			for start := time.Now(); time.Since(start) < quietTime; time.Sleep(100 * time.Millisecond) {
				for n, m := range mirrors {
					step(m)
					to := mirrors[(n+1)%nodes]
					to.opt.Eras.Receive(m.Position())
				}
			}
			want := make(map[string]string)
			for key, e := range s.items {
				want[key] = string(e.Value)
			}
			for n, m := range mirrors {
				if got := m.values(); !maps.Equal(got, want) {
					t.Errorf("seed %d: node %d in era %d at revision %d holds %v, want %v", seed, n, m.Position().Era, m.Position().Revision, got, want)
				}
				if m.Position().Era != mirrors[0].Position().Era {
					t.Errorf("seed %d: node %d in era %d, node 0 in %d", seed, n, m.Position().Era, mirrors[0].Position().Era)
				}
			}
		})
		if t.Failed() {
			return
		}
	}
}
