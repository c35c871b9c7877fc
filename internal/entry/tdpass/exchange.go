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
	// heldBytes is how much of an answer is held until it is whole. Longer
	// ones go on as they come, with their length.
	heldBytes = 1 << 20
	// silentTargets is how many times its target an attempt may take to begin
	// when another one may follow, and silentLeast the least such time.
	silentTargets = 3
	silentLeast   = 250 * time.Millisecond
	// silentShare bounds it by the time that is left.
	silentShare = 0.5
)

var (
	errOther    = errors.New("the answer is another request's")
	errUnsigned = errors.New("a success without the server's signature")
	errShort    = errors.New("the answer is shorter than announced")
	errSilent   = errors.New("the server did not begin to answer in time")
	errOrder    = errors.New("an event is missing or comes twice")
)

// Starts counts the requests that begin to run.
type Starts interface {
	Began(workspace string)
}

// Exchange passes on one request. Its state is the answer's over all tries.
type Exchange struct {
	backend tarragondeal.Backend
	starts  Starts
	caller  platform.Caller
	host    string
	clock   tarragondeal.Clock
	log     zerolog.Logger
	pace    pace

	headed  bool   // The caller has got the head of a stream.
	last    string // The number of the last event that the caller has got.
	counted bool   // The request was counted as begun.
}

// New returns the exchange of one request whose caller named host.
func New(b tarragondeal.Backend, s Starts, c platform.Caller, host string, clock tarragondeal.Clock, log zerolog.Logger) *Exchange {
	return &Exchange{backend: b, starts: s, caller: c, host: host, clock: clock, log: log, last: c.Resume}
}

// Do makes one try.
func (x *Exchange) Do(ctx context.Context, t *tdflow.Attempt) tdflow.Result {
	ctx, watch := x.watchSilence(ctx, t)
	defer watch.end()
	answer, err := x.backend.Send(ctx, t.Server, x.call(t))
	if err != nil {
		return watch.result(tdflow.SendResult(ctx, err))
	}
	defer func() { _ = answer.Body.Close() }()
	reply := platform.DecodeReply(answer.Status, answer.Header)
	if reply.ID != x.caller.ID && x.caller.ID != "" {
		answer.Drop()
		return wrong(errOther)
	}
	if reply.NotRun {
		return x.turnedAway(answer)
	}
	x.began(t)
	success := answer.Status < http.StatusMultipleChoices
	if success && !reply.Signed {
		answer.Drop()
		return wrong(errUnsigned)
	}
	if success && t.Request.Class.Events {
		return watch.result(x.stream(ctx, t, answer, watch))
	}
	watch.stop()
	return x.plain(ctx, t, answer)
}

// began counts the request once.
func (x *Exchange) began(t *tdflow.Attempt) {
	if x.counted || t.Request.Class.Events {
		return
	}
	x.counted = true
	x.starts.Began(t.Request.Workspace.Name)
}

// call returns the request as the server gets it.
func (x *Exchange) call(t *tdflow.Attempt) tarragondeal.Call {
	q := t.Request
	sending := platform.Sending{Server: t.Server.ID, Workspace: q.Workspace.Name, Tier: t.Tier, Left: t.Left}
	if x.headed {
		sending.Resume = x.last
	}
	return tarragondeal.Call{
		Request: q.ID, Attempt: t.Number, Method: q.Method, Path: q.Path, Body: q.Body, Tier: t.Tier,
		ID: x.caller.ID, Host: x.host, Header: platform.EncodeCall(q.Header, sending),
		Apart: q.Route.NonIdempotent,
	}
}

func wrong(err error) tdflow.Result {
	return tdflow.Result{Failure: tdflow.FailInvalid, Ran: tarragondeal.RanUnknown, Err: err}
}

// maxRefusal bounds what is read of a refusal, so that its connection can be
// used again.
const maxRefusal = 16 << 10

func (x *Exchange) turnedAway(answer *tarragondeal.Answer) tdflow.Result {
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxRefusal))
	return tdflow.Result{Failure: tdflow.FailRejected, Ran: tarragondeal.RanNot}
}

