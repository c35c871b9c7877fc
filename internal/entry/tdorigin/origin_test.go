package tdorigin

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// fakeClock is a clock that the test advances.
type fakeClock struct{ now tarragondeal.Instant }

func (c *fakeClock) Now() tarragondeal.Instant { return c.now }
func (c *fakeClock) Wall() time.Time           { return time.Unix(0, int64(c.now)).UTC() }

var (
	v1 = tarragondeal.Software{Pool: "m", Version: "v1"}
	v2 = tarragondeal.Software{Pool: "m", Version: "v2"}
)

// fleet is a fleet whose nodes exchange their records.
type fleet struct {
	clock   *fakeClock
	nodes   []*Origins
	links   map[[2]int]func(func(tarragondeal.NodeID) bool) []byte
	current bool
}

func newFleet(size int, first bool) *fleet {
	w := &fleet{clock: &fakeClock{now: tarragondeal.Instant(time.Hour)}, links: make(map[[2]int]func(func(tarragondeal.NodeID) bool) []byte), current: true}
	for range size {
		w.start(first)
	}
	return w
}

// start adds a node.
func (w *fleet) start(first bool) {
	w.nodes = append(w.nodes, New(Deps{
		Clock: w.clock, Current: func() bool { return w.current }, Confirm: w.confirm, Wall: w.clock.Wall, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, Options{FirstStart: first}))
}

// confirm fails if the nodes' lists of servers are not up to date.
func (w *fleet) confirm(context.Context) error {
	if !w.current {
		return errors.New("not confirmed")
	}
	return nil
}

// restart replaces a node by one that knows nothing.
func (w *fleet) restart(n int) {
	w.start(false)
	w.nodes[n] = w.nodes[len(w.nodes)-1]
	w.nodes = w.nodes[:len(w.nodes)-1]
	for link := range w.links {
		if link[0] == n || link[1] == n {
			delete(w.links, link)
		}
	}
}

func name(n int) tarragondeal.NodeID { return tarragondeal.NodeID(fmt.Sprint("node-", n)) }

// exchange sends the messages of all nodes but those that are down. With relays, node
// 0 is the only one that all others have a stream to.
func (w *fleet) exchange(relays bool, down ...int) {
	for from := range w.nodes {
		for to := range w.nodes {
			direct := !relays || from == 0 || to == 0
			if from == to || !direct || slices.Contains(down, from) || slices.Contains(down, to) {
				continue
			}
			link := [2]int{from, to}
			if w.links[link] == nil {
				w.links[link] = w.nodes[from].Writer()
			}
			forwards := func(of tarragondeal.NodeID) bool { return relays && from == 0 && of != name(to) }
			if payload := w.links[link](forwards); payload != nil {
				w.nodes[to].Receive(name(from), payload)
			}
		}
	}
}

// list gives all nodes a list of servers with the software.
func (w *fleet) list(software ...tarragondeal.Software) {
	for _, n := range w.nodes {
		n.SetServers(servers(software))
	}
}

func servers(software []tarragondeal.Software) []tarragondeal.Server {
	var out []tarragondeal.Server
	for _, s := range software {
		out = append(out, tarragondeal.Server{Pool: s.Pool, SoftwareVersion: s.Version})
	}
	return out
}

func (w *fleet) advance(d time.Duration) { w.clock.now = w.clock.now.Add(d) }

// found returns what a node knows of a request's stream without waiting.
func (w *fleet) found(n int, request string) (tarragondeal.Software, bool) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s, err := w.nodes[n].Find(ctx, tarragondeal.OriginQuery{
		Workspace: "a", Request: tarragondeal.RequestID(request), Pools: []string{"m"}, MaxAge: testAge,
	})
	return s, err == nil
}

func (w *fleet) expect(t *testing.T, what string, n int, request string, want tarragondeal.Software) {
	t.Helper()
	s, ok := w.found(n, request)
	if ok != want.Known() || s != want {
		t.Errorf("%s: node %d has %+v (%t) for %s, want %+v", what, n, s, ok, request, want)
	}
}

// testAge is the longest age of the streams in the tests.
const testAge = 20 * time.Second

var unknown = tarragondeal.Software{}

