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

type member struct{ node tarragondeal.NodeID }

func (m member) Self() tarragondeal.Member    { return tarragondeal.Member{Node: m.node} }
func (member) Members() []tarragondeal.Member { return nil }
func (member) Changed() <-chan struct{}       { return nil }

// held is a lease that its holder believes in.
type held struct{ fence uint64 }

func (h held) Fence() uint64           { return h.fence }
func (held) Predecessor() string       { return "" }
func (held) Check(time.Duration) error { return nil }

// sink records reports, and may lose its answer.
type sink struct {
	got  map[int64]string
	lose bool
	bad  string
}

func (s *sink) Report(_ context.Context, r tarragondeal.UsageReport) error {
	figures, err := json.Marshal(r.Lines)
	if err != nil {
		return err
	}
	window := r.Window.Unix()
	if old, ok := s.got[window]; ok && old != string(figures) {
		s.bad = fmt.Sprintf("window %d was reported with %s and %s", window, old, figures)
	}
	s.got[window] = string(figures)
	if s.lose {
		return &tarragondeal.PlatformError{Op: "report"}
	}
	return nil
}

const length = time.Minute

// world is some reporters that all believe they have the duty.
type world struct {
	t         *rapid.T
	clock     *clock
	store     *tdmemstore.Store
	sink      *sink
	reporters []*Duty
	ledgers   []*ledger
	terms     []*tdgate.Term
	sources   map[tdusage.SourceID]tdusage.Lines
	places    map[tdusage.SourceID]*tdusage.Position
	inside    bool
}

func newWorld(ctx context.Context, t *rapid.T) *world {
	w := &world{
		t: t, clock: &clock{now: time.Hour}, store: tdmemstore.New(), sink: &sink{got: make(map[int64]string)},
		sources: make(map[tdusage.SourceID]tdusage.Lines), places: make(map[tdusage.SourceID]*tdusage.Position),
	}
	for n := range 2 {
		node := tarragondeal.NodeID(fmt.Sprint("node", n))
		r := New(Deps{
			Store: w.store, Sink: w.sink, Clock: w.clock, Self: node, Log: zerolog.Nop(), Scope: tally.NoopScope,
		}, Config{Window: length, Grace: 10 * time.Second, SendTimeout: time.Second, SinkChecksFencing: true, KeepWindows: 3})
		gates := tdgate.New(tdgate.Deps{Store: w.store, Members: member{node}, Clock: w.clock, Log: zerolog.Nop()}, tdgate.Config{})
		term, err := gates.Enter(ctx, fmt.Sprint(Lease, n), held{uint64(n + 1)})
		if err != nil {
			t.Fatal(err)
		}
		w.reporters, w.ledgers, w.terms = append(w.reporters, r), append(w.ledgers, newLedger(w.store)), append(w.terms, term)
	}
	return w
}

// flush adds to a source of the present window or one just before it.
func (w *world) flush(ctx context.Context) {
	back := time.Duration(rapid.IntRange(0, 1).Draw(w.t, "windows back")) * length
	id := tdusage.SourceID{
		Window: tdusage.WindowStart(w.clock.Wall().Add(-back), length),
		Source: fmt.Sprint("source", rapid.IntRange(0, 2).Draw(w.t, "source")),
	}
	if w.sources[id] == nil {
		w.sources[id], w.places[id] = make(tdusage.Lines), &tdusage.Position{}
	}
	line := tdusage.LineKey{Workspace: fmt.Sprint("workspace", rapid.IntRange(0, 2).Draw(w.t, "workspace")), Route: "narrate"}
	next := make(tdusage.Lines)
	next.Plus(w.sources[id])
	next.Plus(tdusage.Lines{line: {Requests: 1, InputTokens: 10, OutputTokens: 100}})
	w.sources[id] = next
	// What the flush could not write goes with the next one.
	_ = tdusage.Flush(ctx, w.store, id, next, w.places[id])
}

// preempt lets the other reporter, or a flush, come in before a call.
func (w *world) preempt(ctx context.Context, k int) func(string, string) tdmemstore.Fault {
	return func(string, string) tdmemstore.Fault {
		if w.inside {
			return tdmemstore.None
		}
		switch rapid.IntRange(0, 19).Draw(w.t, "preempt") {
		case 0:
			w.inside = true
			_ = w.reporters[1-k].pass(ctx, w.ledgers[1-k], w.terms[1-k], uint64(2-k))
			w.inside = false
		case 1:
			w.inside = true
			w.flush(ctx)
			w.inside = false
		case 2:
			return tdmemstore.LoseAnswer
		case 3:
			return tdmemstore.LoseCall
		}
		return tdmemstore.None
	}
}

