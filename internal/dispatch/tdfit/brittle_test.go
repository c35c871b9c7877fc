package tdfit

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"testing"
	"time"

	"tarragondeal"
)

// brittleRun is a simulation of nodes before brittle servers, each of which fails if it
// has to reject more requests in a second than it announces.
type brittleRun struct {
	nodes   int
	servers int
	rejects float64 // Requests that a server can reject in a second.
	load    float64 // Arriving work, as a share of what the slots can do.
}

const (
	brittleSlots    = 16
	brittleWaiting  = 16                     // Requests that a server lets wait at first.
	fewerWaiting    = 2                      // Requests that it lets wait from fewerWaitingFrom on.
	brittleWork     = time.Second            // Mean time of a request.
	brittleDownTime = 3 * time.Second        // From a failure of a server to its next run.
	brittleStep     = 10 * time.Millisecond  // Of the simulated time.
	stateInterval   = 100 * time.Millisecond // Between two states of a node.
	brittleWait     = time.Second            // Time for which a request waits for a server.
	// brittleFrom is when answers begin to say that the servers are brittle, fewerWaitingFrom
	// when they let fewer wait.
	brittleFrom, fewerWaitingFrom = 5 * time.Second, 8 * time.Second
)

type brittleServer struct {
	running, waiting int
	rejected         []time.Duration // Times of the rejections of the last second.
	downUntil        time.Duration
	run              int
}

type brittleRequest struct {
	ask    tarragondeal.Ask
	node   int
	since  time.Duration
	grant  tarragondeal.Grant
	server int
	run    int
	runs   bool
	ends   time.Duration
}

// brittleResult is what a simulation gave from fewerWaitingFrom on.
type brittleResult struct {
	asked, served, refused, failures int
}

// play runs the simulation with the given seed for a time from fewerWaitingFrom on.
func (b brittleRun) play(seed uint64, length time.Duration) brittleResult {
	w := newLimitFleet(b.nodes, 0)
	rng := rand.New(rand.NewPCG(seed, 0))
	servers := make([]brittleServer, b.servers)
	wall := w.clock.Wall()
	list := func(now time.Duration) []tarragondeal.Server {
		var out []tarragondeal.Server
		for n := range servers {
			if now < servers[n].downUntil {
				continue
			}
			out = append(out, tarragondeal.Server{
				ID: tarragondeal.ServerID(fmt.Sprintf("p%d", n)), Pool: "p", DataCentre: "a", State: tarragondeal.VMLive, Slots: brittleSlots,
				Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 1), StartedAt: wall.Add(time.Duration(servers[n].run-1) * time.Minute),
			})
		}
		return out
	}
	setServers := func(now time.Duration) {
		for _, n := range w.nodes {
			n.SetServers(list(now))
		}
	}
	setServers(0)
	rate := b.load * float64(b.servers*brittleSlots) / brittleWork.Seconds()
	var out brittleResult
	var waiting, active []*brittleRequest
	relisted := time.Duration(-1)
	start := w.clock.now
	for now := time.Duration(0); now < fewerWaitingFrom+length; now += brittleStep {
		w.clock.now = start.Add(now)
		counted := now >= fewerWaitingFrom
		if relisted >= 0 && now >= relisted {
			relisted = -1
			setServers(now)
		}
		if now%stateInterval == 0 {
			w.exchangeAll()
		}
		answer := func(r *brittleRequest, kind tarragondeal.OutcomeKind) {
			node := w.nodes[r.node]
			if kind != tarragondeal.OutcomeCrashed && kind != tarragondeal.OutcomeUnreachable {
				node.sayBrittle(r.grant.Server, b.rejects, now >= brittleFrom, w.clock.now.Add(-brittleStep))
			}
			node.Done(r.grant, tarragondeal.Outcome{Kind: kind, Rejected: kind == tarragondeal.OutcomeRefused})
		}
		for n := poisson(rng, rate*brittleStep.Seconds()); n > 0; n-- {
			r := &brittleRequest{node: rng.IntN(b.nodes), since: now}
			r.ask = tarragondeal.Ask{Pools: []string{"p"}, Attempt: 1, Tier: 2, Target: 2 * brittleWait}
			waiting = append(waiting, r)
			if counted {
				out.asked++
			}
		}
		// Requests that a server works on.
		kept := active[:0]
		var again []*brittleRequest
		for _, r := range active {
			s := &servers[r.server]
			switch {
			case r.run != s.run:
				answer(r, tarragondeal.OutcomeCrashed)
			case !r.runs && s.running < brittleSlots:
				r.runs, r.ends = true, now+time.Duration(rng.ExpFloat64()*float64(brittleWork))
				s.running++
				s.waiting--
				kept = append(kept, r)
			case r.runs && now >= r.ends:
				s.running--
				answer(r, tarragondeal.OutcomeServed)
				if counted {
					out.served++
				}
			default:
				kept = append(kept, r)
			}
		}
		active = kept
		// Requests that wait at a node.
		for _, r := range waiting {
			req := newRequest(&r.ask)
			g, ok, err := w.nodes[r.node].choose(&req, start.Add(r.since), now == r.since)
			if err != nil || !ok && now-r.since >= brittleWait {
				if counted {
					out.refused++
				}
				continue
			}
			if !ok {
				again = append(again, r)
				continue
			}
			r.grant = g
			_, _ = fmt.Sscanf(string(g.Server.ID), "p%d", &r.server)
			s := &servers[r.server]
			places := brittleWaiting
			if counted {
				places = fewerWaiting
			}
			switch {
			case now < s.downUntil:
				answer(r, tarragondeal.OutcomeUnreachable)
			case s.running < brittleSlots:
				r.runs, r.ends = true, now+time.Duration(rng.ExpFloat64()*float64(brittleWork))
				s.running++
			case s.waiting < places:
				s.waiting++
			default:
				answer(r, tarragondeal.OutcomeRefused)
				s.rejected = append(s.rejected, now)
				for now-s.rejected[0] >= time.Second {
					s.rejected = s.rejected[1:]
				}
				if counted && float64(len(s.rejected)) > b.rejects {
					out.failures++
					*s = brittleServer{downUntil: now + brittleDownTime, run: s.run + 1}
					relisted = s.downUntil
				}
				r.ask.Attempt++
				r.ask.Avoid = append(r.ask.Avoid, g.Server.ID)
				if r.ask.Attempt <= 2 {
					again = append(again, r)
				} else if counted {
					out.refused++
				}
				continue
			}
			if now >= s.downUntil {
				r.run = s.run
				active = append(active, r)
			} else if counted {
				out.refused++
			}
		}
		waiting = again
	}
	return out
}

