package tdreporter

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/account/tdgate"
	"tarragondeal/internal/account/tdusage"
	"tarragondeal/internal/test/tdmemstore"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestReporter(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Reporter")
}

type clock struct{ now time.Duration }

func (c *clock) Now() tarragondeal.Instant { return tarragondeal.Instant(c.now) }
func (c *clock) Wall() time.Time           { return time.Unix(0, 0).UTC().Add(c.now) }

type fakeMembers struct{ node tarragondeal.NodeID }

func (m fakeMembers) Self() tarragondeal.Member    { return tarragondeal.Member{Node: m.node} }
func (fakeMembers) Members() []tarragondeal.Member { return nil }
func (fakeMembers) Changed() <-chan struct{}       { return nil }

// fakeHeld is a lease whose Check always succeeds.
type fakeHeld struct{ fence uint64 }

func (h fakeHeld) Fence() uint64           { return h.fence }
func (fakeHeld) Predecessor() string       { return "" }
func (fakeHeld) Check(time.Duration) error { return nil }

// fakeSink records reports, and may lose its replies. It notes a window that is
// reported with different lines.
type fakeSink struct {
	reported  map[int64]string
	loseReply bool
	mismatch  string
}

func (s *fakeSink) Report(_ context.Context, r tarragondeal.UsageReport) error {
	lines, err := json.Marshal(r.Lines)
	if err != nil {
		return err
	}
	window := r.Window.Unix()
	if old, ok := s.reported[window]; ok && old != string(lines) {
		s.mismatch = fmt.Sprintf("window %d was reported with %s and %s", window, old, lines)
	}
	s.reported[window] = string(lines)
	if s.loseReply {
		return &tarragondeal.PlatformError{Op: "report"}
	}
	return nil
}

const length = time.Minute

// fixture holds two reporters that both assume they have the duty.
type fixture struct {
	t         *rapid.T
	clock     *clock
	store     *tdmemstore.Store
	sink      *fakeSink
	reporters []*Duty
	ledgers   []*ledger
	terms     []*tdgate.Term
	sources   map[tdusage.SourceID]tdusage.Lines
	positions map[tdusage.SourceID]*tdusage.Position
	nested    bool
}

func newFixture(ctx context.Context, t *rapid.T) *fixture {
	f := &fixture{
		t: t, clock: &clock{now: time.Hour}, store: tdmemstore.New(), sink: &fakeSink{reported: make(map[int64]string)},
		sources: make(map[tdusage.SourceID]tdusage.Lines), positions: make(map[tdusage.SourceID]*tdusage.Position),
	}
	for n := range 2 {
		node := tarragondeal.NodeID(fmt.Sprint("node", n))
		r := New(Deps{
			Store: f.store, Sink: f.sink, Clock: f.clock, Self: node, Log: zerolog.Nop(), Scope: tally.NoopScope,
		}, Config{Window: length, Grace: 10 * time.Second, SendTimeout: time.Second, SinkChecksFencing: true, KeepWindows: 3})
		gates := tdgate.New(tdgate.Deps{Store: f.store, Members: fakeMembers{node}, Clock: f.clock, Log: zerolog.Nop()}, tdgate.Config{})
		term, err := gates.Enter(ctx, fmt.Sprint(Lease, n), fakeHeld{uint64(n + 1)})
		if err != nil {
			t.Fatal(err)
		}
		f.reporters, f.ledgers, f.terms = append(f.reporters, r), append(f.ledgers, newLedger(f.store)), append(f.terms, term)
	}
	return f
}

// flush adds usage to a source of the current window or the one before it.
func (f *fixture) flush(ctx context.Context) {
	back := time.Duration(rapid.IntRange(0, 1).Draw(f.t, "windows back")) * length
	id := tdusage.SourceID{
		Window: tdusage.WindowStart(f.clock.Wall().Add(-back), length),
		Source: fmt.Sprint("source", rapid.IntRange(0, 2).Draw(f.t, "source")),
	}
	if f.sources[id] == nil {
		f.sources[id], f.positions[id] = make(tdusage.Lines), &tdusage.Position{}
	}
	line := tdusage.LineKey{Workspace: fmt.Sprint("workspace", rapid.IntRange(0, 2).Draw(f.t, "workspace")), Route: "narrate"}
	next := make(tdusage.Lines)
	next.Plus(f.sources[id])
	next.Plus(tdusage.Lines{line: {Requests: 1, InputTokens: 10, OutputTokens: 100}})
	f.sources[id] = next
	// Lines that this flush fails to write are written by the next one.
	_ = tdusage.Flush(ctx, f.store, id, next, f.positions[id])
}

// preempt returns a hook that runs the other reporter or a flush before a call of
// the store, or injects a fault.
func (f *fixture) preempt(ctx context.Context, k int) func(string, string) tdmemstore.Fault {
	return func(string, string) tdmemstore.Fault {
		if f.nested {
			return tdmemstore.None
		}
		switch rapid.IntRange(0, 19).Draw(f.t, "preempt") {
		case 0:
			f.nested = true
			_ = f.reporters[1-k].pass(ctx, f.ledgers[1-k], f.terms[1-k], uint64(2-k))
			f.nested = false
		case 1:
			f.nested = true
			f.flush(ctx)
			f.nested = false
		case 2:
			return tdmemstore.LoseAnswer
		case 3:
			return tdmemstore.LoseCall
		}
		return tdmemstore.None
	}
}

