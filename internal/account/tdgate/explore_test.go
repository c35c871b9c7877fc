package tdgate

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/test/tdexplore"
	"tarragondeal/internal/test/tdmemstore"
)

func TestGate(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "Gate")
}

// bug is a bug injected into a holder, to show that the exploration detects it.
type bug string

const (
	bugNone          bug = ""
	bugTrustReceiver bug = "assumes that every receiver checks fencing tokens"
	bugAssumeStopped bug = "treats a missing answer as a confirmation"
	bugStayOpen      bug = "confirms without closing its gate"
	bugNoLock        bug = "confirms while it is sending"
	bugForgetEarlier bug = "remembers only the latest earlier holder"
	bugNoSettle      bug = "does not wait for unanswered writes"
)

// Times in the exploration. Its clock advances by ticks.
const (
	tick         = tarragondeal.Instant(time.Second)
	ttl          = 2 * tick
	writeTimeout = time.Second
	settle       = 2 * time.Second
)

// simulation is the state of one run: a lease, a receiver that ignores fencing
// tokens, the writes in flight to it, and the processes that acquire the lease.
type simulation struct {
	c      *tdexplore.Choices
	bug    bug
	now    tarragondeal.Instant
	ticks  int
	faults int
	// wrongClock makes every holder assume that it holds the lease forever.
	wrongClock bool
	store      *tdmemstore.Store
	fence      uint64
	expires    tarragondeal.Instant
	inFlight   []delayedWrite
	arrived    []uint64 // Fencing tokens of the writes, in order of arrival.
	processes  []*process
}

// delayedWrite is a write that may still arrive before a deadline.
type delayedWrite struct {
	fence uint64
	until tarragondeal.Instant
}

type process struct {
	w         *simulation
	node      tarragondeal.NodeID
	gates     *Gates
	coroutine *tdexplore.Process
	held      *held
	crashed   bool
}

type (
	acquireCall struct{}
	swapCall    struct{}
	sendCall    struct{}
	idleCall    struct{} // Between two writes.
	closeCall   struct {
		node tarragondeal.NodeID
		in   *CloseRequest
	}
	closeAnswer struct {
		out *CloseAnswer
		err error
	}
)

func (w *simulation) Now() tarragondeal.Instant { return w.now }
func (w *simulation) Wall() time.Time           { return time.Time{} }

// held is the lease as seen by its holder.
type held struct {
	tarragondeal.Held
	w       *simulation
	fence   uint64
	expires tarragondeal.Instant
}

func (h *held) Fence() uint64 { return h.fence }

func (h *held) Check(d time.Duration) error {
	if h.w.now.Add(d) > h.expires && !h.w.wrongClock {
		return &tarragondeal.LeaseError{}
	}
	return nil
}

// startProcess runs a process that acquires the lease and sends some writes.
func (w *simulation) startProcess(n, writes int) {
	p := &process{w: w, node: tarragondeal.NodeID(fmt.Sprint("node", n))}
	w.processes = append(w.processes, p)
	p.coroutine = tdexplore.Start(func(call func(any) any) {
		d := Deps{
			Store: yieldStore{w.store, call}, Members: self{node: p.node}, Links: links{call},
			VMs: noVMs{}, Clock: w, Log: zerolog.Nop(),
		}
		cfg := Config{Settle: settle}
		if w.bug == bugNoSettle {
			cfg.Settle = 0
		}
		p.gates = New(d, cfg)
		p.gates.processID = fmt.Sprint("process", n)
		p.held = call(acquireCall{}).(*held)
		p.runDuty(call, writes)
	})
}

func (p *process) runDuty(call func(any) any, writes int) {
	ctx := context.Background()
	t, err := p.gates.Enter(ctx, "orders", p.held)
	if err != nil {
		return
	}
	if p.w.bug == bugForgetEarlier && len(t.earlier) > 1 {
		t.earlier = t.earlier[:1]
	}
	r := Receiver{Name: "platform", ChecksFencing: p.w.bug == bugTrustReceiver}
	for n := range writes {
		if n > 0 {
			call(idleCall{})
		}
		_ = t.Clear(ctx)
		if p.w.bug == bugAssumeStopped {
			t.earlier = nil
		}
		_ = t.Send(ctx, r, writeTimeout, func(context.Context) error {
			err, _ := call(sendCall{}).(error)
			return err
		})
	}
}

var errNoAnswer = &tarragondeal.PlatformError{Op: "order", Err: errors.New("no answer")}

func (w *simulation) arrive(fence uint64) { w.arrived = append(w.arrived, fence) }

// delay delays a write by up to the settle time.
func (w *simulation) delay(fence uint64) {
	w.inFlight = append(w.inFlight, delayedWrite{fence, w.now.Add(settle)})
}

func (w *simulation) transitions() []func() {
	var next []func()
	for n, f := range w.inFlight {
		next = append(next, func() {
			w.inFlight = slices.Delete(slices.Clone(w.inFlight), n, n+1)
			w.arrive(f.fence)
		})
	}
	overdue := slices.ContainsFunc(w.inFlight, func(f delayedWrite) bool { return f.until <= w.now+tick })
	if w.ticks > 0 && !overdue {
		next = append(next, func() { w.ticks--; w.now += tick })
	}
	for _, p := range w.processes {
		if !p.coroutine.Done() {
			next = append(next, p.transitions()...)
		}
	}
	return next
}

