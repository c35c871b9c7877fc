package tdorigin

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
)

// keptStore is the store of the record, and the only thing that outlasts all nodes. Its
// other methods are not used.
type keptStore struct {
	tarragondeal.Store
	entry tarragondeal.Entry
	calls int
	err   error
	// answered is called before an answer arrives, unless it is nil.
	answered func()
}

func (s *keptStore) Swap(_ context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	s.calls++
	if s.answered != nil {
		defer s.answered()
	}
	if s.err != nil {
		return tarragondeal.Entry{}, s.err
	}
	if prev != s.entry.Revision {
		return tarragondeal.Entry{}, &tarragondeal.ConflictError{Op: "swap", Key: key, Current: s.entry}
	}
	s.entry = tarragondeal.Entry{Key: key, Value: value, Revision: s.entry.Revision + 1}
	return s.entry, nil
}

// keptFleet is a fleet that keeps the software that was listed.
type keptFleet struct {
	*fleet
	store  keptStore
	listed []tarragondeal.Software
	seen   tarragondeal.Revision
	era    tarragondeal.Era
}

func newKeptFleet(size int, firstStart bool, listed ...tarragondeal.Software) *keptFleet {
	w := &keptFleet{fleet: newFleet(0, false), listed: listed}
	w.startAll(size, firstStart)
	return w
}

// startAll replaces all nodes by new ones, which read the store.
func (w *keptFleet) startAll(size int, firstStart bool) {
	w.nodes = nil
	clear(w.links)
	for range size {
		w.startNode(firstStart)
	}
}

func (w *keptFleet) startNode(firstStart bool) {
	n := len(w.nodes)
	o := New(Deps{
		Clock: w.clock, Current: func() bool { return w.current }, Confirm: w.confirm, Log: zerolog.Nop(), Scope: tally.NoopScope,
		Self: name(n), Wall: w.clock.Wall, Nodes: func() []tarragondeal.NodeID {
			var out []tarragondeal.NodeID
			for k := range w.nodes {
				out = append(out, name(k))
			}
			return out
		},
		Era: func() tarragondeal.Era { return w.era },
	}, Options{FirstStart: firstStart})
	w.nodes = append(w.nodes, o)
	if w.store.entry.Revision > 0 {
		o.Load(w.store.entry)
	}
	o.SetServers(servers(w.listed))
}

// list changes the servers' software for all nodes.
func (w *keptFleet) list(software ...tarragondeal.Software) {
	w.listed = software
	w.fleet.list(software...)
}

// run lets time pass, in which the nodes keep the record and read it.
func (w *keptFleet) run(d time.Duration) {
	for range int(d / keepInterval) {
		for _, o := range w.nodes {
			if value, prev, ok := o.due(w.current); ok {
				o.write(context.Background(), &w.store, "k", value, prev)
			}
		}
		if w.seen != w.store.entry.Revision {
			w.seen = w.store.entry.Revision
			for _, o := range w.nodes {
				o.Load(w.store.entry)
			}
		}
		w.advance(keepInterval)
	}
}

func (w *keptFleet) expectAll(t *testing.T, what, request string, want tarragondeal.Software) {
	t.Helper()
	for n := range w.nodes {
		w.expect(t, what, n, request, want)
	}
}

// TestVersionThatLeftWhileAllNodesWereDown guards against a stream that goes on at the
// version that is listed when all nodes start again, though another one began it.
func TestVersionThatLeftWhileAllNodesWereDown(t *testing.T) {
	for _, size := range []int{1, 7, 60} {
		for _, firstStart := range []bool{false, true} {
			w := newKeptFleet(size, true, v1)
			w.run(20 * time.Second)
			w.list(v1, v2)
			w.run(20 * time.Second)
			w.listed = []tarragondeal.Software{v2}
			w.advance(3 * time.Second)
			w.startAll(size, firstStart)
			what := fmt.Sprintf("%d nodes, first start %t", size, firstStart)
			w.expectAll(t, what+", at once", "r", unknown)
			w.run(testAge - time.Second)
			w.exchange(false)
			w.expectAll(t, what+", v1 may have begun it", "r", unknown)
			w.run(2 * time.Second)
			w.expectAll(t, what+", v1 left long ago", "r", v2)
		}
	}
}

// TestOnlyVersionAfterAllNodesWereDown guards against streams that are refused after a
// start of all nodes though their pool has had one version all along.
func TestOnlyVersionAfterAllNodesWereDown(t *testing.T) {
	w := newKeptFleet(7, true, v1)
	w.run(2 * time.Second)
	w.startAll(7, false)
	w.expectAll(t, "one version", "r", v1)

	w = newKeptFleet(7, false, v1) // The first nodes that keep a record.
	w.run(2 * time.Second)
	w.expectAll(t, "known for 2s", "r", unknown)
	w.run(testAge)
	w.startAll(7, false)
	w.expectAll(t, "known for long", "r", v1)
}

