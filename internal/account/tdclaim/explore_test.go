package tdclaim

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/test/tdexplore"
)

// bug is a bug injected into a node, to show that the exploration detects it.
type bug string

const (
	bugNone              bug = ""
	bugRunUnconfirmed    bug = "sends the request without a confirmed claim"
	bugSameMark          bug = "uses one mark for all claims"
	bugReleaseUnanswered bug = "releases a claim after an unanswered send"
	bugTakeOver          bug = "takes over an unfinished claim"
	bugReportNotRun      bug = "reports notRun after an unanswered send"
)

// simulation is the state of one run: the store, the writes in flight to it,
// the backend server, and the callers' attempts.
type simulation struct {
	c          *tdexplore.Choices
	faults     int
	crashes    int
	entry      tarragondeal.Entry
	revision   tarragondeal.Revision
	inFlight   []swapCall // Writes that may still be applied.
	attempts   []*attempt
	executions int
	violation  string
}

// attempt is one request of a caller, handled by one node.
type attempt struct {
	process    *tdexplore.Process
	executions int
	ran        tarragondeal.Ran
	crashed    bool
}

type swapCall struct {
	value []byte
	prev  tarragondeal.Revision
}
type getCall struct{}
type sendCall struct{}

type answer struct {
	entry tarragondeal.Entry
	err   error
}

// sendResult is what a node knows about a request that it sent.
type sendResult int

const (
	sendAnswered sendResult = iota
	sendUnanswered
	sendNotSent
)

var errUnavailable = &tarragondeal.StoreError{Op: "swap", Err: errors.New("unavailable")}
var errRefused = &tarragondeal.StoreError{Op: "swap", Settled: true, Err: errors.New("rate limit exceeded")}

// callStore passes calls to the explorer, which chooses their outcomes.
type callStore struct {
	tarragondeal.Store
	call func(any) any
}

func (s callStore) Swap(_ context.Context, _ string, value []byte, prev tarragondeal.Revision) (tarragondeal.Entry, error) {
	a := s.call(swapCall{value, prev}).(answer)
	return a.entry, a.err
}

func (s callStore) Get(context.Context, string) (tarragondeal.Entry, error) {
	a := s.call(getCall{}).(answer)
	return a.entry, a.err
}

type fixedMembers struct{ self tarragondeal.Member }

func (m fixedMembers) Self() tarragondeal.Member      { return m.self }
func (m fixedMembers) Members() []tarragondeal.Member { return []tarragondeal.Member{m.self} }
func (m fixedMembers) Changed() <-chan struct{}       { return nil }

type fixedClock struct{}

func (fixedClock) Now() tarragondeal.Instant { return 0 }
func (fixedClock) Wall() time.Time           { return time.Unix(1000, 0).UTC() }

var testKey = tarragondeal.ClaimKey{Workspace: "auditors", Route: "certificate", Key: "meter7"}

func (w *simulation) node(n int, b bug) *attempt {
	a := &attempt{}
	a.process = tdexplore.Start(func(call func(any) any) {
		claims := New(Deps{
			Store:   callStore{call: call},
			Members: fixedMembers{self: tarragondeal.Member{Node: tarragondeal.NodeID(fmt.Sprint("node", n))}},
			Clock:   fixedClock{}, Log: zerolog.Nop(),
		}, Config{MaxRun: time.Minute, MaxAnswer: 100, Wait: time.Hour, Pending: 4})
		claims.sleep = func(context.Context, time.Duration) {}
		claims.newMark = func() string { return fmt.Sprint("mark", n) }
		if b == bugSameMark {
			claims.newMark = func() string { return "mark" }
		}
		a.serve(claims, call, b)
		for claims.pending.Len() > 0 {
			write, _ := claims.pending.Pop(context.Background())
			claims.retry(context.Background(), &write)
		}
	})
	return a
}

// serve handles one request with an idempotency key as package tdflow does.
func (a *attempt) serve(claims *Claims, call func(any) any, b bug) {
	ctx := context.Background()
	claim, err := claims.Take(ctx, testKey, "digest")
	var taken *tarragondeal.ClaimError
	if errors.As(err, &taken) {
		if b != bugTakeOver || taken.Reason != tarragondeal.ReasonAlreadyRunning && taken.Reason != tarragondeal.ReasonOutcomeUnknown {
			a.ran = taken.Ran
			return
		}
		err = nil
	}
	if err != nil && b != bugRunUnconfirmed {
		a.ran = tarragondeal.RanNot
		return
	}
	switch call(sendCall{}).(sendResult) {
	case sendAnswered:
		a.ran = tarragondeal.RanYes
		_ = claims.Finish(ctx, claim, tarragondeal.RecordedAnswer{Status: 200})
	case sendNotSent:
		a.ran = tarragondeal.RanNot
		_ = claims.Abandon(ctx, claim)
	case sendUnanswered:
		a.ran = tarragondeal.RanUnknown
		if b == bugReportNotRun {
			a.ran = tarragondeal.RanNot
		}
		if b == bugReleaseUnanswered {
			_ = claims.Abandon(ctx, claim)
		}
	}
}

// apply applies a compare-and-swap to the store.
func (w *simulation) apply(call swapCall) answer {
	if call.prev != w.entry.Revision {
		return answer{err: &tarragondeal.ConflictError{Op: "swap", Current: w.entry}}
	}
	w.revision++
	w.entry = tarragondeal.Entry{Value: call.value, Revision: w.revision}
	return answer{entry: tarragondeal.Entry{Revision: w.revision}}
}

