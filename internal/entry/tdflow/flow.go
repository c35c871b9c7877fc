package tdflow

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/dispatch/tdplace"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/entry/tdrelay"
)

// Response headers set by the router.
const (
	HeaderDataCentre = "X-Served-Data-Centre"
	HeaderServer     = "X-Served-By"
	HeaderReplayed   = "Idempotent-Replayed"
)

// Deps holds the dependencies of a Flow.
type Deps struct {
	Dispatch tarragondeal.Dispatcher
	Backend  tarragondeal.Backend
	Claims   tarragondeal.Claims
	Meter    tarragondeal.Meter
	Burn     tarragondeal.Burn
	Guard    *tdkey.Guard
	Clock    tarragondeal.Clock
	Metrics  tally.Scope
	Log      zerolog.Logger
}

// Options holds the limits of a Flow.
type Options struct {
	Attempts     int           // Maximum attempts per request, including the first.
	WriteTimeout time.Duration // Timeout for one write to the caller.
}

// Flow serves admitted requests.
type Flow struct {
	Deps
	opt      Options
	metering conc.WaitGroup
}

// New returns a flow.
func New(d Deps, o Options) *Flow { return &Flow{Deps: d, opt: o} }

// Request is an admitted request.
type Request struct {
	ID        tarragondeal.RequestID // Set by the router and unique in the fleet.
	View      *tarragondeal.View
	Route     *tarragondeal.Route
	Class     *tarragondeal.RequestClass
	Workspace *tarragondeal.Workspace
	Key       *tarragondeal.Key // Nil for open routes.
	Method    string
	Path      string      // Including the query, if any.
	Header    http.Header // As sent to the backend server.
	Body      []byte      // As the caller sent it.
	Model     *Body       // Nil for plain services.
	IdemKey   string
	Arrived   tarragondeal.Instant

	// Exchange relays the request in the format of the interface on which it
	// was received. If nil, the router's own format is used.
	Exchange Exchange
	// Deadline is set by the caller, zero if unset. The earlier of it and the
	// deadline of the class applies.
	Deadline time.Duration
	// Attempts bounds the attempts of this request. If zero, the limit in
	// Options applies. With an Exchange, up to maxUnsentAttempts attempts that
	// reached no server are not counted.
	Attempts int
	// Parts, Input and Output are the caller's description of its prompt.
	Parts  []tarragondeal.PromptPart
	Input  int
	Output int
	// OutputHint is the caller's estimate of the output tokens, or zero.
	OutputHint int
	// Software, if set, is the only software that may answer.
	Software *tarragondeal.Software

	// Tokens is the number of input and output tokens, set when the request
	// has ended.
	Tokens int
	// Settled is set when it is known that no earlier request with the same
	// idempotency key has run.
	Settled bool
}

// run is the state of one request.
type run struct {
	f   *Flow
	q   *Request
	w   http.ResponseWriter
	ask tarragondeal.Ask

	deadline    time.Duration // Counted from arrival.
	ran         tarragondeal.Ran
	attempts    int
	unsent      int     // Attempts that reached no server.
	prevFailure Failure // Of the previous attempt.
	current     *attempt
	stream      streamState
	usage       *tdrelay.Usage // Of a plain answer.
	claim       *tarragondeal.Claim
	recorded    bool // The claim's answer has been recorded.

	bill        bill
	billed      bool // The last usage of the request has been metered.
	sample      tarragondeal.Sample
	tokens      int                  // Delivered up to lastTokenAt.
	lastTokenAt tarragondeal.Instant // When the latest token was relayed.
}

// defaultDeadline applies to requests whose class has no deadline.
const defaultDeadline = 10 * time.Minute

// errDeadline is the cause of a request's context that ends at the deadline.
var errDeadline = errors.New("the deadline of the request's class passed")

// Run serves q and writes the answer to w. It returns an error only if nothing has
// been written. Later failures are reported in the stream, or by breaking the
// connection with http.ErrAbortHandler.
func (f *Flow) Run(ctx context.Context, w http.ResponseWriter, q *Request) error {
	r := &run{f: f, q: q, w: w, ran: tarragondeal.RanNot, deadline: time.Duration(q.Class.Deadline)}
	if r.deadline <= 0 {
		r.deadline = defaultDeadline
	}
	if q.Deadline > 0 {
		r.deadline = min(r.deadline, q.Deadline)
	}
	r.sample = tarragondeal.Sample{Workspace: q.Workspace.Name, Class: q.Class.Name}
	defer r.recordSample()
	dataCentres := tdplace.Permitted(q.View, q.Workspace, q.Route)
	if len(dataCentres) == 0 {
		return r.refuse(tarragondeal.ReasonNoPlace, "workspace and route permit no common data centre")
	}
	r.ask = q.Ask(dataCentres)
	if q.Route.NonIdempotent && q.Exchange == nil {
		return r.runOnce(ctx)
	}
	ctx, cancel := r.withDeadline(ctx)
	defer cancel()
	if q.Key == nil {
		return r.serve(ctx)
	}
	ctx, cut := context.WithCancelCause(ctx)
	defer cut(nil)
	defer f.Guard.Watch(q.Key, cut)()
	return r.serve(ctx)
}

func (r *run) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, r.remaining(), errDeadline)
}

