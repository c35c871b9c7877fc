package tdfit

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdpoison"
	"tarragondeal/internal/dispatch/tdshare"
)

// fakeClock is a clock that the test advances.
type fakeClock struct{ now tarragondeal.Instant }

func (c *fakeClock) Now() tarragondeal.Instant { return c.now }
func (c *fakeClock) Wall() time.Time           { return time.Unix(0, int64(c.now)).UTC() }

// testFit is a Fit with engines and plain servers.
type testFit struct {
	*Fit
	clock *fakeClock
	asked int
}

func newTestFit(engines int) *testFit {
	clock := &fakeClock{now: tarragondeal.Instant(time.Hour)}
	return newTestFitAt("node-0", []tarragondeal.NodeID{"node-0"}, clock, engines)
}

// newTestFitAt returns a Fit of one node of a fleet.
func newTestFitAt(self tarragondeal.NodeID, nodes []tarragondeal.NodeID, clock *fakeClock, engines int) *testFit {
	poison := tdpoison.New(tdpoison.Deps{
		Clock: clock, Fleet: func() tdshare.Fleet { return tdshare.Fleet{Self: self, Nodes: nodes, Now: clock.Wall()} }, Log: zerolog.Nop(),
	})
	f := New(Deps{
		Clock: clock, Size: func() int { return 7 }, Self: self, Nodes: func() []tarragondeal.NodeID { return nodes }, Wall: clock.Wall,
		Poison: poison, Log: zerolog.Nop(), Scope: tally.NoopScope,
	}, Options{
		DataCentre: "a", Bounds: tarragondeal.Bounds{RetryRatio: 0.2, RetrySlack: 54},
	})
	f.SetView(tarragondeal.NewView(1, &tarragondeal.Set{
		ServerPools: []tarragondeal.ServerPool{
			{Name: "m", Engine: &tarragondeal.Engine{Slots: 64, KVTokens: 250_000, TokensPerEvent: 4}}, {Name: "p"},
		},
		Routes:         []tarragondeal.Route{{Name: "live", Class: "live", Pools: []string{"m"}}},
		RequestClasses: []tarragondeal.RequestClass{{Name: "live", Events: true, BetweenTokens: tarragondeal.Duration(250 * time.Millisecond)}},
	}))
	w := &testFit{Fit: f, clock: clock}
	w.listServers(engines)
	return w
}

func (w *testFit) listServers(engines int) {
	var list []tarragondeal.Server
	for n := range engines {
		list = append(list, tarragondeal.Server{
			ID: tarragondeal.ServerID(fmt.Sprintf("m%d", n)), Pool: "m", DataCentre: "a", State: tarragondeal.VMLive,
			Addr: netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", n+1)),
		})
	}
	for n := range 3 {
		list = append(list, tarragondeal.Server{
			ID: tarragondeal.ServerID(fmt.Sprintf("p%d", n)), Pool: "p", DataCentre: "a", State: tarragondeal.VMLive, Slots: 6,
		})
	}
	w.SetServers(list)
}

func (w *testFit) reserve(a tarragondeal.Ask) (tarragondeal.Grant, error) {
	w.asked++
	a.Request = tarragondeal.RequestID(fmt.Sprint(w.asked))
	if a.Attempt == 0 {
		a.Attempt = 1
	}
	return w.Reserve(context.Background(), a)
}

// ownOnly excludes the load of other nodes from a message.
func ownOnly(tarragondeal.NodeID) bool { return false }

// longPrompt returns an ask with the long prompt of one session.
func longPrompt(session uint64) tarragondeal.Ask {
	return tarragondeal.Ask{
		Pools: []string{"m"}, Input: 9000, Output: 50, Gap: time.Second,
		Parts: []tarragondeal.PromptPart{{ID: 1, Tokens: 2500}, {ID: session, Tokens: 3700}, {ID: 1_000_000 + session, Tokens: 2800}},
	}
}

// liveStream returns an ask with a short prompt and a stream that permits only
// short pauses.
func liveStream() tarragondeal.Ask {
	return tarragondeal.Ask{Pools: []string{"m"}, Input: 600, Output: 280, Gap: 250 * time.Millisecond}
}

