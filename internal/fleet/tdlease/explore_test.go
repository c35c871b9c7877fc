package tdlease

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rotisserie/eris"

	"tarragondeal"
	"tarragondeal/internal/test/tdexplore"
)

// The times of the explored protocol.
const (
	ttl    = 10 * time.Second
	margin = time.Second
	within = time.Second // That a write may take.
)

// world is the key-value service and the time, as the explored processes
// share them.
type world struct {
	now     tarragondeal.Instant
	holder  string
	fence   uint64
	expires tarragondeal.Instant
	record  tarragondeal.Entry
	late    []func() // Calls that arrive after their callers gave up.
	acts    []act
	wrong   string
}

// act is one time at which a process passed its check.
type act struct {
	who      string
	fence    uint64
	after    []string // Its predecessors.
	from, to tarragondeal.Instant
}

// Now and Wall make the world the clock of its processes: they all count the
// time for which a process was paused.
func (w *world) Now() tarragondeal.Instant { return w.now }
func (w *world) Wall() time.Time           { return time.Unix(0, int64(w.now)).UTC() }

// port is the key-value service as one process reaches it. Each call stops
// there, and the exploration decides what happens to it.
type port struct {
	tarragondeal.Store
	w         *world
	call      func(any) any
	fromReply bool // The planted fault: a lease's time runs from its answer.
}

var errLost = &tarragondeal.StoreError{Op: "call", Err: eris.New("lost")}

// request is a call on its way; do is its effect at the service.
type request struct{ do func() any }

func (p *port) ask(do func() any) any { return p.call(request{do: do}) }

// leased is the service's answer to a call on a lease.
type leased struct {
	fence uint64
	left  time.Duration
	err   error
}

func (p *port) lease(name, holder string, do func() leased) (tarragondeal.Lease, error) {
	start := p.w.now
	a, ok := p.ask(func() any { return do() }).(leased)
	if !ok {
		return tarragondeal.Lease{}, errLost
	}
	if p.fromReply {
		start = p.w.now
	}
	return tarragondeal.Lease{Name: name, Holder: holder, Fence: a.fence, Expires: start.Add(a.left)}, a.err
}

func (p *port) Acquire(_ context.Context, name, holder string, ttl time.Duration) (tarragondeal.Lease, error) {
	w := p.w
	return p.lease(name, holder, func() leased {
		lapsed := w.now >= w.expires
		if !lapsed && w.holder != holder {
			return leased{err: &tarragondeal.ConflictError{Op: "acquire", Key: name, Holder: w.holder}}
		}
		if lapsed || w.holder != holder {
			w.fence++
		}
		w.holder, w.expires = holder, w.now.Add(ttl)
		return leased{fence: w.fence, left: ttl}
	})
}

func (p *port) Renew(_ context.Context, l tarragondeal.Lease, ttl time.Duration) (tarragondeal.Lease, error) {
	w := p.w
	return p.lease(l.Name, l.Holder, func() leased {
		if w.now >= w.expires || w.holder != l.Holder || w.fence != l.Fence {
			return leased{err: &tarragondeal.ConflictError{Op: "renew", Key: l.Name, Holder: w.holder}}
		}
		w.expires = w.now.Add(ttl)
		return leased{fence: w.fence, left: ttl}
	})
}

func (p *port) Get(_ context.Context, _ string) (tarragondeal.Entry, error) {
	e, ok := p.ask(func() any { return p.w.record }).(tarragondeal.Entry)
	if !ok {
		return e, errLost
	}
	return e, nil
}

func (p *port) Swap(_ context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	w := p.w
	switch a := p.ask(func() any {
		if w.record.Revision != prev {
			return &tarragondeal.ConflictError{Op: "swap", Key: key, Current: w.record}
		}
		w.record = tarragondeal.Entry{Key: key, Value: value, Revision: prev + 1}
		return w.record
	}).(type) {
	case tarragondeal.Entry:
		return a, nil
	case error:
		return tarragondeal.Entry{}, a
	default:
		return tarragondeal.Entry{}, errLost
	}
}

type unused interface{ tarragondeal.Members }

// member is a membership of one node.
type member struct {
	unused
	self tarragondeal.Member
}

func (m member) Self() tarragondeal.Member { return m.self }