// TestStreamIsKnownToAllNodes guards against a stream whose version is lost with the
// node that began it, and against another stream's version.
func TestStreamIsKnownToAllNodes(t *testing.T) {
	for _, relays := range []bool{false, true} {
		w := newFleet(5, true)
		w.list(v1, v2)
		w.exchange(relays)
		w.nodes[1].Began("a", "r1", v1)
		w.nodes[2].Began("a", "r2", v2)
		w.nodes[2].Began("b", "r3", v2)
		w.advance(100 * time.Millisecond)
		w.exchange(relays)
		w.exchange(relays)
		for n := range w.nodes {
			w.expect(t, "begun", n, "r1", v1)
			w.expect(t, "begun", n, "r2", v2)
			w.expect(t, "another workspace's", n, "r3", unknown)
			w.expect(t, "never begun", n, "r4", unknown)
			w.expect(t, "without an id", n, "", unknown)
		}
		// The node that began r1 is gone. One that starts learns of it from the others.
		w.restart(4)
		w.nodes[4].SetServers(servers([]tarragondeal.Software{v1, v2}))
		w.exchange(relays, 1)
		w.exchange(relays, 1)
		w.expect(t, "after a restart", 4, "r1", v1)
	}
}

// TestLeafThatDies guards against a stream that only some nodes know, since the leaf that
// began it died before its relay had forwarded the announcement.
func TestLeafThatDies(t *testing.T) {
	w := newFleet(4, true) // Nodes 0 and 1 are relays, 2 is a leaf of 0 and 3 one of 1.
	w.list(v1, v2)
	leafAlive := true
	send := func(from, to int, include ...int) {
		link := [2]int{from, to}
		if w.links[link] == nil {
			w.links[link] = w.nodes[from].Writer()
		}
		payload := w.links[link](func(of tarragondeal.NodeID) bool {
			return slices.ContainsFunc(include, func(n int) bool { return name(n) == of && (n != 2 || leafAlive) })
		})
		w.nodes[to].Receive(name(from), payload)
	}
	round := func() {
		if leafAlive {
			send(2, 0)
		}
		send(0, 1, 2)
		send(1, 3, 0, 2)
		w.advance(100 * time.Millisecond)
	}
	w.nodes[2].Began("a", "r0", v2)
	round()
	round()
	w.nodes[2].Began("a", "r1", v1)
	send(2, 0)
	leafAlive = false
	round()
	w.expect(t, "the leaf's relay", 0, "r1", v1)
	w.expect(t, "the other relay", 1, "r1", v1)
	w.expect(t, "the other relay's leaf", 3, "r1", v1)
}

// TestRecordsExpire guards against records that are kept for ever, and ones that
// expire while their stream is open.
func TestRecordsExpire(t *testing.T) {
	w := newFleet(3, true)
	w.list(v1, v2)
	ended := w.nodes[0].Began("a", "long", v1)
	w.nodes[0].Began("a", "short", v2)()
	for range 600 {
		w.exchange(false)
		w.advance(100 * time.Millisecond)
	}
	for n := range w.nodes {
		w.expect(t, "open", n, "long", v1)
		w.expect(t, "ended", n, "short", unknown)
	}
	ended()
	for range 600 {
		w.exchange(false)
		w.advance(100 * time.Millisecond)
	}
	for n, o := range w.nodes {
		w.expect(t, "ended", n, "long", unknown)
		if len(o.records) > 0 || len(o.open) > 0 || len(o.expiry) > 0 {
			t.Errorf("node %d keeps %d records", n, len(o.records))
		}
	}
}

// TestNewStreamsOfStates guards against nodes that repeat old records to one another
// whenever a stream of states between them is opened: the links carry each record again
// for all nodes, and none expires.
func TestNewStreamsOfStates(t *testing.T) {
	for _, relays := range []bool{false, true} {
		w := newFleet(5, true)
		w.list(v1, v2)
		w.nodes[1].Began("a", "r", v1)()
		w.exchange(relays)
		w.exchange(relays)
		for range 15 {
			w.advance(3 * time.Second)
			clear(w.links)
			w.exchange(relays)
			w.exchange(relays)
		}
		for n, o := range w.nodes {
			w.expect(t, "after 45s", n, "r", unknown)
			if o.seq > 1 {
				t.Errorf("node %d sent the record %d times", n, o.seq)
			}
		}
	}
}

// TestRecordsAreBounded guards against memory that grows with the streams of a burst.
func TestRecordsAreBounded(t *testing.T) {
	w := newFleet(1, true)
	for n := range maxRecords + 1000 {
		w.nodes[0].Began("a", tarragondeal.RequestID(fmt.Sprint(n)), v1)()
	}
	if n := len(w.nodes[0].records); n > maxRecords {
		t.Errorf("%d records", n)
	}
	w.list(v1, v2)
	w.expect(t, "oldest", 0, "0", unknown)
	w.expect(t, "latest", 0, fmt.Sprint(maxRecords+999), v1)
}