// TestLongPromptsStayAwayFromLiveStreams guards against long uncached prompts on
// the engines of streams, whose pauses they would make too long.
func TestLongPromptsStayAwayFromLiveStreams(t *testing.T) {
	w := newTestFit(6)
	streams := make(map[tarragondeal.ServerID]int)
	for range 12 {
		g, err := w.reserve(liveStream())
		if err != nil {
			t.Fatal(err)
		}
		streams[g.Server.ID]++
		w.clock.now = w.clock.now.Add(30 * time.Millisecond)
	}
	if len(streams) > 3 {
		t.Errorf("12 live streams are spread over %d of 6 engines", len(streams))
	}
	for session := range uint64(12) {
		g, err := w.reserve(longPrompt(10 + session))
		if err != nil {
			t.Fatal(err)
		}
		if streams[g.Server.ID] > 0 {
			t.Errorf("long prompt %d went to an engine with %d live streams", session, streams[g.Server.ID])
		}
		w.clock.now = w.clock.now.Add(200 * time.Millisecond)
	}
}

// TestSessionsReturnToTheirCache checks that the next request of a session,
// which shares most of its prompt with the last, goes to the same engine.
func TestSessionsReturnToTheirCache(t *testing.T) {
	w := newTestFit(6)
	home := make(map[uint64]tarragondeal.ServerID)
	for session := range uint64(6) {
		g, _ := w.reserve(longPrompt(session))
		home[session] = g.Server.ID
		w.clock.now = w.clock.now.Add(time.Second)
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
	for session := range uint64(6) {
		g, _ := w.reserve(longPrompt(session))
		if g.Server.ID != home[session] {
			t.Errorf("session %d went to %s, its prompt is at %s", session, g.Server.ID, home[session])
		}
		w.clock.now = w.clock.now.Add(time.Second)
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
}

// TestDocumentsReturnToTheirCache guards against long documents that are read again at one server after
// the other of a large pool, since only the ends of their prompts are remembered.
func TestDocumentsReturnToTheirCache(t *testing.T) {
	const documents, engines = 100, 140
	w := newTestFit(engines)
	home := make(map[uint64]tarragondeal.ServerID)
	again := 0
	for ask := range uint64(5 * documents) {
		document := ask % documents
		g, err := w.reserve(tarragondeal.Ask{
			Pools: []string{"m"}, Input: 14_000, Output: 400,
			Parts: []tarragondeal.PromptPart{{ID: document, Tokens: 13_000}, {ID: 1000 + ask, Tokens: 1000}},
		})
		if err != nil {
			t.Fatal(err)
		}
		if known, ok := home[document]; ok && g.Server.ID != known {
			again++
		}
		home[document] = g.Server.ID
		w.clock.now = w.clock.now.Add(50 * time.Millisecond)
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
	if again > documents/10 {
		t.Errorf("%d of %d requests read their document again", again, 4*documents)
	}
}

// TestBurstFromTwoNodes checks that two nodes that choose at the same time don't
// overload one engine once each has received what the other sent.
func TestBurstFromTwoNodes(t *testing.T) {
	a, b := newTestFit(6), newTestFit(6)
	toA, toB := b.Writer(), a.Writer()
	a.Receive("b", toA(ownOnly))
	b.Receive("a", toB(ownOnly))
	load := make(map[tarragondeal.ServerID]int)
	for n := range uint64(12) {
		for _, w := range []*testFit{a, b} {
			g, _ := w.reserve(tarragondeal.Ask{Pools: []string{"m"}, Input: 4000, Output: 20, Parts: []tarragondeal.PromptPart{{ID: n, Tokens: 4000}}})
			load[g.Server.ID]++
		}
		a.Receive("b", toA(ownOnly))
		b.Receive("a", toB(ownOnly))
	}
	for id, n := range load {
		if n > 8 {
			t.Errorf("%d of 24 prompts went to %s", n, id)
		}
	}
}

// TestLoadOfSilentNodeExpires checks that the load of a peer expires when no
// messages arrive.
func TestLoadOfSilentNodeExpires(t *testing.T) {
	a, b := newTestFit(1), newTestFit(1)
	write := b.Writer()
	for range 5 {
		_, _ = b.reserve(liveStream())
	}
	a.Receive("b", write(ownOnly))
	if n := a.Busy("m").Running; n != 5 {
		t.Fatalf("%d running", n)
	}
	a.clock.now = a.clock.now.Add(peerUseTTL + time.Second)
	if n := a.Busy("m").Running; n != 0 {
		t.Errorf("%d running of a node that sends no messages", n)
	}
}

func TestServersThatMayNotBeUsed(t *testing.T) {
	w := newTestFit(2)
	a := liveStream()
	a.Avoid = []tarragondeal.ServerID{"m0"}
	for range 10 {
		if g, err := w.reserve(a); err != nil || g.Server.ID != "m1" {
			t.Fatalf("%s, %v", g.Server.ID, err)
		}
	}
	a.Avoid = []tarragondeal.ServerID{"m0", "m1"}
	_, err := w.reserve(a)
	var refused *tarragondeal.RefusedError
	if !errors.As(err, &refused) || refused.Ran != tarragondeal.RanNot || refused.RetryAfter <= 0 {
		t.Errorf("%v", err)
	}
}

// TestRequestThatCrashesServers checks that a request that broke the connection
// to each server that ran it is refused when it is sent again, to any node.
func TestRequestThatCrashesServers(t *testing.T) {
	a, b := newTestFit(5), newTestFit(5)
	write := a.Poison.Writer()
	ask := liveStream()
	ask.Fingerprint = 42
	for range 2 {
		g, err := a.reserve(ask)
		if err != nil {
			t.Fatal(err)
		}
		a.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeCrashed})
		ask.Avoid = append(ask.Avoid, g.Server.ID)
	}
	b.Poison.Receive("a", write(ownOnly))
	ask.Avoid = nil
	for name, w := range map[string]*testFit{"the same node": a, "another node": b} {
		var refused *tarragondeal.RefusedError
		if _, err := w.reserve(ask); !errors.As(err, &refused) || refused.Reason != tarragondeal.ReasonQuarantined {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := b.reserve(liveStream()); err != nil {
		t.Errorf("another request: %v", err)
	}
}

// TestPartThatCrashesServers guards against requests that reach further servers with a
// part under which servers crashed, by whichever attempt and whatever else they hold,
// and against requests that are refused for another part, pool or their last part.
func TestPartThatCrashesServers(t *testing.T) {
	a, b := newTestFit(9), newTestFit(9)
	prompt := func(ids ...uint64) tarragondeal.Ask {
		ask := tarragondeal.Ask{Pools: []string{"m"}, Input: 600, Output: 50}
		for _, id := range append(ids, uint64(1_000_000+a.asked+b.asked)) {
			ask.Parts = append(ask.Parts, tarragondeal.PromptPart{ID: id, Tokens: 100})
		}
		ask.Fingerprint = ask.Parts[len(ask.Parts)-1].ID
		return ask
	}
	write := a.Poison.Writer()
	for range 4 {
		g, err := a.reserve(prompt(1, 2, 666))
		if err != nil {
			break
		}
		a.clock.now = a.clock.now.Add(100 * time.Millisecond)
		a.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeCrashed})
		g, err = a.reserve(prompt(1, 2))
		if err != nil {
			t.Fatal(err)
		}
		a.clock.now = a.clock.now.Add(400 * time.Millisecond)
		a.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
	b.clock.now = a.clock.now
	b.Poison.Receive("a", write(ownOnly))
	for _, w := range []*testFit{a, b} {
		for attempt := 1; attempt <= 3; attempt++ {
			ask := prompt(7, 666)
			ask.Attempt = attempt
			var refused *tarragondeal.RefusedError
			if _, err := w.reserve(ask); !errors.As(err, &refused) || refused.Reason != tarragondeal.ReasonQuarantined || refused.RetryAfter <= 0 {
				t.Errorf("attempt %d with the part: %v", attempt, err)
			}
		}
		other := prompt(1, 666)
		other.Pools = []string{"p"}
		for name, ask := range map[string]tarragondeal.Ask{"other parts": prompt(1, 2), "last part": {Pools: []string{"m"}, Parts: prompt(1, 666).Parts[:2]}, "other pool": other} {
			if _, err := w.reserve(ask); err != nil {
				t.Errorf("%s: %v", name, err)
			}
		}
	}
}

// TestServerThatFailsItsRequests checks that a server whose requests fail gets
// few of them, though its health check passes.
func TestServerThatFailsItsRequests(t *testing.T) {
	w := newTestFit(0)
	sent := 0
	for range 300 {
		g, err := w.reserve(tarragondeal.Ask{Pools: []string{"p"}})
		if err != nil {
			t.Fatal(err)
		}
		kind := tarragondeal.OutcomeServed
		if g.Server.ID == "p0" {
			kind = tarragondeal.OutcomeRefused
			sent++
		}
		w.clock.now = w.clock.now.Add(20 * time.Millisecond)
		w.Done(g, tarragondeal.Outcome{Kind: kind})
	}
	if sent > 30 {
		t.Errorf("%d of 300 requests went to a server that fails all", sent)
	}
}

// TestServerThatFallsSilent guards against more requests to a server that accepts
// requests and answers none. After the first timeout neither this node nor its
// peers send it any.
func TestServerThatFallsSilent(t *testing.T) {
	a, b := newTestFit(0), newTestFit(0)
	write := a.Writer()
	b.Receive("a", write(ownOnly))
	g, _ := a.reserve(tarragondeal.Ask{Pools: []string{"p"}})
	a.clock.now = a.clock.now.Add(200 * time.Millisecond)
	b.clock.now = a.clock.now
	a.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeLate})
	b.Receive("a", write(ownOnly))
	for name, w := range map[string]*testFit{"this node": a, "another node": b} {
		for range 20 {
			other, err := w.reserve(tarragondeal.Ask{Pools: []string{"p"}})
			if err != nil || other.Server.ID == g.Server.ID {
				t.Fatalf("%s: %s, %v", name, other.Server.ID, err)
			}
			w.Done(other, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
		}
	}
}

// TestRetriesStayWithinTheBudget checks that the retries of all nodes together
// stay within the deployment's bound when servers fail all requests.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	w := newTestFit(2)
	taken, requests := 0, 0
	for range 500 {
		requests++
		_, _ = w.reserve(liveStream())
		for w.MayRetry(tarragondeal.Ask{Pools: []string{"m"}}) {
			taken++
		}
	}
	if most := 0.2*float64(requests) + 54.0/7; float64(taken) > most {
		t.Errorf("%d retries for %d requests, a node's part is %.0f", taken, requests, most)
	}
}

