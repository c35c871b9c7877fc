package tdpass

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/platform"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered until it is
	// complete, if the node has room. Longer answers are relayed as they arrive, with their
	// length.
	maxBufferedBytes = 1 << 20
	// responseTimeoutTargets is the response timeout of an attempt that may be
	// retried, in multiples of its target. minResponseTimeout is
	// its lower bound.
	responseTimeoutTargets = 3
	minResponseTimeout     = 250 * time.Millisecond
	// maxResponseTimeoutShare is the upper bound of the response timeout, as a
	// share of the time left until the deadline.
	maxResponseTimeoutShare = 0.5
)

var (
	errOtherRequest    = errors.New("answer belongs to another request")
	errUnsigned        = errors.New("success status without the server's signature")
	errTruncated       = errors.New("answer differs from its Content-Length")
	errResponseTimeout = errors.New("server did not begin to answer in time")
	errEventOrder      = errors.New("missing or duplicate event")
	errNoContinuation  = errors.New("answer doesn't continue the stream")
	errForeign         = errors.New("stream holds something else than its events")
	errRepeatedRefusal = errors.New("refusal came on the connection before")
)

// Starts counts requests that begin to run.
type Starts interface {
	Began(workspace string)
}

// Deps holds the dependencies of an Exchange.
type Deps struct {
	Backend tarragondeal.Backend
	Starts  Starts
	Notices tarragondeal.ServerNotices
	Origins tarragondeal.StreamOrigins
	Buffers *Buffers // Of the node.
	Clock   tarragondeal.Clock
	Log     zerolog.Logger
}

// Exchange relays one request. Its state spans all attempts of the request.
type Exchange struct {
	Deps
	caller platform.Caller
	host   string
	timing eventTiming

	headSent  bool                // The response header of a stream has been sent to the caller.
	begunAt   tarragondeal.Server // The server whose header that is.
	ended     func()              // Ends the record of the stream's origin; nil without one.
	status    int                 // Status and media type in that header.
	media     string
	length    int64 // Bytes in the stream, or -1 if unknown.
	sentBytes int64
	order     order // Of the events sent to the caller.
	counted   bool  // The request has been counted in starts.
	buffered  int   // Bytes taken from Buffers.
	workspace string
}

// New returns the Exchange of one request that was sent to host.
func New(d Deps, c platform.Caller, host string) *Exchange {
	return &Exchange{Deps: d, caller: c, host: host, order: order{last: c.Resume}}
}

// End must be called when the request has ended.
func (x *Exchange) End() {
	x.Buffers.get().Free(x.workspace, int64(x.buffered))
	if x.ended != nil {
		x.ended()
	}
}

// Do makes one attempt.
func (x *Exchange) Do(ctx context.Context, t *tdflow.Attempt) tdflow.Result {
	x.workspace = t.Request.Workspace.Name
	continues := x.headSent
	out := x.attempt(ctx, t)
	out.Final = out.Final || x.headSent && !x.order.continuable()
	x.logPart(ctx, t, out, continues)
	return out
}

func (x *Exchange) attempt(ctx context.Context, t *tdflow.Attempt) (out tdflow.Result) {
	ctx, timer := x.startResponseTimer(ctx, t)
	defer func() { out.RetryTaken = timer.end() }()
	sent := x.Clock.Now()
	answer, err := x.Backend.Send(ctx, t.Server, x.call(t))
	if err != nil {
		return timer.result(tdflow.SendResult(ctx, err))
	}
	defer func() { _ = answer.Body.Close() }()
	switch {
	case x.headSent:
		x.logContinuation(t, answer)
	case x.caller.Resume != "":
		x.logResumed(t, answer)
	}
	reply := platform.DecodeReply(answer.Status, answer.Header)
	if reply.ID != x.caller.ID && x.caller.ID != "" {
		answer.Drop()
		return invalid(errOtherRequest)
	}
	x.observeNotices(t, answer, &reply, sent)
	if reply.NotRun {
		return x.rejected(answer)
	}
	x.countStart(t)
	if t.Request.Route.NonIdempotent && platform.PromisesNotRun(answer.Status) {
		return x.withheld(t, answer)
	}
	if x.headSent {
		return timer.result(x.continueStream(ctx, t, answer, timer))
	}
	success := answer.Status < http.StatusMultipleChoices
	if success && !reply.Signed {
		answer.Drop()
		return invalid(errUnsigned)
	}
	if success && t.Request.Class.Events {
		return timer.result(x.relayStream(ctx, t, answer, timer))
	}
	if !timer.stop() {
		return timedOut()
	}
	return x.relayPlain(ctx, t, answer)
}

