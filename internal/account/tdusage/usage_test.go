package tdusage

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"tarragondeal"
	"tarragondeal/internal/base/tdtask"
	"tarragondeal/internal/test/tdmemstore"
	_ "tarragondeal/internal/test/tdtestseed"
)

func TestUsage(t *testing.T) {
	RegisterFailHandler(Fail)
	// The default is 400 runs; the flag rapid.checks overrides it.
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("400"); err != nil {
			t.Fatal(err)
		}
	}
	RunSpecs(t, "Usage")
}

// run is a random sequence of steps in which one node fails at a time.
type run struct {
	t            *rapid.T
	fleet        *fleet
	acked, added Lines
	waiting      map[int]Lines // Added but not acknowledged, by node.
}

func newRun(t *rapid.T) *run {
	return &run{t: t, fleet: newFleet(4), acked: make(Lines), added: make(Lines), waiting: make(map[int]Lines)}
}

// anyAlive draws the index of a node that is alive.
func (r *run) anyAlive() int {
	for {
		k := rapid.IntRange(0, len(r.fleet.dead)-1).Draw(r.t, "node")
		if !r.fleet.dead[k] {
			return k
		}
	}
}

func (r *run) step(ctx context.Context) {
	f, k := r.fleet, r.anyAlive()
	switch rapid.IntRange(0, 9).Draw(r.t, "step") {
	case 0, 1, 2:
		r.add(k)
	case 3, 4:
		r.commit(ctx, k)
	case 5:
		_ = f.meters[k].flushAll(ctx)
	case 6:
		f.loseReplies, f.disconnected = rapid.Bool().Draw(r.t, "losing"), rapid.Bool().Draw(r.t, "severed")
	case 7:
		f.closeSources(ctx)
	case 8:
		f.clock.now += 20 * time.Second
		f.store.Fault = r.fault(rapid.SampledFrom([]tdmemstore.Fault{
			tdmemstore.None, tdmemstore.LoseAnswer, tdmemstore.LoseCall, tdmemstore.Refuse,
		}).Draw(r.t, "store"))
	case 9:
		f.copies[k].flushSilent(ctx, takeOver)
		if rapid.IntRange(0, 3).Draw(r.t, "dies") == 0 {
			r.killNode()
			f.clearFaults()
			f.clock.now += 2 * takeOver
			for k, m := range f.meters {
				if !f.dead[k] {
					m.heartbeat(ctx)
					f.copies[k].flushSilent(ctx, takeOver)
				}
			}
		}
	}
}

// fault returns a hook that injects a fault into the calls of the store, and
// adds usage on one node during each swap.
func (r *run) fault(kind tdmemstore.Fault) func(string, string) tdmemstore.Fault {
	busy := r.anyAlive()
	return func(op, _ string) tdmemstore.Fault {
		if op == "swap" && !r.fleet.dead[busy] {
			r.add(busy)
		}
		return kind
	}
}

func (r *run) add(k int) {
	line := LineKey{fmt.Sprint("workspace", rapid.IntRange(0, 2).Draw(r.t, "workspace")), "narrate"}
	one := Lines{line: {1, 10, int64(rapid.IntRange(1, 9).Draw(r.t, "tokens"))}}
	r.fleet.meters[k].count(WindowStart(r.fleet.clock.Wall(), time.Minute), line, one[line])
	r.added.Plus(one)
	if r.waiting[k] == nil {
		r.waiting[k] = make(Lines)
	}
	r.waiting[k].Plus(one)
}

func (r *run) commit(ctx context.Context, k int) {
	b, waited := r.fleet.meters[k].batch, r.waiting[k].clone()
	r.fleet.meters[k].commit(ctx)
	if b.err == nil {
		r.acked.Plus(waited)
		r.waiting[k] = r.waiting[k].Minus(waited)
	}
}

// killNode stops a node, unless only two are left.
func (r *run) killNode() {
	left := 0
	for _, dead := range r.fleet.dead {
		if !dead {
			left++
		}
	}
	if left > 2 {
		r.fleet.dead[r.anyAlive()] = true
	}
}

func (f *fleet) clearFaults() { f.store.Fault, f.loseReplies, f.disconnected = nil, false, false }