// TestOneRequestAtTwoVersions guards against a choice between two versions of which
// either may have begun the stream.
func TestOneRequestAtTwoVersions(t *testing.T) {
	w := newFleet(2, true)
	w.list(v1, v2)
	w.nodes[0].Began("a", "r", v1)
	w.nodes[1].Began("a", "r", v2)
	w.exchange(false)
	for n := range w.nodes {
		w.expect(t, "two versions", n, "r", unknown)
	}
}

// TestOnlyVersion guards against a stream without a record that goes on at another
// version than its own: one that came since, at a node that doesn't know what was
// listed before, or whose list is old.
func TestOnlyVersion(t *testing.T) {
	w := newFleet(2, true)
	w.list(v1)
	w.expect(t, "one version", 0, "r", v1)
	w.current = false
	w.expect(t, "old list", 0, "r", unknown)
	w.current = true

	w.list(v1, v2)
	w.expect(t, "two versions", 0, "r", unknown)
	w.list(v2)
	w.expect(t, "the first one just left", 0, "r", unknown)
	w.advance(testAge - time.Second)
	w.expect(t, "the first one may have begun it", 0, "r", unknown)
	w.advance(2 * time.Second)
	w.expect(t, "the first one left long ago", 0, "r", v2)

	w.list(v2, tarragondeal.Software{Pool: "m"})
	w.expect(t, "a server without a version", 0, "r", unknown)
	w.list(v2, tarragondeal.Software{Pool: "other", Version: "v1"})
	w.advance(testAge + time.Second)
	w.expect(t, "another pool", 0, "r", v2)
}

// TestOnlyVersionAfterRestart guards against a node that starts again and takes the
// only version that it has seen for the only one that there was.
func TestOnlyVersionAfterRestart(t *testing.T) {
	w := newFleet(3, false)
	w.list(v1)
	w.expect(t, "no node knows more", 0, "r", unknown)
	w.advance(testAge + time.Second)
	w.expect(t, "known for long", 0, "r", v1)

	w.restart(2)
	w.nodes[2].SetServers(servers([]tarragondeal.Software{v1}))
	w.expect(t, "before the first message", 2, "r", unknown)
	w.exchange(false)
	w.expect(t, "peers know", 2, "r", v1)

	w.list(v2)
	w.exchange(false)
	w.restart(2)
	w.nodes[2].SetServers(servers([]tarragondeal.Software{v2}))
	w.exchange(false)
	w.expect(t, "peers know of another one", 2, "r", unknown)
}

// TestListChangesDuringLookup guards against a node that stops for ever: the list of
// servers changes under the lock of the store's copy, which Confirm needs too.
func TestListChangesDuringLookup(t *testing.T) {
	w := newFleet(1, true)
	w.list(v1)
	o := w.nodes[0]
	o.Confirm = func(context.Context) error {
		changed := make(chan struct{})
		go func() {
			o.SetServers(servers([]tarragondeal.Software{v1}))
			close(changed)
		}()
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
			t.Error("the list can't change while a stream is looked up")
		}
		return nil
	}
	w.expect(t, "one version", 0, "r", v1)
}

// TestListIsConfirmedDuringLookup guards against a stream that goes on at the only version of a
// list that was confirmed before the caller came back: servers of another version have joined since,
// began the stream through other nodes, and this node stood still or was cut off meanwhile.
func TestListIsConfirmedDuringLookup(t *testing.T) {
	for _, c := range []struct {
		name    string
		confirm func(o *Origins) error
		began   bool // Whether the announcement of the stream arrives while the list is confirmed.
		want    tarragondeal.Software
	}{
		{name: "nothing has changed", confirm: func(*Origins) error { return nil }, want: v1},
		{name: "another version has joined", confirm: func(o *Origins) error {
			o.SetServers(servers([]tarragondeal.Software{v1, v2}))
			return nil
		}, want: unknown},
		{name: "all servers were replaced", confirm: func(o *Origins) error {
			o.SetServers(servers([]tarragondeal.Software{v2}))
			return nil
		}, want: unknown},
		{name: "the store does not answer", confirm: func(*Origins) error { return errors.New("no answer") }, want: unknown},
		{name: "announced meanwhile", confirm: func(o *Origins) error {
			o.Began("a", "r", v2)()
			return nil
		}, want: v2},
		{name: "announced meanwhile, and the store does not answer", confirm: func(o *Origins) error {
			o.Began("a", "r", v2)()
			return errors.New("no answer")
		}, want: v2},
	} {
		w := newFleet(1, true)
		w.list(v1)
		o := w.nodes[0]
		o.Confirm = func(context.Context) error { return c.confirm(o) }
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		s, err := o.Find(ctx, tarragondeal.OriginQuery{Workspace: "a", Request: "r", Pools: []string{"m"}, MaxAge: testAge})
		cancel()
		if s != c.want || (err == nil) != c.want.Known() {
			t.Errorf("%s: found %+v, %v, want %+v", c.name, s, err, c.want)
		}
	}
}

