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

type fakeClock struct{ now tarragondeal.Instant }

func (h *fakeClock) Now() tarragondeal.Instant { return h.now }
func (h *fakeClock) Wall() time.Time           { return time.Unix(0, int64(h.now)).UTC() }

// deadProcess is a process that no longer sends its counts.
type deadProcess struct{ Process }

func (g *deadProcess) alive(p Process) bool { return p != g.Process }

// forwardNone makes a stream carry only its node's own counts.
func forwardNone(tarragondeal.NodeID) bool { return false }

func newCounter(node string, c *fakeClock, g *deadProcess) *Counter {
	return NewCounter(Process{Node: tarragondeal.NodeID(node), Incarnation: 1}, length, c.Wall, g.alive)
}

// TestCountsSurviveTheirNode checks that other nodes send on the counts of a node
// that is gone, and that they are counted once.
func TestCountsSurviveTheirNode(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	var dead deadProcess
	a, b, c := newCounter("a", clock, &dead), newCounter("b", clock, &dead), newCounter("c", clock, &dead)
	ab, bc := a.Writer(), b.Writer()
	for range 3 {
		a.Began("acme")
	}
	b.Began("acme")
	b.Receive("a", ab(forwardNone))
	dead.Process = Process{Node: "a", Incarnation: 1}
	c.Receive("b", bc(forwardNone))
	window := c.Window()
	for name, counter := range map[string]*Counter{"b": b, "c": c} {
		if got := counter.Sum(window)["acme"]; got != 4 {
			t.Errorf("%s counts %d", name, got)
		}
	}
	c.Receive("b", b.Writer()(forwardNone))
	if got := c.Sum(window)["acme"]; got != 4 {
		t.Errorf("after receiving counts twice, c counts %d", got)
	}
}

// TestRelayForwardsCounts checks that a relay forwards the counts of its leaves,
// and that a process is counted once whichever way its counts arrive.
func TestRelayForwardsCounts(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	leaf, relay, other := newCounter("leaf", clock, &deadProcess{}), newCounter("relay", clock, &deadProcess{}), newCounter("other", clock, &deadProcess{})
	fromLeaf := func(n tarragondeal.NodeID) bool { return n == "leaf" }
	up, on := leaf.Writer(), relay.Writer()
	for range 3 {
		leaf.Began("acme")
		relay.Receive("leaf", up(forwardNone))
		other.Receive("relay", on(fromLeaf))
	}
	relay.Began("acme")
	other.Receive("relay", on(fromLeaf))
	other.Receive("leaf", leaf.Writer()(forwardNone)) // The leaf has switched to another relay.
	if got := other.Sum(other.Window())["acme"]; got != 4 {
		t.Errorf("%d requests counted, want 4", got)
	}
	if out := relay.Writer()(forwardNone); len(out) == 0 || len(out) >= len(on(fromLeaf))+len(relay.Writer()(fromLeaf)) {
		t.Errorf("a stream that forwards no leaf sends %d bytes", len(out))
	}
}

// TestRestartedNodeKeepsEarlierCounts checks that the counts of a node's earlier
// runs are kept.
func TestRestartedNodeKeepsEarlierCounts(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	b := newCounter("b", clock, &deadProcess{})
	for incarnation := range uint64(3) {
		a := NewCounter(Process{Node: "a", Incarnation: incarnation}, length, clock.Wall, (&deadProcess{}).alive)
		a.Began("acme")
		b.Receive("a", a.Writer()(forwardNone))
	}
	if got := b.Sum(b.Window())["acme"]; got != 3 {
		t.Errorf("b counts %d", got)
	}
}

// TestWriterSendsCountsOfOthersLater guards against counts that are never sent: their process was not
// forwarded when they changed, or it is known again after it was dropped.
func TestWriterSendsCountsOfOthersLater(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	var dead deadProcess
	a, b := newCounter("a", clock, &dead), newCounter("b", clock, &dead)
	ab, bc := a.Writer(), b.Writer()
	counts := func(payload []byte) int64 {
		c := newCounter("c", clock, &dead)
		c.Receive("b", payload)
		return c.Sum(c.Window())["acme"]
	}
	a.Began("acme")
	b.Receive("a", ab(forwardNone))
	if got := counts(bc(forwardNone)); got != 0 {
		t.Errorf("%d counts of a node that sends them itself", got)
	}
	dead.Process = Process{Node: "a", Incarnation: 1}
	if got := counts(bc(forwardNone)); got != 1 {
		t.Errorf("%d counts of a node that is gone", got)
	}
	if got := counts(bc(forwardNone)); got != 0 {
		t.Errorf("%d counts that were sent before", got)
	}
	clock.now = clock.now.Add((keepWindows + 2) * length)
	b.Began("acme") // Drops the counts of the other process.
	bc(forwardNone)
	a.Began("acme")
	b.Receive("a", ab(forwardNone))
	if got := counts(bc(forwardNone)); got != 1 {
		t.Errorf("%d counts of a process that was dropped before", got)
	}
}

