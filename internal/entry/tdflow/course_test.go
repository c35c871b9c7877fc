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

// world stands in for everything that a flow works with, and records it.
type world struct {
	mu       sync.Mutex
	backend  []step // What happens to each call, in turn.
	calls    []tarragondeal.Call
	asks     []tarragondeal.Ask
	outcomes []tarragondeal.OutcomeKind
	usage    []tarragondeal.Usage
	waste    []string
	samples  []tarragondeal.Sample
	outside  bool // Grants are outside the permitted places.
	noRetry  bool
	noMeter  bool
	added    func() // Runs when the meter has a second copy.
	claimErr error
	finished []tarragondeal.Recorded
	returned int

	view    *tarragondeal.View
	changed chan struct{}
}

// step is what a backend server does with a call.
type step struct {
	err    error
	status int
	id     string // Echoed; empty for the right one.
	media  string
	text   string
	ends   error     // After the text; a clean end if nil.
	body   io.Reader // In place of the text.
	then   func()    // Runs before the answer's head comes.
}

func (o *world) Reserve(_ context.Context, a tarragondeal.Ask) (tarragondeal.Grant, error) {
	o.asks = append(o.asks, a)
	s := tarragondeal.Server{ID: tarragondeal.ServerID(fmt.Sprint("s", len(o.asks))), Pool: "p", DataCentre: "duluth"}
	if o.outside {
		s.DataCentre = "erie"
	}
	return tarragondeal.Grant{Request: a.Request, Attempt: a.Attempt, Server: s}, nil
}
func (o *world) Progress(tarragondeal.Grant, int) {}
func (o *world) Done(_ tarragondeal.Grant, out tarragondeal.Outcome) {
	o.outcomes = append(o.outcomes, out.Kind)
}
func (o *world) MayRetry(tarragondeal.Ask) bool { return !o.noRetry }

func (o *world) Send(ctx context.Context, s tarragondeal.Server, c tarragondeal.Call) (*tarragondeal.Answer, error) {
	o.calls = append(o.calls, c)
	if len(o.backend) == 0 {
		<-ctx.Done()
		return nil, &tarragondeal.BackendError{Server: s.ID, Ran: tarragondeal.RanUnknown, Err: ctx.Err()}
	}
	st := o.backend[0]
	o.backend = o.backend[1:]
	if st.then != nil {
		st.then()
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
	if st.ends != nil {
		st.body = io.MultiReader(st.body, iotest.ErrReader(st.ends))
	}
	return &tarragondeal.Answer{
		Status: st.status, Header: http.Header{"Content-Type": {st.media}},
		Body: io.NopCloser(&bound{ctx, st.body}), Length: -1, Request: st.id,
	}, nil
}

// bound is a body that ends with its context, as one from a connection does.
type bound struct {
	ctx context.Context
	r   io.Reader
}

func (b *bound) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	if errors.Is(err, errHang) {
		<-b.ctx.Done()
		return n, b.ctx.Err()
	}
	return n, err
}

var errHang = errors.New("nothing more comes")

func (o *world) Take(context.Context, tarragondeal.ClaimKey, string) (tarragondeal.Claim, error) {
	return tarragondeal.Claim{}, o.claimErr
}
func (o *world) Finish(_ context.Context, _ tarragondeal.Claim, r tarragondeal.Recorded) error {
	o.finished = append(o.finished, r)
	return nil
}
func (o *world) Abandon(context.Context, tarragondeal.Claim) error { o.returned++; return nil }

func (o *world) Add(_ context.Context, u tarragondeal.Usage) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.usage = append(o.usage, u)
	if o.added != nil {
		o.added()
	}
	if o.noMeter {
		return errors.New("no peer")
	}
	return nil
}
func (o *world) Waste(w tarragondeal.Waste)    { o.waste = append(o.waste, w.Cause) }
func (o *world) Observe(s tarragondeal.Sample) { o.samples = append(o.samples, s) }

