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

	"tarragondeal"
)

// hand is a clock that the test moves.
type hand struct{ now tarragondeal.Instant }

func (h *hand) Now() tarragondeal.Instant { return h.now }
func (h *hand) Wall() time.Time           { return time.Unix(0, int64(h.now)).UTC() }

// world is a fit before engines and plain servers.
type world struct {
	*Fit
	clock *hand
	asked int
}

func newWorld(engines int) *world {
	clock := &hand{now: tarragondeal.Instant(time.Hour)}
	f := New(Deps{Clock: clock, Size: func() int { return 7 }, Log: zerolog.Nop(), Scope: tally.NoopScope}, Options{
		DataCentre: "a", Bounds: tarragondeal.Bounds{RetryRatio: 0.2, RetrySlack: 54},
	})
	f.SetView(tarragondeal.NewView(1, &tarragondeal.Set{
		ServerPools: []tarragondeal.ServerPool{
			{Name: "m", Engine: &tarragondeal.Engine{Slots: 64, KVTokens: 250_000, Stride: 4}}, {Name: "p"},
		},
		Routes:         []tarragondeal.Route{{Name: "live", Pools: []string{"m"}}},
		RequestClasses: []tarragondeal.RequestClass{{Name: "live", Events: true, BetweenTokens: tarragondeal.Duration(250 * time.Millisecond)}},
	}))
	w := &world{Fit: f, clock: clock}
	w.list(engines)
	return w
}

