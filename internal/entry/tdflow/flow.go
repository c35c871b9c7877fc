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

// Headers of answers.
const (
	HeaderDataCentre = "X-Served-Data-Centre"
	HeaderServer     = "X-Served-By"
	HeaderReplayed   = "Idempotent-Replayed"
)

// Deps are what a flow works with.
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

// Options bound a flow.
type Options struct {
	Attempts int           // Of one request, the first included.
	Write    time.Duration // How long a caller may take to accept more.
}

// Flow leads requests to their answers.
type Flow struct {
	Deps
	opt      Options
	metering conc.WaitGroup
}

// New returns a flow.
func New(d Deps, o Options) *Flow { return &Flow{Deps: d, opt: o} }

// Request is one admitted request.
type Request struct {
	ID        tarragondeal.RequestID // The router's own, unique in the fleet.
	View      *tarragondeal.View
	Route     *tarragondeal.Route
	Class     *tarragondeal.RequestClass
	Workspace *tarragondeal.Workspace
	Key       *tarragondeal.Key // Nil on open routes.
	Method    string
	Path      string      // With the query, if any.
	Header    http.Header // What the backend server gets.
	Body      []byte      // As the caller sent it.
	Model     *Body       // Nil for plain services.
	IdemKey   string
	Arrived   tarragondeal.Instant

	// Exchange passes the request on in the form of the interface through
	// which it came. Nil stands for the router's own.
	Exchange Exchange
	// Deadline is the caller's own; zero leaves the class's.
	Deadline time.Duration
	// Attempts bounds the servers that the request is sent to; zero leaves
	// the flow's.
	Attempts int
	// Parts, Input and Output are what the caller says of its prompt.
	Parts  []tarragondeal.PromptPart
	Input  int
	Output int

	// Tokens is what the request took, once it has ended.
	Tokens int
	// Settled is set once it is known that no earlier request with the same
	// idempotency key ran.
	Settled bool
}

// run is the course of one request.
type run struct {
	f   *Flow
	q   *Request
	w   http.ResponseWriter
	ask tarragondeal.Ask

	bounds   time.Duration // The class's deadline.
	ran      tarragondeal.Ran
	attempts int
	unsent   int     // Attempts that reached no server.
	before   Failure // Of the attempt before this one.
	current  *attempt
	stream   streamState
	usage    *tdrelay.Usage // What a plain answer took.
	claim    *tarragondeal.Claim
	recorded bool // The claim's answer has been recorded.

	bill   bill
	billed bool // The last of the request has been metered.
	sample tarragondeal.Sample
	tokens int                  // Delivered when the last token came.
	last   tarragondeal.Instant // When the last token came.
}

// defaultDeadline bounds requests of a class that states no deadline.
const defaultDeadline = 10 * time.Minute

// The causes for which a request's context ends, beside a withdrawn key.
var errDeadline = errors.New("the deadline of the request's class passed")

// Run leads a request to its answer. It returns an error while the caller
// has got nothing; what fails later is told in the answer itself, or by
// breaking the connection with http.ErrAbortHandler.
func (f *Flow) Run(ctx context.Context, w http.ResponseWriter, q *Request) error {
	r := &run{f: f, q: q, w: w, ran: tarragondeal.RanNot, bounds: time.Duration(q.Class.Deadline)}
	if r.bounds <= 0 {
		r.bounds = defaultDeadline
	}
	if q.Deadline > 0 {
		r.bounds = min(r.bounds, q.Deadline)
	}
	r.sample = tarragondeal.Sample{Workspace: q.Workspace.Name, Class: q.Class.Name}
	defer r.observe()
	places := tdplace.Permitted(q.View, q.Workspace, q.Route)
	if len(places) == 0 {
		return r.refuse(tarragondeal.ReasonNoPlace, "workspace and route permit no common data centre")
	}
	r.ask = q.ask(places)
	if q.Route.NonIdempotent && q.Exchange == nil {
		return r.once(ctx)
	}
	ctx, cancel := r.bounded(ctx)
	defer cancel()
	if q.Key == nil {
		return r.serve(ctx)
	}
	ctx, cut := context.WithCancelCause(ctx)
	defer cut(nil)
	defer f.Guard.Hold(q.Key, cut)()
	return r.serve(ctx)
}

func (r *run) bounded(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeoutCause(ctx, r.left(), errDeadline)
}

// left returns the time until the deadline, counted from arrival.
func (r *run) left() time.Duration {
	return r.bounds - r.elapsed()
}

func (r *run) elapsed() time.Duration { return r.f.Clock.Now().Sub(r.q.Arrived) }

