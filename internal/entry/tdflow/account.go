package tdflow

import (
	"context"
	"net/http"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdrelay"
)

const (
	// meterEvery is how many tokens of a running stream are metered at once.
	meterEvery = 512
	// meterWait bounds one call of the meter.
	meterWait = 2 * time.Second
	// tellEvery is how often the owner of a server is told of progress.
	tellEvery = 100 * time.Millisecond
)

// bill is what has been metered of a request.
type bill struct {
	input, output int
}

// streamOptions say how the caller's stream is passed on.
func (r *run) streamOptions() tdrelay.Options {
	o := tdrelay.Options{
		Header:    func(h http.Header) { r.current.mark(h) },
		Progress:  func(tokens int) { r.current.progress(tokens) },
		End:       r.billWhole,
		Write:     r.f.opt.Write,
		HideUsage: !r.q.Model.WantUsage,
	}
	if r.claim != nil {
		o.Record = recordBytes
	}
	return o
}

// progress follows a stream: the sample's gaps, the grant, the meter.
func (a *attempt) progress(tokens int) {
	r, now := a.r, a.r.f.Clock.Now()
	if tokens > r.tokens {
		r.tokens = tokens
		if r.last != 0 {
			r.sample.BetweenTokens = max(r.sample.BetweenTokens, now.Sub(r.last))
		}
		r.last = now
	}
	a.firstToken()
	if a.told == 0 || now.Sub(a.told) >= tellEvery {
		a.told = now
		r.f.Dispatch.Progress(a.grant, tokens-a.tokens)
	}
	if tokens-r.bill.output >= meterEvery {
		r.meter(0, tokens, false)
	}
}

// firstToken notes when the first part of an answer came.
func (a *attempt) firstToken() {
	if a.first == 0 {
		a.first = a.r.f.Clock.Now().Sub(a.started)
	}
	if a.r.sample.FirstToken == 0 {
		a.r.sample.FirstToken = a.r.elapsed()
	}
}

// meter brings what has been metered up to the figures given. The meter counts
// them at once and then makes a second copy of them; the channel is closed when
// it has one or has given up.
func (r *run) meter(input, output int, last bool) <-chan struct{} {
	before := r.bill
	r.bill = bill{input: max(input, before.input), output: max(output, before.output)}
	u := tarragondeal.Usage{
		Request: r.q.ID, Workspace: r.q.Workspace.Name, Route: r.q.Route.Name, Class: r.q.Class.Name,
		At: r.f.Clock.Wall(), InputTokens: r.bill.input - before.input, OutputTokens: r.bill.output - before.output, Last: last,
	}
	copied := make(chan struct{})
	r.f.metering.Go(func() {
		defer close(copied)
		r.f.add(u)
	})
	return copied
}

// add hands figures to the meter. The meter counts them even if it fails, and
// then only the node's death may lose them.
func (f *Flow) add(u tarragondeal.Usage) {
	ctx, cancel := context.WithTimeout(context.Background(), meterWait)
	defer cancel()
	if err := f.Meter.Add(ctx, u); err != nil {
		f.Metrics.Counter("usageAtRisk").Inc(1)
		f.Log.Warn().Err(err).Str("request", string(u.Request)).Msg("usage has no second copy")
	}
}

// Wait returns when the meter has got the figures of all requests that have
// ended. No request may start meanwhile.
func (f *Flow) Wait() { f.metering.Wait() }

// billWhole meters a stream of which only the end marker is left, and waits for
// the second copy: what a caller takes for whole is billed though this node dies.
func (r *run) billWhole() { <-r.billStream() }

// billStream meters what a stream has delivered so far, as the last of it.
func (r *run) billStream() <-chan struct{} {
	r.billed = true
	u := tdrelay.Usage{Input: r.q.inputEstimate(), Output: r.stream.tokens()}
	if told := r.stream.s.Usage(); told != nil {
		u.Input = told.Input
		u.Output = max(u.Output, told.Output)
	}
	r.q.Tokens = u.Input + u.Output
	return r.meter(u.Input, u.Output, true)
}

// billEnd meters what was delivered when a request has ended. A stream that
// broke is metered as far as the caller got it; a plain answer that broke is
// of no use and costs nothing.
func (r *run) billEnd(step Step) {
	var u tdrelay.Usage
	switch {
	case r.billed:
		return
	case r.stream.started():
		r.billStream()
		return
	case step != StepDone:
		return
	case r.q.Exchange != nil:
		return // Such requests are counted when they begin.
	case r.usage != nil:
		u = *r.usage
	}
	r.q.Tokens = u.Input + u.Output
	r.meter(u.Input, u.Output, true)
}

// waste counts the work of an attempt that failed and that nobody is billed
// for. An attempt that runs a stream again repeats what was delivered.
func (r *run) waste(f failed, step Step) {
	cause, ok := causes[f.failure]
	if !ok || f.ran == tarragondeal.RanNot {
		return
	}
	tokens := 0
	if step == StepRetry || !r.stream.delivered {
		tokens = r.q.inputEstimate()
	}
	if step == StepRetry {
		tokens += r.stream.tokens()
	}
	r.f.Meter.Waste(tarragondeal.Waste{Cause: cause, Class: r.q.Class.Name, Tokens: tokens})
}

// observe hands in the request's sample.
func (r *run) observe() {
	r.sample.Total = r.elapsed()
	scope := r.f.Metrics.Tagged(map[string]string{"class": r.q.Class.Name})
	scope.Counter("requests").Inc(1)
	if r.sample.Refused || r.sample.Failed {
		scope.Counter("notServed").Inc(1)
	}
	r.f.Burn.Observe(r.sample)
}