func TestPrefillAllowance(t *testing.T) {
	for _, c := range []struct {
		name   string
		gap    time.Duration
		stride int
		rate   float64
		tight  bool
	}{
		{"short pauses", 250 * time.Millisecond, 4, 38.4, true},
		{"long pauses", time.Second, 4, 38.4, false},
		{"no bound", 0, 4, 38.4, false},
		{"a fast engine", 250 * time.Millisecond, 4, 100, false},
	} {
		if got := prefillAllowance(c.gap, c.stride, c.rate) < chunkTokens; got != c.tight {
			t.Errorf("%s: tight %t", c.name, got)
		}
	}
}

func TestPromptCache(t *testing.T) {
	part := func(ids ...uint64) []tarragondeal.PromptPart {
		var out []tarragondeal.PromptPart
		for _, id := range ids {
			out = append(out, tarragondeal.PromptPart{ID: id, Tokens: 10})
		}
		return out
	}
	c := newPromptCache(1000)
	c.add(prefixesOf(part(1, 2, 3)))
	for _, x := range []struct {
		name string
		ids  []uint64
		want int
	}{
		{"the same", []uint64{1, 2, 3}, 30},
		{"another end", []uint64{1, 2, 4}, 20},
		{"another beginning", []uint64{4, 2, 3}, 0},
	} {
		if got := c.cachedTokens(prefixesOf(part(x.ids...))); got != x.want {
			t.Errorf("%s: %d", x.name, got)
		}
	}
	for n := range uint64(1000) {
		c.add(prefixesOf(part(n + 100)))
		if c.tokens > c.capacity {
			t.Fatalf("%d tokens of %d", c.tokens, c.capacity)
		}
	}
}

