package tdpoison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdshare"
)

const (
	// contact is the time after the fifth crash from which at most maxLate requests
	// with a poisonous part may be sent.
	contact = 3 * time.Second
	maxLate = 3
	// pause is the interval at which nodes exchange messages.
	pause = 100 * time.Millisecond
)

// nodeClock is the clock of a node, which started at another time than others.
type nodeClock struct {
	now    *time.Duration
	offset time.Duration
}

func (c nodeClock) Now() tarragondeal.Instant { return tarragondeal.Instant(*c.now - c.offset) }
func (c nodeClock) Wall() time.Time           { return time.Unix(1_800_000_000, 0).Add(*c.now) }

// testFleet is a fleet of tables. Node 0 relays the messages of the others.
type testFleet struct {
	now   time.Duration
	names []tarragondeal.NodeID
	nodes []*Table
	start []time.Duration // When each node started last.
	links map[[2]int]func(func(tarragondeal.NodeID) bool) []byte
	bytes int
}

func newTestFleet(size int) *testFleet {
	f := &testFleet{now: time.Hour}
	for n := range size {
		f.names = append(f.names, tarragondeal.NodeID(fmt.Sprintf("node-%d", n)))
	}
	f.links = make(map[[2]int]func(func(tarragondeal.NodeID) bool) []byte)
	f.nodes, f.start = make([]*Table, size), make([]time.Duration, size)
	for n := range f.nodes {
		f.restart(n)
	}
	return f
}

// restart starts a node that knows nothing.
func (f *testFleet) restart(n int) {
	clock := nodeClock{now: &f.now, offset: f.now - time.Duration(n)*time.Millisecond}
	f.nodes[n] = New(Deps{Clock: clock, Log: zerolog.Nop(), Fleet: func() tdshare.Fleet {
		return tdshare.Fleet{Self: f.names[n], Nodes: f.names, Now: clock.Wall()}
	}})
	f.start[n] = f.now
	for link := range f.links {
		if link[0] == n || link[1] == n {
			delete(f.links, link)
		}
	}
}

func (f *testFleet) exchange() {
	for from := range f.nodes {
		for to := range f.nodes {
			if from == to || from != 0 && to != 0 {
				continue
			}
			link := [2]int{from, to}
			if f.links[link] == nil {
				f.links[link] = f.nodes[from].Writer()
			}
			self := f.names[to]
			payload := f.links[link](func(n tarragondeal.NodeID) bool { return from == 0 && n != self })
			f.bytes += len(payload)
			if payload != nil {
				f.nodes[to].Receive(f.names[from], payload)
			}
		}
	}
}

// advance lets time pass, while nodes exchange messages.
func (f *testFleet) advance(d time.Duration) {
	for end := f.now + d; f.now < end; {
		f.now = min(end, f.now+pause)
		f.exchange()
	}
}

func part(id uint64) Trait { return Trait{Kind: KindPart, Pool: "m", ID: id} }

func request(id uint64) Trait { return Trait{Kind: KindRequest, Pool: "m", ID: id} }

// breakAt records a break at a node, of a request that was sent a while ago.
func (f *testFleet) breakAt(n, server int, after time.Duration, traits ...Trait) {
	t := f.nodes[n]
	now := t.Clock.Now()
	t.Broke(traits, Break{Run: Run{Server: tarragondeal.ServerID(fmt.Sprint(server))}, Sent: now.Add(-after), At: now})
}

// refusing returns the number of nodes that refuse a trait.
func (f *testFleet) refusing(traits ...Trait) int {
	out := 0
	for _, t := range f.nodes {
		if t.Check(traits).Refused {
			out++
		}
	}
	return out
}

// flight is a request at a server.
type flight struct {
	node, server int
	sent, ends   time.Duration
	traits       []Trait
	poison       bool
}