func (w *world) pass(ctx context.Context, k int) error {
	return w.reporters[k].pass(ctx, w.ledgers[k], w.terms[k], uint64(k+1))
}

// billed sums the log.
func (w *world) billed(ctx context.Context) (tdusage.Lines, error) {
	out, windows := make(tdusage.Lines), make(map[int64]bool)
	l := newLedger(w.store)
	if err := l.follow(ctx); err != nil {
		return nil, err
	}
	for _, e := range l.entries {
		if windows[e.Window] {
			return nil, fmt.Errorf("window %d stands twice in the log", e.Window)
		}
		windows[e.Window] = true
		lines, err := readPieces(ctx, w.store, e)
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
			w := newWorld(ctx, t)
			for _, r := range w.reporters {
				r.cfg.KeepWindows = 1000
			}
			for range rapid.IntRange(1, 25).Draw(t, "steps") {
				switch rapid.IntRange(0, 4).Draw(t, "step") {
				case 0, 1:
					w.flush(ctx)
				case 2:
					w.clock.now += 25 * time.Second
				default:
					k := rapid.IntRange(0, 1).Draw(t, "reporter")
					w.sink.lose = rapid.Bool().Draw(t, "report unanswered")
					w.store.Fault = w.preempt(ctx, k)
					_ = w.pass(ctx, k)
					w.store.Fault = nil
				}
			}
			w.finish(ctx)
			if w.sink.bad != "" {
				t.Fatal(w.sink.bad)
			}
			billed, err := w.billed(ctx)
			if err != nil {
				t.Fatal(err)
			}
			want := make(tdusage.Lines)
			for _, lines := range w.sources {
				want.Plus(lines)
			}
			if len(billed.Minus(want)) > 0 || len(want.Minus(billed)) > 0 {
				t.Fatalf("used %v, billed %v", want, billed)
			}
		})
	})

	It("deletes what was reported long ago and no more", func(ctx context.Context) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(ctx, t)
			for range 6 {
				w.flush(ctx)
				w.clock.now += length
				if err := w.pass(ctx, rapid.IntRange(0, 1).Draw(t, "reporter")); err != nil {
					t.Fatal(err)
				}
			}
			w.finish(ctx)
			l := newLedger(w.store)
			if err := l.follow(ctx); err != nil {
				t.Fatal(err)
			}
			if len(l.entries) < 3 || len(l.entries) > 5 {
				t.Fatalf("%d entries are kept", len(l.entries))
			}
			sources, err := readSources(ctx, w.store, 2)
			if err != nil {
				t.Fatal(err)
			}
			for id := range sources {
				if _, kept := l.windows[id.Window]; !kept {
					t.Fatalf("%v is kept without its window", id)
				}
			}
		})
	})
})

// finish lets everything be flushed, closed and reported.
func (w *world) finish(ctx context.Context) {
	w.sink.lose = false
	for id, lines := range w.sources {
		if err := tdusage.Flush(ctx, w.store, id, lines, w.places[id]); err != nil {
			w.t.Fatal(err)
		}
	}
	for range 2 {
		w.clock.now += 3 * length
		for k := range w.reporters {
			if err := w.pass(ctx, k); err != nil {
				w.t.Fatal(err)
			}
		}
	}
}

// BenchmarkClose closes a window that some nodes used with 1,000 lines each.
func BenchmarkClose(b *testing.B) {
	for _, nodes := range []int{10, 50, 200} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) { closeSources(b, nodes, 1000) })
	}
}

func closeSources(b *testing.B, nodes, lines int) {
	ctx := context.Background()
	for b.Loop() {
		b.StopTimer()
		w := newWorld(ctx, &rapid.T{})
		for n := range nodes {
			l := make(tdusage.Lines)
			for k := range lines {
				l[tdusage.LineKey{Workspace: fmt.Sprint("workspace", n*31+k), Route: "narrate"}] = tdusage.Counts{Requests: 1, InputTokens: 2, OutputTokens: 3}
			}
			id := tdusage.SourceID{Window: tdusage.WindowStart(w.clock.Wall(), length), Source: fmt.Sprint("node", n)}
			if err := tdusage.Flush(ctx, w.store, id, l, &tdusage.Position{}); err != nil {
				b.Fatal(err)
			}
		}
		w.clock.now += 2 * length
		writes, read := w.store.Writes.Load(), w.store.Reads.Load()
		b.StartTimer()
		if err := w.pass(ctx, 0); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(w.store.Writes.Load()-writes), "writes/window")
		b.ReportMetric(float64(w.store.Reads.Load()-read), "reads/window")
	}
}