// refuse returns an error that tells what is known of the run.
func (r *run) refuse(reason tarragondeal.Reason, detail string) error {
	r.note(reason)
	return &tarragondeal.RefusedError{Reason: reason, Ran: r.ran, Detail: detail}
}

// owed are refusals that are the answer a caller is owed: they do not count
// against the class.
var owed = []tarragondeal.Reason{
	tarragondeal.ReasonNeedsIdemKey, tarragondeal.ReasonBodyDiffers, tarragondeal.ReasonBadRequest,
	tarragondeal.ReasonAlreadyRunning, tarragondeal.ReasonAlreadyRan, tarragondeal.ReasonKeyWithdrawn,
}

// note keeps for the sample how the request ended.
func (r *run) note(reason tarragondeal.Reason) {
	if !slices.Contains(owed, reason) {
		r.sample.Refused = r.ran == tarragondeal.RanNot
		r.sample.Failed = !r.sample.Refused
	}
	r.f.Metrics.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}

// serve makes attempts until one gives the answer or none may follow.
func (r *run) serve(ctx context.Context) error {
	for {
		failed := r.attempt(ctx)
		if r.stream.started() {
			r.ran = tarragondeal.RanYes
		}
		r.ran = CombineRan(r.ran, failed.ran)
		s := r.state(failed.failure)
		step := Next(s)
		if failed.failure == FailUnsent || failed.failure == FailPlace {
			r.unsent++
		}
		if step == StepRetry && failed.failure.NeedsBudget() && !r.f.Dispatch.MayRetry(r.ask) {
			step = s.end()
		}
		r.waste(failed, step)
		if step != StepRetry {
			return r.conclude(step, failed)
		}
		r.before = failed.failure
		r.f.Metrics.Counter("retries").Inc(1)
		r.f.Log.Info().Str("request", string(r.q.ID)).Str("server", string(r.current.grant.Server.ID)).
			Str("failure", causeOf(failed.failure)).Str("ran", string(failed.ran)).AnErr("error", failed.err).
			Int("attempt", r.attempts).Msg("attempt failed, another follows")
		r.ask.Avoid = append(r.ask.Avoid, r.current.grant.Server.ID)
		pause(ctx, r.attempts)
	}
}

func (r *run) state(f Failure) State {
	s := State{
		Failure: f, Idempotent: r.ask.Idempotent, Stream: r.stream.s != nil, Delivered: r.stream.delivered,
		Resumed: r.stream.resumed, Attempts: r.attempts, Bound: r.f.opt.Attempts, Left: r.left(),
	}
	if r.q.Exchange != nil {
		// A stream goes on at another server, never at the one where it broke.
		s.Stream, s.Resumed, s.Unsent = r.q.Class.Events, true, r.unsent
	}
	if r.q.Attempts > 0 {
		s.Bound = r.q.Attempts
	}
	return s
}

// conclude ends a request after its last attempt.
func (r *run) conclude(step Step, failed failed) error {
	r.billEnd(step)
	switch step {
	case StepDone:
		return nil
	case StepGone:
		// The caller waited so long at least.
		r.sample.FirstToken = cmp.Or(r.sample.FirstToken, r.elapsed())
		return nil
	}
	r.f.Log.Info().Str("request", string(r.q.ID)).Str("route", r.q.Route.Name).Str("workspace", r.q.Workspace.Name).
		Str("failure", causeOf(failed.failure)).Str("ran", string(r.ran)).AnErr("error", failed.err).
		Str("server", string(r.current.grant.Server.ID)).Int("attempts", r.attempts).Dur("after", r.elapsed()).
		Msg("request ended without a whole answer")
	if step == StepRefuse && failed.answer != nil {
		r.note(reasons[failed.failure].reason)
		return failed.answer(r.w)
	}
	err := r.explain(failed)
	switch step {
	case StepRefuse:
		return err
	case StepFail:
		if r.stream.s == nil {
			panic(http.ErrAbortHandler) // The caller must see that it is short.
		}
		r.stream.s.Fail(err)
	case StepCut:
		panic(http.ErrAbortHandler) // The caller must see that it is short.
	}
	return nil
}

// explain returns what the caller is told of a failure.
func (r *run) explain(failed failed) error {
	refused, ok := errors.AsType[*tarragondeal.RefusedError](failed.err)
	if ok && refused.Reason == tarragondeal.ReasonNoServer && r.before != FailNone {
		// Why the first server failed says more than that there is no other.
		failed.failure, ok = r.before, false
	}
	if ok {
		r.note(refused.Reason)
		out := *refused
		out.Ran = r.ran
		return &out
	}
	text := reasons[failed.failure]
	if text.reason == "" {
		text.reason, text.text = tarragondeal.ReasonBackend, "the request got no answer"
	}
	return r.refuse(text.reason, text.text)
}