func (w *simulation) execute(a *attempt) {
	a.executions++
	w.executions++
	if w.executions > 1 {
		w.violation = "request executed twice"
	}
}

func (w *simulation) crash(a *attempt) {
	w.crashes++
	a.crashed = true
	a.process.Kill()
}

// transitions returns all possible next events. Faults are included until the
// run has used up its budget of faults.
func (w *simulation) transitions() []func() {
	var next []func()
	for n := range w.inFlight {
		next = append(next, func() {
			call := w.inFlight[n]
			w.inFlight = append(append([]swapCall(nil), w.inFlight[:n]...), w.inFlight[n+1:]...)
			w.apply(call)
		})
	}
	for _, a := range w.attempts {
		if a.process.Done() {
			continue
		}
		switch call := a.process.Call().(type) {
		case swapCall:
			next = append(next, w.swapTransitions(a, call)...)
		case getCall:
			next = append(next, func() { a.process.Answer(answer{entry: w.entry}) })
			next = append(next, w.faultTransitions(func() { a.process.Answer(answer{err: errUnavailable}) }, func() { w.crash(a) })...)
		case sendCall:
			next = append(next, w.sendTransitions(a)...)
		}
	}
	return next
}

func (w *simulation) swapTransitions(a *attempt, call swapCall) []func() {
	next := []func(){func() { a.process.Answer(w.apply(call)) }}
	return append(next, w.faultTransitions(
		func() { w.apply(call); a.process.Answer(answer{err: errUnavailable}) },                         // The answer is lost.
		func() { a.process.Answer(answer{err: errUnavailable}) },                                        // The call is lost.
		func() { a.process.Answer(answer{err: errRefused}) },                                            // The call is refused.
		func() { w.inFlight = append(w.inFlight, call); a.process.Answer(answer{err: errUnavailable}) }, // The call arrives late.
		func() { r := w.apply(call); w.inFlight = append(w.inFlight, call); a.process.Answer(r) },       // The call arrives twice.
		func() { w.crash(a) },                                        // The node crashes before the call is applied,
		func() { w.apply(call); w.crash(a) },                         // after that,
		func() { w.inFlight = append(w.inFlight, call); w.crash(a) }, // or with the call in flight.
	)...)
}

func (w *simulation) sendTransitions(a *attempt) []func() {
	next := []func(){func() { w.execute(a); a.process.Answer(sendAnswered) }}
	return append(next, w.faultTransitions(
		func() { w.execute(a); a.process.Answer(sendUnanswered) },
		func() { a.process.Answer(sendUnanswered) },
		func() { a.process.Answer(sendNotSent) },
		func() { w.crash(a) },
		func() { w.execute(a); w.crash(a) },
	)...)
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

// check checks the outcome of a finished run.
func (w *simulation) check() {
	if w.violation != "" {
		return
	}
	reported := false // Some caller was informed that the request ran or may have run.
	for n, a := range w.attempts {
		if a.ran == tarragondeal.RanNot && a.executions > 0 {
			w.violation = fmt.Sprintf("attempt %d was answered notRun but its request ran", n)
		}
		if a.ran == tarragondeal.RanYes && w.executions == 0 {
			w.violation = fmt.Sprintf("attempt %d was answered ran but nothing ran", n)
		}
		reported = reported || a.ran == tarragondeal.RanYes || a.ran == tarragondeal.RanUnknown
	}
	if w.crashes == 0 && !reported && w.entry.Revision != 0 {
		if r, err := decode(w.entry.Value); err != nil || r.State != stateReleased {
			w.violation = "claim not released although no attempt ran or may have run"
		}
	}
}

// explore returns the violation in the first run that has one, or "", and the
// number of runs.
func explore(attempts, faults int, b bug) (violation string, runs int) {
	runs = tdexplore.All(func(c *tdexplore.Choices) bool {
		w := &simulation{c: c, faults: faults}
		for n := range attempts {
			w.attempts = append(w.attempts, w.node(n, b))
		}
		for w.violation == "" {
			next := w.transitions()
			if len(next) == 0 {
				break
			}
			next[c.Choose(len(next))]()
		}
		w.check()
		for _, a := range w.attempts {
			a.process.Kill()
		}
		if w.violation != "" {
			violation = fmt.Sprintf("%s, choices %v", w.violation, c.Taken())
		}
		return w.violation == ""
	})
	return violation, runs
}

var _ = Describe("every interleaving of the steps of a claim", func() {
	type bound struct{ attempts, faults int }
	cases := []bound{{attempts: 2, faults: 2}, {attempts: 3, faults: 1}}
	if os.Getenv("TARRAGONDEAL_EXPLORE") == "wide" {
		cases = append(cases, bound{attempts: 2, faults: 3}, bound{attempts: 3, faults: 2})
	}
	for _, c := range cases {
		It(fmt.Sprintf("runs once with %d attempts and %d faults", c.attempts, c.faults), func() {
			violation, runs := explore(c.attempts, c.faults, bugNone)
			Expect(violation).To(BeEmpty())
			Expect(runs).To(BeNumerically(">", 1000))
			AddReportEntry("runs", runs)
		})
	}

	bugs := []bug{bugRunUnconfirmed, bugSameMark, bugReleaseUnanswered, bugTakeOver, bugReportNotRun}
	for _, b := range bugs {
		It("detects a node that "+string(b), func() {
			faults := 1
			if b == bugRunUnconfirmed {
				faults = maxTakeAttempts
			}
			violation, _ := explore(2, faults, b)
			Expect(violation).NotTo(BeEmpty())
		})
	}
})
