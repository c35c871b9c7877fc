package tdqueue_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdqueue"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestQueue(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Queue")
}

const second = tarragondeal.Instant(time.Second)

func request(ticket, tier int, workspace string) tdqueue.Request {
	return tdqueue.Request{
		Ticket: tdqueue.Ticket(ticket), Tier: tier, Class: fmt.Sprintf("class%d", tier), Workspace: workspace,
		Work: 100, Target: 10 * second, Deadline: 100 * second,
	}
}

func add(q *tdqueue.Queue, rs ...tdqueue.Request) {
	for _, r := range rs {
		_, refusal := q.Add(0, r)
		ExpectWithOffset(1, refusal).To(BeNil())
	}
}

// order starts requests one by one, ends each at once, and returns the tickets
// in start order.
func order(q *tdqueue.Queue, now tarragondeal.Instant) []int {
	var out []int
	for {
		r, ok := q.Next(now)
		if !ok {
			return out
		}
		out = append(out, int(r.Ticket))
		q.End(now, r.Ticket, int(r.Work), false)
	}
}

var _ = Describe("order", func() {
	cases := []struct {
		name string
		in   []tdqueue.Request
		want []int
	}{
		{"tier first", []tdqueue.Request{request(1, 3, "a"), request(2, 1, "a"), request(3, 2, "a")}, []int{2, 3, 1}},
		{"workspaces alternately", []tdqueue.Request{request(1, 1, "a"), request(2, 1, "a"), request(3, 1, "b")}, []int{1, 3, 2}},
		{"oldest first in a workspace", []tdqueue.Request{request(1, 1, "a"), request(2, 1, "a"), request(3, 1, "a")}, []int{1, 2, 3}},
	}
	for _, c := range cases {
		It(c.name, func() {
			q := tdqueue.New(tdqueue.Options{Bound: 10})
			q.SetCapacity(1)
			add(q, c.in...)
			Expect(order(q, 0)).To(Equal(c.want))
		})
	}

	It("charges tokens as they are reported", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 10})
		q.SetCapacity(2)
		add(q, request(1, 1, "a"), request(2, 1, "b"))
		q.Next(0)
		q.Next(0)
		q.Progress(1, 5000) // Workspace a's answer is long.
		add(q, request(3, 1, "a"), request(4, 1, "b"), request(5, 1, "b"))
		q.End(0, 2, 100, true)
		next, _ := q.Next(0)
		Expect(next.Ticket).To(Equal(tdqueue.Ticket(4)))
		q.End(0, 4, 100, true)
		next, _ = q.Next(0)
		Expect(next.Ticket).To(Equal(tdqueue.Ticket(5)))
	})

	It("keeps headroom for the highest tier", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 100, HeadroomDivisor: 8})
		q.SetCapacity(8)
		for n := range 20 {
			add(q, request(n+10, 5, "low"))
		}
		add(q, request(1, 1, "high"))
		for _, ok := q.Next(0); ok; _, ok = q.Next(0) {
		}
		Expect(q.Running()).To(HaveLen(7))
		add(q, request(2, 1, "high"))
		next, ok := q.Next(0)
		Expect(ok).To(BeTrue())
		Expect(next.Ticket).To(Equal(tdqueue.Ticket(2)))
	})

	It("runs at most one suspect at a time", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 10})
		q.SetCapacity(4)
		for n := 1; n <= 2; n++ {
			r := request(n, 1, "a")
			r.Suspect = true
			add(q, r)
		}
		add(q, request(3, 1, "a"))
		for _, ok := q.Next(0); ok; _, ok = q.Next(0) {
		}
		Expect(q.Running()).To(HaveLen(2))
		Expect(q.Running()).To(HaveKey(tdqueue.Ticket(3)))
		q.End(0, 1, 0, true)
		next, ok := q.Next(0)
		Expect(ok).To(BeTrue())
		Expect(next.Ticket).To(Equal(tdqueue.Ticket(2)))
	})
})