// poisson returns a number of arrivals with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for t := rng.ExpFloat64(); t < mean; t += rng.ExpFloat64() {
		n++
	}
	return n
}

// exchangeAll sends the load of each node to all others through node 0.
func (w *limitFleet) exchangeAll() {
	for n := range w.nodes {
		for _, link := range [][2]int{{0, n}, {n, 0}} {
			if n == 0 {
				continue
			}
			if w.links[link] == nil {
				w.links[link] = w.nodes[link[0]].Writer()
			}
			include := ownOnly
			if link[0] == 0 {
				include = func(of tarragondeal.NodeID) bool { return of != nodeName(n) }
			}
			w.nodes[link[1]].Receive(nodeName(link[0]), w.links[link](include))
		}
	}
}

// sayBrittle gives a node an answer of a server to a request that was sent at sent.
func (w *testFit) sayBrittle(s tarragondeal.Server, rejects float64, announced bool, sent tarragondeal.Instant) {
	w.ObserveBrittle(s, "r", tarragondeal.ServerRate{Announced: announced, PerSecond: rejects}, sent)
}

// TestBrittleServersDontFail guards against nodes that together send brittle servers more
// than these have room for, while each knows of the others' requests late.
func TestBrittleServersDontFail(t *testing.T) {
	runs := []brittleRun{
		{nodes: 1, servers: 2, rejects: 1, load: 1},
		{nodes: 7, servers: 9, rejects: 1, load: 0.8},
		{nodes: 7, servers: 9, rejects: 1, load: 1},
		{nodes: 7, servers: 9, rejects: 3, load: 1.3},
	}
	length := 20 * time.Second
	if os.Getenv("TARRAGONDEAL_BRITTLE") != "" { // By hand: takes some minutes.
		runs, length = nil, time.Minute
		for _, size := range [][2]int{{7, 9}, {30, 20}, {60, 40}} {
			for _, load := range []float64{0.8, 1, 1.3} {
				for _, rejects := range []float64{1, 3, 10} {
					runs = append(runs, brittleRun{nodes: size[0], servers: size[1], rejects: rejects, load: load})
				}
			}
		}
	}
	for _, r := range runs {
		got := r.play(1, length)
		t.Logf("%+v: %d failures, %.3f of %d requests served, %.3f refused", r, got.failures,
			float64(got.served)/float64(got.asked), got.asked, float64(got.refused)/float64(got.asked))
		permitted := 0
		if r.load > 1 {
			permitted = 2 + r.servers/10
		}
		if got.failures > permitted {
			t.Errorf("%+v: %d failures, %d permitted", r, got.failures, permitted)
		}
		if got.served < got.asked/2 {
			t.Errorf("%+v: only %d of %d requests served", r, got.served, got.asked)
		}
	}
}

