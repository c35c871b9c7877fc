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

// Durations of the explored protocol.
const (
	ttl       = 10 * time.Second
	margin    = time.Second
	writeTime = time.Second // Maximum duration of a write.
)

// simulation is the state shared by the explored processes: the key-value service
// and the time.
type simulation struct {
	now       tarragondeal.Instant
	holder    string
	fence     uint64
	expires   tarragondeal.Instant
	record    tarragondeal.Entry
	delayed   []func() // Requests that arrive after their callers have timed out.
	actions   []action
	violation string
}

// action is a write that a process may perform after a successful check.
type action struct {
	holder       string
	fence        uint64
	predecessors []string
	from, to     tarragondeal.Instant
}

// Now and Wall implement tarragondeal.Clock. The time includes that for which
// a process was paused.
func (w *simulation) Now() tarragondeal.Instant { return w.now }
func (w *simulation) Wall() time.Time           { return time.Unix(0, int64(w.now)).UTC() }

// client is the connection of one process to the key-value service. Each call
// stops the process, and the exploration chooses the outcome.
type client struct {
	tarragondeal.Store
	w               *simulation
	call            func(any) any
	expiryFromReply bool // Injected fault: the TTL is counted from the reply.
}

var errLost = &tarragondeal.StoreError{Op: "call", Err: eris.New("lost")}

// request is a call to the service. do applies its effect and returns the
// reply.
type request struct{ do func() any }

func (c *client) send(do func() any) any { return c.call(request{do: do}) }

// leaseReply is the service's reply to a lease call.
type leaseReply struct {
	fence uint64
	left  time.Duration
	err   error
}

func (c *client) lease(name, holder string, do func() leaseReply) (tarragondeal.Lease, error) {
	start := c.w.now
	a, ok := c.send(func() any { return do() }).(leaseReply)
	if !ok {
		return tarragondeal.Lease{}, errLost
	}
	if c.expiryFromReply {
		start = c.w.now
	}
	return tarragondeal.Lease{Name: name, Holder: holder, Fence: a.fence, Expires: start.Add(a.left)}, a.err
}

func (c *client) Acquire(_ context.Context, name, holder string, ttl time.Duration) (tarragondeal.Lease, error) {
	w := c.w
	return c.lease(name, holder, func() leaseReply {
		expired := w.now >= w.expires
		if !expired && w.holder != holder {
			return leaseReply{err: &tarragondeal.ConflictError{Op: "acquire", Key: name, Holder: w.holder}}
		}
		if expired || w.holder != holder {
			w.fence++
		}
		w.holder, w.expires = holder, w.now.Add(ttl)
		return leaseReply{fence: w.fence, left: ttl}
	})
}

func (c *client) Renew(_ context.Context, l tarragondeal.Lease, ttl time.Duration) (tarragondeal.Lease, error) {
	w := c.w
	return c.lease(l.Name, l.Holder, func() leaseReply {
		if w.now >= w.expires || w.holder != l.Holder || w.fence != l.Fence {
			return leaseReply{err: &tarragondeal.ConflictError{Op: "renew", Key: l.Name, Holder: w.holder}}
		}
		w.expires = w.now.Add(ttl)
		return leaseReply{fence: w.fence, left: ttl}
	})
}

func (c *client) Get(_ context.Context, _ string) (tarragondeal.Entry, error) {
	e, ok := c.send(func() any { return c.w.record }).(tarragondeal.Entry)
	if !ok {
		return e, errLost
	}
	return e, nil
}

