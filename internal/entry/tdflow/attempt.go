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
	// firstPause bounds the pause before the second retry; it doubles.
	firstPause = 25 * time.Millisecond
	// recordBytes bounds the copy of an answer that a claim keeps.
	recordBytes = 256 << 10
)

// attempt is one try at one server.
type attempt struct {
	r       *run
	grant   tarragondeal.Grant
	started tarragondeal.Instant
	told    tarragondeal.Instant // When progress was told last.
	first   time.Duration
	usage   *tdrelay.Usage
	tokens  int // Delivered before this attempt.
	out     failed
}

// failed says how an attempt ended.
type failed struct {
	failure Failure
	ran     tarragondeal.Ran
	err     error
	// answer delivers the server's own answer, when it is one that another
	// attempt might better. It is nil without one.
	answer func(http.ResponseWriter) error
}

// streamState is the caller's stream over all attempts.
type streamState struct {
	s         *tdrelay.Stream
	delivered bool // The caller has got a byte, streamed or not.
	resumed   bool // In this attempt.
}

func (s *streamState) started() bool { return s.s != nil && s.s.Started() }

func (s *streamState) tokens() int {
	if s.s == nil {
		return 0
	}
	return s.s.Tokens()
}

// pause waits a random time before a retry that is not the first.
func pause(ctx context.Context, attempts int) {
	if attempts < 2 {
		return
	}
	bound := firstPause << (attempts - 2)
	tdclock.Sleep(ctx, rand.N(bound))
}

func (r *run) attempt(ctx context.Context) failed {
	r.attempts++
	r.stream.resumed = false
	a := &attempt{r: r, started: r.f.Clock.Now(), tokens: r.stream.tokens()}
	r.current = a
	err := a.reserve(ctx)
	if err != nil {
		if ctx.Err() != nil {
			return failed{failure: ended(ctx), ran: tarragondeal.RanNot, err: context.Cause(ctx)}
		}
		return failed{failure: FailRefused, ran: tarragondeal.RanNot, err: err}
	}
	a.out = failed{failure: FailCrashed, ran: tarragondeal.RanUnknown}
	defer func() { r.f.Dispatch.Done(a.grant, a.outcome(a.out.failure)) }()
	a.out = a.do(ctx)
	return a.out
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
	r.ask.Deadline = r.bounds - spent
	var err error
	a.grant, err = r.f.Dispatch.Reserve(ctx, r.ask)
	return err
}

func (a *attempt) do(ctx context.Context) failed {
	r := a.r
	if !tdplace.Allows(&r.ask, &a.grant.Server) {
		r.f.Metrics.Counter("grantsOutsidePlace").Inc(1)
		r.f.Log.Error().Str("request", string(r.q.ID)).Str("server", string(a.grant.Server.ID)).
			Msg("granted server is outside the permitted places")
		return failed{failure: FailPlace, ran: tarragondeal.RanNot}
	}
	if pool := r.q.View.ServerPools[a.grant.Server.Pool]; pool != nil {
		r.sample.Reclaimable = pool.Reclaimable
	}
	if r.q.Exchange != nil {
		return a.exchange(ctx)
	}
	answer, err := r.f.Backend.Send(ctx, a.grant.Server, a.call())
	if err != nil {
		return unanswered(ctx, err)
	}
	defer func() { _ = answer.Body.Close() }()
	if f := a.judge(answer); f != FailNone {
		return failed{failure: f, ran: tarragondeal.RanUnknown}
	}
	if r.q.Model != nil && r.q.Model.Stream && isStream(answer) {
		return a.feed(ctx, answer)
	}
	return a.plain(ctx, answer)
}

func isStream(a *tarragondeal.Answer) bool {
	media, _, _ := mime.ParseMediaType(a.Header.Get("Content-Type"))
	return a.Status == http.StatusOK && media == "text/event-stream"
}

