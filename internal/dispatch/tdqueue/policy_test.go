package tdqueue_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdqueue"
)

// The benchmark in this file simulates generated arrivals in virtual time, both
// through the queues of a few servers and through simple balancing policies. It
// evaluates a change of the order or of refusals in seconds. It doesn't cover
// messages between nodes or real servers.

const (
	benchServers = 9
	benchSlots   = 4
	benchLength  = 60 * time.Second
	perToken     = 20 * time.Millisecond
	prefill      = 100 * time.Millisecond
)

// arrival is one generated request.
type arrival struct {
	tdqueue.Request
	at      tarragondeal.Instant
	tokens  int
	done    bool
	started tarragondeal.Instant
	ran     bool
	refused tarragondeal.Instant
	queues  map[int]bool
}

func (a *arrival) service() time.Duration { return prefill + time.Duration(a.tokens)*perToken }

// generate returns arrivals at load times the servers' capacity. All load
// above 0.7 arrives in the burst tier.
func generate(seed uint64, load float64, burst int) []*arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	targets := []time.Duration{330 * time.Millisecond, time.Second, 3 * time.Second}
	deadlines := []time.Duration{8 * time.Second, 15 * time.Second, 30 * time.Second}
	mean := prefill + 40*perToken
	capacity := float64(benchServers*benchSlots) / mean.Seconds()
	shares := []float64{0.15, 0.25, 0.3}
	var out []*arrival
	for tier := 1; tier <= 3; tier++ {
		rate := capacity * shares[tier-1]
		if tier == burst {
			rate += capacity * (load - 0.7)
		}
		for at := r.ExpFloat64() / rate; at < benchLength.Seconds(); at += r.ExpFloat64() / rate {
			now := tarragondeal.Instant(at * float64(time.Second))
			out = append(out, &arrival{
				at: now, tokens: max(1, int(math.Exp(r.NormFloat64()*0.8+math.Log(40)-0.32))), queues: map[int]bool{},
				Request: tdqueue.Request{
					Tier: tier, Class: fmt.Sprint(tier), Workspace: workspace(r), Work: 40, Copies: []int{6, 3, 3}[tier-1],
					MinShare: []float64{0, 0.05, 0.05}[tier-1],
					Target:   now.Add(targets[tier-1]), Deadline: now.Add(deadlines[tier-1]),
				},
			})
		}
	}
	return out
}

// workspace returns one of ten workspaces at random. The first one sends
// half of all requests.
func workspace(r *rand.Rand) string {
	if r.IntN(2) == 0 {
		return "depot0"
	}
	return fmt.Sprintf("depot%d", 1+r.IntN(9))
}

// event is an arrival, the end of a run or a tick in virtual time.
type event struct {
	at     tarragondeal.Instant
	a      *arrival
	server int // -1 for an arrival.
	tick   bool
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at < e[b].at }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any          { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// policy assigns arrivals to servers.
type policy interface {
	arrive(s *simulation, a *arrival)
	end(s *simulation, server int, a *arrival)
	tick(s *simulation)
}

type simulation struct {
	now    tarragondeal.Instant
	events events
	all    []*arrival
	byID   map[tdqueue.Ticket]*arrival
	starts []*arrival
}

func (s *simulation) start(server int, a *arrival) {
	a.ran, a.started = true, s.now
	s.starts = append(s.starts, a)
	heap.Push(&s.events, event{at: s.now.Add(a.service()), a: a, server: server})
}

func simulate(p policy, all []*arrival) *simulation {
	s := &simulation{all: all, byID: map[tdqueue.Ticket]*arrival{}}
	for n, a := range all {
		a.Ticket = tdqueue.Ticket(n + 1)
		s.byID[a.Ticket] = a
		heap.Push(&s.events, event{at: a.at, a: a, server: -1})
	}
	for at := tarragondeal.Instant(0); at < tarragondeal.Instant(2*benchLength); at = at.Add(50 * time.Millisecond) {
		heap.Push(&s.events, event{at: at, tick: true})
	}
	for s.events.Len() > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		switch {
		case e.tick:
			p.tick(s)
		case e.server < 0:
			p.arrive(s, e.a)
		default:
			e.a.done = true
			p.end(s, e.server, e.a)
		}
	}
	return s
}

// owners applies the queue of this package on every server: each request waits
// in up to three queues, one of the highest tier in up to six.
type owners struct {
	queues []*tdqueue.Queue
	random *rand.Rand
}

func newOwners() *owners {
	o := &owners{random: rand.New(rand.NewPCG(3, 4))}
	for n := range benchServers {
		q := tdqueue.New(tdqueue.Options{Bound: 4096, HeadroomDivisor: 12, HeadroomRound: float64(n) / benchServers})
		q.SetCapacity(benchSlots)
		o.queues = append(o.queues, q)
	}
	return o
}

func (o *owners) arrive(s *simulation, a *arrival) {
	order := o.random.Perm(benchServers)
	for n := range order { // Try the server with the most free slots first.
		if o.queues[order[n]].Free()-o.queues[order[n]].Len() > o.queues[order[0]].Free()-o.queues[order[0]].Len() {
			order[0], order[n] = order[n], order[0]
		}
	}
	for _, n := range order {
		if len(a.queues) == a.Copies || a.ran {
			return
		}
		o.add(s, n, a)
	}
	if len(a.queues) == 0 && !a.ran {
		a.refused = s.now
	}
}

func (o *owners) add(s *simulation, n int, a *arrival) {
	shed, refusal := o.queues[n].Add(s.now, a.Request)
	if refusal == nil {
		a.queues[n] = true
	}
	o.shed(s, n, shed)
	o.serve(s, n)
}