func (f *fixture) pass(ctx context.Context, k int) error {
	return f.reporters[k].pass(ctx, f.ledgers[k], f.terms[k], uint64(k+1))
}

// billed returns the sum of all entries in the log. It returns an error if a
// window has two entries.
func (f *fixture) billed(ctx context.Context) (tdusage.Lines, error) {
	out, windows := make(tdusage.Lines), make(map[int64]bool)
	l := newLedger(f.store)
	if err := l.catchUp(ctx); err != nil {
		return nil, err
	}
	for _, e := range l.entries {
		if windows[e.Window] {
			return nil, fmt.Errorf("window %d is in the log twice", e.Window)
		}
		windows[e.Window] = true
		lines, err := readPieces(ctx, f.store, e)
		if err != nil {
			return nil, err
		}
		for _, u := range lines {
			out.Plus(tdusage.Lines{{Workspace: u.Workspace, Route: u.Route}: {
				Requests: u.Requests, InputTokens: u.InputTokens, OutputTokens: u.OutputTokens,
			}})
		}
	}
	return out, nil
}

var _ = Describe("closing and reporting windows", func() {
	It("bills everything once, whoever believes to have the duty", func(ctx context.Context) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFixture(ctx, t)
			for _, r := range f.reporters {
				r.cfg.KeepWindows = 1000
			}
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0, 1:
					f.flush(ctx)
				case 2:
					f.clock.now += 25 * time.Second
				default:
					k := rapid.IntRange(0, 1).Draw(t, "reporter")
					f.sink.loseReply = rapid.Bool().Draw(t, "report unanswered")
					f.store.Fault = f.preempt(ctx, k)
					_ = f.pass(ctx, k)
					f.store.Fault = nil
				}
			}
			f.finish(ctx)
			if f.sink.mismatch != "" {
				t.Fatal(f.sink.mismatch)
			}
			billed, err := f.billed(ctx)
			if err != nil {
				t.Fatal(err)
			}
			want := make(tdusage.Lines)
			for _, lines := range f.sources {
				want.Plus(lines)
			}
			if len(billed.Minus(want)) > 0 || len(want.Minus(billed)) > 0 {
				t.Fatalf("used %v, billed %v", want, billed)
			}
		})
	})

	It("deletes windows reported long ago and no others", func(ctx context.Context) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			f := newFixture(ctx, t)
			for range 6 {
				f.flush(ctx)
				f.clock.now += length
				if err := f.pass(ctx, rapid.IntRange(0, 1).Draw(t, "reporter")); err != nil {
					t.Fatal(err)
				}
			}
			f.finish(ctx)
			l := newLedger(f.store)
			if err := l.catchUp(ctx); err != nil {
				t.Fatal(err)
			}
			if len(l.entries) < 3 || len(l.entries) > 5 {
				t.Fatalf("%d entries are kept", len(l.entries))
			}
			sources, err := readSources(ctx, f.store, 2)
			if err != nil {
				t.Fatal(err)
			}
			for id := range sources {
				if _, kept := l.windows[id.Window]; !kept {
					t.Fatalf("source %v is kept without its window", id)
				}
			}
		})
	})
})

// finish flushes, closes and reports everything.
func (f *fixture) finish(ctx context.Context) {
	f.sink.loseReply = false
	for id, lines := range f.sources {
		if err := tdusage.Flush(ctx, f.store, id, lines, f.positions[id]); err != nil {
			f.t.Fatal(err)
		}
	}
	for range 2 {
		f.clock.now += 3 * length
		for k := range f.reporters {
			if err := f.pass(ctx, k); err != nil {
				f.t.Fatal(err)
			}
		}
	}
}

// BenchmarkClose closes a window in which each node has 1,000 lines.
func BenchmarkClose(b *testing.B) {
	for _, nodes := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) { closeSources(b, nodes, 1000) })
	}
}

func closeSources(b *testing.B, nodes, lines int) {
	ctx := context.Background()
	for b.Loop() {
		b.StopTimer()
		f := newFixture(ctx, &rapid.T{})
		for n := range nodes {
			l := make(tdusage.Lines)
			for k := range lines {
				l[tdusage.LineKey{Workspace: fmt.Sprint("workspace", n*31+k), Route: "narrate"}] = tdusage.Counts{Requests: 1, InputTokens: 2, OutputTokens: 3}
			}
			id := tdusage.SourceID{Window: tdusage.WindowStart(f.clock.Wall(), length), Source: fmt.Sprint("node", n)}
			if err := tdusage.Flush(ctx, f.store, id, l, &tdusage.Position{}); err != nil {
				b.Fatal(err)
			}
		}
		f.clock.now += 2 * length
		writes, read := f.store.Writes.Load(), f.store.Reads.Load()
		b.StartTimer()
		if err := f.pass(ctx, 0); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(f.store.Writes.Load()-writes), "writes/window")
		b.ReportMetric(float64(f.store.Reads.Load()-read), "reads/window")
	}
}