func (p *process) transitions() []func() {
	w := p.w
	switch call := p.coroutine.Call().(type) {
	case acquireCall:
		if w.now < w.expires {
			return nil
		}
		return []func(){func() {
			w.fence++
			w.expires = w.now + ttl
			p.coroutine.Answer(&held{w: w, fence: w.fence, expires: w.expires})
		}}
	case swapCall:
		next := []func(){func() { p.coroutine.Answer(false) }}
		return append(next, w.faultTransitions(func() { p.coroutine.Answer(true) })...)
	case idleCall:
		return []func(){func() { p.coroutine.Answer(nil) }}
	case sendCall:
		next := []func(){func() { w.arrive(p.held.fence); p.coroutine.Answer(nil) }}
		return append(next, w.faultTransitions(
			func() { w.delay(p.held.fence); p.coroutine.Answer(errNoAnswer) },
			func() { w.delay(p.held.fence); p.crash() },
		)...)
	default:
		return p.closeTransitions(call.(closeCall))
	}
}

// closeTransitions calls Close on another process. A process that is sending
// answers only after its write, and a crashed one has been replaced by another at the
// same address.
func (p *process) closeTransitions(call closeCall) []func() {
	w := p.w
	var next []func()
	for _, other := range w.processes {
		if other.node != call.node {
			continue
		}
		_, sending := other.coroutine.Call().(sendCall)
		switch {
		case sending && !other.coroutine.Done() && w.bug == bugNoLock:
			next = append(next, func() { p.coroutine.Answer(closeAnswer{out: &CloseAnswer{Process: other.gates.processID}}) })
		case other.crashed:
			next = append(next, func() { p.coroutine.Answer(closeAnswer{out: &CloseAnswer{Process: "next"}}) })
		case !sending || other.coroutine.Done():
			next = append(next, func() {
				in := call.in
				if w.bug == bugStayOpen {
					in = &CloseRequest{Name: in.GetName()}
				}
				a, err := other.gates.Close(context.Background(), in)
				p.coroutine.Answer(closeAnswer{a, err})
			})
		}
	}
	// No process is reached. This is not counted as a fault, since a paused
	// process never answers.
	return append(next, func() { p.coroutine.Answer(closeAnswer{err: errNoAnswer}) })
}

func (p *process) crash() {
	p.crashed = true
	p.coroutine.Kill()
}

func (w *simulation) faultTransitions(transitions ...func()) []func() {
	if w.faults == 0 {
		return nil
	}
	out := make([]func(), len(transitions))
	for n, t := range transitions {
		out[n] = func() { w.faults--; t() }
	}
	return out
}

// bound limits what one exploration covers.
type bound struct {
	writes     []int // Of each process.
	ticks      int
	faults     int
	wrongClock bool
}

// explore returns the first run in which a write of an earlier holder arrives
// after one of a later holder, or "", with the number of runs and of those in
// which more than one holder sent.
func explore(b bound, injected bug) (violation string, runs, bothSent int) {
	runs = tdexplore.All(func(c *tdexplore.Choices) bool {
		w := &simulation{c: c, bug: injected, ticks: b.ticks, faults: b.faults, wrongClock: b.wrongClock, store: tdmemstore.New()}
		for n, writes := range b.writes {
			w.startProcess(n+1, writes)
		}
		for {
			next := w.transitions()
			if len(next) == 0 {
				break
			}
			next[c.Choose(len(next))]()
		}
		for _, p := range w.processes {
			p.coroutine.Kill()
		}
		if len(slices.Compact(slices.Clone(w.arrived))) > 1 {
			bothSent++
		}
		if !slices.IsSorted(w.arrived) {
			violation = fmt.Sprintf("arrived %v, choices %v", w.arrived, c.Taken())
		}
		return violation == ""
	})
	return violation, runs, bothSent
}

var _ = Describe("every interleaving of the steps of two holders", func() {
	cases := []bound{
		{writes: []int{1, 1}, ticks: 4, faults: 1},
		{writes: []int{2, 1}, ticks: 3, wrongClock: true},
	}
	if os.Getenv("TARRAGONDEAL_EXPLORE") == "wide" {
		cases = append(cases,
			bound{writes: []int{2, 2}, ticks: 5, faults: 1},
			bound{writes: []int{1, 1, 1}, ticks: 4, faults: 0})
	}
	for _, b := range cases {
		It(fmt.Sprintf("never interleaves their writes: %+v", b), func() {
			violation, runs, bothSent := explore(b, bugNone)
			Expect(violation).To(BeEmpty())
			Expect(bothSent).To(BeNumerically(">", 0), "in some runs both holders sent")
			AddReportEntry("runs", runs)
		})
	}

	bugs := []struct {
		bug   bug
		bound bound
	}{
		{bugTrustReceiver, bound{writes: []int{1, 1}, ticks: 3}},
		{bugAssumeStopped, bound{writes: []int{1, 1}, ticks: 3}},
		{bugStayOpen, bound{writes: []int{2, 1}, ticks: 3, wrongClock: true}},
		{bugNoLock, bound{writes: []int{1, 1}, ticks: 3}},
		{bugForgetEarlier, bound{writes: []int{1, 1, 1}, ticks: 4}},
		{bugNoSettle, bound{writes: []int{1, 1}, ticks: 4, faults: 1}},
	}
	for _, c := range bugs {
		It("detects a holder that "+string(c.bug), func() {
			violation, _, _ := explore(c.bound, c.bug)
			Expect(violation).NotTo(BeEmpty())
		})
	}
})