// TestFindWaits guards against a refusal since a record is still on its way, and
// against a caller that waits for ever.
func TestFindWaits(t *testing.T) {
	w := newFleet(1, true)
	w.list(v1, v2)
	o := w.nodes[0]
	q := tarragondeal.OriginQuery{Workspace: "a", Request: "r", Pools: []string{"m"}}
	go func() {
		time.Sleep(50 * time.Millisecond)
		o.Began("a", "r", v2)
	}()
	if s, err := o.Find(context.Background(), q); err != nil || s != v2 {
		t.Errorf("found %+v, %v", s, err)
	}
	q.Request = "none"
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := o.Find(ctx, q)
	var refusal *tarragondeal.RefusedError
	if !errors.As(err, &refusal) || refusal.Reason != tarragondeal.ReasonUnknownVersion || refusal.Ran != tarragondeal.RanNot || refusal.RetryAfter <= 0 {
		t.Errorf("refused with %v", err)
	}
}

// TestInvalidMessages guards against messages of a peer that can't be read and stop the
// node, or leave records.
func TestInvalidMessages(t *testing.T) {
	w := newFleet(1, true)
	for _, payload := range [][]byte{nil, {0xff}, []byte("\x0a\x08\x0a\x01m\x12\x02v1\x1a\x00"), []byte("\x0a\x0c\x0a\x01m\x12\x02v1\x1a\x03abc")} {
		w.nodes[0].Receive("node-1", payload)
	}
	if len(w.nodes[0].records) > 0 {
		t.Errorf("%d records", len(w.nodes[0].records))
	}
}

// BenchmarkReceive measures the announcements of one second in a fleet with 2,000
// streams a second, and reports the heap for each record kept.
func BenchmarkReceive(b *testing.B) {
	const perSecond = 2000
	from, to := newFleet(1, true).nodes[0], newFleet(1, true)
	write := from.Writer()
	all := func(tarragondeal.NodeID) bool { return true }
	write(all)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n, size := 0, 0
	for b.Loop() {
		b.StopTimer()
		for range perSecond {
			n++
			from.Began("a", tarragondeal.RequestID(fmt.Sprint(n)), v1)()
		}
		payload := write(all)
		size = len(payload)
		b.StartTimer()
		to.nodes[0].Receive("node-1", payload)
		to.advance(time.Second)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	records := len(from.records) + len(to.nodes[0].records)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(records), "B/record")
	b.ReportMetric(float64(size), "B/s")
}

// TestListedSoftwareOverSlowLinks guards against software that two nodes send one another for
// ever, each time as if it had just been listed, so that it is never known to have gone.
func TestListedSoftwareOverSlowLinks(t *testing.T) {
	w := newFleet(2, true)
	gone := tarragondeal.Software{Pool: "model", Version: "v1"}
	w.list(gone, tarragondeal.Software{Pool: "model", Version: "v2"})
	w.list(tarragondeal.Software{Pool: "model", Version: "v2"})
	left := w.clock.now
	all := func(tarragondeal.NodeID) bool { return true }
	writers := []func(func(tarragondeal.NodeID) bool) []byte{w.nodes[0].Writer(), w.nodes[1].Writer()}
	for range 60 { // Messages take 2.5 s.
		for from, write := range writers {
			payload := write(all)
			w.clock.now = w.clock.now.Add(2500 * time.Millisecond)
			if payload != nil {
				w.nodes[1-from].Receive(name(from), payload)
			}
		}
	}
	for k, n := range w.nodes {
		n.mu.Lock()
		if age, want := w.clock.now.Sub(n.history.last[gone]), w.clock.now.Sub(left); age < want-time.Second {
			t.Errorf("node %d: listed last %s ago, it takes it for %s", k, want, age)
		}
		n.mu.Unlock()
	}
}
