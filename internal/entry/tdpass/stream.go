package tdpass

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"slices"

	"tarragondeal"
	"tarragondeal/internal/entry/tdflow"
	"tarragondeal/internal/entry/tdrelay"
	"tarragondeal/platform"
)

// continueStream relays the answer to a request that continues a broken stream. An
// answer that isn't the rest of it must not reach the caller, who would take it for
// the end of the stream.
func (x *Exchange) continueStream(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer, timer *responseTimer) tdflow.Result {
	switch {
	case answer.Status >= http.StatusMultipleChoices:
		discard(answer)
		return tdflow.Result{Failure: tdflow.FailServerError, Ran: tarragondeal.RanYes, Err: errNoContinuation}
	case !platform.DecodeReply(answer.Status, answer.Header).Signed:
		answer.Drop()
		return invalid(errUnsigned)
	case answer.Status != x.status || mediaType(answer) != x.media:
		answer.Drop()
		return invalid(errNoContinuation)
	}
	return x.relayStream(ctx, t, answer, timer)
}

// mediaType returns the media type of an answer without its parameters.
func mediaType(answer *tarragondeal.Answer) string {
	media, _, _ := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return media
}

// maxLeadingBytes bounds the empty lines that are kept until the first event.
const maxLeadingBytes = 4 << 10

// part is the part of a stream that one attempt supplies.
type part struct {
	rest      bool   // It is the rest of a stream whose header has been sent.
	continues bool   // The caller may have the events of another run.
	placed    bool   // The place of the part's first event is checked, or need not be.
	begun     bool   // A part of it has been sent.
	hasEvent  bool   // One that is no comment has been sent.
	leading   []byte // Empty lines before the first event, which are sent with it.
}

// follows reports whether ev may be sent next.
func (p *part) follows(o *order, ev *tdrelay.Event) bool {
	return o.follows(ev, p.continues) && (p.placed || !isComment(ev) || !ev.Unknown)
}

// keeps keeps ev if it is an empty line before the first event. Until that event
// another attempt can answer.
func (p *part) keeps(ev *tdrelay.Event) bool {
	if p.begun || !ev.IsEmpty() || len(p.leading) >= maxLeadingBytes {
		return false
	}
	p.leading = append(p.leading, ev.Raw...)
	return true
}

// begin adds the empty lines kept to ev, which is sent first.
func (p *part) begin(ev *tdrelay.Event) {
	p.begun = true
	ev.Raw = slices.Concat(p.leading, ev.Raw)
}

// relayStream relays the events of a stream.
func (x *Exchange) relayStream(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer, timer *responseTimer) tdflow.Result {
	events := x.events(answer)
	rc := http.NewResponseController(t.W)
	continues := x.order.sent || x.order.numbered()
	p := part{rest: x.headSent, continues: continues, placed: !continues}
	for {
		ev, err := events.Next()
		if err != nil {
			return x.endPart(ctx, t, answer, timer, &p, err)
		}
		if err := x.checkEvent(answer, &p, &ev); err != nil {
			answer.Drop()
			if x.headSent {
				_ = rc.Flush() // Fails only if the caller is gone.
			}
			return invalid(err)
		}
		if p.keeps(&ev) {
			continue
		}
		if !p.begun {
			if !timer.stop() {
				return timedOut()
			}
			x.beginStream(t, answer)
			p.begin(&ev)
		}
		if !isComment(&ev) {
			x.observeEvent(t, &p)
		}
		if err := x.writeEvent(t.W, rc, &ev, events.More()); err != nil {
			return tdflow.Result{Failure: tdflow.FailCallerGone, Ran: tarragondeal.RanYes, Err: err}
		}
	}
}

// observeEvent records the arrival of an event. The one before the first event of a part came
// from another server, if there was one.
func (x *Exchange) observeEvent(t *tdflow.Attempt, p *part) {
	pause := x.timing.event(x.Clock.Now())
	if p.hasEvent {
		x.Notices.ObserveEvent(t.Server, t.Request.ID, pause)
	}
	p.placed, p.hasEvent = true, true
}

