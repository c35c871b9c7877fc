package tdflow

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"tarragondeal"
	"tarragondeal/internal/base/tdclock"
	"tarragondeal/internal/entry/tdkey"
	"tarragondeal/internal/platform/tdwire"
)

// fakeDeps implements the dependencies of a Flow and records the calls.
type fakeDeps struct {
	mu       sync.Mutex
	backend  []response // Responses to successive calls.
	calls    []tarragondeal.Call
	asks     []tarragondeal.Ask
	outcomes []tarragondeal.OutcomeKind
	usage    []tarragondeal.Usage
	waste    []string
	samples  []tarragondeal.Sample
	finished []tarragondeal.RecordedAnswer

	grantOutside bool   // Grants are outside the permitted data centres.
	noRetry      bool   // The retry budget is empty.
	meterFails   bool   // Add returns an error.
	onAdd        func() // Called by Add if set.
	claimErr     error  // Returned by Take.
	abandoned    int    // Number of calls of Abandon.

	view    *tarragondeal.View
	changed chan struct{}
}

// response is the response of a backend server to one call.
type response struct {
	err     error
	status  int
	id      string // Request ID in the answer; empty for the correct one.
	media   string
	text    string
	readErr error     // Error after the text; io.EOF if nil.
	body    io.Reader // Replaces text if set.
	before  func()    // Called before the answer is returned.
}

func (o *fakeDeps) Reserve(_ context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	o.asks = append(o.asks, a)
	s := tarragondeal.Server{ID: tarragondeal.ServerID(fmt.Sprint("s", len(o.asks))), Pool: "p", DataCentre: "duluth"}
	if o.grantOutside {
		s.DataCentre = "erie"
	}
	return tarragondeal.Grant{Request: a.Request, Attempt: a.Attempt, Server: s}, nil
}
func (o *fakeDeps) Progress(tarragondeal.Grant, int) {}
func (o *fakeDeps) Done(_ tarragondeal.Grant, out tarragondeal.Outcome) {
	o.outcomes = append(o.outcomes, out.Kind)
}
func (o *fakeDeps) Valid(tarragondeal.Grant) bool  { return true }
func (o *fakeDeps) MayRetry(tarragondeal.Ask) bool { return !o.noRetry }

func (o *fakeDeps) Send(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*tarragondeal.Answer, error) {
	o.calls = append(o.calls, c)
	if len(o.backend) == 0 {
		<-ctx.Done()
		return nil, &tarragondeal.BackendError{Server: s.ID, Ran: tarragondeal.RanUnknown, Err: ctx.Err()}
	}
	st := o.backend[0]
	o.backend = o.backend[1:]
	if st.before != nil {
		st.before()
	}
	if st.err != nil {
		return nil, st.err
	}
	if st.id == "" {
		st.id = fmt.Sprintf("%s.%d", c.Request, c.Attempt)
	}
	if st.status == 0 {
		st.status = http.StatusOK
	}
	if st.body == nil {
		st.body = strings.NewReader(st.text)
	}
	if st.readErr != nil {
		st.body = io.MultiReader(st.body, iotest.ErrReader(st.readErr))
	}
	return &tarragondeal.Answer{
		Status: st.status, Header: http.Header{"Content-Type": {st.media}},
		Body: io.NopCloser(&ctxBody{ctx, st.body}), Length: -1, Request: st.id,
	}, nil
}

// ctxBody is a response body whose reads fail when the context is done.
type ctxBody struct {
	ctx context.Context
	r   io.Reader
}

func (b *ctxBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, errBlock) {
		<-b.ctx.Done()
		return n, b.ctx.Err()
	}
	return n, err
}

var errBlock = errors.New("block until the context is done")

