package tdpass

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdrelay"
	"tarragondeal/platform"
)

const (
	// maxBufferedBytes is the size up to which an answer is buffered until it is
	// complete. Longer answers are relayed as they arrive, with their length.
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
	errTruncated       = errors.New("answer shorter than its Content-Length")
	errResponseTimeout = errors.New("server did not begin to answer in time")
	errEventOrder      = errors.New("missing or duplicate event")
)

// Starts counts requests that begin to run.
type Starts interface {
	Began(workspace string)
}

// Exchange relays one request. Its state spans all attempts of the request.
type Exchange struct {
	backend tarragondeal.Backend
	starts  Starts
	caller  platform.Caller
	host    string
	clock   tarragondeal.Clock
	log     zerolog.Logger
	timing  eventTiming

	headSent    bool   // The response header of a stream has been sent to the caller.
	lastEventID string // ID of the last event that the caller has received.
	counted     bool   // The request has been counted in starts.
}

// New returns the Exchange of one request that was sent to host.
func New(b tarragondeal.Backend, s Starts, c platform.Caller, host string, clock tarragondeal.Clock, log zerolog.Logger) *Exchange {
	return &Exchange{backend: b, starts: s, caller: c, host: host, clock: clock, log: log, lastEventID: c.Resume}
}

// Do makes one attempt.
func (x *Exchange) Do(ctx context.Context, t *tdflow.Attempt) tdflow.Result {
	ctx, timer := x.startResponseTimer(ctx, t)
	defer timer.end()
	answer, err := x.backend.Send(ctx, t.Server, x.call(t))
	if err != nil {
		return timer.result(tdflow.SendResult(ctx, err))
	}
	defer func() { _ = answer.Body.Close() }()
	reply := platform.DecodeReply(answer.Status, answer.Header)
	if reply.ID != x.caller.ID && x.caller.ID != "" {
		answer.Drop()
		return invalid(errOtherRequest)
	}
	if reply.NotRun {
		return x.rejected(answer)
	}
	x.countStart(t)
	success := answer.Status < http.StatusMultipleChoices
	if success && !reply.Signed {
		answer.Drop()
		return invalid(errUnsigned)
	}
	if success && t.Request.Class.Events {
		return timer.result(x.relayStream(ctx, t, answer, timer))
	}
	timer.stop()
	return x.relayPlain(ctx, t, answer)
}

// countStart counts a request, once, when its server begins to answer. A stream is
// counted at its first event.
func (x *Exchange) countStart(t *tdflow.Attempt) {
	if x.counted || t.Request.Class.Events {
		return
	}
	x.counted = true
	x.starts.Began(t.Request.Workspace.Name)
}

// call returns the request to send to the server.
func (x *Exchange) call(t *tdflow.Attempt) tarragondeal.Call {
	q := t.Request
	sending := platform.RouterHeaders{
		Server: t.Server.ID, Workspace: q.Workspace.Name, Left: t.Left,
		Tier: t.Tier, ClassTier: q.Class.Tier, LowestTier: q.View.LowestTier,
	}
	if x.headSent {
		sending.Resume = x.lastEventID
	}
	return tarragondeal.Call{
		Request: q.ID, Attempt: t.Number, Method: q.Method, Path: q.Path, Body: q.Body, Tier: t.Tier,
		ID: x.caller.ID, Host: x.host, Header: platform.EncodeCall(q.Header, sending),
		DedicatedConn: q.Route.NonIdempotent,
	}
}

func invalid(err error) tdflow.Result {
	return tdflow.Result{Failure: tdflow.FailInvalid, Ran: tarragondeal.RanUnknown, Err: err}
}

// maxRefusal bounds the bytes read from a refusal so that its connection can be
// reused.
const maxRefusal = 16 << 10

func (x *Exchange) rejected(answer *tarragondeal.Answer) tdflow.Result {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusal))
	return tdflow.Result{Failure: tdflow.FailRejected, Ran: tarragondeal.RanNot}
}

// relayPlain relays an answer that isn't an event stream.
func (x *Exchange) relayPlain(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer) tdflow.Result {
	buffered, err := io.ReadAll(io.LimitReader(answer.Body, maxBufferedBytes+1))
	switch {
	case err != nil:
		return broken(ctx, err)
	case len(buffered) > maxBufferedBytes:
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
		x.log.Info().Err(err).Str("request", x.caller.ID).Msg("writing the server's error response to the caller failed")
	}
	return nil
}

// relayLong relays an answer that is too long to be buffered.
func (x *Exchange) relayLong(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer, buffered []byte) tdflow.Result {
	platform.EncodeAnswer(t.W.Header(), answer.Header)
	t.OnDelivered()
	t.W.WriteHeader(answer.Status)
	if _, err := t.W.Write(buffered); err != nil {
		return tdflow.Result{Failure: tdflow.FailCallerGone, Ran: tarragondeal.RanYes, Err: err}
	}
	if _, err := io.Copy(t.W, answer.Body); err != nil {
		return broken(ctx, err)
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

// relayStream relays the events of a stream.
func (x *Exchange) relayStream(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer, timer *responseTimer) tdflow.Result {
	events := tdrelay.NewEvents(answer.Body)
	rc := http.NewResponseController(t.W)
	for first := true; ; first = false {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return x.endStream(t, answer)
		}
		if err != nil {
			return broken(ctx, err)
		}
		if !follows(x.lastEventID, ev.ID, x.headSent) {
			answer.Drop()
			return invalid(errEventOrder)
		}
		if first {
			timer.stop()
			x.beginStream(t, answer)
		}
		x.timing.event(x.clock.Now())
		if err := x.writeEvent(t.W, rc, &ev, events.More()); err != nil {
			return tdflow.Result{Failure: tdflow.FailCallerGone, Ran: tarragondeal.RanYes, Err: err}
		}
	}
}

// beginStream handles the first event of an attempt. It sends the response header
// to the caller unless an earlier attempt has done so.
func (x *Exchange) beginStream(t *tdflow.Attempt, answer *tarragondeal.Answer) {
	if !x.counted {
		x.counted = true
		x.starts.Began(t.Request.Workspace.Name)
	}
	t.OnBegin()
	if x.headSent {
		return
	}
	x.headSent = true
	platform.EncodeAnswer(t.W.Header(), answer.Header)
	t.OnDelivered()
	t.W.WriteHeader(answer.Status)
}

// endStream ends a stream that the server has ended. A stream without events is
// passed on as an empty response.
func (x *Exchange) endStream(t *tdflow.Attempt, answer *tarragondeal.Answer) tdflow.Result {
	if !x.headSent {
		x.beginStream(t, answer)
	}
	x.logLate(t)
	return tdflow.Result{Ran: tarragondeal.RanYes}
}

func (x *Exchange) writeEvent(w http.ResponseWriter, rc *http.ResponseController, ev *tdrelay.Event, more bool) error {
	if _, err := w.Write(ev.Raw); err != nil {
		return err
	}
	if len(ev.ID) > 0 {
		x.lastEventID = string(ev.ID)
	}
	if more {
		return nil
	}
	return rc.Flush()
}
