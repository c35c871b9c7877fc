package tdbegun

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"tarragondeal"
)

// link carries the states of one node to another.
type link struct {
	from, to *Counter
	name     tarragondeal.NodeID // Of from.
	write    func(func(tarragondeal.NodeID) bool) []byte
	forwards func(tarragondeal.NodeID) bool
	before   bool // A build that doesn't know closed windows sends or receives the states.
}

func (l *link) carry() (bytes int) {
	payload := l.write(l.forwards)
	if bytes = len(payload); l.before {
		var m Begun
		_ = proto.Unmarshal(payload, &m)
		m.Closed = nil
		payload, _ = proto.Marshal(&m)
	}
	l.to.Receive(l.name, payload)
	return bytes
}

func newLink(from, to *Counter, forwards func(tarragondeal.NodeID) bool, before bool) *link {
	return &link{from: from, to: to, name: from.self.Node, write: from.Writer(), forwards: forwards, before: before}
}

// TestWindowKeepsItsSumsWithoutTheRecord guards against a window that is reported with other
// counts, since the record of reported windows was lost or is older.
func TestWindowKeepsItsSumsWithoutTheRecord(t *testing.T) {
	const (
		gone, older = "gone", "older" // What the store has of the record afterwards.
		direct      = "direct"        // From the holder to the next one.
		relays      = "relays"        // From a leaf to a leaf of another relay.
		peer        = "peer"          // To a node that does not forward it to the next holder.
	)
	for _, c := range []struct {
		name     string
		path     string
		before   bool // The relay is of a build before.
		ended    bool // The holder ends before it reports.
		refused  bool // The report is not answered.
		same     bool // The same process holds the duty next.
		record   string
		other    int64 // The sum in the record that comes back, which another holder wrote; zero for none.
		reported int
	}{
		{"record gone", direct, false, false, false, false, gone, 0, 1},
		{"record gone, report not answered", direct, false, false, true, false, gone, 0, 2},
		{"record older", direct, false, false, true, false, older, 0, 2},
		{"record gone, holder ended before it reported", direct, false, true, false, false, gone, 0, 1},
		{"record gone, leaf through a relay", relays, false, false, true, false, gone, 0, 2},
		{"record kept, relay of a build before", relays, true, false, false, false, "", 0, 2},
		{"record gone, the same process", direct, false, false, true, true, gone, 0, 2},
		{"record with other sums", direct, false, false, true, false, "", 9, 2},
		{"record with other sums, the same process", direct, false, false, true, true, "", 9, 2},
		{"record gone, holder killed, only a node that does not forward knows", peer, false, true, false, false, gone, 0, 1},
	} {
		clock, dead, ctx := &fakeClock{now: tarragondeal.Instant(100 * length)}, &deadProcess{}, context.Background()
		a, b := newCounter("a", clock, dead), newCounter("b", clock, dead)
		relay, other := newCounter("relay", clock, dead), newCounter("other", clock, dead)
		all := func(tarragondeal.NodeID) bool { return true }
		fromLeaf := func(n tarragondeal.NodeID) bool { return n == "a" }
		links := map[string][]*link{
			direct: {newLink(a, b, forwardNone, false)},
			relays: {
				newLink(a, relay, forwardNone, c.before), newLink(relay, other, fromLeaf, c.before),
				newLink(other, relay, forwardNone, false), newLink(other, b, all, false), newLink(b, other, forwardNone, false),
			},
			peer: {newLink(a, relay, forwardNone, false), newLink(relay, b, forwardNone, false)},
		}[c.path]
		carry := func() {
			for _, l := range links {
				l.carry()
			}
		}
		a.Began("acme")
		window := a.Window()
		clock.now = clock.now.Add(length + 3*time.Second)
		d := &fakePlatform{held: true, reported: make(map[int64][]map[string]int64)}
		first := newTerm(a, clock, d, true)
		carry() // Streams have begun.
		first.reportDue(ctx)
		if len(d.reported) > 0 {
			t.Errorf("%s: reported before other nodes can know", c.name)
		}
		carry()
		d.loseReport = c.refused
		if !c.ended {
			first.reportDue(ctx)
		}
		d.loseReport = false
		if c.path == peer {
			dead.Process = a.self
		}
		carry()
		b.raise(b.byProcess[b.self], window, "acme", 5) // Arrived late.
		a.raise(a.byProcess[a.self], window, "acme", 5)
		switch {
		case c.record != "":
			d.value, d.rev = nil, 1
			if c.record == older {
				d.value = fmt.Appendf(nil, `{"windows":{"%d":{"acme":1}}}`, window-9)
			}
		case c.other > 0:
			d.value = fmt.Appendf(nil, `{"windows":{"%d":{"acme":%d}}}`, window, c.other)
		}
		next := newTerm(b, clock, d, true)
		if c.same {
			next = newTerm(a, clock, d, true)
		}
		for range 5 {
			next.reportDue(ctx)
		}
		got := d.reported[window]
		if len(got) != c.reported {
			t.Errorf("%s: reported %d times: %v", c.name, len(got), got)
		}
		for _, r := range got {
			if r["acme"] != 1 {
				t.Errorf("%s: reported %v", c.name, got)
			}
		}
		for n, l := range links {
			if l.carry(); l.carry() != 0 {
				t.Errorf("%s: link %d sends windows again", c.name, n)
			}
		}
	}
}