// observeNotices passes on what a server says of itself in an answer. A 421 may come
// from another server at the same address.
func (x *Exchange) observeNotices(t *tdflow.Attempt, answer *tarragondeal.Answer, r *platform.Reply, sent tarragondeal.Instant) {
	status := answer.Status
	if status != http.StatusMisdirectedRequest {
		x.observeLeaving(t, status, r)
	}
	x.observeRates(t, status, r, sent)
	x.observePause(t, answer, r)
	x.observeLoad(t, status, r, sent)
}

// observeLoad passes on the load that a server reports.
func (x *Exchange) observeLoad(t *tdflow.Attempt, status int, r *platform.Reply, sent tarragondeal.Instant) {
	switch {
	case r.LoadErr != nil:
		x.Notices.ObserveInvalid(t.Server, t.Request.ID, tarragondeal.NoticeLoad, r.LoadErr)
	case r.Load != nil && status != http.StatusMisdirectedRequest && (r.Signed || r.NotRun):
		x.Notices.ObserveLoad(t.Server, t.Request.ID, *r.Load, sent)
	}
}

// observePause passes on for how long a server at capacity accepts no request of a node.
func (x *Exchange) observePause(t *tdflow.Attempt, answer *tarragondeal.Answer, r *platform.Reply) {
	switch {
	case r.PauseErr != nil:
		x.Notices.ObserveInvalid(t.Server, t.Request.ID, tarragondeal.NoticePause, r.PauseErr)
	case r.Pause > 0:
		x.Notices.ObservePause(t.Server, t.Request.ID, r.Pause, answer.Through)
	}
}

// observeLeaving passes on that a server is leaving. A success without a signature is
// not the server's.
func (x *Exchange) observeLeaving(t *tdflow.Attempt, status int, r *platform.Reply) {
	switch {
	case r.LeavingErr != nil:
		x.Notices.ObserveInvalid(t.Server, t.Request.ID, tarragondeal.NoticeLeaving, r.LeavingErr)
	case r.Leaving && status < http.StatusMultipleChoices && !r.Signed:
		x.Notices.ObserveInvalid(t.Server, t.Request.ID, tarragondeal.NoticeLeaving, errUnsigned)
	case r.Leaving:
		x.Notices.ObserveLeaving(t.Server, t.Request.ID)
	}
}

// observeRates passes on the rates that an answer announces, or that it announces none any
// more.
func (x *Exchange) observeRates(t *tdflow.Attempt, status int, r *platform.Reply, sent tarragondeal.Instant) {
	if x.isRateOfServer(t, status, r, tarragondeal.NoticeLimit, r.Limit, r.LimitErr) {
		x.Notices.ObserveLimit(t.Server, t.Request.ID, r.Limit, sent)
	}
	if x.isRateOfServer(t, status, r, tarragondeal.NoticeBrittle, r.Brittle, r.BrittleErr) {
		x.Notices.ObserveBrittle(t.Server, t.Request.ID, r.Brittle, sent)
	}
}

// isRateOfServer reports whether a rate, or that there is none, counts. Without a
// signature or a rate an answer may not come from the server's software at all.
func (x *Exchange) isRateOfServer(t *tdflow.Attempt, status int, r *platform.Reply, k tarragondeal.NoticeKind, rate tarragondeal.ServerRate, err error) bool {
	if err != nil {
		x.Notices.ObserveInvalid(t.Server, t.Request.ID, k, err)
		return false
	}
	return status != http.StatusMisdirectedRequest && (rate.Announced || r.Signed)
}

// countStart counts a request, once, when its server begins to answer. A stream is
// counted at its first event.
func (x *Exchange) countStart(t *tdflow.Attempt) {
	if x.counted || t.Request.Class.Events {
		return
	}
	x.counted = true
	x.Starts.Began(t.Request.Workspace.Name)
}

// call returns the request to send to the server.
func (x *Exchange) call(t *tdflow.Attempt) tarragondeal.Call {
	q := t.Request
	sending := platform.RouterHeaders{
		Server: t.Server.ID, Workspace: q.Workspace.Name, Left: t.Left,
		Tier: t.Tier, ClassTier: q.Class.Tier, LowestTier: q.View.LowestTier,
	}
	if x.order.sent {
		sending.Resume = x.order.last
	}
	return tarragondeal.Call{
		Request: q.ID, Attempt: t.Number, Method: q.Method, Path: q.Path, Body: q.Body, Tier: t.Tier,
		ID: x.caller.ID, Host: x.host, Header: platform.EncodeCall(q.Header, sending),
		// Without an id, an answer on a kept connection may be that to an earlier request.
		DedicatedConn: q.Route.NonIdempotent || x.caller.ID == "", MaySend: t.MaySend, MaxIdle: x.maxIdle(t),
	}
}