// remaining returns the time left until the deadline.
func (r *run) remaining() time.Duration {
	return r.deadline - r.elapsed()
}

func (r *run) elapsed() time.Duration { return r.f.Clock.Now().Sub(r.q.Arrived) }

// refuse records a refusal and returns it as an error that states whether the
// request ran.
func (r *run) refuse(reason tarragondeal.Reason, detail string) error {
	r.recordRefusal(reason)
	return &tarragondeal.RefusedError{Reason: reason, Ran: r.ran, Detail: detail}
}

// expectedRefusals are caused by the caller's request or key. They don't count
// against the objectives of the class.
var expectedRefusals = []tarragondeal.Reason{
	tarragondeal.ReasonNeedsIdemKey, tarragondeal.ReasonBodyDiffers, tarragondeal.ReasonBadRequest,
	tarragondeal.ReasonAlreadyRunning, tarragondeal.ReasonAlreadyRan, tarragondeal.ReasonKeyWithdrawn,
}

// recordRefusal records a refusal in the sample and the metrics.
func (r *run) recordRefusal(reason tarragondeal.Reason) {
	if !slices.Contains(expectedRefusals, reason) {
		r.sample.Refused = r.ran == tarragondeal.RanNot
		r.sample.Failed = !r.sample.Refused
	}
	r.f.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}

// serve makes attempts until one succeeds or no retry is permitted.
func (r *run) serve(ctx context.Context) error {
	for {
		res := r.attempt(ctx)
		if r.stream.started() {
			r.ran = tarragondeal.RanYes
		}
		r.ran = CombineRan(r.ran, res.ran)
		if res.failure.unsent() {
			r.unsent++
		}
		s := r.state(res.failure)
		s.Final = res.final
		step := Next(s)
		if step == StepRetry && res.failure.NeedsBudget() && !res.retryTaken && !r.f.Dispatch.MayRetry(r.ask) {
			step = s.finalStep()
		}
		r.recordWaste(res, step)
		if step != StepRetry {
			return r.conclude(step, res)
		}
		r.prevFailure = res.failure
		r.f.Metrics.Counter("retries").Inc(1)
		r.f.Log.Info().Str("request", string(r.q.ID)).Str("server", string(r.current.grant.Server.ID)).
			Stringer("failure", res.failure).Str("ran", string(res.ran)).AnErr("error", res.err).
			Int("attempt", r.attempts).Msg("attempt failed, will be retried")
		r.ask.Avoid = append(r.ask.Avoid, r.current.grant.Server.ID)
		backoff(ctx, r.attempts)
	}
}

func (r *run) state(f Failure) State {
	s := State{
		Failure: f, Idempotent: r.ask.Idempotent, Stream: r.stream.started(), Delivered: r.stream.delivered,
		Resumed: !r.stream.resumable, Attempts: r.attempts, MaxAttempts: r.f.opt.Attempts, Remaining: r.remaining(),
	}
	if r.q.Exchange != nil {
		// A broken stream is continued at another server, never at the same one.
		s.Stream, s.Unsent = r.q.Class.Events, r.unsent
	}
	if r.q.Attempts > 0 {
		s.MaxAttempts = r.q.Attempts
	}
	return s
}

// conclude bills a request after its last attempt and reports its failure, if any.
func (r *run) conclude(step Step, res attemptResult) error {
	r.billRequest(step)
	switch step {
	case StepDone:
		return nil
	case StepCallerGone:
		// The caller waited at least this long.
		r.sample.FirstToken = cmp.Or(r.sample.FirstToken, r.elapsed())
		// A caller that has closed only its half of the connection still reads.
		panic(http.ErrAbortHandler)
	}
	r.f.Log.Info().Str("request", string(r.q.ID)).Str("route", r.q.Route.Name).Str("workspace", r.q.Workspace.Name).
		Stringer("failure", res.failure).Str("ran", string(r.ran)).AnErr("error", res.err).
		Str("server", string(r.current.grant.Server.ID)).Int("attempts", r.attempts).Dur("after", r.elapsed()).
		Msg("request ended without a complete answer")
	if step == StepRefuse && res.answer != nil {
		r.recordRefusal(callerReasons[res.failure].reason)
		return res.answer(r.w)
	}
	err := r.callerError(res)
	switch step {
	case StepRefuse:
		return err
	case StepFail:
		if r.stream.started() {
			r.stream.s.Fail(err)
			return nil
		}
	}
	panic(http.ErrAbortHandler) // The caller must see that the answer is incomplete.
}

// callerError returns the error reported to the caller for a failed attempt.
func (r *run) callerError(res attemptResult) error {
	refused, ok := errors.AsType[*tarragondeal.RefusedError](res.err)
	if ok && refused.Reason == tarragondeal.ReasonNoServer && r.prevFailure != FailNone {
		// The previous failure is more informative than the lack of another server.
		res.failure, ok = r.prevFailure, false
	}
	if ok {
		r.recordRefusal(refused.Reason)
		out := *refused
		out.Ran = r.ran
		return &out
	}
	text := callerReasons[res.failure]
	if text.reason == "" {
		text.reason, text.text = tarragondeal.ReasonBackend, "the request got no answer"
	}
	return r.refuse(text.reason, text.text)
}