var _ = Describe("figures and their second copies", func() {
	It("lose nothing acknowledged and count nothing twice when nodes die one by one", func(ctx context.Context) {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			r := newRun(t)
			for range rapid.IntRange(1, 40).Draw(t, "steps") {
				r.step(ctx)
			}
			r.killNode()
			r.fleet.clearFaults()
			r.fleet.flushEverything(ctx)
			billed := r.fleet.total(ctx)
			if !billed.covers(r.acked) {
				t.Fatalf("billed %v, acknowledged %v", billed, r.acked)
			}
			if !r.added.covers(billed) {
				t.Fatalf("billed %v, added %v", billed, r.added)
			}
		})
	})

	It("continue from the closed generation when a peer has only some lines", func(ctx context.Context) {
		f := newFleet(2)
		first, second := LineKey{"auditors", "narrate"}, LineKey{"technicians", "narrate"}
		f.meters[0].count(3600, first, Counts{1, 2, 3})
		f.meters[0].commit(ctx)
		Expect(f.meters[0].flushAll(ctx)).To(Succeed())
		f.closeSources(ctx)
		f.meters[0].count(3600, second, Counts{4, 5, 6})
		f.meters[0].commit(ctx)
		Expect(f.copies[1].Len()).To(Equal(1))
		f.copies[1].flushSilent(ctx, 0)
		f.closeSources(ctx)
		f.meters[0].count(3600, second, Counts{1, 1, 1})
		f.flushEverything(ctx)
		Expect(f.total(ctx)).To(Equal(Lines{first: {1, 2, 3}, second: {5, 6, 7}}))
	})

	It("are acknowledged to concurrent callers while the meters run", func() {
		defer goleak.VerifyNone(GinkgoT(), goleak.IgnoreCurrent())
		f := newFleet(3)
		ctx, cancel := context.WithCancel(context.Background())
		g := tdtask.New(ctx)
		for k := range f.meters {
			g.Go("meter", f.meters[k].Run)
		}
		var adders sync.WaitGroup
		for n := range 12 {
			adders.Go(func() {
				defer GinkgoRecover()
				for k := range 50 {
					u := tarragondeal.Usage{Workspace: fmt.Sprint("workspace", k%7), Route: "narrate", OutputTokens: 3, Last: true}
					Expect(f.meters[n%3].Add(ctx, u)).To(Succeed())
				}
			})
		}
		adders.Wait()
		cancel()
		g.Close()
		sum := Counts{}
		for _, c := range f.total(context.Background()) {
			sum = sum.Add(c)
		}
		Expect(sum).To(Equal(Counts{Requests: 600, OutputTokens: 1800}))
	})

	It("go to the store when there is no peer", func(ctx context.Context) {
		f := newFleet(1)
		line := LineKey{"auditors", "narrate"}
		f.meters[0].count(3600, line, Counts{1, 2, 3})
		b := f.meters[0].batch
		f.meters[0].commit(ctx)
		Expect(b.err).NotTo(HaveOccurred())
		Expect(f.total(ctx)).To(Equal(Lines{line: {1, 2, 3}}))
	})

	It("are not acknowledged when neither a peer nor the store is available", func(ctx context.Context) {
		f := newFleet(1)
		f.store.Fault = fault(tdmemstore.Refuse)
		f.meters[0].count(3600, LineKey{"auditors", "narrate"}, Counts{1, 2, 3})
		b := f.meters[0].batch
		f.meters[0].commit(ctx)
		Expect(b.err).To(HaveOccurred())
	})

	It("are sent again after a call to the peer failed", func(ctx context.Context) {
		f := newFleet(2)
		line := LineKey{"auditors", "narrate"}
		f.disconnected, f.store.Fault = true, fault(tdmemstore.Refuse)
		f.meters[0].count(3600, line, Counts{1, 2, 3})
		f.meters[0].commit(ctx)
		f.clearFaults()
		b := f.meters[0].batch
		f.meters[0].commit(ctx)
		Expect(b.err).NotTo(HaveOccurred())
		f.dead[0] = true
		f.flushEverything(ctx)
		Expect(f.total(ctx)).To(Equal(Lines{line: {1, 2, 3}}))
	})

	It("added during a flush are stored by the next one", func(ctx context.Context) {
		f := newFleet(1)
		line := LineKey{"auditors", "narrate"}
		f.meters[0].count(3600, line, Counts{1, 2, 3})
		f.store.Fault = func(op, _ string) tdmemstore.Fault {
			f.meters[0].count(3600, line, Counts{1, 2, 3})
			return tdmemstore.None
		}
		Expect(f.meters[0].flushAll(ctx)).To(Succeed())
		f.clearFaults()
		Expect(f.meters[0].flushAll(ctx)).To(Succeed())
		Expect(f.total(ctx)).To(Equal(Lines{line: {2, 4, 6}}))
	})

	It("are dropped by the peer once the store has them", func(ctx context.Context) {
		f := newFleet(2)
		for n := range 100 {
			f.meters[0].count(3600, LineKey{fmt.Sprint("workspace", n), "narrate"}, Counts{1, 2, 3})
		}
		f.meters[0].commit(ctx)
		Expect(f.copies[1].Len()).To(Equal(100))
		Expect(f.meters[0].flushAll(ctx)).To(Succeed())
		f.meters[0].count(3600, LineKey{"workspace7", "narrate"}, Counts{1, 2, 3})
		f.meters[0].commit(ctx)
		Expect(f.copies[1].Len()).To(Equal(1))
	})
})

func fault(kind tdmemstore.Fault) func(string, string) tdmemstore.Fault {
	return func(string, string) tdmemstore.Fault { return kind }
}

// flushEverything makes the living nodes flush their own counts and all copies.
func (f *fleet) flushEverything(ctx context.Context) {
	f.clock.now += 2 * takeOver
	for k, m := range f.meters {
		if !f.dead[k] {
			Expect(m.flushAll(ctx)).To(Succeed())
			f.copies[k].flushSilent(ctx, 0)
		}
	}
}