var _ = Describe("refusal", func() {
	It("refuses a request of the lowest tier when a full queue gets a higher one", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 2})
		add(q, request(1, 5, "a"), request(2, 3, "a"))
		shed, refusal := q.Add(0, request(3, 1, "a"))
		Expect(refusal).To(BeNil())
		Expect(shed).To(HaveLen(1))
		Expect(shed[0].Request.Ticket).To(Equal(tdqueue.Ticket(1)))
		_, refusal = q.Add(0, request(4, 4, "a"))
		Expect(refusal.Reason).To(Equal(tarragondeal.ReasonOverload))
	})

	It("refuses on arrival a request that can't end before its deadline", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 100})
		q.SetCapacity(1)
		q.SeedMean("class1", 20*time.Second)
		add(q, request(1, 1, "a"))
		q.Next(0)
		add(q, request(2, 1, "a"), request(3, 1, "a"), request(4, 1, "a"))
		_, refusal := q.Add(0, request(5, 1, "a"))
		Expect(refusal).NotTo(BeNil())
		Expect(refusal.Reason).To(Equal(tarragondeal.ReasonDeadline))
		Expect(refusal.RetryAfter).To(Equal(80 * time.Second))
	})

	It("refuses waiting and new requests of lower tiers when a higher one is refused", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 100})
		q.SetCapacity(2)
		q.SeedMean("class2", 80*time.Second)
		add(q, request(1, 2, "a"), request(2, 2, "a"))
		for _, ok := q.Next(0); ok; _, ok = q.Next(0) {
		}
		add(q, request(11, 3, "a"), request(12, 3, "a"), request(13, 3, "b"))
		for k := 3; ; k++ {
			shed, refusal := q.Add(0, request(k, 2, "a"))
			if refusal != nil {
				Expect(refusal.Reason).To(Equal(tarragondeal.ReasonDeadline))
				Expect(shed).To(HaveLen(3))
				break
			}
		}
		_, refusal := q.Add(0, request(14, 3, "a"))
		Expect(refusal.Reason).To(Equal(tarragondeal.ReasonOverload))
	})

	It("ignores lower tiers in the expected wait", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 100})
		q.SetCapacity(1)
		q.SeedMean("class5", 25*time.Second)
		for n := range 3 {
			add(q, request(n+10, 5, "a"))
		}
		high := request(1, 1, "a")
		high.Deadline = 10 * second
		add(q, high)
	})

	It("expires requests that can no longer meet their deadline", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 100})
		add(q, request(1, 1, "a"))
		Expect(q.Expire(99 * second)).To(BeEmpty())
		Expect(q.Expire(100 * second)).To(HaveLen(1))
		Expect(q.Len()).To(BeZero())
	})
})

var _ = Describe("minimum share", func() {
	It("prevents starvation under a continuous load of a higher tier", func() {
		q := tdqueue.New(tdqueue.Options{Bound: 100, HeadroomDivisor: 8})
		q.SetCapacity(8)
		low := request(1, 5, "low")
		low.Target, low.MinShare = second, 0.1
		add(q, low)
		starts, now := 0, 2*second
		for ticket := 2; ; ticket++ {
			high := request(ticket, 1, "high")
			high.Target, high.Deadline = now-second, now+100*second
			q.Add(now, high)
			r, ok := q.Next(now)
			Expect(ok).To(BeTrue())
			if r.Tier == 5 {
				break
			}
			q.End(now, r.Ticket, 100, true)
			starts++
			now += second / 10
			Expect(starts).To(BeNumerically("<=", 21))
		}
		// The credit is a tenth of a request per start; two requests' worth is needed.
		Expect(starts).To(BeNumerically(">=", 19))
	})
})

// TestProperties runs random operations and checks after each that no request
// is lost or duplicated, that no more requests run than the capacity allows,
// and that refusals take requests of the lowest waiting tier.
func TestProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.IntRange(1, 6).Draw(t, "bound")
		q := tdqueue.New(tdqueue.Options{Bound: bound, HeadroomDivisor: 8})
		m := &model{t: t, q: q, waiting: map[tdqueue.Ticket]int{}, running: map[tdqueue.Ticket]int{}, bound: bound, refusedAt: map[int]tarragondeal.Instant{}}
		capacity := rapid.IntRange(0, 6).Draw(t, "capacity")
		q.SetCapacity(capacity)
		t.Repeat(map[string]func(*rapid.T){
			"add":    m.add,
			"next":   m.next,
			"end":    m.end,
			"cancel": m.cancel,
			"expire": m.expire,
			"": func(t *rapid.T) {
				if q.Len() != len(m.waiting) || len(q.Running()) != len(m.running) {
					t.Fatalf("%d wait and %d run, want %d and %d", q.Len(), len(q.Running()), len(m.waiting), len(m.running))
				}
				if len(m.running) > capacity {
					t.Fatalf("%d run, capacity %d", len(m.running), capacity)
				}
			},
		})
	})
}

type model struct {
	t          *rapid.T
	q          *tdqueue.Queue
	now        tarragondeal.Instant
	lastTicket int
	bound      int
	waiting    map[tdqueue.Ticket]int // By tier.
	running    map[tdqueue.Ticket]int
	refusedAt  map[int]tarragondeal.Instant // Last refusal by tier.
}

