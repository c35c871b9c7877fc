package tdbegun

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

const length = 5 * time.Second

type hand struct{ now tarragondeal.Instant }

func (h *hand) Now() tarragondeal.Instant { return h.now }
func (h *hand) Wall() time.Time           { return time.Unix(0, int64(h.now)).UTC() }

// gone is a process that tells nothing any more.
type gone struct{ Process }

func (g *gone) alive(p Process) bool { return p != g.Process }

// nobody is a stream that has only its node's own news.
func nobody(tarragondeal.NodeID) bool { return false }

func newCounter(node string, c *hand, g *gone) *Counter {
	return NewCounter(Process{Node: tarragondeal.NodeID(node), Incarnation: 1}, length, c.Wall, g.alive)
}

// TestCountsOutliveTheirNode checks that what a node counted and told is told
// on by the others when it is gone, and counted once.
func TestCountsOutliveTheirNode(t *testing.T) {
	clock := &hand{now: tarragondeal.Instant(100 * length)}
	var dead gone
	a, b, c := newCounter("a", clock, &dead), newCounter("b", clock, &dead), newCounter("c", clock, &dead)
	ab, bc := a.Writer(), b.Writer()
	for range 3 {
		a.Began("acme")
	}
	b.Began("acme")
	b.Hear("a", ab(nobody))
	dead.Process = Process{Node: "a", Incarnation: 1}
	c.Hear("b", bc(nobody))
	window := c.Window()
	for name, counter := range map[string]*Counter{"b": b, "c": c} {
		if got := counter.Sum(window)["acme"]; got != 4 {
			t.Errorf("%s counts %d", name, got)
		}
	}
	c.Hear("b", b.Writer()(nobody))
	if got := c.Sum(window)["acme"]; got != 4 {
		t.Errorf("told twice, c counts %d", got)
	}
}

// TestCountsGoOnThroughARelay checks that a relay tells on what its leaves count,
// and that a process is counted once whichever way its counts come.
func TestCountsGoOnThroughARelay(t *testing.T) {
	clock := &hand{now: tarragondeal.Instant(100 * length)}
	leaf, relay, other := newCounter("leaf", clock, &gone{}), newCounter("relay", clock, &gone{}), newCounter("other", clock, &gone{})
	fromLeaf := func(n tarragondeal.NodeID) bool { return n == "leaf" }
	up, on := leaf.Writer(), relay.Writer()
	for range 3 {
		leaf.Began("acme")
		relay.Hear("leaf", up(nobody))
		other.Hear("relay", on(fromLeaf))
	}
	relay.Began("acme")
	other.Hear("relay", on(fromLeaf))
	other.Hear("leaf", leaf.Writer()(nobody)) // The leaf has taken another relay.
	if got := other.Sum(other.Window())["acme"]; got != 4 {
		t.Errorf("%d are counted of 4", got)
	}
	if out := relay.Writer()(nobody); len(out) == 0 || len(out) >= len(on(fromLeaf))+len(relay.Writer()(fromLeaf)) {
		t.Errorf("a stream that passes no leaf on tells %d bytes", len(out))
	}
}

// TestNodeThatStartedAnewCountsOn checks that the counts of its last run stay.
func TestNodeThatStartedAnewCountsOn(t *testing.T) {
	clock := &hand{now: tarragondeal.Instant(100 * length)}
	b := newCounter("b", clock, &gone{})
	for incarnation := range uint64(3) {
		a := NewCounter(Process{Node: "a", Incarnation: incarnation}, length, clock.Wall, (&gone{}).alive)
		a.Began("acme")
		b.Hear("a", a.Writer()(nobody))
	}
	if got := b.Sum(b.Window())["acme"]; got != 3 {
		t.Errorf("b counts %d", got)
	}
}

func TestWriterTellsOnlyWhatIsNew(t *testing.T) {
	clock := &hand{now: tarragondeal.Instant(100 * length)}
	a := newCounter("a", clock, &gone{})
	write := a.Writer()
	a.Began("acme")
	if len(write(nobody)) == 0 {
		t.Fatal("nothing told")
	}
	if out := write(nobody); len(out) != 0 {
		t.Errorf("told again: %d bytes", len(out))
	}
}

// desk is a stand-in for store, platform and lease.
type desk struct {
	value    []byte
	rev      tarragondeal.Revision
	lose     bool // The answer of the next write is lost.
	held     bool
	reported map[int64][]map[string]int64
}

func (d *desk) Get(context.Context, string) (tarragondeal.Entry, error) {
	return tarragondeal.Entry{Value: d.value, Revision: d.rev}, nil
}