func (o *fakeDeps) Take(context.Context, tarragondeal.ClaimKey, string) (tarragondeal.Claim, error) {
	return tarragondeal.Claim{}, o.claimErr
}
func (o *fakeDeps) Finish(_ context.Context, _ tarragondeal.Claim, r tarragondeal.RecordedAnswer) error {
	o.finished = append(o.finished, r)
	return nil
}
func (o *fakeDeps) Abandon(context.Context, tarragondeal.Claim) error { o.abandoned++; return nil }

func (o *fakeDeps) Add(_ context.Context, u tarragondeal.Usage) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usage = append(o.usage, u)
	if o.onAdd != nil {
		o.onAdd()
	}
	if o.meterFails {
		return errors.New("no peer")
	}
	return nil
}
func (o *fakeDeps) Waste(w tarragondeal.Waste)    { o.waste = append(o.waste, w.Cause) }
func (o *fakeDeps) Observe(s tarragondeal.Sample) { o.samples = append(o.samples, s) }

func (o *fakeDeps) View() *tarragondeal.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}
func (o *fakeDeps) Changed() <-chan struct{} { return o.changed }

func (o *fakeDeps) withdraw() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view = tarragondeal.NewView(2, &tarragondeal.Set{})
	close(o.changed)
}

// sse returns a stream with one event for each word. "." stands for the event with
// the finish reason and the usage, and "[DONE]" for the end marker.
func sse(words ...string) string {
	var b strings.Builder
	for _, w := range words {
		switch w {
		case "[DONE]":
			b.WriteString("data: [DONE]\n\n")
		case ".":
			b.WriteString(`data: {"choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":{"prompt_tokens":7,"completion_tokens":2}}` + "\n\n")
		default:
			b.WriteString(`data: {"choices":[{"index":0,"delta":{"content":"` + w + `"},"finish_reason":null}]}` + "\n\n")
		}
	}
	return b.String()
}

const eventStream = "text/event-stream"

// streamResponse returns a streamed response whose body ends with err after the
// events of words.
func streamResponse(err error, words ...string) response {
	return response{media: eventStream, text: sse(words...), readErr: err}
}

// completeStream returns a streamed response of words with usage and end marker.
func completeStream(words ...string) response {
	return streamResponse(io.EOF, append(words, ".", "[DONE]")...)
}

// plainResponse returns a JSON response that isn't streamed.
func plainResponse(status int, text string) response {
	return response{status: status, media: "application/json", text: text}
}

var (
	rerunNote = rerunNoteOf("s2")
	crashed   = response{err: &tarragondeal.BackendError{Ran: tarragondeal.RanUnknown, Crashed: true, Err: io.EOF}}
	unsent    = response{err: &tarragondeal.BackendError{Ran: tarragondeal.RanNot, Err: io.EOF}}
	revoked   = response{err: &tarragondeal.BackendError{Ran: tarragondeal.RanNot, Revoked: true, Err: io.EOF}}
	notFound  = plainResponse(http.StatusNotFound, "{}")
)

// longJSON is the part of a JSON answer that is too long to be buffered.
var longJSON = "[" + strings.Repeat("1,", 512<<10)

// rerunNoteOf returns the comment before the part of a stream that server sent.
func rerunNoteOf(server string) string { return ": run again by " + server + " in duluth\n\n" }