func (w *world) list(engines int) {
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

func (w *world) reserve(a tarragondeal.Ask) (tarragondeal.Grant, error) {
	w.asked++
	a.Request = tarragondeal.RequestID(fmt.Sprint(w.asked))
	if a.Attempt == 0 {
		a.Attempt = 1
	}
	return w.Reserve(context.Background(), a)
}

// nobody is a stream that has only its node's own news.
func nobody(tarragondeal.NodeID) bool { return false }

// long is a long prompt of one session.
func long(session uint64) tarragondeal.Ask {
	return tarragondeal.Ask{
		Pools: []string{"m"}, Input: 9000, Output: 50, Gap: time.Second,
		Parts: []tarragondeal.PromptPart{{ID: 1, Tokens: 2500}, {ID: session, Tokens: 3700}, {ID: 1_000_000 + session, Tokens: 2800}},
	}
}

// live is a short prompt whose answer has short pauses.
func live() tarragondeal.Ask {
	return tarragondeal.Ask{Pools: []string{"m"}, Input: 600, Output: 280, Gap: 250 * time.Millisecond}
}

// TestLongPromptsStayAwayFromLiveStreams is the pattern of long cold prompts
// beside streams whose pauses they would stretch.
func TestLongPromptsStayAwayFromLiveStreams(t *testing.T) {
	w := newWorld(6)
	streams := make(map[tarragondeal.ServerID]int)
	for range 12 {
		g, err := w.reserve(live())
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
		g, err := w.reserve(long(10 + session))
		if err != nil {
			t.Fatal(err)
		}
		if streams[g.Server.ID] > 0 {
			t.Errorf("long prompt %d went to an engine with %d live streams", session, streams[g.Server.ID])
		}
		w.clock.now = w.clock.now.Add(200 * time.Millisecond)
	}
}

// TestSessionsReturnToWhatIsCached is the pattern of sessions that ask again
// and share most of their prompt.
func TestSessionsReturnToWhatIsCached(t *testing.T) {
	w := newWorld(6)
	home := make(map[uint64]tarragondeal.ServerID)
	for session := range uint64(6) {
		g, _ := w.reserve(long(session))
		home[session] = g.Server.ID
		w.clock.now = w.clock.now.Add(time.Second)
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
	for session := range uint64(6) {
		g, _ := w.reserve(long(session))
		if g.Server.ID != home[session] {
			t.Errorf("session %d went to %s, its prompt is at %s", session, g.Server.ID, home[session])
		}
		w.clock.now = w.clock.now.Add(time.Second)
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
}

// TestBurstFromTwoNodes is the pattern of two nodes that choose at once: once
// each has heard what the other sent, they do not pile onto one engine.
func TestBurstFromTwoNodes(t *testing.T) {
	a, b := newWorld(6), newWorld(6)
	toA, toB := b.Writer(), a.Writer()
	a.Hear("b", toA(nobody))
	b.Hear("a", toB(nobody))
	load := make(map[tarragondeal.ServerID]int)
	for n := range uint64(12) {
		for _, w := range []*world{a, b} {
			g, _ := w.reserve(tarragondeal.Ask{Pools: []string{"m"}, Input: 4000, Output: 20, Parts: []tarragondeal.PromptPart{{ID: n, Tokens: 4000}}})
			load[g.Server.ID]++
		}
		a.Hear("b", toA(nobody))
		b.Hear("a", toB(nobody))
	}
	for id, n := range load {
		if n > 8 {
			t.Errorf("%d of 24 prompts went to %s", n, id)
		}
	}
}

// TestStateOfANodeThatFellSilent checks that its load counts no longer.
func TestStateOfANodeThatFellSilent(t *testing.T) {
	a, b := newWorld(1), newWorld(1)
	tell := b.Writer()
	for range 5 {
		_, _ = b.reserve(live())
	}
	a.Hear("b", tell(nobody))
	if n := a.Busy("m").Running; n != 5 {
		t.Fatalf("%d running", n)
	}
	a.clock.now = a.clock.now.Add(othersFor + time.Second)
	if n := a.Busy("m").Running; n != 0 {
		t.Errorf("%d running of a node that fell silent", n)
	}
}

func TestServersThatMayNotBeUsed(t *testing.T) {
	w := newWorld(2)
	a := live()
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

// TestRequestThatCrashesServers is the pattern of one request that breaks the
// connection to each server that runs it, and comes again at any node.
func TestRequestThatCrashesServers(t *testing.T) {
	a, b := newWorld(5), newWorld(5)
	tell := a.Writer()
	ask := live()
	ask.Fingerprint = 42
	for range crashesMost {
		g, err := a.reserve(ask)
		if err != nil {
			t.Fatal(err)
		}
		a.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeCrashed})
		ask.Avoid = append(ask.Avoid, g.Server.ID)
	}
	b.Hear("a", tell(nobody))
	ask.Avoid = nil
	for name, w := range map[string]*world{"the same node": a, "another node": b} {
		var refused *tarragondeal.RefusedError
		if _, err := w.reserve(ask); !errors.As(err, &refused) || refused.Reason != tarragondeal.ReasonQuarantined {
			t.Errorf("%s: %v", name, err)
		}
	}
	if _, err := b.reserve(live()); err != nil {
		t.Errorf("another request: %v", err)
	}
}

// TestServerThatFailsItsRequests is the pattern of a server whose health check
// is good while part of its requests fail.
func TestServerThatFailsItsRequests(t *testing.T) {
	w := newWorld(0)
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

// TestServerThatFallsSilent is the pattern of a server that takes requests and
// answers none: the first one that is given up on keeps further ones away, at
// this node and at those that it tells.
func TestServerThatFallsSilent(t *testing.T) {
	a, b := newWorld(0), newWorld(0)
	tell := a.Writer()
	b.Hear("a", tell(nobody))
	g, _ := a.reserve(tarragondeal.Ask{Pools: []string{"p"}})
	a.clock.now = a.clock.now.Add(200 * time.Millisecond)
	b.clock.now = a.clock.now
	a.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeLate})
	b.Hear("a", tell(nobody))
	for name, w := range map[string]*world{"this node": a, "another node": b} {
		for range 20 {
			other, err := w.reserve(tarragondeal.Ask{Pools: []string{"p"}})
			if err != nil || other.Server.ID == g.Server.ID {
				t.Fatalf("%s: %s, %v", name, other.Server.ID, err)
			}
			w.Done(other, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
		}
	}
}

// TestRetriesStayWithinTheBudget is the pattern of servers that fail
// everything: the repeats of all nodes together keep to the deployment's bound.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	w := newWorld(2)
	taken, requests := 0, 0
	for range 500 {
		requests++
		_, _ = w.reserve(live())
		for w.MayRetry(tarragondeal.Ask{Pools: []string{"m"}}) {
			taken++
		}
	}
	if most := 0.2*float64(requests) + 54.0/7; float64(taken) > most {
		t.Errorf("%d repeats of %d requests, a node's part is %.0f", taken, requests, most)
	}
}

func TestTolerance(t *testing.T) {
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
		if got := tolerance(c.gap, c.stride, c.rate) < chunkTokens; got != c.tight {
			t.Errorf("%s: tight %t", c.name, got)
		}
	}
}

func TestChain(t *testing.T) {
	part := func(ids ...uint64) []tarragondeal.PromptPart {
		var out []tarragondeal.PromptPart
		for _, id := range ids {
			out = append(out, tarragondeal.PromptPart{ID: id, Tokens: 10})
		}
		return out
	}
	c := newCache(1000)
	c.add(chain(part(1, 2, 3)))
	for _, x := range []struct {
		name string
		ids  []uint64
		want int
	}{
		{"the same", []uint64{1, 2, 3}, 30},
		{"another end", []uint64{1, 2, 4}, 20},
		{"another beginning", []uint64{4, 2, 3}, 0},
	} {
		if got := c.held(chain(part(x.ids...))); got != x.want {
			t.Errorf("%s: %d", x.name, got)
		}
	}
	for n := range uint64(1000) {
		c.add(chain(part(n + 100)))
		if c.tokens > c.capacity {
			t.Fatalf("%d tokens of %d", c.tokens, c.capacity)
		}
	}
}