// maxIdle returns how long a kept connection may have been idle that is used for a request
// which may run once. Without an id, its answer could be that to another request.
func (x *Exchange) maxIdle(t *tdflow.Attempt) time.Duration {
	if x.caller.ID == "" {
		return 0
	}
	return t.MaxIdle
}

func invalid(err error) tdflow.Result {
	return tdflow.Result{Failure: tdflow.FailInvalid, Ran: tarragondeal.RanUnknown, Err: err}
}

const (
	// maxDiscarded bounds the bytes read from an answer that isn't relayed so that
	// its connection can be reused, and discardTimeout the time for them.
	maxDiscarded   = 16 << 10
	discardTimeout = 50 * time.Millisecond
)

func discard(answer *tarragondeal.Answer) {
	defer time.AfterFunc(discardTimeout, answer.Drop).Stop()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxDiscarded))
}

// rejected handles a refusal, which states that the server has not run the request. One that
// came on the connection before doesn't: the server may be running the request.
func (x *Exchange) rejected(answer *tarragondeal.Answer) tdflow.Result {
	if answer.RepeatsRefusal != nil && answer.RepeatsRefusal(x.caller.ID) {
		answer.Drop()
		return invalid(errRepeatedRefusal)
	}
	discard(answer)
	return tdflow.Result{Failure: tdflow.FailRejected, Ran: tarragondeal.RanNot}
}

// statusError reports a server's answer whose status can't be passed on.
type statusError struct{ Status int }

func (e *statusError) Error() string {
	return fmt.Sprintf("status %d promises that the request has not run, which its server doesn't state", e.Status)
}

// withheld handles an answer to a non-idempotent request that has the status of a refusal,
// and doesn't state that the server has not run the request. Callers would repeat the
// request because of that status.
func (x *Exchange) withheld(t *tdflow.Attempt, answer *tarragondeal.Answer) tdflow.Result {
	t.OnBegin()
	discard(answer)
	return tdflow.Result{Failure: tdflow.FailServerError, Ran: tarragondeal.RanYes, Err: &statusError{Status: answer.Status}}
}

// relayPlain relays an answer that isn't an event stream.
func (x *Exchange) relayPlain(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer) tdflow.Result {
	buffered, whole, err := x.buffer(answer)
	switch {
	case err != nil:
		return broken(ctx, err)
	case !whole:
		t.OnBegin()
		return x.relayLong(ctx, t, answer, buffered)
	case answer.Length >= 0 && int64(len(buffered)) != answer.Length && t.Request.Method != http.MethodHead:
		return tdflow.Result{Failure: tdflow.FailTruncated, Ran: tarragondeal.RanUnknown, Err: errTruncated}
	}
	t.OnBegin()
	deliver := func(w http.ResponseWriter) error {
		platform.EncodeAnswer(w.Header(), answer.Header)
		w.WriteHeader(answer.Status)
		_, err := w.Write(buffered)
		return err
	}
	if answer.Status >= http.StatusInternalServerError && !t.Last {
		return tdflow.Result{Failure: tdflow.FailServerError, Ran: tarragondeal.RanYes, Answer: func(w http.ResponseWriter) error {
			return x.deliverError(deliver, w)
		}}
	}
	t.OnDelivered()
	if err := deliver(t.W); err != nil {
		return tdflow.Result{Failure: tdflow.FailCallerGone, Ran: tarragondeal.RanYes, Err: err}
	}
	return tdflow.Result{Ran: tarragondeal.RanYes}
}

// deliverError sends a server's error response to the caller. A write error isn't
// returned: it means that the caller has disconnected, which the HTTP server
// detects itself.
func (x *Exchange) deliverError(deliver func(http.ResponseWriter) error, w http.ResponseWriter) error {
	if err := deliver(w); err != nil {
		x.Log.Info().Err(err).Str("request", x.caller.ID).Msg("writing the server's error response to the caller failed")
	}
	return nil
}

// relayLong relays an answer of which only the beginning is buffered.
func (x *Exchange) relayLong(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer, buffered []byte) tdflow.Result {
	platform.EncodeAnswer(t.W.Header(), answer.Header)
	t.OnDelivered()
	t.W.WriteHeader(answer.Status)
	if _, err := t.W.Write(buffered); err != nil {
		return tdflow.Result{Failure: tdflow.FailCallerGone, Ran: tarragondeal.RanYes, Err: err}
	}
	if _, err := io.Copy(t.W, answer.Body); err != nil {
		out := broken(ctx, err)
		out.Final = true
		return out
	}
	return tdflow.Result{Ran: tarragondeal.RanYes}
}

func broken(ctx context.Context, err error) tdflow.Result {
	out := tdflow.Result{Failure: tdflow.FailCrashed, Ran: tarragondeal.RanUnknown, Err: err}
	if ctx.Err() != nil {
		out.Failure = tdflow.ContextFailure(ctx)
	}
	return out
}
