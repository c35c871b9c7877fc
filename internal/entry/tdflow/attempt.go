package tdflow

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"mime"
	"net/http"
	"time"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/dispatch/tdplace"
	"tarragondeal/internal/entry/tdrelay"
	"tarragondeal/internal/platform/tdwire"
)

const (
	// firstBackoff bounds the delay before the second retry. The bound doubles
	// with each further retry.
	firstBackoff = 25 * time.Millisecond
	// maxRecordBytes bounds the copy of an answer stored with a claim.
	maxRecordBytes = 256 << 10
)

// attempt is the state of one attempt at one server.
type attempt struct {
	r               *run
	grant           tarragondeal.Grant
	started         tarragondeal.Instant
	lastProgress    tarragondeal.Instant // Of the last progress report.
	firstTokenAfter time.Duration
	usage           *tdrelay.Usage
	tokensBefore    int // Tokens delivered by earlier attempts.
	result          attemptResult
}

// attemptResult describes how an attempt ended.
type attemptResult struct {
	failure Failure
	ran     tarragondeal.Ran
	err     error
	// answer delivers the server's error response if no retry follows. It is
	// nil if there is none.
	answer func(http.ResponseWriter) error
	final  bool // No other attempt can continue the answer.
	// retryTaken is set if the attempt has taken a retry from the budget.
	retryTaken bool
}

// streamState is the state of the caller's stream across attempts.
type streamState struct {
	s         *tdrelay.Stream
	delivered bool // Sending to the caller has begun, streamed or not.
	resumable bool // The current attempt has sent a part of it and has not been resumed.
}

func (s *streamState) started() bool { return s.s != nil && s.s.Started() }

func (s *streamState) tokens() int {
	if s.s == nil {
		return 0
	}
	return s.s.Tokens()
}

// backoff sleeps for a random time before each retry except the first.
func backoff(ctx context.Context, attempts int) {
	if attempts < 2 {
		return
	}
	bound := firstBackoff << (attempts - 2)
	tdclock.Sleep(ctx, rand.N(bound))
}

func (r *run) attempt(ctx context.Context) attemptResult {
	r.attempts++
	r.stream.resumable = false
	a := &attempt{r: r, started: r.f.Clock.Now(), tokensBefore: r.stream.tokens()}
	r.current = a
	err := a.reserve(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return attemptResult{failure: contextFailure(ctx), ran: tarragondeal.RanNot, err: context.Cause(ctx)}
		}
		return attemptResult{failure: FailNoServer, ran: tarragondeal.RanNot, err: err}
	}
	a.result = attemptResult{failure: FailCrashed, ran: tarragondeal.RanUnknown}
	defer func() { r.f.Dispatch.Done(a.grant, a.outcome(a.result.failure)) }()
	a.result = a.send(ctx)
	return a.result
}

func (a *attempt) reserve(ctx context.Context) error {
	r := a.r
	spent := r.elapsed()
	target := time.Duration(r.q.Class.FirstToken)
	if r.q.Model == nil && !r.q.Class.Events {
		target = time.Duration(r.q.Class.Completion)
	}
	r.ask.Attempt = r.attempts
	r.ask.Target = max(0, target-spent)
	r.ask.Deadline = r.deadline - spent
	var err error
	a.grant, err = r.f.Dispatch.Reserve(ctx, r.ask)
	return err
}