// TestNodeWithoutRequestsDropsOldCounts guards against counts of others that are kept for ever
// at a node that itself begins no requests.
func TestNodeWithoutRequestsDropsOldCounts(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	a, b := newCounter("a", clock, &deadProcess{}), newCounter("b", clock, &deadProcess{})
	ab, window := a.Writer(), a.Window()
	for range keepWindows + 2 {
		a.Began("acme")
		b.Receive("a", ab(forwardNone))
		clock.now = clock.now.Add(length)
	}
	if got := b.Sum(window); len(got) != 0 {
		t.Errorf("counts %v of an old window", got)
	}
}

// TestNewNodeReceivesCountsOfWindowsNotClosed guards against usage that is lost, since a node
// that starts later and holds the duty has no counts of windows that no holder could close.
func TestNewNodeReceivesCountsOfWindowsNotClosed(t *testing.T) {
	for _, c := range []struct {
		name   string
		after  int64 // Windows.
		closed bool
		want   int64
	}{
		{"a late window", 2, false, 1},
		{"an old window", keepWindows - 1, false, 1},
		{"an old window that was closed", keepWindows - 1, true, 0},
		{"a window too old to be reported", keepWindows + 1, false, 0},
	} {
		clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
		a, b := newCounter("a", clock, &deadProcess{}), newCounter("b", clock, &deadProcess{})
		a.Began("acme")
		window := a.Window()
		if c.closed {
			a.Close(window, map[string]int64{"acme": 1}, 5)
		}
		clock.now = clock.now.Add(time.Duration(c.after) * length)
		write := a.Writer()
		b.Receive("a", write(forwardNone))
		if got := b.Sum(window)["acme"]; got != c.want {
			t.Errorf("%s: %d counts", c.name, got)
		}
		a.Began("other")
		if b.Receive("a", write(forwardNone)); len(b.Sum(window)) > 1 || len(write(forwardNone)) > 0 {
			t.Errorf("%s: sent again", c.name)
		}
	}
}

func TestWriterSendsOnlyChanges(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	a := newCounter("a", clock, &deadProcess{})
	write := a.Writer()
	a.Began("acme")
	if len(write(forwardNone)) == 0 {
		t.Fatal("nothing sent")
	}
	if out := write(forwardNone); len(out) != 0 {
		t.Errorf("sent again: %d bytes", len(out))
	}
}

// fakePlatform is a fake store, usage sink and lease.
type fakePlatform struct {
	value     []byte
	rev       tarragondeal.Revision
	loseReply bool // The reply to the next write is lost.
	// loseReport makes the replies to reports be lost.
	loseReport bool
	era        tarragondeal.Era
	// remembersSince is since when the nodes remember; zero for always.
	remembersSince time.Time
	held           bool
	reported       map[int64][]map[string]int64
}

func (d *fakePlatform) Get(context.Context, string) (tarragondeal.Entry, error) {
	return tarragondeal.Entry{Value: d.value, Revision: d.rev}, nil
}

func (d *fakePlatform) Swap(_ context.Context, _ string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	if prev != d.rev {
		return tarragondeal.Entry{}, &tarragondeal.ConflictError{}
	}
	d.value, d.rev = value, d.rev+1
	if d.loseReply {
		d.loseReply = false
		return tarragondeal.Entry{}, &tarragondeal.StoreError{Err: errors.New("lost")}
	}
	return tarragondeal.Entry{Revision: d.rev}, nil
}

func (d *fakePlatform) ReportUsage(_ context.Context, r tarragondeal.BegunReport) error {
	d.reported[r.Window] = append(d.reported[r.Window], r.Begun)
	if d.loseReport {
		return errors.New("lost")
	}
	return nil
}

func (d *fakePlatform) Fence() uint64       { return 7 }
func (d *fakePlatform) Predecessor() string { return "" }
func (d *fakePlatform) Check(time.Duration) error {
	if !d.held {
		return &tarragondeal.LeaseError{}
	}
	return nil
}

// fakeStore adds the methods of Store that the reporter doesn't call.
type fakeStore struct {
	tarragondeal.Store
	*fakePlatform
}

func (s fakeStore) Get(ctx context.Context, key string) (tarragondeal.Entry, error) {
	return s.fakePlatform.Get(ctx, key)
}

func (s fakeStore) Swap(ctx context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	return s.fakePlatform.Swap(ctx, key, value, prev)
}