func FuzzHear(f *testing.F) {
	a := newWorld(2)
	tell := a.Writer()
	_, _ = a.reserve(long(1))
	f.Add(tell(nobody))
	f.Fuzz(func(t *testing.T, payload []byte) {
		b := newWorld(2)
		b.Hear("a", payload)
		if _, err := b.reserve(live()); err != nil {
			t.Fatal(err)
		}
	})
}

func BenchmarkReserve600(b *testing.B) {
	w := newWorld(0)
	var list []tarragondeal.Server
	for n := range 600 {
		list = append(list, tarragondeal.Server{ID: tarragondeal.ServerID(fmt.Sprint(n)), Pool: "m", DataCentre: "a", State: tarragondeal.VMLive})
	}
	w.SetServers(list)
	ask := long(1)
	ask.Attempt = 1
	for b.Loop() {
		g, err := w.Reserve(context.Background(), ask)
		if err != nil {
			b.Fatal(err)
		}
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeServed})
	}
}

// TestServerThatCannotBeReachedIsHeldOff is the pattern of a server that has
// crashed and is still listed.
func TestServerThatCannotBeReachedIsHeldOff(t *testing.T) {
	w := newWorld(3)
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
	w.clock.now = w.clock.now.Add(holdOffFor)
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

// TestLoadGoesOnThroughARelay checks that a relay tells on what its leaves have
// running, that a leaf does not get its own load back, and that load which came
// through a relay is forgotten soon after its stream has ended.
func TestLoadGoesOnThroughARelay(t *testing.T) {
	leaf, relay, other := newWorld(1), newWorld(1), newWorld(1)
	fromLeaf := func(n tarragondeal.NodeID) bool { return n == "leaf" }
	up, on, back := leaf.Writer(), relay.Writer(), relay.Writer()
	relay.Hear("leaf", up(nobody))
	other.Hear("relay", on(fromLeaf))
	for range 3 {
		if _, err := leaf.reserve(live()); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := relay.reserve(live()); err != nil {
		t.Fatal(err)
	}
	relay.Hear("leaf", up(nobody))
	other.Hear("relay", on(fromLeaf))
	leaf.Hear("relay", back(nobody))
	for name, w := range map[string]*world{"leaf": leaf, "relay": relay, "other": other} {
		if got := w.Busy("m").Running; got != 4 {
			t.Errorf("%s knows of %d running requests of 4", name, got)
		}
	}
	if n := len(other.sentLog); n != 4 {
		t.Errorf("%d prompts are told on of 4", n)
	}
	other.Lost("relay")
	if got := other.Busy("m").Running; got != 4 {
		t.Errorf("%d requests count just after the stream has ended", got)
	}
	other.clock.now = other.clock.now.Add(lostFor + time.Millisecond)
	if got := other.Busy("m").Running; got != 0 {
		t.Errorf("%d requests count after the stream has ended", got)
	}
}

// TestCrashToldInTurnsIsForgotten checks that nodes which tell one another of a
// crash do not keep it alive.
func TestCrashToldInTurnsIsForgotten(t *testing.T) {
	a, b := newWorld(1), newWorld(1)
	toA, toB := b.Writer(), a.Writer()
	for n := range crashesMost {
		a.crashes.add(7, tarragondeal.ServerID(fmt.Sprint(n)))
	}
	for now := time.Duration(0); now <= crashesKept; now += crashTellFor / 2 {
		b.Hear("a", toB(nobody))
		a.Hear("b", toA(nobody))
		a.clock.now = a.clock.now.Add(crashTellFor / 2)
		b.clock.now = a.clock.now
	}
	if n := a.crashes.servers(7); n != 0 {
		t.Errorf("%d crashes are remembered after %s", n, crashesKept)
	}
}

// TestBurstShowsSoonInALargePool is the pattern of a burst of long prompts: what
// engines are needed for must be seen well before new ones have started.
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
		w := newWorld(c.engines)
		session := uint64(0)
		send := func(span, every time.Duration) float64 {
			for end := w.clock.now.Add(span); w.clock.now < end; w.clock.now = w.clock.now.Add(every) {
				session++
				a := long(session)
				a.Parts = a.Parts[2:] // Nothing of it is held anywhere.
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