func (a *attempt) send(ctx context.Context) attemptResult {
	r := a.r
	if !tdplace.Allows(&r.ask, &a.grant.Server) {
		r.f.Metrics.Counter("grantsOutsidePlace").Inc(1)
		r.f.Log.Error().Str("request", string(r.q.ID)).Str("server", string(a.grant.Server.ID)).
			Msg("granted server is outside the permitted data centres")
		return attemptResult{failure: FailPlacement, ran: tarragondeal.RanNot}
	}
	if pool := r.q.View.ServerPools[a.grant.Server.Pool]; pool != nil {
		r.sample.Reclaimable = pool.Reclaimable
	}
	if r.q.Exchange != nil {
		return a.exchange(ctx)
	}
	answer, err := r.f.Backend.Send(ctx, a.grant.Server, a.call())
	if err != nil {
		return sendFailure(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if f := a.checkHead(answer); f != FailNone {
		return attemptResult{failure: f, ran: tarragondeal.RanUnknown}
	}
	switch {
	case r.q.Model != nil && r.q.Model.Stream && isStream(answer):
		return a.relayStream(ctx, answer)
	case r.stream.delivered && answer.Status >= http.StatusBadRequest:
		return attemptResult{failure: FailServerError, ran: tarragondeal.RanUnknown}
	case r.stream.delivered: // Its body would be joined to the stream.
		return attemptResult{failure: FailInvalid, ran: tarragondeal.RanUnknown}
	}
	return a.relayPlain(ctx, answer)
}

func isStream(a *tarragondeal.Answer) bool {
	media, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type"))
	return a.Status == http.StatusOK && media == "text/event-stream"
}

// maySend reports whether the grant still permits sending the request.
func (a *attempt) maySend() bool { return a.r.f.Dispatch.Valid(a.grant) }

// call returns the request to send to the granted server.
func (a *attempt) call() tarragondeal.Call {
	q := a.r.q
	c := tarragondeal.Call{
		Request: q.ID, Attempt: a.r.attempts, Method: q.Method, Path: q.Path,
		Header: q.Header, Body: q.Body, Tier: q.Class.Tier, MaySend: a.maySend,
	}
	if q.Model == nil {
		return c
	}
	c.Header = q.Header.Clone()
	if c.Header == nil {
		c.Header = make(http.Header)
	}
	c.Header.Set("Content-Type", "application/json")
	c.Salt = Salt(q.Workspace.Name)
	model := q.Model.Model
	if pool := q.View.ServerPools[a.grant.Server.Pool]; pool != nil && pool.Model != "" {
		model = pool.Model
	}
	c.Body = q.Model.ForEngine(model, q.Class.Tier, c.Salt)
	return c
}

// relayStream relays a model's stream and resumes it once if it breaks.
func (a *attempt) relayStream(ctx context.Context, answer *tarragondeal.Answer) attemptResult {
	r := a.r
	if r.stream.s == nil {
		r.stream.s = tdrelay.NewStream(r.w, r.streamOptions())
	}
	defer r.stream.s.Close()
	if r.stream.delivered {
		s := a.grant.Server
		r.stream.s.WriteComment(fmt.Sprintf("run again by %s in %s", s.ID, s.DataCentre))
	}
	r.stream.resumable = true
	out := a.relayPart(ctx, answer, r.stream.s.Events())
	if Next(r.state(out.failure)) == StepResume {
		out = a.resume(ctx, out)
	}
	a.usage = r.stream.s.Usage()
	if out.failure == FailNone {
		r.recordStream(ctx)
	}
	return out
}

// relayPart relays a stream from one response body, skipping the first skip
// events.
func (a *attempt) relayPart(ctx context.Context, answer *tarragondeal.Answer, skip int) attemptResult {
	s := a.r.stream.s
	end, err := s.Feed(answer.Body, skip)
	a.r.stream.delivered = s.Started()
	out := attemptResult{failure: endFailure(ctx, end), ran: tarragondeal.RanUnknown, err: nil}
	if out.failure == FailKeyWithdrawn {
		out.err = context.Cause(ctx)
	}
	if err != nil && out.failure != FailCallerGone {
		a.r.f.Log.Debug().Str("request", string(a.r.q.ID)).Str("server", string(a.grant.Server.ID)).
			Err(err).Msg("stream broke")
	}
	return out
}

// resume asks the same server to continue a broken stream. If the server can't,
// resume returns the original result.
func (a *attempt) resume(ctx context.Context, broken attemptResult) attemptResult {
	r := a.r
	r.stream.resumable = false
	body, err := json.Marshal(tdwire.Resume{
		Request: fmt.Sprintf("%s.%d", r.q.ID, r.attempts), From: r.stream.s.Events(),
	})
	if err != nil {
		return broken
	}
	answer, err := r.f.Backend.Send(ctx, a.grant.Server, tarragondeal.Call{
		Request: r.q.ID, Attempt: r.attempts, Method: http.MethodPost, Path: tdwire.PathResume,
		Header: http.Header{"Content-Type": {"application/json"}}, Body: body,
	})
	if err != nil {
		if ctx.Err() != nil {
			return sendFailure(ctx, err)
		}
		return broken
	}
	defer func() { _ = answer.Body.Close() }()
	if a.checkHead(answer) != FailNone || !isStream(answer) {
		return broken
	}
	r.f.Metrics.Counter("resumes").Inc(1)
	return a.relayPart(ctx, answer, 0)
}

// relayPlain relays an answer that isn't a model's stream.
func (a *attempt) relayPlain(ctx context.Context, answer *tarragondeal.Answer) attemptResult {
	r := a.r
	plain, err := tdrelay.ReadPlain(answer)
	if err != nil {
		return attemptResult{failure: relayFailure(ctx, err), ran: tarragondeal.RanUnknown, err: contextCause(ctx)}
	}
	if !plain.Omitted {
		r.recordPlainAnswer(ctx, plain)
	}
	a.firstToken()
	a.usage = plain.Usage
	a.setServerHeaders(r.w.Header())
	r.stream.delivered = true
	err = plain.Deliver(r.w, r.f.opt.WriteTimeout)
	if plain.Omitted && !r.ask.Idempotent && plain.Drain() == nil {
		r.recordPlainAnswer(ctx, plain)
	}
	if err != nil {
		return attemptResult{failure: relayFailure(ctx, err), ran: tarragondeal.RanYes}
	}
	r.usage = plain.Usage
	return attemptResult{ran: tarragondeal.RanYes}
}

// setServerHeaders sets the headers that name the server and its data centre.
func (a *attempt) setServerHeaders(h http.Header) {
	h.Set(HeaderDataCentre, a.grant.Server.DataCentre)
	h.Set(HeaderServer, string(a.grant.Server.ID))
}

func (a *attempt) outcome(f Failure) tarragondeal.Outcome {
	o := tarragondeal.Outcome{
		Kind: outcomes[f], Rejected: f == FailRejected, Tokens: a.r.stream.tokens() - a.tokensBefore,
		FirstToken: a.firstTokenAfter, Total: a.r.f.Clock.Now().Sub(a.started),
	}
	if a.usage != nil {
		o.Input, o.CachedHint = a.usage.Input, a.usage.Detail.Cached
		if a.r.stream.s == nil {
			o.Tokens = a.usage.Output
		}
	}
	return o
}
