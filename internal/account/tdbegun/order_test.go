package tdbegun

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"

	"tarragondeal"
	_ "tarragondeal/internal/test/tdtestseed"
)

// latePlatform is a fakePlatform whose store may lose replies and apply writes late.
type latePlatform struct {
	*fakePlatform
	t    *rapid.T
	late []func() // Writes without a reply that the store has not applied yet.
}

func (p *latePlatform) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	apply := func() { _, _ = p.fakePlatform.Swap(ctx, key, value, prev) }
	switch rapid.IntRange(0, 5).Draw(p.t, "swap") {
	case 0:
		return tarragondeal.Entry{}, errors.New("not sent")
	case 1:
		apply()
		return tarragondeal.Entry{}, errors.New("reply lost")
	case 2:
		p.late = append(p.late, apply)
		return tarragondeal.Entry{}, errors.New("applied late")
	}
	return p.fakePlatform.Swap(ctx, key, value, prev)
}

// ReportUsage records a report, also if its reply is lost.
func (p *latePlatform) ReportUsage(ctx context.Context, r tarragondeal.BegunReport) error {
	r.Begun = maps.Clone(r.Begun)
	err := p.fakePlatform.ReportUsage(ctx, r)
	if rapid.IntRange(0, 5).Draw(p.t, "report") == 0 {
		err = errors.New("reply lost")
	}
	return err
}

// lateStore adds the methods of Store that the reporter doesn't call.
type lateStore struct {
	tarragondeal.Store
	*latePlatform
}

func (s lateStore) Get(ctx context.Context, key string) (tarragondeal.Entry, error) {
	return s.latePlatform.Get(ctx, key)
}

func (s lateStore) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	return s.latePlatform.Swap(ctx, key, value, prev)
}

// TestOneReportForEachWindow checks that no window is reported with two different
// counts, whichever nodes hold the duty, at the same time too, with different counts,
// clocks that step, and writes whose replies are lost or which are applied late. It also
// guards against windows with two counts, since the store came back from an earlier copy.
func TestOneReportForEachWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := tarragondeal.Instant(100 * length)
		d := &latePlatform{t: t, fakePlatform: &fakePlatform{held: true, reported: make(map[int64][]map[string]int64)}}
		clocks, counters, terms := make([]*fakeClock, 3), make([]*Counter, 3), make([]*term, 3)
		begin := func(n int) {
			terms[n] = newTerm(counters[n], clocks[n], d.fakePlatform, true)
			terms[n].r.Store, terms[n].r.Sink = lateStore{latePlatform: d}, d
		}
		for n := range clocks {
			clocks[n] = &fakeClock{now: now}
			counters[n] = newCounter(fmt.Sprint(n), clocks[n], &deadProcess{})
			begin(n)
		}
		// If the store goes back, clocks don't step, and the nodes receive each other's states.
		copies, links, goesBack := []fakePlatform{*d.fakePlatform}, []*link{}, rapid.Bool().Draw(t, "the store goes back")
		for n := range 9 {
			if goesBack && n/3 != n%3 {
				links = append(links, newLink(counters[n/3], counters[n%3], forwardNone, false))
			}
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			n := rapid.IntRange(0, 2).Draw(t, "node")
			what := rapid.IntRange(0, 11).Draw(t, "what")
			if steps := what == 5 || what == 10; steps && goesBack || what == 11 && !goesBack {
				continue
			}
			switch what {
			case 0, 1, 2:
				counters[n].Began(rapid.SampledFrom([]string{"acme", "other"}).Draw(t, "workspace"))
			case 3, 4:
				for _, c := range clocks {
					c.now = c.now.Add(2 * time.Second)
				}
			case 5:
				step := time.Duration(rapid.IntRange(-40, 40).Draw(t, "clock steps by")) * time.Second
				clocks[n].now = clocks[n].now.Add(step)
			case 6:
				begin(n)
			case 7, 8:
				terms[n].reportDue(context.Background())
				for _, l := range links {
					if l.from == counters[n] {
						l.carry()
					}
				}
				copies = append(copies, *d.fakePlatform)
			case 9:
				if len(d.late) > 0 {
					d.late[0]()
					d.late = d.late[1:]
				}
			case 10: // A clock moves ahead and then steps back.
				before := clocks[n].now
				for range rapid.IntRange(0, maxRecordWindows+3).Draw(t, "windows ahead") {
					counters[n].Began("acme")
					clocks[n].now = clocks[n].now.Add(length)
					terms[n].reportDue(context.Background())
				}
				clocks[n].now = before
			case 11:
				back := rapid.SampledFrom(copies).Draw(t, "copy")
				d.value, d.rev = back.value, back.rev
				for n := range terms {
					begin(n)
				}
			}
		}
		for window, reports := range d.reported {
			for _, r := range reports {
				if !maps.Equal(r, reports[0]) {
					t.Fatalf("window %d is reported as %v and %v", window, reports[0], r)
				}
			}
		}
	})
}