// course is a run in which requests with a poisonous part come among sound ones.
type course struct {
	*testFleet
	rng      *rand.Rand
	servers  int
	rate     float64 // Of requests with the part, per second.
	restarts time.Duration

	downUntil []time.Duration
	runs      []int
	flights   []flight
	crashes   []time.Duration
	late      int // Requests with the part sent later than contact after the fifth crash, by nodes that run as long.
	sound     int
	refused   int // Sound requests that were refused.
	next      uint64
}

const poisonID = 666

// send sends one request from a random node, unless it is refused.
func (c *course) send(poison bool) {
	c.next++
	n := c.rng.IntN(len(c.nodes))
	traits := []Trait{request(c.next), part(1), part(10 + c.next%20)}
	if poison {
		traits = append(traits, part(poisonID))
	} else {
		c.sound++
	}
	if c.nodes[n].Check(traits).Refused {
		if !poison {
			c.refused++
		}
		return
	}
	s := c.rng.IntN(c.servers)
	if c.now < c.downUntil[s] {
		return
	}
	c.nodes[n].Sent(traits)
	if poison && len(c.crashes) >= 5 && c.now > c.crashes[4]+contact && c.now > c.start[n]+contact {
		c.late++
	}
	took := time.Duration(50+c.rng.IntN(250)) * time.Millisecond
	if !poison {
		took *= 2
	}
	c.flights = append(c.flights, flight{node: n, server: s, sent: c.now, ends: c.now + took, traits: traits, poison: poison})
}

// end ends the requests that are due, and all those at a server that crashes.
func (c *course) end() {
	for _, fl := range c.flights {
		if fl.poison && fl.ends <= c.now && c.now >= c.downUntil[fl.server] {
			c.crashes = append(c.crashes, c.now)
			c.downUntil[fl.server] = c.now + 2*time.Second
		}
	}
	var left []flight
	for _, fl := range c.flights {
		t := c.nodes[fl.node]
		switch {
		case c.now < c.downUntil[fl.server]:
			at := t.Clock.Now()
			t.Broke(fl.traits, Break{
				Run:  Run{Server: tarragondeal.ServerID(fmt.Sprint(fl.server)), Started: int64(c.runs[fl.server])},
				Sent: at.Add(fl.sent - c.now), At: at,
			})
		case fl.ends <= c.now:
			t.Answered(fl.traits)
		default:
			left = append(left, fl)
		}
	}
	c.flights = left
	for s := range c.downUntil {
		if c.downUntil[s] == c.now+2*time.Second {
			c.runs[s]++
		}
	}
}

func (c *course) run(length time.Duration, soundRate float64) {
	const step = 10 * time.Millisecond
	c.downUntil, c.runs = make([]time.Duration, c.servers), make([]int, c.servers)
	for at := time.Duration(0); at < length; at += step {
		c.now += step
		for range c.draw(soundRate * step.Seconds()) {
			c.send(false)
		}
		for range c.draw(c.rate * step.Seconds()) {
			c.send(true)
		}
		c.end()
		if at%pause == 0 {
			c.exchange()
		}
		if c.restarts > 0 && at%c.restarts == 0 {
			c.restart(1 + c.rng.IntN(len(c.nodes)-1))
		}
	}
}

