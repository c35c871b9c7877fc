package tdflow

import (
	"context"
	"net/http"
	"time"

	"tarragondeal"
)

// Exchange sends one attempt of a request to its server and relays the answer to
// the caller, in the format of one of the callers' interfaces.
type Exchange interface {
	Do(ctx context.Context, t *Attempt) Result
}

// Attempt is one attempt at one server.
type Attempt struct {
	Request *Request
	Server  tarragondeal.Server
	Number  int
	Tier    int
	Target  time.Duration // Time left in which the answer should begin.
	Left    time.Duration // Time left until the deadline.
	// Last is set if no attempt would follow a failure.
	Last bool
	// MayRetry takes one retry from the fleet's retry budget and reports
	// whether there was one. An attempt that ends with FailResponseTimeout has
	// called it.
	MayRetry func() bool
	// MaySend reports whether the request may still be sent to the server. It is for the
	// call of the attempt.
	MaySend func() bool
	// MaxIdle is that of the grant.
	MaxIdle time.Duration
	W       http.ResponseWriter
	// OnBegin must be called when the server begins to answer, and OnDelivered
	// before the first byte is sent to the caller.
	OnBegin     func()
	OnDelivered func()
}

// Result describes how an attempt ended.
type Result struct {
	Failure Failure // FailNone if the answer is complete.
	Ran     tarragondeal.Ran
	Err     error
	// Answer delivers the server's error response if no retry follows. It is
	// nil if there is none.
	Answer func(http.ResponseWriter) error
	// Final is set if no other attempt can continue what has been sent to the
	// caller.
	Final bool
	// RetryTaken is set if the attempt has taken a retry from the budget.
	RetryTaken bool
}

// exchange makes an attempt through the request's Exchange.
func (a *attempt) exchange(ctx context.Context) attemptResult {
	r := a.r
	s := r.state(FailResponseTimeout)
	out := r.q.Exchange.Do(ctx, &Attempt{
		Request: r.q, Server: a.grant.Server, Number: r.attempts, Tier: r.ask.Tier,
		Target: r.ask.Target, Left: r.remaining(), Last: Next(s) != StepRetry, W: r.w,
		MayRetry: func() bool { return r.f.Dispatch.MayRetry(r.ask) },
		MaySend:  a.maySend, MaxIdle: a.grant.MaxIdle,
		OnBegin: func() {
			a.firstToken()
			r.f.Dispatch.Progress(a.grant, 1)
		},
		OnDelivered: func() {
			r.stream.delivered = true
			if r.q.Class.Events {
				software := a.grant.Server.Software()
				r.ask.Software = &software
			}
		},
	})
	return attemptResult{
		failure: out.Failure, ran: out.Ran, err: out.Err, answer: out.Answer, final: out.Final, retryTaken: out.RetryTaken,
	}
}

// SendResult returns the result of an attempt whose call to the backend failed
// with err.
func SendResult(ctx context.Context, err error) Result {
	f := sendFailure(ctx, err)
	if f.err == nil {
		f.err = err
	}
	return Result{Failure: f.failure, Ran: f.ran, Err: f.err}
}

// ContextFailure returns the failure for the cause of a context that is done.
func ContextFailure(ctx context.Context) Failure { return contextFailure(ctx) }