// TestRecordOfAnEarlierEraIsNotWritten guards against a write that replaces the record of another
// holder, since the store came back and gave its revision again.
func TestRecordOfAnEarlierEraIsNotWritten(t *testing.T) {
	clock, ctx := &fakeClock{now: tarragondeal.Instant(100 * length)}, context.Background()
	d := &fakePlatform{held: true, rev: 1, reported: make(map[int64][]map[string]int64)}
	a := newCounter("a", clock, &deadProcess{})
	a.Began("acme")
	window := a.Window()
	term := newTerm(a, clock, d, true)
	term.reportDue(ctx) // Loads the record.
	clock.now = clock.now.Add(length + 3*time.Second)
	d.value, d.era = fmt.Appendf(nil, `{"windows":{"%d":{"acme":9}}}`, window-1), 5
	for range 3 {
		term.reportDue(ctx)
	}
	var kept record
	if err := json.Unmarshal(d.value, &kept); err != nil || len(kept.Windows) != 2 {
		t.Errorf("record %v, %v", kept, err)
	}
	if len(d.reported[window]) != 1 || len(d.reported[window-1]) != 1 {
		t.Errorf("reported %v", d.reported)
	}
}

// TestClosingOfTheWindowThatIsUsed checks which sums are used after two holders that did not
// know of each other have closed a window.
func TestClosingOfTheWindowThatIsUsed(t *testing.T) {
	earlier := &Closed{Node: "a", Number: 7, Sums: map[string]int64{"acme": 1}, Fence: 5}
	later := &Closed{Node: "b", Number: 7, Sums: map[string]int64{"acme": 2}, Fence: 9}
	accepted := &Closed{Node: "b", Number: 7, Sums: map[string]int64{"acme": 2}, Fence: 9, Reported: true}
	for _, c := range []struct {
		name   string
		closed []*Closed
		send   bool // This process sends the sums after the first has arrived.
		want   int64
	}{
		{"earlier first", []*Closed{earlier, later}, false, 1},
		{"later first", []*Closed{later, earlier}, false, 1},
		{"accepted by the platform", []*Closed{earlier, later, accepted}, false, 2},
		{"sent by this process", []*Closed{later, earlier}, true, 2},
		{"sent by this process, others accepted", []*Closed{earlier, accepted}, true, 2},
	} {
		counter := newCounter("c", &fakeClock{now: tarragondeal.Instant(8 * length)}, &deadProcess{})
		for n, m := range c.closed {
			payload, err := proto.Marshal(&Begun{Closed: []*Closed{m}})
			if err != nil || !counter.Receive("a", payload) {
				t.Fatal(c.name, err)
			}
			if n == 0 && c.send && !counter.startReport(7, m.GetSums()) {
				t.Errorf("%s: not sent", c.name)
			}
		}
		if got := counter.Closed(7)["acme"]; got != c.want {
			t.Errorf("%s: %d", c.name, got)
		}
	}
}

// BenchmarkClosedWindow measures the bytes of a closed window on a stream, with the
// acknowledgement of its report.
func BenchmarkClosedWindow(b *testing.B) {
	for _, workspaces := range []int{24, 6600} {
		b.Run(fmt.Sprint(workspaces), func(b *testing.B) {
			sums, size := make(map[string]int64), 0
			for n := range workspaces {
				sums[fmt.Sprintf("workspace-%04d", n)] = int64(100 + n%400)
			}
			clock := &fakeClock{now: tarragondeal.Instant(353445120 * length)}
			for b.Loop() {
				c := newCounter("front-erie-1", clock, &deadProcess{})
				write := c.Writer()
				c.Close(c.Window()-1, sums, 53)
				size = len(write(forwardNone))
				c.endReport(c.Window()-1, 53)
				size += len(write(forwardNone))
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}