// draw returns a random number of events with the given mean.
func (c *course) draw(mean float64) int {
	n := int(mean)
	if c.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// TestRequestsWithOnePartStop guards against requests that crash one server after the
// other since no two are alike, and against sound requests that are refused with
// them.
func TestRequestsWithOnePartStop(t *testing.T) {
	for _, c := range []struct {
		nodes, servers int
		rate, sound    float64
		restarts       time.Duration
	}{
		{7, 9, 1.5, 45, 0},
		{7, 9, 0.3, 45, 0},
		{7, 9, 10, 45, 0},
		{7, 9, 1.5, 45, 500 * time.Millisecond},
		{59, 90, 5, 300, 0},
		{59, 90, 30, 300, 200 * time.Millisecond},
		{350, 600, 20, 500, 0},
	} {
		for seed := range uint64(5) {
			if c.nodes > 100 && seed > 0 {
				break // For the run time.
			}
			w := &course{testFleet: newTestFleet(c.nodes), rng: rand.New(rand.NewPCG(seed, 0)), servers: c.servers, rate: c.rate, restarts: c.restarts}
			w.run(25*time.Second, c.sound)
			name := fmt.Sprintf("%d nodes, %g requests a second, restarts %s, seed %d", c.nodes, c.rate, c.restarts, seed)
			if len(w.crashes) < 3 {
				t.Errorf("%s: only %d crashes", name, len(w.crashes))
			}
			if w.late > maxLate {
				t.Errorf("%s: %d requests later than %s after the fifth of %d crashes", name, w.late, contact, len(w.crashes))
			}
			if w.refused > w.sound/20 {
				t.Errorf("%s: %d of %d sound requests are refused", name, w.refused, w.sound)
			}
		}
	}
}

// TestLossOfManyServers guards against sound requests that are refused since many
// servers were lost at once, or a node lost its links to all of them.
func TestLossOfManyServers(t *testing.T) {
	f := newTestFleet(7)
	for round := range 2 {
		for n := range f.nodes {
			for s := range 9 {
				f.breakAt(n, 100*round+s, time.Duration(50+100*s)*time.Millisecond, request(7), part(1), part(2))
			}
			f.now += 5 * time.Millisecond
		}
		f.advance(time.Second)
		if n := f.refusing(request(7), part(1), part(2)); n > 0 {
			t.Fatalf("loss %d: refused at %d nodes", round+1, n)
		}
		f.nodes[round].Answered([]Trait{request(7), part(1), part(2)})
		f.advance(time.Second)
	}
}

// TestSoundPartOfPoisonousPrompts guards against a part that is refused because
// it breaks with a poisonous one, although other requests with it are answered.
func TestSoundPartOfPoisonousPrompts(t *testing.T) {
	f := newTestFleet(7)
	for n := range 6 {
		f.breakAt(n, n, 100*time.Millisecond, part(1), part(poisonID))
		f.advance(500 * time.Millisecond)
		f.nodes[6].Answered([]Trait{part(1)})
		f.advance(500 * time.Millisecond)
	}
	if n := f.refusing(part(1)); n > 0 {
		t.Errorf("the sound part is refused at %d nodes", n)
	}
	if n := f.refusing(part(1), part(poisonID)); n != 7 {
		t.Errorf("the poisonous part is refused at %d of 7 nodes", n)
	}
}

// TestNeighbourOfPoisonousPart guards against a rare part that is refused since its
// requests ran beside those with a poisonous one each time.
func TestNeighbourOfPoisonousPart(t *testing.T) {
	f := newTestFleet(7)
	for n := range partSequence + 1 {
		f.breakAt(n, n, 100*time.Millisecond, part(poisonID))
		if n > 0 {
			f.breakAt(6, n, 100*time.Millisecond, part(5))
		}
		f.advance(time.Second)
	}
	if n := f.refusing(part(5)); n > 0 {
		t.Errorf("the neighbour is refused at %d nodes", n)
	}
	if n := f.refusing(part(poisonID)); n != 7 {
		t.Errorf("the poisonous part is refused at %d of 7 nodes", n)
	}
	f.breakAt(6, 100, 100*time.Millisecond, part(5)) // Without the poisonous one.
	f.advance(time.Second)
	if n := f.refusing(part(5)); n != 7 {
		t.Errorf("the neighbour broke a connection by itself and is refused at %d of 7 nodes", n)
	}
}

// TestServersThatSurvive guards against a part that is refused since servers broke
// single connections of its requests, as a faulty server or a network does, or since a
// node was cut off from servers that go on at the other nodes.
func TestServersThatSurvive(t *testing.T) {
	f := newTestFleet(7)
	for n := range 5 {
		f.breakAt(n, n, 100*time.Millisecond, part(1))
		f.now += 50 * time.Millisecond
		sent := f.nodes[6].Clock.Now()
		f.advance(150 * time.Millisecond) // The break is known at the other nodes.
		f.nodes[6].Began(Run{Server: tarragondeal.ServerID(fmt.Sprint(n))}, sent.Add(100*time.Millisecond))
		if n := f.refusing(part(1)); n > 0 {
			t.Fatalf("refused at %d nodes", n)
		}
	}
	f.advance(time.Second)
	if n := f.refusing(part(1)); n > 0 {
		t.Errorf("refused at %d nodes", n)
	}
}

// TestServersThatStartAgain guards against a poisonous part that is accepted since the
// servers that it crashed answer again after a while, under the same name.
func TestServersThatStartAgain(t *testing.T) {
	f := newTestFleet(7)
	for n := range partSequence {
		f.breakAt(n, n, 100*time.Millisecond, part(poisonID))
		f.advance(survivalTime + 200*time.Millisecond)
		f.nodes[6].Began(Run{Server: tarragondeal.ServerID(fmt.Sprint(n))}, f.nodes[6].Clock.Now().Add(-50*time.Millisecond))
	}
	f.advance(time.Second)
	if n := f.refusing(part(poisonID)); n != 7 {
		t.Errorf("refused at %d of 7 nodes", n)
	}
}

// TestProvenPartAmongCrashes guards against a part of most prompts that is refused since
// a poisonous one crashed servers so fast, one after the other, that no request with
// either was answered in between.
func TestProvenPartAmongCrashes(t *testing.T) {
	f := newTestFleet(7)
	f.nodes[3].Answered([]Trait{part(1)})
	f.advance(time.Second)
	for n := range 8 {
		f.breakAt(3, n, 50*time.Millisecond, part(1))
		f.breakAt((n+1)%7, n, 50*time.Millisecond, part(1), part(poisonID))
		f.advance(100 * time.Millisecond)
	}
	f.advance(time.Second)
	if n := f.refusing(part(1)); n > 0 {
		t.Errorf("the part of most prompts is refused at %d nodes", n)
	}
	if n := f.refusing(part(poisonID)); n != 7 {
		t.Errorf("the poisonous part is refused at %d of 7 nodes", n)
	}
}

// TestPartThatBecomesPoisonous guards against a part that crashes servers for ever since
// it was answered before, or since each request with it crashed several of them.
func TestPartThatBecomesPoisonous(t *testing.T) {
	for _, attempts := range []int{1, 3} {
		f := newTestFleet(7)
		for _, table := range f.nodes {
			table.Answered([]Trait{part(1), part(poisonID)})
		}
		f.advance(time.Second)
		for n := range 9 {
			f.breakAt(n%7, n, 100*time.Millisecond, part(1), part(poisonID), part(100+uint64(n/attempts)))
			f.advance(200 * time.Millisecond)
			f.nodes[6].Answered([]Trait{part(1)})
		}
		f.advance(time.Second)
		if n := f.refusing(part(poisonID)); n != 7 {
			t.Errorf("%d attempts a request: refused at %d of 7 nodes", attempts, n)
		}
		if n := f.refusing(part(1)); n > 0 {
			t.Errorf("%d attempts a request: another part is refused at %d nodes", attempts, n)
		}
	}
}

// poisoned returns a fleet that refuses a part.
func poisoned(size int) *testFleet {
	f := newTestFleet(size)
	for n := range partSequence {
		f.breakAt(n%size, n, 100*time.Millisecond, part(poisonID))
		f.advance(time.Second)
	}
	return f
}

// TestNodeThatStartsLater guards against a node that sends requests which the others
// refuse, since it started after the breaks, however long ago these were.
func TestNodeThatStartsLater(t *testing.T) {
	for _, later := range []time.Duration{0, 10 * time.Second, 10 * time.Minute} {
		f := poisoned(7)
		for n := range 3 { // Trials that fail extend the time for which the part is refused.
			f.now += maxHold
			f.breakAt(n, 10+n, 100*time.Millisecond, part(poisonID))
			f.advance(time.Second)
		}
		f.now += later
		for n := 1; n < 7; n++ {
			f.restart(n)
		}
		f.advance(500 * time.Millisecond)
		if later < firstHold<<3 && f.refusing(part(poisonID)) != 7 {
			t.Errorf("%s later: refused at %d of 7 nodes", later, f.refusing(part(poisonID)))
		}
		if f.nodes[6].records[part(poisonID)] == nil {
			t.Errorf("%s later: a new node knows nothing", later)
		}
	}
}

// TestTrials guards against a part that is refused for ever, or is tried by many nodes
// at once, or as often after a trial that failed.
func TestTrials(t *testing.T) {
	f := poisoned(7)
	traits := []Trait{part(poisonID)}
	// wait returns when a node next accepts the part, and lets it send.
	wait := func() (time.Duration, int) {
		from := f.now
		for f.now < from+time.Hour {
			f.advance(50 * time.Millisecond)
			accepted, node := 0, 0
			for n, table := range f.nodes {
				if !table.Check(traits).Refused {
					accepted, node = accepted+1, n
				}
			}
			if accepted > 1 {
				t.Fatalf("accepted at %d nodes at once", accepted)
			}
			if accepted == 1 {
				f.nodes[node].Sent(traits)
				return f.now - from, node
			}
		}
		t.Fatal("never tried again")
		return 0, 0
	}
	before := time.Duration(0)
	for k := range 3 {
		took, n := wait()
		if took < firstHold-2*time.Second || took < before+before/2 {
			t.Errorf("trial %d after %s, the one before after %s", k+1, took, before)
		}
		before = took
		f.breakAt(n, 100+k, 100*time.Millisecond, part(poisonID))
		f.advance(time.Second)
	}
	_, n := wait()
	f.nodes[n].Answered(traits)
	f.advance(time.Second)
	if got := f.refusing(traits...); got > 0 {
		t.Errorf("still refused at %d nodes after an answer", got)
	}
}

// TestRequestRefusedAfterTwoServers guards against a request that is sent again and
// crashes a third server.
func TestRequestRefusedAfterTwoServers(t *testing.T) {
	f := newTestFleet(3)
	f.breakAt(0, 0, 100*time.Millisecond, request(7))
	f.advance(time.Second)
	if n := f.refusing(request(7)); n > 0 {
		t.Fatalf("refused at %d nodes after one break", n)
	}
	f.breakAt(1, 1, 100*time.Millisecond, request(7))
	f.advance(time.Second)
	if n := f.refusing(request(7)); n != 3 {
		t.Errorf("refused at %d of 3 nodes", n)
	}
}

// TestBreaksExpire guards against breaks that count for ever since nodes repeat them
// to one another.
func TestBreaksExpire(t *testing.T) {
	f := newTestFleet(3)
	for k := range 4 {
		f.breakAt(k%3, k, 100*time.Millisecond, request(7), part(8))
		f.advance(recordTTL + time.Second)
		f.restart(1 + k%2)
	}
	if n := f.refusing(request(7), part(8)); n > 0 {
		t.Errorf("refused at %d nodes for breaks that are minutes apart", n)
	}
}

// TestTableEmpties guards against records that are kept, and looked up for each
// request, long after the last break.
func TestTableEmpties(t *testing.T) {
	f := newTestFleet(2)
	f.breakAt(0, 0, 100*time.Millisecond, request(7), part(8))
	f.advance(time.Second)
	f.now += 2 * recordTTL
	for n, table := range f.nodes {
		if !table.Empty() {
			t.Errorf("node %d still holds %d records", n, len(table.records))
		}
	}
}

// TestMessagesEnd guards against nodes that forward the same breaks to one another for
// ever, and against messages that grow with what is recorded.
func TestMessagesEnd(t *testing.T) {
	f := newTestFleet(7)
	for k := range 3 * maxBreaks {
		f.breakAt(k%7, k, 100*time.Millisecond, part(poisonID))
		f.breakAt((k+3)%7, 100+k, 100*time.Millisecond, part(poisonID))
		f.now += 20 * time.Millisecond
	}
	f.advance(2 * time.Second)
	f.bytes = 0
	f.advance(5 * time.Second)
	if f.bytes > 0 {
		t.Errorf("%d bytes are sent although nothing changes", f.bytes)
	}
}

// TestManyParts guards against memory that grows with the parts of requests that
// break, and against a refused part that is forgotten for them.
func TestManyParts(t *testing.T) {
	f := poisoned(2)
	for k := range uint64(3 * maxRecords) {
		f.breakAt(0, int(k), 100*time.Millisecond, part(1000+k))
		if k%100 == 0 {
			f.advance(10 * time.Millisecond)
		}
	}
	f.advance(3 * time.Second)
	for n, table := range f.nodes {
		if got := len(table.records); got > maxRecords {
			t.Errorf("node %d holds %d records", n, got)
		}
		if got := len(table.log); got > 2*maxLog {
			t.Errorf("node %d logs %d changes", n, got)
		}
	}
	if n := f.refusing(part(poisonID)); n != 2 {
		t.Errorf("the part is refused at %d of 2 nodes", n)
	}
}

// keepStore records the leases that are acquired.
type keepStore struct {
	tarragondeal.Store
	acquired chan [2]string // Name and value.
	errs     []error        // Of the first calls.
}

func (s *keepStore) Acquire(_ context.Context, name, value string, _ time.Duration) (tarragondeal.Lease, error) {
	var err error
	if len(s.errs) > 0 {
		err, s.errs = s.errs[0], s.errs[1:]
	}
	s.acquired <- [2]string{name, value}
	return tarragondeal.Lease{}, err
}

// TestKeptWhileAllNodesAreDown guards against a refused part that crashes further
// servers since all nodes have ended and started again.
func TestKeptWhileAllNodesAreDown(t *testing.T) {
	f := poisoned(3)
	s := &keepStore{acquired: make(chan [2]string, 10), errs: []error{&tarragondeal.StoreError{Op: "acquire"}}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.nodes[0].Keep(ctx, s) }()
	next := func() [2]string {
		t.Helper()
		select {
		case got := <-s.acquired:
			return got
		case <-time.After(5 * time.Second):
			t.Fatal("nothing is written")
			return [2]string{}
		}
	}
	f.nodes[0].Check([]Trait{part(1), part(poisonID)})
	next() // Fails.
	for retried := false; !retried; {
		f.nodes[0].Check([]Trait{part(poisonID)})
		select {
		case got := <-s.acquired:
			s.acquired <- got
			retried = true
		case <-time.After(10 * time.Millisecond):
		}
	}
	kept := next()
	for range 5 {
		f.nodes[0].Check([]Trait{part(poisonID)})
	}
	cancel()
	if err := <-ended; err != nil || len(s.acquired) > 0 {
		t.Errorf("ends with %v, %d further writes", err, len(s.acquired))
	}
	f.now += 5 * time.Second
	for n := range f.nodes {
		f.restart(n)
		f.nodes[n].Load(kept[0], []byte(kept[1]))
	}
	if n := f.refusing(part(poisonID)); n != 3 {
		t.Errorf("refused at %d of 3 nodes that have started again", n)
	}
	v := f.nodes[0].Check([]Trait{part(poisonID)})
	if left := firstHold - 6*time.Second; v.After < left-2*time.Second || v.After > left+2*time.Second {
		t.Errorf("refused for %s, %s are left", v.After, left)
	}
	for _, table := range f.nodes {
		for _, damaged := range []string{"", "{}", "[]", kept[1][:len(kept[1])/2], `{"pool":"m","id":"zz"}`, `{"pool":"m","id":"5","breaks":[{"at":-9e18}]}`} {
			table.Load(kept[0], []byte(damaged))
		}
	}
	if n := f.refusing(part(5)); n > 0 {
		t.Error("a damaged entry refuses a part")
	}
}

// TestRequestKeptWhileAllNodesAreDown guards against a request that crashes two further
// servers each time all nodes have ended and started again.
func TestRequestKeptWhileAllNodesAreDown(t *testing.T) {
	const trials = 3
	f := newTestFleet(3)
	s := &keepStore{acquired: make(chan [2]string, 10)}
	held := make(map[string]string)
	f.breakAt(2, 0, 100*time.Millisecond, request(7))
	f.advance(time.Second)
	for k := range trials {
		f.breakAt(0, 1+k, 100*time.Millisecond, request(7))
		f.advance(time.Second)
		f.keepAll(t, s, held)
		if len(held) != 1+k {
			t.Fatalf("%d records for %d breaks: %v", len(held), 2+k, held)
		}
		for n := range f.nodes {
			f.restart(n)
			for name, value := range held {
				f.nodes[n].Load(name, []byte(value))
			}
		}
		hold := firstHold << k
		if n := f.refusing(request(7)); n != 3 {
			t.Errorf("refused at %d of 3 nodes that have started again after %d breaks", n, 2+k)
		}
		v := f.nodes[1].Check([]Trait{request(7)})
		if v.After < hold-2*time.Second || v.After > hold {
			t.Errorf("refused for %s after %d breaks, want %s", v.After, 2+k, hold)
		}
		f.keepAll(t, s, held)
		if len(held) != 1+k {
			t.Errorf("written again by nodes that read it: %v", held)
		}
		f.now += hold
	}
	if n := f.refusing(part(7)); n > 0 {
		t.Errorf("a part with the number of the request is refused at %d nodes", n)
	}
}

// keepAll lets all nodes write what they keep until they have nothing to write.
func (f *testFleet) keepAll(t *testing.T, s *keepStore, held map[string]string) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, len(f.nodes))
	for _, table := range f.nodes {
		go func() { ended <- table.Keep(ctx, s) }()
	}
	for quiet := false; !quiet; {
		select {
		case got := <-s.acquired:
			held[got[0]] = got[1]
		case <-time.After(keepPause + 50*time.Millisecond):
			quiet = !slices.ContainsFunc(f.nodes, func(t *Table) bool { return len(t.unkept) > 0 })
		}
	}
	cancel()
	for range f.nodes {
		if err := <-ended; err != nil {
			t.Error(err)
		}
	}
}

// TestDamagedMessages guards against messages of peers that end the process.
func TestDamagedMessages(t *testing.T) {
	f := poisoned(2)
	payload := f.nodes[0].Writer()(func(tarragondeal.NodeID) bool { return true })
	rng := rand.New(rand.NewPCG(1, 0))
	for range 2000 {
		damaged := append([]byte(nil), payload...)
		damaged[rng.IntN(len(damaged))] = byte(rng.IntN(256))
		f.nodes[1].Receive("x", damaged[:rng.IntN(len(damaged)+1)])
	}
	f.nodes[1].Check([]Trait{part(poisonID)})
}

// BenchmarkCheck measures the check of a request with a long prompt while many traits
// are recorded.
func BenchmarkCheck(b *testing.B) {
	f := poisoned(1)
	var traits []Trait
	for k := range uint64(64) {
		traits = append(traits, part(1000+k))
		f.breakAt(0, int(k), 100*time.Millisecond, part(1000+k))
	}
	for b.Loop() {
		f.nodes[0].Check(traits)
	}
}