// process tries to hold the lease a number of times, renews it once each
// time, and acts under it.
func process(w *world, name string, tries int, fromReply bool) *tdexplore.Process {
	return tdexplore.Start(func(call func(any) any) {
		p := &port{w: w, call: call, fromReply: fromReply}
		self := tarragondeal.Member{Node: tarragondeal.NodeID(name), Incarnation: 1}
		l := New(p, w, member{self: self}, Options{TTL: ttl, Margin: margin})
		ctx := context.Background()
		for range tries {
			t, err := l.begin(ctx, "orders")
			if err != nil {
				continue
			}
			w.try(call, l.holder, t)
			if t.acted.Load() {
				_ = l.settle(ctx, t)
			}
			if next, err := p.Renew(ctx, t.now(), ttl); err == nil {
				t.extend(next)
			}
			w.try(call, l.holder, t)
		}
	})
}

// try acts if the check passes, after a moment at which the process may be
// paused.
func (w *world) try(call func(any) any, who string, t *term) {
	call(request{do: func() any { return nil }})
	if t.Check(within) != nil {
		return
	}
	a := act{who: who, fence: t.Fence(), after: t.Predecessors(), from: w.now, to: w.now.Add(within)}
	for n := len(w.acts) - 1; n >= 0; n-- {
		o := w.acts[n]
		if o.who == who {
			if o.fence == a.fence || n < len(w.acts)-1 {
				continue
			}
			break
		}
		switch {
		case o.to >= a.from:
			w.wrong = fmt.Sprintf("%s may act from %d while %s may until %d", who, a.from, o.who, o.to)
		case o.fence >= a.fence:
			w.wrong = fmt.Sprintf("%s acts with token %d after %s with %d", who, a.fence, o.who, o.fence)
		case n == len(w.acts)-1 && !slices.Contains(a.after, o.who):
			w.wrong = fmt.Sprintf("%s follows %s and takes %q for its predecessors", who, o.who, a.after)
		}
	}
	w.acts = append(w.acts, a)
}

// What can happen to a call beside being answered at once.
const (
	answered = iota
	slowCall
	slowerCall
	slowAnswer
	slowerAnswer
	lostCall
	lostAnswer
	lateCall
	outcomes
)

const (
	slow   = ttl/2 + time.Second
	slower = ttl + time.Second
)

// run runs two processes through one sequence of choices with a bound on
// faults and on changes of the running process.
func run(c *tdexplore.Choices, faults, switches int, fromReply bool) *world {
	w := &world{}
	ps := []*tdexplore.Process{process(w, "node1", 2, fromReply), process(w, "node2", 1, fromReply)}
	defer func() {
		for _, p := range ps {
			if !p.Done() {
				p.Kill()
			}
		}
	}()
	at := 0
	for w.wrong == "" {
		if other := 1 - at; ps[at].Done() {
			if ps[other].Done() {
				break
			}
			at = other
		} else if !ps[other].Done() && switches > 0 && c.Choose(2) == 1 {
			switches--
			at = other
		}
		what := answered
		if faults > 0 {
			if what = c.Choose(outcomes); what != answered {
				faults--
			}
		}
		w.step(ps[at], what)
	}
	return w
}

func (w *world) step(p *tdexplore.Process, what int) {
	do := p.Call().(request).do
	switch what {
	case slowCall:
		w.now = w.now.Add(slow)
	case slowerCall:
		w.now = w.now.Add(slower)
	case lostCall:
		p.Answer(nil)
		return
	case lateCall:
		w.late = append(w.late, func() { do() })
		p.Answer(nil)
		return
	}
	for _, late := range w.late {
		late()
	}
	w.late = nil
	answer := do()
	switch what {
	case slowAnswer:
		w.now = w.now.Add(slow)
	case slowerAnswer:
		w.now = w.now.Add(slower)
	case lostAnswer:
		answer = nil
	}
	p.Answer(answer)
}

// TestEveryInterleaving checks, for every order of the steps of two
// processes with up to two faults, that no two may act at one time, that
// fencing tokens rise, and that each knows whom it follows.
func TestEveryInterleaving(t *testing.T) {
	acted := 0
	runs := tdexplore.All(func(c *tdexplore.Choices) bool {
		w := run(c, 2, 2, false)
		if len(w.acts) > 1 && w.acts[0].who != w.acts[len(w.acts)-1].who {
			acted++
		}
		if w.wrong != "" {
			t.Errorf("%s; choices %v", w.wrong, c.Taken())
		}
		return w.wrong == ""
	})
	t.Logf("%d runs, both acted in %d", runs, acted)
	if acted == 0 {
		t.Error("no run in which both processes act was explored")
	}
}

// TestFindsPlantedFault checks that the exploration would find a lease whose
// time runs from its answer.
func TestFindsPlantedFault(t *testing.T) {
	found := ""
	tdexplore.All(func(c *tdexplore.Choices) bool {
		found = run(c, 2, 2, true).wrong
		return found == ""
	})
	if found == "" {
		t.Error("a lease whose time runs from its answer was not found")
	}
	t.Log(found)
}