func FuzzReceive(f *testing.F) {
	a := newTestFit(2)
	write := a.Writer()
	_, _ = a.reserve(longPrompt(1))
	f.Add(write(ownOnly))
	f.Fuzz(func(t *testing.T, payload []byte) {
		b := newTestFit(2)
		b.Receive("a", payload)
		if _, err := b.reserve(liveStream()); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkReserve600(b *testing.B) {
	w := newTestFit(0)
	var list []tarragondeal.Server
	for n := range 600 {
		list = append(list, tarragondeal.Server{ID: tarragondeal.ServerID(fmt.Sprint(n)), Pool: "m", DataCentre: "a", State: tarragondeal.VMLive})
	}
	w.SetServers(list)
	ask := longPrompt(1)
	ask.Attempt = 1
	for b.Loop() {
		g, err := w.Reserve(context.Background(), ask)
		if err != nil {
			b.Fatal(err)
		}
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
}

// TestUnreachableServerGetsNoRequests checks that a server that has crashed
// but is still listed gets no requests until backoffTime has passed.
func TestUnreachableServerGetsNoRequests(t *testing.T) {
	w := newTestFit(3)
	plain := tarragondeal.Ask{Pools: []string{"p"}}
	g, err := w.reserve(plain)
	if err != nil {
		t.Fatal(err)
	}
	w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeUnreachable})
	for range 30 {
		next, err := w.reserve(plain)
		if err != nil {
			t.Fatal(err)
		}
		if next.Server.ID == g.Server.ID {
			t.Fatal("the server gets requests again at once")
		}
	}
	w.clock.now = w.clock.now.Add(backoffTime)
	got := false
	for range 60 {
		next, err := w.reserve(plain)
		if err != nil {
			t.Fatal(err)
		}
		got = got || next.Server.ID == g.Server.ID
	}
	if !got {
		t.Error("the server gets nothing more")
	}
}

// TestRelayForwardsLoad checks that a relay forwards the load of its leaves,
// that a leaf does not get its own load back, and that load received through a
// relay expires soon after the relay's stream has ended.
func TestRelayForwardsLoad(t *testing.T) {
	leaf, relay, other := newTestFit(1), newTestFit(1), newTestFit(1)
	fromLeaf := func(n tarragondeal.NodeID) bool { return n == "leaf" }
	up, on, back := leaf.Writer(), relay.Writer(), relay.Writer()
	relay.Receive("leaf", up(ownOnly))
	other.Receive("relay", on(fromLeaf))
	for range 3 {
		if _, err := leaf.reserve(liveStream()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := relay.reserve(liveStream()); err != nil {
		t.Fatal(err)
	}
	relay.Receive("leaf", up(ownOnly))
	other.Receive("relay", on(fromLeaf))
	leaf.Receive("relay", back(ownOnly))
	for name, w := range map[string]*testFit{"leaf": leaf, "relay": relay, "other": other} {
		if got := w.Busy("m").Running; got != 4 {
			t.Errorf("%s knows of %d running requests of 4", name, got)
		}
	}
	if n := len(other.sentLog); n != 4 {
		t.Errorf("%d of 4 prompts are forwarded", n)
	}
	other.Lost("relay")
	if got := other.Busy("m").Running; got != 4 {
		t.Errorf("%d requests count just after the stream has ended", got)
	}
	other.clock.now = other.clock.now.Add(lostGrace + time.Millisecond)
	if got := other.Busy("m").Running; got != 0 {
		t.Errorf("%d requests count after the stream has ended", got)
	}
}

// TestBurstShowsSoonInALargePool checks that the prefill load shows a burst of long
// prompts well before new engines could have started.
func TestBurstShowsSoonInALargePool(t *testing.T) {
	for _, c := range []struct {
		name       string
		engines    int
		every      time.Duration // Between two prompts.
		least, top float64       // Of the rise that is seen after a second.
	}{
		{"large", 60, 5 * time.Millisecond, 0.5, 1},
		{"small, where single prompts weigh", 6, 50 * time.Millisecond, 0.2, 0.5},
	} {
		w := newTestFit(c.engines)
		session := uint64(0)
		send := func(span, every time.Duration) float64 {
			for end := w.clock.now.Add(span); w.clock.now < end; w.clock.now = w.clock.now.Add(every) {
				session++
				a := longPrompt(session)
				a.Parts = a.Parts[2:] // No engine has any of it cached.
				if _, err := w.reserve(a); err != nil {
					t.Fatal(err)
				}
			}
			return w.Busy("m").Reading
		}
		before := send(10*time.Second, c.every)
		after := send(time.Second, c.every/2)
		if seen := after/before - 1; seen < c.least || seen > c.top {
			t.Errorf("%s: %.2f of a doubling is seen after a second", c.name, seen)
		}
	}
}

// TestStreamGoesOnAtItsVersion guards against a stream that is continued by another
// software version, in small pools and in large ones of which servers are sampled, and
// against a request that waits although no server has the version.
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	for _, size := range []int{4, 60} {
		w := newTestFit(0)
		var list []tarragondeal.Server
		for n := range size {
			version := "v2"
			switch {
			case n < 2:
				version = "v1"
			case n == 2:
				version = ""
			}
			list = append(list, tarragondeal.Server{
				ID: tarragondeal.ServerID(fmt.Sprintf("m%d", n)), Pool: "m", DataCentre: "a", State: tarragondeal.VMLive, SoftwareVersion: version,
			})
		}
		w.SetServers(list)
		a := liveStream()
		for _, version := range []string{"v1", "v2"} {
			a.Software = &tarragondeal.Software{Pool: "m", Version: version}
			for range 50 {
				g, err := w.reserve(a)
				if err != nil || g.Server.SoftwareVersion != version {
					t.Fatalf("%d servers: %s goes on at %+v, %v", size, version, g.Server, err)
				}
			}
		}
		for _, c := range []struct {
			software tarragondeal.Software
			avoid    []tarragondeal.ServerID
		}{
			{tarragondeal.Software{Pool: "m", Version: "v3"}, nil},
			{tarragondeal.Software{Pool: "m"}, nil}, // A server without a version continues nothing.
			{tarragondeal.Software{Pool: "other", Version: "v1"}, nil},
			{tarragondeal.Software{Pool: "m", Version: "v1"}, []tarragondeal.ServerID{"m0", "m1"}},
		} {
			a.Software, a.Avoid, a.Target = &c.software, c.avoid, time.Hour // With the clock of the test it would wait for ever.
			_, err := w.reserve(a)
			var refusal *tarragondeal.RefusedError
			if !errors.As(err, &refusal) || refusal.Reason != tarragondeal.ReasonNoServerVersion {
				t.Errorf("%d servers: %+v: %v", size, c, err)
			}
		}
	}
}

// TestNodesSpreadOverPlainServers guards against a burst of calls that all nodes send to the one
// plain server that their common state shows as the least used, whose rejections the callers get.
func TestNodesSpreadOverPlainServers(t *testing.T) {
	const size, rounds = 60, 50
	nodes := make([]tarragondeal.NodeID, size)
	for n := range nodes {
		nodes[n] = tarragondeal.NodeID(fmt.Sprintf("node-%d", n))
	}
	for _, c := range []struct {
		name  string
		state *Load
	}{
		{"equal servers", &Load{}},
		{"one server less used", &Load{Uses: []*Use{{Server: "p0", Running: 2}, {Server: "p1", Running: 2}}}},
	} {
		state, err := proto.Marshal(c.state)
		if err != nil {
			t.Fatal(err)
		}
		sent := make(map[tarragondeal.ServerID]int)
		for _, name := range nodes {
			w := newTestFitAt(name, nodes, &fakeClock{now: tarragondeal.Instant(time.Hour)}, 0)
			w.Receive("peer", state)
			for range rounds {
				g, err := w.reserve(tarragondeal.Ask{Pools: []string{"p"}, Target: 100 * time.Millisecond})
				if err != nil {
					t.Fatal(err)
				}
				w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
				sent[g.Server.ID]++
			}
		}
		for id, n := range sent {
			if n > size*rounds/2 {
				t.Errorf("%s: %d of %d calls were sent to %s", c.name, n, size*rounds, id)
			}
		}
	}
}

// TestRejectionsAreNotReportedAsFailures guards against nodes that all leave a server without room
// because one of them was rejected there, and are then rejected by the others.
func TestRejectionsAreNotReportedAsFailures(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome tarragondeal.Outcome
		failing bool
	}{
		{"rejected", tarragondeal.Outcome{Kind: tarragondeal.OutcomeRefused, Rejected: true}, false},
		{"failed", tarragondeal.Outcome{Kind: tarragondeal.OutcomeRefused}, true},
	} {
		w := newTestFit(0)
		for range 5 {
			g, err := w.reserve(tarragondeal.Ask{Pools: []string{"p"}, Target: 100 * time.Millisecond})
			if err != nil {
				t.Fatal(err)
			}
			w.Done(g, c.outcome)
		}
		failing := false
		for _, s := range w.servers {
			failing = failing || s.ownUse(w.clock.now).failing
		}
		if failing != c.failing {
			t.Errorf("%s: reported as failing: %t", c.name, failing)
		}
	}
}