func (o *world) View() *tarragondeal.View {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.view
}
func (o *world) Changed() <-chan struct{} { return o.changed }

func (o *world) withdraw() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.view = tarragondeal.NewView(2, &tarragondeal.Set{})
	close(o.changed)
}

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

func part(err error, words ...string) step {
	return step{media: eventStream, text: sse(words...), ends: err}
}

func whole(words ...string) step { return part(io.EOF, append(words, ".", "[DONE]")...) }

func plain(status int, text string) step {
	return step{status: status, media: "application/json", text: text}
}

var (
	again   = ": run again by s2 in duluth\n\n"
	crashed = step{err: &tarragondeal.BackendError{Ran: tarragondeal.RanUnknown, Crashed: true, Err: io.EOF}}
	unsent  = step{err: &tarragondeal.BackendError{Ran: tarragondeal.RanNot, Err: io.EOF}}
	gone    = plain(http.StatusNotFound, "{}")
)

var _ = Describe("the course of a request", func() {
	type expect struct {
		body     string // Of the answer, whole.
		code     tarragondeal.Reason
		ran      tarragondeal.Ran
		event    bool // The code and ran stand in an error event.
		calls    int
		outcomes []tarragondeal.OutcomeKind
		waste    []string
		claim    string // kept, returned, or the recorded body.
	}
	served, wrong, crash := tarragondeal.OutcomeServed, tarragondeal.OutcomeWrong, tarragondeal.OutcomeCrashed
	refused, cancelled, unreachable := tarragondeal.OutcomeRefused, tarragondeal.OutcomeCancelled, tarragondeal.OutcomeUnreachable
	type kinds = []tarragondeal.OutcomeKind
	broken := part(io.ErrUnexpectedEOF, "a", "b")
	for _, c := range []struct {
		name   string
		once   bool // Non-idempotent.
		stream bool
		setup  func(*world, context.CancelFunc)
		steps  []step
		want   expect
	}{
		{name: "streams", stream: true, steps: []step{whole("a", "b")}, want: expect{body: sse("a", "b", ".", "[DONE]"), calls: 1, outcomes: kinds{served}}},
		{name: "retries after a crash before the first byte", stream: true, steps: []step{crashed, whole("a")}, want: expect{body: sse("a", ".", "[DONE]"), calls: 2, outcomes: kinds{crash, served}, waste: []string{"crashed"}}},
		{name: "retries without a budget what was not sent", setup: func(o *world, _ context.CancelFunc) { o.noRetry = true }, steps: []step{unsent, plain(200, `{}`)}, want: expect{body: `{}`, calls: 2, outcomes: kinds{unreachable, served}}},
		{name: "says unknown when the budget is empty", setup: func(o *world, _ context.CancelFunc) { o.noRetry = true }, steps: []step{crashed}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 1, outcomes: kinds{crash}, waste: []string{"crashed"}}},
		{name: "never goes back to notRun", steps: []step{crashed, unsent, unsent}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 3, outcomes: kinds{crash, unreachable, unreachable}, waste: []string{"crashed"}}},
		{name: "says notRun when nothing was sent", steps: []step{unsent, unsent, unsent}, want: expect{code: "backendFailed", ran: tarragondeal.RanNot, calls: 3, outcomes: kinds{unreachable, unreachable, unreachable}}},
		{name: "delivers nothing of another's answer", steps: []step{{id: "q.9", media: "application/json", text: `{"not":"mine"}`}, plain(200, `{}`)}, want: expect{body: `{}`, calls: 2, outcomes: kinds{wrong, served}, waste: []string{"wrong"}}},
		{name: "tries elsewhere when a server is busy or faulty", steps: []step{plain(503, `{}`), plain(500, `{}`), plain(200, `{"a":1}`)}, want: expect{body: `{"a":1}`, calls: 3, outcomes: kinds{refused, refused, served}, waste: []string{"refused", "serverFault"}}},
		{name: "tries elsewhere when a plain answer is short", steps: []step{plain(200, `{"a":`), plain(200, `{}`)}, want: expect{body: `{}`, calls: 2, outcomes: kinds{wrong, served}, waste: []string{"short"}}},
		{name: "passes on a server's refusal of what was asked", steps: []step{plain(400, `{"bad":1}`)}, want: expect{body: `{"bad":1}`, calls: 1, outcomes: kinds{served}}},
		{name: "follows no redirect", steps: []step{plain(307, `{}`)}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 1, outcomes: kinds{refused}, waste: []string{"redirect"}}},
		{name: "resumes at the same server", stream: true, steps: []step{broken, part(io.EOF, "c", ".", "[DONE]")}, want: expect{body: sse("a", "b", "c", ".", "[DONE]"), calls: 2, outcomes: kinds{served}}},
		{name: "runs again elsewhere and goes on", stream: true, steps: []step{broken, gone, whole("a", "b", "c")}, want: expect{body: sse("a", "b") + again + sse("c", ".", "[DONE]"), calls: 3, outcomes: kinds{crash, served}, waste: []string{"crashed"}}},
		{name: "tells of a break that can't be mended", stream: true, steps: []step{broken, gone, whole("a", "x", "c")}, want: expect{body: sse("a", "b") + again, code: "backendFailed", ran: tarragondeal.RanYes, event: true, calls: 3, outcomes: kinds{crash, cancelled}, waste: []string{"crashed", "differs"}}},
		{name: "stops when its caller goes away", stream: true, setup: func(o *world, cancel context.CancelFunc) {
			o.backend = append(o.backend, step{media: eventStream, body: io.MultiReader(strings.NewReader(sse("a")), &after{cancel}, iotest.ErrReader(errHang))})
		}, want: expect{body: sse("a"), calls: 1, outcomes: kinds{cancelled}, waste: []string{"cancelled"}}},
		{name: "is cut when its key is withdrawn", stream: true, setup: func(o *world, _ context.CancelFunc) {
			o.backend = append(o.backend, step{media: eventStream, body: io.MultiReader(strings.NewReader(sse("a")), &after{o.withdraw}, iotest.ErrReader(errHang))})
		}, want: expect{body: sse("a"), code: "keyWithdrawn", ran: tarragondeal.RanYes, event: true, calls: 1, outcomes: kinds{cancelled}, waste: []string{"keyWithdrawn"}}},
		{name: "never uses a grant outside its place", setup: func(o *world, _ context.CancelFunc) { o.outside = true }, want: expect{code: "noServer", ran: tarragondeal.RanNot, outcomes: kinds{tarragondeal.OutcomeUnused, tarragondeal.OutcomeUnused, tarragondeal.OutcomeUnused}}},
		{name: "keeps its answer when the meter fails", setup: func(o *world, _ context.CancelFunc) { o.noMeter = true }, steps: []step{plain(200, `{}`)}, want: expect{body: `{}`, calls: 1, outcomes: kinds{served}}},

		{name: "records a non-idempotent answer", once: true, steps: []step{unsent, plain(201, `{"id":7}`)}, want: expect{body: `{"id":7}`, calls: 2, outcomes: kinds{unreachable, served}, claim: `{"id":7}`}},
		{name: "records whatever a service answered", once: true, steps: []step{plain(503, `{"busy":1}`)}, want: expect{body: `{"busy":1}`, calls: 1, outcomes: kinds{served}, claim: `{"busy":1}`}},
		{name: "never sends a non-idempotent request twice", once: true, steps: []step{crashed}, want: expect{code: "backendFailed", ran: tarragondeal.RanUnknown, calls: 1, outcomes: kinds{crash}, waste: []string{"crashed"}, claim: "kept"}},
		{name: "gives back the claim of what was not sent", once: true, steps: []step{unsent, unsent, unsent}, want: expect{code: "backendFailed", ran: tarragondeal.RanNot, calls: 3, outcomes: kinds{unreachable, unreachable, unreachable}, claim: "returned"}},
		{name: "ends in peace when its key is withdrawn", once: true, steps: []step{plain(200, `{}`)}, setup: func(o *world, _ context.CancelFunc) { o.backend[0].then = o.withdraw }, want: expect{body: `{}`, calls: 1, outcomes: kinds{served}, claim: `{}`}},
		{name: "is recorded though its caller went away", once: true, steps: []step{plain(200, `{}`)}, setup: func(o *world, cancel context.CancelFunc) { o.backend[0].then = cancel }, want: expect{body: `{}`, calls: 1, outcomes: kinds{served}, claim: `{}`}},
		{name: "says unknown when no claim can be agreed", once: true, setup: func(o *world, _ context.CancelFunc) { o.claimErr = &tarragondeal.StoreError{Op: "swap"} }, want: expect{code: "storeAway", ran: tarragondeal.RanUnknown}},
		{name: "replays a recorded answer", once: true, setup: func(o *world, _ context.CancelFunc) {
			o.claimErr = &tarragondeal.ClaimError{Reason: tarragondeal.ReasonAlreadyRan, Ran: tarragondeal.RanYes, Answer: &tarragondeal.Recorded{Status: 201, Body: []byte(`{"id":7}`)}}
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
			o := &world{view: tarragondeal.NewView(1, set), changed: make(chan struct{}), backend: slices.Clone(c.steps)}
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
			}, Options{Attempts: 3, Write: time.Minute})
			q := &Request{
				ID: "q", View: o.view, Workspace: &tarragondeal.Workspace{Name: "w"}, Key: &key, Method: http.MethodPost,
				Path: "/v1/chat/completions", IdemKey: "i", Arrived: clock.Now(), Body: []byte(`{"model":"r","stream":true}`),
				Route: &tarragondeal.Route{Name: "r", Pools: []string{"p"}, NonIdempotent: c.once},
				Class: &tarragondeal.RequestClass{Name: "c", Deadline: tarragondeal.Duration(time.Minute)},
			}
			if c.stream {
				body, err := ParseBody(q.Body)
				Expect(err).NotTo(HaveOccurred())
				q.Model = body
			}
			w := httptest.NewRecorder()
			err := flow.Run(ctx, w, q)
			flow.Wait()
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
				Expect(o.returned).To(BeZero())
			case "returned":
				Expect(o.returned).To(Equal(1))
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

	It("meters a long stream while it runs, and each token once", func() {
		for _, fails := range []bool{false, true} {
			words := slices.Repeat([]string{"a"}, 3*meterEvery)
			o := &world{view: tarragondeal.NewView(1, &tarragondeal.Set{DataCentres: []tarragondeal.DataCentre{{Name: "duluth"}}}), backend: []step{part(io.ErrUnexpectedEOF, words...), gone}, noRetry: true, noMeter: fails}
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
			Expect(total).To(Equal(3 * meterEvery))
			Expect(last).To(Equal(1))
		}
	})

	It("ends a stream only when its usage has a second copy", func() {
		w := httptest.NewRecorder()
		var atCopy string
		o := &world{
			view:    tarragondeal.NewView(1, &tarragondeal.Set{DataCentres: []tarragondeal.DataCentre{{Name: "duluth"}}}),
			backend: []step{whole("a", "b")},
		}
		o.added = func() { atCopy = w.Body.String() }
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
		Expect(atCopy).To(ContainSubstring(`"content":"b"`))
		Expect(atCopy).NotTo(ContainSubstring("[DONE]"))
		Expect(w.Body.String()).To(HaveSuffix("data: [DONE]\n\n"))
	})
})

// after calls a function once what stands before it was read.
type after struct{ then func() }

func (a *after) Read([]byte) (int, error) {
	a.then()
	return 0, io.EOF
}