func (d *desk) Swap(_ context.Context, _ string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	if prev != d.rev {
		return tarragondeal.Entry{}, &tarragondeal.ConflictError{}
	}
	d.value, d.rev = value, d.rev+1
	if d.lose {
		d.lose = false
		return tarragondeal.Entry{}, &tarragondeal.StoreError{Err: errors.New("lost")}
	}
	return tarragondeal.Entry{Revision: d.rev}, nil
}

func (d *desk) ReportUsage(_ context.Context, r tarragondeal.BegunReport) error {
	d.reported[r.Window] = append(d.reported[r.Window], r.Begun)
	return nil
}

func (d *desk) Fence() uint64       { return 7 }
func (d *desk) Predecessor() string { return "" }
func (d *desk) Check(time.Duration) error {
	if !d.held {
		return &tarragondeal.LeaseError{}
	}
	return nil
}

// store completes the desk's store with calls that are not made.
type store struct {
	tarragondeal.Store
	*desk
}

func (s store) Get(ctx context.Context, key string) (tarragondeal.Entry, error) {
	return s.desk.Get(ctx, key)
}

func (s store) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	return s.desk.Swap(ctx, key, value, prev)
}

func newTerm(c *Counter, clock *hand, d *desk, whole bool) *term {
	r := NewReporter(Deps{
		Store: store{desk: d}, Sink: d, Counter: c, Whole: func() bool { return whole }, Clock: clock,
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, Options{Window: length, Due: 10 * time.Second})
	return &term{r: r, held: d, sent: make(map[int64]bool)}
}

// TestWindowIsReportedWithOneSum checks holders that follow one another and
// know different counts, with a write whose answer was lost in between.
func TestWindowIsReportedWithOneSum(t *testing.T) {
	clock := &hand{now: tarragondeal.Instant(100 * length)}
	d := &desk{held: true, lose: true, reported: make(map[int64][]map[string]int64)}
	a, b := newCounter("a", clock, &gone{}), newCounter("b", clock, &gone{})
	a.Began("acme")
	window := a.Window()
	for range 3 {
		b.Began("acme")
	}
	clock.now = clock.now.Add(length + 3*time.Second)
	ctx := context.Background()
	for _, c := range []*Counter{a, b, a} {
		term := newTerm(c, clock, d, true)
		for range 4 {
			term.look(ctx)
		}
	}
	reports := d.reported[window]
	if len(reports) == 0 {
		t.Fatal("not reported")
	}
	for _, r := range reports {
		if !maps.Equal(r, reports[0]) {
			t.Errorf("reported %v and %v", reports[0], r)
		}
	}
	var kept record
	if err := json.Unmarshal(d.value, &kept); err != nil || kept.Windows[window]["acme"] != reports[0]["acme"] {
		t.Errorf("the store holds %v, %v", kept, err)
	}
}

func TestWindowWaitsForItsCounts(t *testing.T) {
	for _, c := range []struct {
		name  string
		since time.Duration
		whole bool
		held  bool
		want  int
	}{
		{"just ended", time.Second, true, true, 0},
		{"settled", 3 * time.Second, true, true, 1},
		{"a node is not heard", 3 * time.Second, false, true, 0},
		{"a node has not been heard for long", 7 * time.Second, false, true, 0},
		{"nearly due", 9 * time.Second, false, true, 1},
		{"the lease is not held", 6 * time.Second, true, false, 0},
	} {
		clock := &hand{now: tarragondeal.Instant(100 * length)}
		counter := newCounter("a", clock, &gone{})
		counter.Began("acme")
		d := &desk{held: c.held, reported: make(map[int64][]map[string]int64)}
		clock.now = clock.now.Add(length + c.since)
		term := newTerm(counter, clock, d, c.whole)
		term.look(context.Background())
		term.look(context.Background())
		if got := len(d.reported); got != c.want {
			t.Errorf("%s: %d windows reported", c.name, got)
		}
	}
}

func FuzzHear(f *testing.F) {
	clock := &hand{now: tarragondeal.Instant(100 * length)}
	a := newCounter("a", clock, &gone{})
	a.Began("acme")
	f.Add(a.Writer()(nobody))
	f.Fuzz(func(t *testing.T, payload []byte) {
		b := newCounter("b", clock, &gone{})
		b.Began("acme")
		b.Hear("a", payload)
		if b.Sum(b.Window())["acme"] < 1 {
			t.Fatal("an own count was lost")
		}
	})
}