// checkEvent returns an error if ev must not be sent next.
func (x *Exchange) checkEvent(answer *tarragondeal.Answer, p *part, ev *tdrelay.Event) error {
	if answer.Unframed && x.order.isForeign(ev) {
		return errForeign
	}
	if !p.follows(&x.order, ev) {
		return errEventOrder
	}
	return nil
}

// endPart handles the end of an answer, which reading its events reported as err. The rest
// of a broken stream has an event at least: an answer without one says nothing of its end.
func (x *Exchange) endPart(ctx context.Context, t *tdflow.Attempt, answer *tarragondeal.Answer, timer *responseTimer, p *part, err error) tdflow.Result {
	switch {
	case !errors.Is(err, io.EOF) || x.endedBeforeEvents(t, answer, p):
		return broken(ctx, err)
	case p.rest && !p.hasEvent:
		return invalid(errNoContinuation)
	}
	return x.endStream(t, answer, timer, p)
}

// endedBeforeEvents reports whether a stream ended with its connection before its
// first event. A server that crashes there looks like one that has no events.
func (x *Exchange) endedBeforeEvents(t *tdflow.Attempt, answer *tarragondeal.Answer, p *part) bool {
	return answer.Unframed && t.Request.Method != http.MethodHead && !p.begun && !x.headSent && x.caller.Resume == ""
}

// beginStream handles the first event of an attempt. It sends the response header
// to the caller unless an earlier attempt has done so.
func (x *Exchange) beginStream(t *tdflow.Attempt, answer *tarragondeal.Answer) {
	if !x.counted {
		x.counted = true
		x.Starts.Began(t.Request.Workspace.Name)
	}
	t.OnBegin()
	if x.headSent {
		return
	}
	x.headSent, x.begunAt = true, t.Server
	if t.Request.Route.Resumable {
		x.ended = x.Origins.Began(t.Request.Workspace.Name, tarragondeal.RequestID(x.caller.ID), t.Server.Software())
	}
	x.status, x.media, x.length = answer.Status, mediaType(answer), answer.Length
	platform.EncodeAnswer(t.W.Header(), answer.Header)
	if !t.Request.Route.NonIdempotent {
		// With a length, the caller would take the stream for complete at that byte,
		// also if a continuation differs.
		t.W.Header().Del("Content-Length")
	}
	t.OnDelivered()
	t.W.WriteHeader(answer.Status)
}

// endStream ends a stream that the server has ended. A stream without events is
// passed on as a response that holds only its empty lines.
func (x *Exchange) endStream(t *tdflow.Attempt, answer *tarragondeal.Answer, timer *responseTimer, p *part) tdflow.Result {
	if !timer.stop() {
		return timedOut()
	}
	if !x.headSent {
		x.beginStream(t, answer)
	}
	if !p.begun {
		n, err := t.W.Write(p.leading)
		x.sentBytes += int64(n)
		if err != nil {
			return tdflow.Result{Failure: tdflow.FailCallerGone, Ran: tarragondeal.RanYes, Err: err}
		}
	}
	if x.length >= 0 && x.sentBytes != x.length && t.Request.Method != http.MethodHead {
		return tdflow.Result{Failure: tdflow.FailTruncated, Ran: tarragondeal.RanYes, Err: errTruncated, Final: true}
	}
	x.logLate(t)
	return tdflow.Result{Ran: tarragondeal.RanYes}
}

func (x *Exchange) writeEvent(w http.ResponseWriter, rc *http.ResponseController, ev *tdrelay.Event, more bool) error {
	n, err := w.Write(ev.Raw)
	x.sentBytes += int64(n)
	if err != nil {
		return err
	}
	x.order.add(ev)
	if more {
		return nil
	}
	return rc.Flush()
}