func (o *owners) shed(s *simulation, n int, shed []tdqueue.Refusal) {
	for _, x := range shed {
		b := s.byID[x.Request.Ticket]
		delete(b.queues, n)
		if len(b.queues) == 0 && !b.ran {
			b.refused = s.now
		}
	}
}

func (o *owners) serve(s *simulation, n int) {
	for {
		r, ok := o.queues[n].Next(s.now)
		if !ok {
			return
		}
		a := s.byID[r.Ticket]
		delete(a.queues, n)
		for m := range a.queues {
			o.queues[m].Cancel(r.Ticket)
		}
		clear(a.queues)
		s.start(n, a)
	}
}

func (o *owners) end(s *simulation, n int, a *arrival) {
	o.queues[n].ObserveFirstToken(a.Class, prefill)
	o.queues[n].End(s.now, a.Ticket, a.tokens, true)
	o.serve(s, n)
}

func (o *owners) tick(s *simulation) {
	for n, q := range o.queues {
		o.shed(s, n, q.Expire(s.now))
		o.serve(s, n)
	}
}

// direct assigns each request to a server on arrival. A server runs its
// requests in the order of their arrival.
type direct struct {
	choose    func(d *direct) int
	load      [benchServers]int
	staleLoad [benchServers]int
	queues    [benchServers][]*arrival
	next      int
	ticks     int
	random    *rand.Rand
}

func (d *direct) arrive(s *simulation, a *arrival) {
	n := d.choose(d)
	d.load[n]++
	d.queues[n] = append(d.queues[n], a)
	d.serve(s, n)
}

func (d *direct) serve(s *simulation, n int) {
	for len(d.queues[n]) > 0 && d.load[n]-len(d.queues[n]) < benchSlots {
		a := d.queues[n][0]
		d.queues[n] = d.queues[n][1:]
		if s.now > a.Deadline {
			a.refused = s.now
			d.load[n]--
			continue
		}
		s.start(n, a)
	}
}

func (d *direct) end(s *simulation, n int, _ *arrival) {
	d.load[n]--
	d.serve(s, n)
}

func (d *direct) tick(*simulation) {
	if d.ticks++; d.ticks%10 == 0 {
		d.staleLoad = d.load
	}
}

func leastOutstanding(d *direct) int {
	best := d.random.IntN(benchServers)
	for n := range d.load {
		if d.load[n] < d.load[best] {
			best = n
		}
	}
	return best
}

func powerOfTwo(d *direct) int {
	a, b := d.random.IntN(benchServers), d.random.IntN(benchServers)
	if d.staleLoad[b] < d.staleLoad[a] {
		return b
	}
	return a
}

func roundRobin(d *direct) int { d.next++; return d.next % benchServers }

// inversions returns the number of priority inversions: refused requests for
// which a request of a lower tier, already in the system, started later but
// before the refused one's deadline.
func (s *simulation) inversions() int {
	n := 0
	for _, a := range s.all {
		if a.ran {
			continue
		}
		for _, b := range s.starts {
			if b.Tier > a.Tier && b.at <= a.refused && b.started > a.refused && b.started < a.Deadline {
				n++
				break
			}
		}
	}
	return n
}

// worstFairness returns the lowest ratio of a workspace's service to its fair
// share of all service.
func (s *simulation) worstFairness() float64 {
	want, got := map[string]float64{}, map[string]float64{}
	total := 0.0
	for _, a := range s.all {
		want[a.Workspace] += float64(a.tokens)
		if a.ran {
			got[a.Workspace] += float64(a.tokens)
			total += float64(a.tokens)
		}
	}
	level := fairLevel(want, total)
	worst := math.Inf(1)
	for name := range want {
		worst = min(worst, got[name]/min(want[name], level))
	}
	return worst
}

// fairLevel returns the max-min fair share: the limit per workspace at which
// the demands add up to total.
func fairLevel(want map[string]float64, total float64) float64 {
	low, high := 0.0, total
	for range 60 {
		level, sum := (low+high)/2, 0.0
		for _, d := range want {
			sum += min(d, level)
		}
		if sum < total {
			low = level
		} else {
			high = level
		}
	}
	return low
}

func BenchmarkPolicy(b *testing.B) {
	cases := []struct {
		name  string
		load  float64
		burst int
	}{{"steady", 0.7, 3}, {"lowBurst", 3, 3}, {"middleBurst", 3, 2}, {"topBurst", 2, 1}}
	policies := []struct {
		name string
		new  func() policy
	}{
		{"owner", func() policy { return newOwners() }},
		{"roundRobin", func() policy { return &direct{choose: roundRobin} }},
		{"leastOutstanding", func() policy { return &direct{choose: leastOutstanding, random: rand.New(rand.NewPCG(1, 1))} }},
		{"powerOfTwo", func() policy { return &direct{choose: powerOfTwo, random: rand.New(rand.NewPCG(1, 1))} }},
	}
	for _, c := range cases {
		for _, p := range policies {
			b.Run(c.name+"/"+p.name, func(b *testing.B) {
				var s *simulation
				for b.Loop() {
					s = simulate(p.new(), generate(7, c.load, c.burst))
				}
				for tier := 1; tier <= 3; tier++ {
					met, all := 0, 0
					for _, a := range s.all {
						if a.Tier == tier {
							all++
							if a.ran && a.started.Add(prefill) <= a.Target {
								met++
							}
						}
					}
					b.ReportMetric(float64(met)/float64(all), fmt.Sprintf("tier%d", tier))
				}
				b.ReportMetric(float64(s.inversions()), "inversions")
				b.ReportMetric(s.worstFairness(), "worst")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(len(s.all)), "ns/request")
			})
		}
	}
}