// TestServerIsNoLongerBrittle guards against nodes that divide the room of a server after an
// answer without the notice, and against a late answer that ends a later notice.
func TestServerIsNoLongerBrittle(t *testing.T) {
	w := newLimitFleet(2, 1)
	brittle := func(n *testFit) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.brittleOf(n.servers["m0"]) != nil
	}
	s := w.nodes[0].servers["m0"].Server
	early := w.clock.now
	w.advance(time.Second)
	w.nodes[0].sayBrittle(s, 1, true, early)
	w.nodes[0].sayBrittle(s, 0, false, early)
	w.exchange()
	if !brittle(w.nodes[0]) || !brittle(w.nodes[1]) {
		t.Error("the notice was not kept or not sent")
	}
	w.advance(time.Second)
	w.nodes[1].sayBrittle(s, 0, false, w.clock.now)
	w.exchange()
	w.exchange()
	if brittle(w.nodes[0]) || brittle(w.nodes[1]) {
		t.Error("the notice has not ended")
	}
}

// TestNewRunInBrittlePool guards against all nodes sending to a server that has just started
// and has said nothing yet, while others of its pool are brittle.
func TestNewRunInBrittlePool(t *testing.T) {
	w := newTestFitAt(nodeName(0), []tarragondeal.NodeID{nodeName(0), nodeName(1), nodeName(2), nodeName(3)}, &fakeClock{now: tarragondeal.Instant(time.Hour)}, 2)
	w.sayBrittle(w.servers["m0"].Server, 1, true, w.clock.now)
	for range 64 {
		if g, err := w.reserve(liveStream()); err != nil || g.Server.ID == "" {
			break
		}
	}
	const part = 64 * 9 / 10 / 4
	for _, id := range []tarragondeal.ServerID{"m0", "m1"} {
		if n := w.servers[id].own.running; n < part || n > part+1 {
			t.Errorf("%d requests at %s, whose part is %d or one more", n, id, part)
		}
	}
}

// TestErrorsOfBrittleServer guards against a brittle server that gets no requests for a
// while after it has run one and answered an error, and against one that still gets some
// after it has rejected one.
func TestErrorsOfBrittleServer(t *testing.T) {
	for _, rejected := range []bool{false, true} {
		w := newTestFit(1)
		w.sayBrittle(w.servers["m0"].Server, 1, true, w.clock.now)
		g, err := w.reserve(liveStream())
		if err != nil {
			t.Fatal(err)
		}
		w.Done(g, tarragondeal.Outcome{Kind: tarragondeal.OutcomeRefused, Rejected: rejected})
		r := newRequest(&tarragondeal.Ask{Pools: []string{"m"}, Attempt: 1})
		if _, ok, _ := w.choose(&r, w.clock.now, true); ok == rejected {
			t.Errorf("rejected %t: the next request is sent: %t", rejected, ok)
		}
	}
}

// TestBrittleServerWithOneSlot guards against a server without a slot to divide, which
// would get nothing, so that no answer ends the notice.
func TestBrittleServerWithOneSlot(t *testing.T) {
	w := newTestFit(0)
	w.SetServers([]tarragondeal.Server{{ID: "p0", Pool: "p", State: tarragondeal.VMLive, Slots: 1}})
	w.sayBrittle(w.servers["p0"].Server, 0, true, w.clock.now)
	r := newRequest(&tarragondeal.Ask{Pools: []string{"p"}, Attempt: 1})
	if _, ok, _ := w.choose(&r, w.clock.now, true); !ok {
		t.Error("the server gets no requests")
	}
}