// call returns the request as this server gets it.
func (a *attempt) call() tarragondeal.Call {
	q := a.r.q
	c := tarragondeal.Call{
		Request: q.ID, Attempt: a.r.attempts, Method: q.Method, Path: q.Path,
		Header: q.Header, Body: q.Body, Tier: q.Class.Tier,
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

// feed passes on a model's stream, and resumes it once if it breaks.
func (a *attempt) feed(ctx context.Context, answer *tarragondeal.Answer) failed {
	r := a.r
	if r.stream.s == nil {
		r.stream.s = tdrelay.NewStream(r.w, r.streamOptions())
	}
	defer r.stream.s.Close()
	if r.stream.delivered {
		s := a.grant.Server
		r.stream.s.Note(fmt.Sprintf("run again by %s in %s", s.ID, s.DataCentre))
	}
	out := a.part(ctx, answer, r.stream.s.Events())
	if Next(r.state(out.failure)) == StepResume {
		out = a.resume(ctx, out)
	}
	a.usage = r.stream.s.Usage()
	if out.failure == FailNone {
		r.finishStream(ctx)
	}
	return out
}

// part passes on one part of a stream.
func (a *attempt) part(ctx context.Context, answer *tarragondeal.Answer, skip int) failed {
	s := a.r.stream.s
	end, err := s.Feed(answer.Body, skip)
	a.r.stream.delivered = s.Started()
	out := failed{failure: failureOf(ctx, end), ran: tarragondeal.RanUnknown, err: nil}
	if out.failure == FailCut {
		out.err = context.Cause(ctx)
	}
	if err != nil && out.failure != FailCaller {
		a.r.f.Log.Debug().Str("request", string(a.r.q.ID)).Str("server", string(a.grant.Server.ID)).
			Err(err).Msg("stream broke")
	}
	return out
}

// resume asks the same server to go on where the stream broke. If it can't,
// the stream stays broken the way it was.
func (a *attempt) resume(ctx context.Context, broken failed) failed {
	r := a.r
	r.stream.resumed = true
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
			return unanswered(ctx, err)
		}
		return broken
	}
	defer func() { _ = answer.Body.Close() }()
	if a.judge(answer) != FailNone || !isStream(answer) {
		return broken
	}
	r.f.Metrics.Counter("resumes").Inc(1)
	return a.part(ctx, answer, 0)
}

// plain passes on an answer that is not a model's stream.
func (a *attempt) plain(ctx context.Context, answer *tarragondeal.Answer) failed {
	r := a.r
	whole, err := tdrelay.Read(answer)
	if err != nil {
		return failed{failure: brokenBy(ctx, err), ran: tarragondeal.RanUnknown, err: cutCause(ctx)}
	}
	if !whole.Omitted {
		r.finish(ctx, whole)
	}
	a.firstToken()
	a.usage = whole.Usage
	a.mark(r.w.Header())
	r.stream.delivered = true
	err = whole.Deliver(r.w, r.f.opt.Write)
	if whole.Omitted && !r.ask.Idempotent && whole.Drain() == nil {
		r.finish(ctx, whole)
	}
	if err != nil {
		return failed{failure: brokenBy(ctx, err), ran: tarragondeal.RanYes}
	}
	r.usage = whole.Usage
	return failed{ran: tarragondeal.RanYes}
}

// mark names where the request ran.
func (a *attempt) mark(h http.Header) {
	h.Set(HeaderDataCentre, a.grant.Server.DataCentre)
	h.Set(HeaderServer, string(a.grant.Server.ID))
}

func (a *attempt) outcome(f Failure) tarragondeal.Outcome {
	o := tarragondeal.Outcome{
		Kind: outcomes[f], Tokens: a.r.stream.tokens() - a.tokens,
		FirstToken: a.first, Total: a.r.f.Clock.Now().Sub(a.started),
	}
	if a.usage != nil {
		o.Input, o.CachedHint = a.usage.Input, a.usage.Detail.Cached
		if a.r.stream.s == nil {
			o.Tokens = a.usage.Output
		}
	}
	return o
}