// shedding reports whether a higher tier was refused less than a second ago.
func (m *model) shedding(tier int) bool {
	for t, at := range m.refusedAt {
		if t < tier && m.now.Sub(at) < time.Second {
			return true
		}
	}
	return false
}

func (m *model) lowest() int {
	low := 0
	for _, tier := range m.waiting {
		low = max(low, tier)
	}
	return low
}

func (m *model) add(t *rapid.T) {
	m.lastTicket++
	m.now += tarragondeal.Instant(rapid.Int64Range(0, int64(time.Second)).Draw(t, "wait"))
	r := request(m.lastTicket, rapid.IntRange(1, 4).Draw(t, "tier"), rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"))
	r.Target, r.Deadline = m.now+second, m.now+5*second
	r.Suspect = rapid.IntRange(0, 9).Draw(t, "suspect") == 0
	low, before := m.lowest(), len(m.waiting)
	shed, refusal := m.q.Add(m.now, r)
	if refusal != nil {
		for _, x := range shed {
			if x.Request.Tier <= r.Tier {
				t.Fatalf("tier %d shed with tier %d", x.Request.Tier, r.Tier)
			}
			m.drop(t, x.Request.Ticket)
		}
		shedding := m.shedding(r.Tier)
		m.refusedAt[r.Tier] = m.now
		if m.lowest() > r.Tier {
			t.Fatalf("tier %d refused while tier %d keeps waiting", r.Tier, m.lowest())
		}
		if refusal.Reason == tarragondeal.ReasonOverload && !shedding && (low > r.Tier || before < m.bound) {
			t.Fatalf("tier %d refused while tier %d waits in a queue of %d", r.Tier, low, len(m.waiting))
		}
		return
	}
	m.waiting[r.Ticket] = r.Tier
	for _, x := range shed {
		if x.Request.Tier < low {
			t.Fatalf("tier %d shed while tier %d waits", x.Request.Tier, low)
		}
		m.drop(t, x.Request.Ticket)
	}
}

func (m *model) drop(t *rapid.T, k tdqueue.Ticket) {
	if _, ok := m.waiting[k]; !ok {
		t.Fatalf("request %d left the queue but was not waiting", k)
	}
	delete(m.waiting, k)
}

func (m *model) next(t *rapid.T) {
	r, ok := m.q.Next(m.now)
	if !ok {
		return
	}
	m.drop(t, r.Ticket)
	m.running[r.Ticket] = r.Tier
}

func (m *model) end(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	k := rapid.SampledFrom(slices.Sorted(maps.Keys(m.running))).Draw(t, "ticket")
	if !m.q.End(m.now, k, rapid.IntRange(0, 300).Draw(t, "tokens"), rapid.Bool().Draw(t, "served")) {
		t.Fatalf("running request %d is unknown", k)
	}
	delete(m.running, k)
}

func (m *model) cancel(t *rapid.T) {
	k := tdqueue.Ticket(rapid.IntRange(1, max(1, m.lastTicket)).Draw(t, "ticket"))
	if _, want := m.waiting[k]; m.q.Cancel(k) != want {
		t.Fatalf("cancel of request %d: want %v", k, want)
	}
	delete(m.waiting, k)
}

func (m *model) expire(t *rapid.T) {
	m.now += tarragondeal.Instant(rapid.Int64Range(0, int64(4*time.Second)).Draw(t, "wait"))
	for _, x := range m.q.Expire(m.now) {
		if x.Reason == tarragondeal.ReasonDeadline {
			m.refusedAt[x.Request.Tier] = m.now
		}
		m.drop(t, x.Request.Ticket)
	}
}

func BenchmarkAddNext(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("queued=%d", n), func(b *testing.B) {
			q := tdqueue.New(tdqueue.Options{Bound: 2 * n, HeadroomDivisor: 8})
			q.SetCapacity(16)
			ticket := 0
			next := func() {
				ticket++
				r := request(ticket, ticket%6+1, "")
				r.Workspace = workspaces[ticket%len(workspaces)]
				r.Deadline = 1e6 * second
				q.Add(0, r)
			}
			for range n {
				next()
			}
			b.ReportAllocs()
			for b.Loop() {
				next()
				if r, ok := q.Next(0); ok {
					q.End(0, r.Ticket, 100, true)
				}
			}
		})
	}
}

var workspaces = func() []string {
	out := make([]string, 100)
	for n := range out {
		out[n] = fmt.Sprintf("workspace%d", n)
	}
	return out
}()