func newTerm(c *Counter, clock *fakeClock, d *fakePlatform, allAlive bool) *term {
	r := NewReporter(Deps{
		Store: fakeStore{fakePlatform: d}, Sink: d, Counter: c, AllAlive: func() bool { return allAlive }, Clock: clock,
		Era: func() tarragondeal.Era { return d.era }, RemembersSince: func() time.Time { return d.remembersSince },
		Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, Options{Window: length, Due: 10 * time.Second})
	return r.newTerm(d)
}

// TestWindowIsReportedWithTheSameSums checks that successive holders of the duty
// that know different counts report the same sums, also after the reply to a
// write was lost.
func TestWindowIsReportedWithTheSameSums(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	d := &fakePlatform{held: true, loseReply: true, reported: make(map[int64][]map[string]int64)}
	a, b := newCounter("a", clock, &deadProcess{}), newCounter("b", clock, &deadProcess{})
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
			term.reportDue(ctx)
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

// TestWindowWaitsForCounts checks when a window is reported. It also guards against windows that are
// reported with other counts, since no node knows of the nodes before.
func TestWindowWaitsForCounts(t *testing.T) {
	for _, c := range []struct {
		name     string
		since    time.Duration
		allAlive bool
		held     bool
		started  time.Duration // After the window's end, when all nodes did; zero if some are older.
		closed   bool          // A node knows the window as closed.
		want     int
	}{
		{"just ended", time.Second, true, true, 0, false, 0},
		{"settled", 3 * time.Second, true, true, 0, false, 1},
		{"a node is unreachable", 3 * time.Second, false, true, 0, false, 0},
		{"a node has been unreachable for long", 7 * time.Second, false, true, 0, false, 0},
		{"nearly due", 9 * time.Second, false, true, 0, false, 1},
		{"the lease is not held", 6 * time.Second, true, false, 0, false, 0},
		{"all nodes began before its end", 3 * time.Second, true, true, -time.Second, false, 1},
		{"all nodes began after its end", 9 * time.Second, true, true, time.Second, false, 0},
		{"all nodes began after its end and know it", 9 * time.Second, true, true, time.Second, true, 1},
	} {
		clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
		counter := newCounter("a", clock, &deadProcess{})
		counter.Began("acme")
		d := &fakePlatform{held: c.held, reported: make(map[int64][]map[string]int64)}
		clock.now = clock.now.Add(length)
		if c.started != 0 {
			d.remembersSince = clock.Wall().Add(c.started)
		}
		if c.closed {
			counter.Close(counter.Window()-1, map[string]int64{"acme": 1}, 5)
		}
		clock.now = clock.now.Add(c.since)
		term := newTerm(counter, clock, d, c.allAlive)
		for range 3 {
			term.reportDue(context.Background())
		}
		if got := len(d.reported); got != c.want {
			t.Errorf("%s: %d windows reported", c.name, got)
		}
	}
}

func FuzzHear(f *testing.F) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	a := newCounter("a", clock, &deadProcess{})
	a.Began("acme")
	f.Add(a.Writer()(forwardNone))
	f.Fuzz(func(t *testing.T, payload []byte) {
		b := newCounter("b", clock, &deadProcess{})
		b.Began("acme")
		b.Receive("a", payload)
		if b.Sum(b.Window())["acme"] < 1 {
			t.Fatal("the process lost its own count")
		}
	})
}

// TestClockThatStepsBackReportsNoWindowTwice checks that a window that was reported is
// not summed up again after a clock was ahead for a while: the windows of that time
// must not push it out of the record.
func TestClockThatStepsBackReportsNoWindowTwice(t *testing.T) {
	clock := &fakeClock{now: tarragondeal.Instant(100 * length)}
	d := &fakePlatform{held: true, reported: make(map[int64][]map[string]int64)}
	a, b := newCounter("a", clock, &deadProcess{}), newCounter("b", clock, &deadProcess{})
	ctx := context.Background()
	a.Began("acme")
	for range 3 {
		b.Began("acme")
	}
	window := a.Window()
	clock.now = clock.now.Add(length + 3*time.Second)
	term := newTerm(a, clock, d, true)
	term.reportDue(ctx)
	trueTime := clock.now
	for range maxRecordWindows { // A clock ahead by one window, then two, and so on.
		clock.now = clock.now.Add(length)
		a.Began("acme")
		clock.now = clock.now.Add(length)
		term.reportDue(ctx)
	}
	clock.now = trueTime
	next := newTerm(b, clock, d, true)
	next.reportDue(ctx) // Reads the record.
	next.reportDue(ctx)
	for _, r := range d.reported[window] {
		if !maps.Equal(r, d.reported[window][0]) {
			t.Errorf("reported %v and %v", d.reported[window][0], r)
		}
	}
	if len(d.reported[window]) == 0 {
		t.Error("not reported")
	}
}