// plain passes on an answer that is no stream of events.
func (x *Exchange) plain(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer) tdflow.Result {
	held, err := io.ReadAll(io.LimitReader(answer.Body, heldBytes+1))
	switch {
	case err != nil:
		return broken(ctx, err)
	case len(held) > heldBytes:
		t.OnBegin()
		return x.long(ctx, t, answer, held)
	case answer.Length >= 0 && int64(len(held)) != answer.Length && t.Request.Method != http.MethodHead:
		return tdflow.Result{Failure: tdflow.FailTruncated, Ran: tarragondeal.RanUnknown, Err: errShort}
	}
	t.OnBegin()
	deliver := func(w http.ResponseWriter) error {
		platform.EncodeAnswer(w.Header(), answer.Header)
		w.WriteHeader(answer.Status)
		_, err := w.Write(held)
		return err
	}
	if answer.Status >= http.StatusInternalServerError && !t.Last {
		return tdflow.Result{Failure: tdflow.FailServerError, Ran: tarragondeal.RanYes, Answer: func(w http.ResponseWriter) error {
			return x.give(deliver, w)
		}}
	}
	t.OnDelivered()
	if err := deliver(t.W); err != nil {
		return tdflow.Result{Failure: tdflow.FailCallerGone, Ran: tarragondeal.RanYes, Err: err}
	}
	return tdflow.Result{Ran: tarragondeal.RanYes}
}

// give delivers a server's own failure. A caller that does not take it is
// gone, which the front sees for itself.
func (x *Exchange) give(deliver func(http.ResponseWriter) error, w http.ResponseWriter) error {
	if err := deliver(w); err != nil {
		x.log.Info().Err(err).Str("request", x.caller.ID).Msg("caller did not take the server's failure")
	}
	return nil
}

// long passes on an answer that is too long to be held.
func (x *Exchange) long(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer, held []byte) tdflow.Result {
	platform.EncodeAnswer(t.W.Header(), answer.Header)
	t.OnDelivered()
	t.W.WriteHeader(answer.Status)
	if _, err := t.W.Write(held); err != nil {
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

// stream passes on events.
func (x *Exchange) stream(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer, watch *silence) tdflow.Result {
	events := tdrelay.NewEvents(answer.Body)
	rc := http.NewResponseController(t.W)
	for first := true; ; first = false {
		ev, err := events.Next()
		if errors.Is(err, io.EOF) {
			return x.streamEnd(t, answer)
		}
		if err != nil {
			return broken(ctx, err)
		}
		if !follows(x.last, ev.ID, x.headed) {
			answer.Drop()
			return wrong(errOrder)
		}
		if first {
			watch.stop()
			x.begin(t, answer)
		}
		x.pace.event(x.clock.Now())
		if err := x.pass(t.W, rc, &ev, events.More()); err != nil {
			return tdflow.Result{Failure: tdflow.FailCallerGone, Ran: tarragondeal.RanYes, Err: err}
		}
	}
}

// begin notes the first event of a try, and gives the caller the head of the
// first one that has any.
func (x *Exchange) begin(t *tdflow.Attempt, answer *tarragondeal.Answer) {
	if !x.counted {
		x.counted = true
		x.starts.Began(t.Request.Workspace.Name)
	}
	t.OnBegin()
	if x.headed {
		return
	}
	x.headed = true
	platform.EncodeAnswer(t.W.Header(), answer.Header)
	t.OnDelivered()
	t.W.WriteHeader(answer.Status)
}

// streamEnd ends a stream whose server ended it. One without events is passed
// on as it is.
func (x *Exchange) streamEnd(t *tdflow.Attempt, answer *tarragondeal.Answer) tdflow.Result {
	if !x.headed {
		x.begin(t, answer)
	}
	x.logLate(t)
	return tdflow.Result{Ran: tarragondeal.RanYes}
}

func (x *Exchange) pass(w http.ResponseWriter, rc *http.ResponseController, ev *tdrelay.Event, more bool) error {
	if _, err := w.Write(ev.Raw); err != nil {
		return err
	}
	if len(ev.ID) > 0 {
		x.last = string(ev.ID)
	}
	if more {
		return nil
	}
	return rc.Flush()
}