var _ = Describe("Run", func() {
	type expect struct {
		body     string // Complete body of the answer.
		code     tarragondeal.Reason
		ran      tarragondeal.Ran
		event    bool // code and ran are in an error event.
		aborted  bool // The connection is broken, so that the answer doesn't look complete.
		calls    int
		outcomes []tarragondeal.OutcomeKind
		waste    []string
		claim    string // The recorded body, "abandoned", or else "kept" or "" for neither.
	}
	served, wrong, crash := tarragondeal.OutcomeServed, tarragondeal.OutcomeWrong, tarragondeal.OutcomeCrashed
	refused, cancelled, unreachable := tarragondeal.OutcomeRefused, tarragondeal.OutcomeCancelled, tarragondeal.OutcomeUnreachable
	type kinds = []tarragondeal.OutcomeKind
	broken := streamResponse(io.ErrUnexpectedEOF, "a", "b")
	for _, c := range []struct {
		name          string
		nonIdempotent bool
		stream        bool
		setup         func(*fakeDeps, context.CancelFunc)
		steps         []response
		want          expect
	}{
		{name: "streams", stream: true, steps: []response{completeStream("a", "b")}, want: expect{body: sse("a", "b", ".", "[DONE]"), calls: 1, outcomes: kinds{served}}},
		{name: "retries after a crash before the first byte", stream: true, steps: []response{crashed, completeStream("a")}, want: expect{body: sse("a", ".", "[DONE]"), calls: 2, outcomes: kinds{crash, served}, waste: []string{"crashed"}}},
		{name: "retries without a budget if nothing was sent", setup: func(o *fakeDeps, _ context.CancelFunc) { o.noRetry = true }, steps: []response{unsent, plainResponse(200, `{}`)}, want: expect{body: `{}`, calls: 2, outcomes: kinds{unreachable, served}}},
		{name: "retries without a budget if the server left before it was sent", setup: func(o *fakeDeps, _ context.CancelFunc) { o.noRetry = true }, steps: []response{revoked, plainResponse(200, `{}`)}, want: expect{body: `{}`, calls: 2, outcomes: kinds{tarragondeal.OutcomeUnused, served}}},
		{name: "reports that the request may have run when the retry budget is empty", setup: func(o *fakeDeps, _ context.CancelFunc) { o.noRetry = true }, steps: []response{crashed}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 1, outcomes: kinds{crash}, waste: []string{"crashed"}}},
		{name: "reports that the request may have run when unsent attempts follow a crash", steps: []response{crashed, unsent, unsent}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 3, outcomes: kinds{crash, unreachable, unreachable}, waste: []string{"crashed"}}},
		{name: "reports notRun when nothing was sent", steps: []response{unsent, unsent, unsent}, want: expect{code: "backendFailed", ran: tarragondeal.RanNot, calls: 3, outcomes: kinds{unreachable, unreachable, unreachable}}},
		{name: "delivers nothing of an answer to another request", steps: []response{{id: "q.9", media: "application/json", text: `{"not":"mine"}`}, plainResponse(200, `{}`)}, want: expect{body: `{}`, calls: 2, outcomes: kinds{wrong, served}, waste: []string{"wrong"}}},
		{name: "retries at another server when a server is busy or fails", steps: []response{plainResponse(503, `{}`), plainResponse(500, `{}`), plainResponse(200, `{"a":1}`)}, want: expect{body: `{"a":1}`, calls: 3, outcomes: kinds{refused, refused, served}, waste: []string{"refused", "serverFault"}}},
		{name: "retries at another server when a plain answer is truncated", steps: []response{plainResponse(200, `{"a":`), plainResponse(200, `{}`)}, want: expect{body: `{}`, calls: 2, outcomes: kinds{wrong, served}, waste: []string{"short"}}},
		{name: "passes on a 4xx answer", steps: []response{plainResponse(400, `{"bad":1}`)}, want: expect{body: `{"bad":1}`, calls: 1, outcomes: kinds{served}}},
		{name: "follows no redirect", steps: []response{plainResponse(307, `{}`)}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 1, outcomes: kinds{refused}, waste: []string{"redirect"}}},
		{name: "resumes at the same server", stream: true, steps: []response{broken, streamResponse(io.EOF, "c", ".", "[DONE]")}, want: expect{body: sse("a", "b", "c", ".", "[DONE]"), calls: 2, outcomes: kinds{served}}},
		{name: "continues with a retry at another server", stream: true, steps: []response{broken, notFound, completeStream("a", "b", "c")}, want: expect{body: sse("a", "b") + rerunNote + sse("c", ".", "[DONE]"), calls: 3, outcomes: kinds{crash, served}, waste: []string{"crashed"}}},
		{name: "reports an error when a retry differs", stream: true, steps: []response{broken, notFound, completeStream("a", "x", "c")}, want: expect{body: sse("a", "b") + rerunNote, code: "backendFailed", ran: tarragondeal.RanYes, event: true, calls: 3, outcomes: kinds{crash, cancelled}, waste: []string{"crashed", "differs"}}},
		{name: "never takes an error response for the rest of a stream", stream: true, steps: []response{broken, notFound, notFound, completeStream("a", "b", "c")}, want: expect{body: sse("a", "b") + rerunNoteOf("s3") + sse("c", ".", "[DONE]"), calls: 4, outcomes: kinds{crash, refused, served}, waste: []string{"crashed", "serverFault"}}},
		{name: "never takes a plain answer for the rest of a stream", stream: true, steps: []response{broken, notFound, plainResponse(200, "{}"), plainResponse(200, "{}")}, want: expect{body: sse("a", "b"), code: "backendFailed", ran: tarragondeal.RanYes, event: true, calls: 4, outcomes: kinds{crash, wrong, wrong}, waste: []string{"crashed", "wrong", "wrong"}}},
		{name: "never ends as complete a stream whose next server breaks the connection without an answer", stream: true, steps: []response{broken, notFound, crashed, crashed}, want: expect{body: sse("a", "b"), code: "backendFailed", ran: tarragondeal.RanYes, event: true, calls: 4, outcomes: kinds{crash, crash, crash}, waste: []string{"crashed", "crashed", "crashed"}}},
		{name: "continues at a third server when the next one breaks the connection without an answer", stream: true, steps: []response{broken, notFound, crashed, completeStream("a", "b", "c")}, want: expect{body: sse("a", "b") + rerunNoteOf("s3") + sse("c", ".", "[DONE]"), calls: 4, outcomes: kinds{crash, crash, served}, waste: []string{"crashed", "crashed"}}},
		{name: "passes on a plain answer after a stream that broke after empty lines", stream: true, steps: []response{{media: eventStream, text: "\n\r\n", readErr: io.ErrUnexpectedEOF}, plainResponse(400, `{"bad":1}`)}, want: expect{body: `{"bad":1}`, calls: 2, outcomes: kinds{crash, served}, waste: []string{"crashed"}}},
		{name: "never ends as complete a long plain answer that breaks after an attempt to stream", stream: true, steps: []response{streamResponse(io.ErrUnexpectedEOF), {media: "application/json", text: longJSON, readErr: io.ErrUnexpectedEOF}}, want: expect{body: longJSON, aborted: true, calls: 2, outcomes: kinds{crash, crash}, waste: []string{"crashed", "crashed"}}},
		{name: "never joins an error event to a plain answer", stream: true, steps: []response{streamResponse(io.ErrUnexpectedEOF), {status: http.StatusBadRequest, media: eventStream, text: "data: a\n\n", readErr: errBlock}}, setup: func(o *fakeDeps, _ context.CancelFunc) {
			o.backend[1].before = func() { time.AfterFunc(20*time.Millisecond, o.withdraw) }
		}, want: expect{body: "data: a\n\n", aborted: true, calls: 2, outcomes: kinds{crash, cancelled}, waste: []string{"crashed", "keyWithdrawn"}}},
		{name: "stops when its caller disconnects", stream: true, setup: func(o *fakeDeps, cancel context.CancelFunc) {
			o.backend = append(o.backend, response{media: eventStream, body: io.MultiReader(strings.NewReader(sse("a")), &callReader{cancel}, iotest.ErrReader(errBlock))})
		}, want: expect{body: sse("a"), aborted: true, calls: 1, outcomes: kinds{cancelled}, waste: []string{"cancelled"}}},
		{name: "stops when its key is withdrawn", stream: true, setup: func(o *fakeDeps, _ context.CancelFunc) {
			o.backend = append(o.backend, response{media: eventStream, body: io.MultiReader(strings.NewReader(sse("a")), &callReader{o.withdraw}, iotest.ErrReader(errBlock))})
		}, want: expect{body: sse("a"), code: "keyWithdrawn", ran: tarragondeal.RanYes, event: true, calls: 1, outcomes: kinds{cancelled}, waste: []string{"keyWithdrawn"}}},
		{name: "never uses a grant outside the permitted data centres", setup: func(o *fakeDeps, _ context.CancelFunc) { o.grantOutside = true }, want: expect{code: "noServer", ran: tarragondeal.RanNot, outcomes: kinds{tarragondeal.OutcomeUnused, tarragondeal.OutcomeUnused, tarragondeal.OutcomeUnused}}},
		{name: "keeps its answer when the meter fails", setup: func(o *fakeDeps, _ context.CancelFunc) { o.meterFails = true }, steps: []response{plainResponse(200, `{}`)}, want: expect{body: `{}`, calls: 1, outcomes: kinds{served}}},

		{name: "records a non-idempotent answer", nonIdempotent: true, steps: []response{unsent, plainResponse(201, `{"id":7}`)}, want: expect{body: `{"id":7}`, calls: 2, outcomes: kinds{unreachable, served}, claim: `{"id":7}`}},
		{name: "does not say after refusals that the request has not run, since one may have been written twice", steps: []response{plainResponse(503, `{}`), plainResponse(429, `{}`), plainResponse(503, `{}`)}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 3, outcomes: kinds{refused, refused, refused}, waste: []string{"refused", "refused", "refused"}}},
		{name: "records whatever a service answered", nonIdempotent: true, steps: []response{plainResponse(503, `{"busy":1}`)}, want: expect{body: `{"busy":1}`, calls: 1, outcomes: kinds{served}, claim: `{"busy":1}`}},
		{name: "never sends a non-idempotent request twice", nonIdempotent: true, steps: []response{crashed}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 1, outcomes: kinds{crash}, waste: []string{"crashed"}, claim: "kept"}},
		{name: "abandons the claim if nothing was sent", nonIdempotent: true, steps: []response{unsent, unsent, unsent}, want: expect{code: "backendFailed", ran: tarragondeal.RanNot, calls: 3, outcomes: kinds{unreachable, unreachable, unreachable}, claim: "abandoned"}},
		{name: "completes a non-idempotent request when its key is withdrawn", nonIdempotent: true, steps: []response{plainResponse(200, `{}`)}, setup: func(o *fakeDeps, _ context.CancelFunc) { o.backend[0].before = o.withdraw }, want: expect{body: `{}`, calls: 1, outcomes: kinds{served}, claim: `{}`}},
		{name: "answers nothing when its caller disconnected before the claim", nonIdempotent: true, setup: func(_ *fakeDeps, cancel context.CancelFunc) { cancel() }, want: expect{aborted: true, claim: "abandoned"}},
		{name: "records the answer after its caller disconnected", nonIdempotent: true, steps: []response{plainResponse(200, `{}`)}, setup: func(o *fakeDeps, cancel context.CancelFunc) { o.backend[0].before = cancel }, want: expect{body: `{}`, calls: 1, outcomes: kinds{served}, claim: `{}`}},
		{name: "reports that the request may have run when the store is unavailable", nonIdempotent: true, setup: func(o *fakeDeps, _ context.CancelFunc) { o.claimErr = &tarragondeal.StoreError{Op: "swap"} }, want: expect{code: "storeAway", ran: tarragondeal.RanUnknown}},
		{name: "replays a recorded answer", nonIdempotent: true, setup: func(o *fakeDeps, _ context.CancelFunc) {
			o.claimErr = &tarragondeal.ClaimError{Reason: tarragondeal.ReasonAlreadyRan, Ran: tarragondeal.RanYes, Answer: &tarragondeal.RecordedAnswer{Status: 201, Body: []byte(`{"id":7}`)}}
		}, want: expect{body: `{"id":7}`}},
	} {
		It(c.name, func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			key := tarragondeal.Key{Name: "k", Workspace: "w"}
			set := &tarragondeal.Set{
				DataCentres: []tarragondeal.DataCentre{{Name: "duluth"}}, Keys: []tarragondeal.Key{key},
				ServerPools: []tarragondeal.ServerPool{{Name: "p", Model: "m-7b"}},
			}
			o := &fakeDeps{view: tarragondeal.NewView(1, set), changed: make(chan struct{}), backend: slices.Clone(c.steps)}
			if c.setup != nil {
				c.setup(o, cancel)
			}
			guard := tdkey.NewGuard(o)
			guardEnds := make(chan error, 1)
			guardCtx, stop := context.WithCancel(context.Background())
			go func() { guardEnds <- guard.Run(guardCtx) }()
			defer func() {
				stop()
				Expect(<-guardEnds).To(Succeed())
			}()
			clock := tdclock.New()
			flow := New(Deps{
				Dispatch: o, Backend: o, Claims: o, Meter: o, Burn: o, Guard: guard, Clock: clock,
				Metrics: tally.NoopScope, Log: zerolog.Nop(),
			}, Options{Attempts: 3, WriteTimeout: time.Minute})
			q := &Request{
				ID: "q", View: o.view, Workspace: &tarragondeal.Workspace{Name: "w"}, Key: &key, Method: http.MethodPost,
				Path: "/v1/chat/completions", IdemKey: "i", Arrived: clock.Now(), Body: []byte(`{"model":"r","stream":true}`),
				Route: &tarragondeal.Route{Name: "r", Pools: []string{"p"}, NonIdempotent: c.nonIdempotent},
				Class: &tarragondeal.RequestClass{Name: "c", Deadline: tarragondeal.Duration(time.Minute)},
			}
			if c.stream {
				body, err := ParseBody(q.Body)
				Expect(err).NotTo(HaveOccurred())
				q.Model = body
			}
			w := httptest.NewRecorder()
			aborted, err := runOrAbort(func() error { return flow.Run(ctx, w, q) })
			flow.Wait()
			Expect(aborted).To(Equal(c.want.aborted))
			got := w.Body.String()
			if c.want.event {
				answer, event, found := strings.Cut(got, "event: error\ndata: ")
				Expect(found).To(BeTrue(), got)
				Expect(event).To(ContainSubstring(`"code":"%s"`, c.want.code))
				Expect(event).To(ContainSubstring(`"ran":"%s"`, c.want.ran))
				got = answer
			} else if c.want.code != "" {
				var e *tarragondeal.RefusedError
				Expect(errors.As(err, &e)).To(BeTrue())
				Expect(e.Reason).To(Equal(c.want.code))
				Expect(e.Ran).To(Equal(c.want.ran))
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(got).To(Equal(c.want.body))
			Expect(o.calls).To(HaveLen(c.want.calls))
			Expect(o.outcomes).To(Equal(c.want.outcomes))
			Expect(o.waste).To(Equal(c.want.waste))
			Expect(o.samples).To(HaveLen(1))
			switch c.want.claim {
			case "", "kept":
				Expect(o.finished).To(BeEmpty())
				Expect(o.abandoned).To(BeZero())
			case "abandoned":
				Expect(o.abandoned).To(Equal(1))
			default:
				Expect(o.finished).To(HaveLen(1))
				Expect(string(o.finished[0].Body)).To(Equal(c.want.claim))
			}
			if c.name == "resumes at the same server" {
				Expect(o.calls[1].Path).To(Equal(tdwire.PathResume))
				Expect(string(o.calls[1].Body)).To(Equal(`{"requestId":"q.1","from":2}`))
			}
			if c.name == "streams" {
				Expect(o.usage).To(HaveLen(1))
				Expect(o.usage[0].InputTokens).To(Equal(7))
				Expect(o.usage[0].OutputTokens).To(Equal(2))
				Expect(string(o.calls[0].Body)).To(HavePrefix(`{"model":"m-7b"`))
			}
		})
	}

	It("meters a long stream incrementally and each token once", func() {
		for _, meterFails := range []bool{false, true} {
			words := slices.Repeat([]string{"a"}, 3*meterBatchTokens)
			o := &fakeDeps{view: tarragondeal.NewView(1, &tarragondeal.Set{DataCentres: []tarragondeal.DataCentre{{Name: "duluth"}}}), backend: []response{streamResponse(io.ErrUnexpectedEOF, words...), notFound}, noRetry: true, meterFails: meterFails}
			body, _ := ParseBody([]byte(`{"stream":true}`))
			clock := tdclock.New()
			flow := New(Deps{Dispatch: o, Backend: o, Claims: o, Meter: o, Burn: o, Clock: clock, Metrics: tally.NoopScope, Log: zerolog.Nop()}, Options{Attempts: 3})
			Expect(flow.Run(context.Background(), httptest.NewRecorder(), &Request{
				ID: "q", View: o.view, Workspace: &tarragondeal.Workspace{}, Model: body, Arrived: clock.Now(),
				Route: &tarragondeal.Route{Pools: []string{"p"}}, Class: &tarragondeal.RequestClass{},
			})).To(Succeed())
			flow.Wait()
			Expect(o.usage).To(HaveLen(4))
			total, last := 0, 0
			for _, u := range o.usage {
				total += u.OutputTokens
				if u.Last {
					last++
				}
			}
			Expect(total).To(Equal(3 * meterBatchTokens))
			Expect(last).To(Equal(1))
		}
	})

	It("ends a stream only when its usage has a second copy", func() {
		w := httptest.NewRecorder()
		var bodyAtAdd string // Body written to the caller by the time of Add.
		o := &fakeDeps{
			view:    tarragondeal.NewView(1, &tarragondeal.Set{DataCentres: []tarragondeal.DataCentre{{Name: "duluth"}}}),
			backend: []response{completeStream("a", "b")},
		}
		o.onAdd = func() { bodyAtAdd = w.Body.String() }
		body, err := ParseBody([]byte(`{"stream":true}`))
		Expect(err).NotTo(HaveOccurred())
		clock := tdclock.New()
		flow := New(Deps{Dispatch: o, Backend: o, Claims: o, Meter: o, Burn: o, Clock: clock, Metrics: tally.NoopScope, Log: zerolog.Nop()}, Options{Attempts: 3})
		Expect(flow.Run(context.Background(), w, &Request{
			ID: "q", View: o.view, Workspace: &tarragondeal.Workspace{}, Model: body, Arrived: clock.Now(),
			Route: &tarragondeal.Route{Pools: []string{"p"}}, Class: &tarragondeal.RequestClass{},
		})).To(Succeed())
		flow.Wait()
		Expect(o.usage).To(HaveLen(1))
		Expect(o.usage[0].Last).To(BeTrue())
		Expect(bodyAtAdd).To(ContainSubstring(`"content":"b"`))
		Expect(bodyAtAdd).NotTo(ContainSubstring("[DONE]"))
		Expect(w.Body.String()).To(HaveSuffix("data: [DONE]\n\n"))
	})
})

// runOrAbort returns the error of run, or that run broke the connection.
func runOrAbort(run func() error) (aborted bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			Expect(p).To(BeIdenticalTo(http.ErrAbortHandler))
			aborted = true
		}
	}()
	return false, run()
}

// callReader is an empty reader that calls a function when it is read.
type callReader struct{ then func() }

func (a *callReader) Read([]byte) (int, error) {
	a.then()
	return 0, io.EOF
}