// TestRolledBackRelease guards against a version that came and went while a node was
// frozen or cut off from the store, and that it never listed.
func TestRolledBackRelease(t *testing.T) {
	w := newKeptFleet(3, true, v1)
	w.run(5 * time.Second)
	frozen := w.nodes[2]
	w.nodes = w.nodes[:2]
	w.list(v1, v2)
	w.run(8 * time.Second)
	w.list(v1)
	w.run(8 * time.Second)
	w.nodes = append(w.nodes, frozen)
	frozen.Load(w.store.entry) // As part of what it missed.
	frozen.SetServers(servers(w.listed))
	w.expect(t, "thawed", 2, "r", unknown)
	w.run(testAge)
	w.expectAll(t, "rolled back long ago", "r", v1)
}

// TestRecordOfEarlierEra guards against a stream that goes on at another version than the one
// that began it, which the record lacks since the store came back from an earlier copy.
func TestRecordOfEarlierEra(t *testing.T) {
	w := newKeptFleet(3, true, v1)
	w.run(5 * time.Second)
	earlier := w.store.entry
	w.list(v1, v2)
	w.run(8 * time.Second)
	w.list(v1)
	w.era, w.store.entry = 7, earlier
	w.startAll(3, false)
	w.expectAll(t, "the record is of an earlier era", "r", unknown)
	w.run(testAge)
	w.startAll(3, false)
	w.expectAll(t, "the record was written again", "r", v1)
}

// TestRevisionOfEarlierEra guards against a record of another node that is overwritten since it
// has the revision that the record had before the store came back from an earlier copy.
func TestRevisionOfEarlierEra(t *testing.T) {
	for _, during := range []bool{false, true} {
		w := newKeptFleet(1, true, v1)
		restore := func() {
			w.era, w.store.answered = 7, nil
			w.store.entry.Value = []byte(`{"era":7,"software":[{"pool":"m","version":"v2"}]}`)
		}
		if during {
			w.store.answered = restore
		}
		value, prev, ok := w.nodes[0].due(true)
		if !ok {
			t.Fatal("no record is due")
		}
		w.nodes[0].write(t.Context(), &w.store, "k", value, prev)
		if !during {
			restore()
		}
		w.list(v1, v2)
		value, prev, ok = w.nodes[0].due(true)
		if !ok {
			t.Fatal("no record is due in the later era")
		}
		w.nodes[0].write(t.Context(), &w.store, "k", value, prev)
		if w.store.entry.Revision != 1 || prev != 0 {
			t.Errorf("era changes during a call: %t: the record of the later era was replaced, expecting revision %d", during, prev)
		}
	}
}

// TestOldListOfPeer guards against a node that has just started and takes the list of a
// peer that is cut off from the store for all that there was.
func TestOldListOfPeer(t *testing.T) {
	w := newFleet(2, true)
	w.list(v1)
	w.current = false
	w.advance(time.Minute) // v2 came and went.
	w.restart(1)
	w.exchange(false)
	w.current = true
	w.nodes[1].SetServers(servers([]tarragondeal.Software{v1}))
	w.current = false
	w.exchange(false)
	w.current = true
	w.expect(t, "peer's old list", 1, "r", unknown)
}

// TestCallsForRecord guards against store calls that grow with the nodes or with time,
// and against a store that fails and is called without a pause.
func TestCallsForRecord(t *testing.T) {
	w := newKeptFleet(60, true, v1)
	w.run(time.Minute)
	if w.store.calls != 1 {
		t.Errorf("%d calls for one version", w.store.calls)
	}
	w.list(v1, v2)
	w.run(time.Minute)
	w.list(v2)
	w.run(time.Minute)
	if w.store.calls != 3 {
		t.Errorf("%d calls for a release", w.store.calls)
	}
	w.store.err = fmt.Errorf("unavailable")
	w.list(v1, v2)
	before := w.store.calls
	w.run(30 * time.Second)
	if n := w.store.calls - before; n > keepers*(1+int(30*time.Second/keepPeriod)) {
		t.Errorf("%d calls in 30s to a store that fails", n)
	}
}

// TestInvalidRecord guards against a record that can't be read, stops a node or is taken
// for an empty one.
func TestInvalidRecord(t *testing.T) {
	for _, value := range []string{"", "null", "[]", `{"software":[{"pool":"m"`, `{"complete":-5,"software":[{"pool":"m","version":"v1","listed":99999999999999999}]}`} {
		w := newKeptFleet(1, true, v2)
		w.store.entry = tarragondeal.Entry{Key: "k", Value: []byte(value), Revision: 7}
		w.startAll(1, true)
		if value != "null" {
			w.expect(t, value, 0, "r", unknown)
		}
		w.run(time.Second)
		if w.store.entry.Revision != 8 {
			t.Errorf("%q was not replaced: revision %d", value, w.store.entry.Revision)
		}
	}
}

// TestTooManyVersions guards against a record that claims to be complete though some of
// the software that was listed is not in it.
func TestTooManyVersions(t *testing.T) {
	var many []tarragondeal.Software
	for n := range maxKept {
		many = append(many, tarragondeal.Software{Pool: "other", Version: fmt.Sprint(n)})
	}
	w := newKeptFleet(1, true, append(many, v1)...)
	w.run(time.Second)
	w.listed = []tarragondeal.Software{v2}
	w.startAll(1, false)
	w.run(testAge - 2*time.Second)
	w.expect(t, "a version may be missing", 0, "r", unknown)
}