func (c *client) Swap(_ context.Context, key string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	w := c.w
	switch a := c.send(func() any {
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

type unimplementedMembers interface{ tarragondeal.Members }

// member is the membership of one node, of which only Self is used.
type member struct {
	unimplementedMembers
	self tarragondeal.Member
}

func (m member) Self() tarragondeal.Member { return m.self }

// startProcess starts a process that tries to acquire the lease a number of
// times. After each acquisition it acts, renews the lease once and acts again.
func startProcess(w *simulation, name string, tries int, fromReply bool) *tdexplore.Process {
	return tdexplore.Start(func(call func(any) any) {
		c := &client{w: w, call: call, expiryFromReply: fromReply}
		self := tarragondeal.Member{Node: tarragondeal.NodeID(name), Incarnation: 1}
		l := New(c, w, member{self: self}, Options{TTL: ttl, Margin: margin})
		ctx := context.Background()
		for range tries {
			t, err := l.acquire(ctx, "orders")
			if err != nil {
				continue
			}
			w.actIfHeld(call, l.holder, t)
			if t.acted.Load() {
				_ = l.clearPredecessors(ctx, t)
			}
			if next, err := c.Renew(ctx, t.current(), ttl); err == nil {
				t.setLease(next)
			}
			w.actIfHeld(call, l.holder, t)
		}
	})
}

// actIfHeld records an action if the check succeeds. The process may be paused
// before the check.
func (w *simulation) actIfHeld(call func(any) any, who string, t *term) {
	call(request{do: func() any { return nil }})
	if t.Check(writeTime) != nil {
		return
	}
	a := action{holder: who, fence: t.Fence(), predecessors: t.Predecessors(), from: w.now, to: w.now.Add(writeTime)}
	for n := len(w.actions) - 1; n >= 0; n-- {
		o := w.actions[n]
		if o.holder == who {
			if o.fence == a.fence || n < len(w.actions)-1 {
				continue
			}
			break
		}
		switch {
		case o.to >= a.from:
			w.violation = fmt.Sprintf("%s may act from %d while %s may act until %d", who, a.from, o.holder, o.to)
		case o.fence >= a.fence:
			w.violation = fmt.Sprintf("%s acts with token %d after %s with %d", who, a.fence, o.holder, o.fence)
		case n == len(w.actions)-1 && !slices.Contains(a.predecessors, o.holder):
			w.violation = fmt.Sprintf("%s follows %s but has predecessors %q", who, o.holder, a.predecessors)
		}
	}
	w.actions = append(w.actions, a)
}

// Outcomes of a call.
const (
	immediateReply = iota
	slowRequest
	verySlowRequest
	slowReply
	verySlowReply
	lostRequest
	lostReply
	delayedRequest
	outcomeCount
)

const (
	slowDelay     = ttl/2 + time.Second
	verySlowDelay = ttl + time.Second
)

// run runs two processes through one sequence of choices, with at most the
// given number of faults and of switches between the processes.
func run(c *tdexplore.Choices, faults, switches int, fromReply bool) *simulation {
	w := &simulation{}
	ps := []*tdexplore.Process{startProcess(w, "node1", 2, fromReply), startProcess(w, "node2", 1, fromReply)}
	defer func() {
		for _, p := range ps {
			if !p.Done() {
				p.Kill()
			}
		}
	}()
	at := 0
	for w.violation == "" {
		if other := 1 - at; ps[at].Done() {
			if ps[other].Done() {
				break
			}
			at = other
		} else if !ps[other].Done() && switches > 0 && c.Choose(2) == 1 {
			switches--
			at = other
		}
		outcome := immediateReply
		if faults > 0 {
			if outcome = c.Choose(outcomeCount); outcome != immediateReply {
				faults--
			}
		}
		w.step(ps[at], outcome)
	}
	return w
}

func (w *simulation) step(p *tdexplore.Process, outcome int) {
	do := p.Call().(request).do
	switch outcome {
	case slowRequest:
		w.now = w.now.Add(slowDelay)
	case verySlowRequest:
		w.now = w.now.Add(verySlowDelay)
	case lostRequest:
		p.Answer(nil)
		return
	case delayedRequest:
		w.delayed = append(w.delayed, func() { do() })
		p.Answer(nil)
		return
	}
	for _, late := range w.delayed {
		late()
	}
	w.delayed = nil
	answer := do()
	switch outcome {
	case slowReply:
		w.now = w.now.Add(slowDelay)
	case verySlowReply:
		w.now = w.now.Add(verySlowDelay)
	case lostReply:
		answer = nil
	}
	p.Answer(answer)
}

// TestEveryInterleaving checks every interleaving of two processes with up to
// two faults and two switches: the processes must not act at the same time,
// fencing tokens must increase, and a holder must know its predecessor.
func TestEveryInterleaving(t *testing.T) {
	acted := 0
	runs := tdexplore.All(func(c *tdexplore.Choices) bool {
		w := run(c, 2, 2, false)
		if len(w.actions) > 1 && w.actions[0].holder != w.actions[len(w.actions)-1].holder {
			acted++
		}
		if w.violation != "" {
			t.Errorf("%s; choices %v", w.violation, c.Taken())
		}
		return w.violation == ""
	})
	t.Logf("%d runs, both processes acted in %d", runs, acted)
	if acted == 0 {
		t.Error("no run in which both processes act was explored")
	}
}

// TestDetectsInjectedFault checks that the exploration detects a lease whose
// TTL is counted from the reply instead of from before the call.
func TestDetectsInjectedFault(t *testing.T) {
	found := ""
	tdexplore.All(func(c *tdexplore.Choices) bool {
		found = run(c, 2, 2, true).violation
		return found == ""
	})
	if found == "" {
		t.Error("a lease whose TTL is counted from the reply was not detected")
	}
	t.Log(found)
}
