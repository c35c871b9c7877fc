package tdflow

import (
	"context"
	"net/http"
	"time"

	"tarragondeal"
)

// Exchange passes one attempt of a request on to its server, and the answer
// back to the caller, in the form of one interface.
type Exchange interface {
	Do(ctx context.Context, t *Try) Result
}

// Try is one attempt at one server.
type Try struct {
	Request *Request
	Server  tarragondeal.Server
	Attempt int
	Tier    int
	Target  time.Duration // Left until the answer should begin.
	Left    time.Duration // Left until it is of no use.
	// Last says that no other attempt would follow a failure.
	Last bool
	// MayRetry takes one retry from the fleet's budget. A try that ends as
	// FailSilent has taken it.
	MayRetry func() bool
	W        http.ResponseWriter
	// Began is called when the server has begun to answer, and Delivered when
	// the caller has got a byte.
	Began     func()
	Delivered func()
}

// Result says how a try ended.
type Result struct {
	Failure Failure // FailNone when the answer is whole.
	Ran     tarragondeal.Ran
	Err     error
	// Answer delivers the server's own answer if no other try follows.
	Answer func(http.ResponseWriter) error
}

// exchange makes an attempt in the form of the request's interface.
func (a *attempt) exchange(ctx context.Context) failed {
	r := a.r
	s := r.state(FailSilent)
	out := r.q.Exchange.Do(ctx, &Try{
		Request: r.q, Server: a.grant.Server, Attempt: r.attempts, Tier: r.ask.Tier,
		Target: r.ask.Target, Left: r.left(), Last: Next(s) != StepRetry, W: r.w,
		MayRetry: func() bool { return r.f.Dispatch.MayRetry(r.ask) },
		Began: func() {
			a.firstToken()
			r.f.Dispatch.Progress(a.grant, 1)
		},
		Delivered: func() { r.stream.delivered = true },
	})
	return failed{failure: out.Failure, ran: out.Ran, err: out.Err, answer: out.Answer}
}

// Unanswered returns the result of a try whose call gave no answer.
func Unanswered(ctx context.Context, err error) Result {
	f := unanswered(ctx, err)
	if f.err == nil {
		f.err = err
	}
	return Result{Failure: f.failure, Ran: f.ran, Err: f.err}
}

// Ended returns why a context that has ended did.
func Ended(ctx context.Context) Failure { return ended(ctx) }
