package tdflow

import (
	"context"
	"net/http"
	"time"

	"tarragondeal"
	"tarragondeal/internal/entry/tdrelay"
)

const (
	// meterBatchTokens is the number of output tokens after which a running
	// stream is metered.
	meterBatchTokens = 512
	// meterTimeout bounds one call to the meter.
	meterTimeout = 2 * time.Second
	// progressInterval is the interval of progress reports to the node that
	// owns the server.
	progressInterval = 100 * time.Millisecond
)

// bill holds the tokens of a request that have been metered.
type bill struct {
	input, output int
}

// streamOptions returns the options for relaying the caller's stream.
func (r *run) streamOptions() tdrelay.Options {
	o := tdrelay.Options{
		Header:       func(h http.Header) { r.current.setServerHeaders(h) },
		Progress:     func(tokens int) { r.current.progress(tokens) },
		OnEnd:        r.billStreamAndWait,
		WriteTimeout: r.f.opt.WriteTimeout,
		HideUsage:    !r.q.Model.WantUsage,
	}
	if r.claim != nil {
		o.MaxRecordBytes = maxRecordBytes
	}
	return o
}

// progress updates the sample, the grant and the meter after tokens were relayed.
func (a *attempt) progress(tokens int) {
	r, now := a.r, a.r.f.Clock.Now()
	if tokens > r.tokens {
		r.tokens = tokens
		if r.lastTokenAt != 0 {
			r.sample.BetweenTokens = max(r.sample.BetweenTokens, now.Sub(r.lastTokenAt))
		}
		r.lastTokenAt = now
	}
	a.firstToken()
	if a.lastProgress == 0 || now.Sub(a.lastProgress) >= progressInterval {
		a.lastProgress = now
		r.f.Dispatch.Progress(a.grant, tokens-a.tokensBefore)
	}
	if tokens-r.bill.output >= meterBatchTokens {
		r.meter(0, tokens, false)
	}
}

// firstToken records when the first part of an answer arrived: since the start of
// the attempt for the outcome reported to the dispatcher, and since the arrival of
// the request for the sample.
func (a *attempt) firstToken() {
	if a.firstTokenAfter == 0 {
		a.firstTokenAfter = a.r.f.Clock.Now().Sub(a.started)
	}
	if a.r.sample.FirstToken == 0 {
		a.r.sample.FirstToken = a.r.elapsed()
	}
}

// meter meters the difference between the given totals and what has been
// metered so far. The meter counts usage at once and then replicates it; the
// channel is closed when a second copy exists or replication has failed.
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
		r.f.addUsage(u)
	})
	return copied
}

// addUsage passes usage to the meter. Usage is counted even if Add fails, but it
// may then be lost if this node crashes.
func (f *Flow) addUsage(u tarragondeal.Usage) {
	ctx, cancel := context.WithTimeout(context.Background(), meterTimeout)
	defer cancel()
	if err := f.Meter.Add(ctx, u); err != nil {
		f.Metrics.Counter("usageAtRisk").Inc(1)
		f.Log.Warn().Err(err).Str("request", string(u.Request)).Msg("usage not copied to another node")
	}
}

// Wait blocks until the usage of all ended requests has been passed to the meter.
// No request may start in the meantime.
func (f *Flow) Wait() { f.metering.Wait() }

// billStreamAndWait meters a stream before its end marker is sent to the caller and
// waits until the meter has replicated the usage or has failed to. Once replicated,
// the usage of a stream that the caller sees as complete survives a crash of this
// node; after a failure the stream still ends normally.
func (r *run) billStreamAndWait() { <-r.billStream() }

// billStream meters the delivered tokens of a stream that haven't been metered yet,
// as the last usage of the request. It doesn't wait for the meter.
func (r *run) billStream() <-chan struct{} {
	r.billed = true
	u := tdrelay.Usage{Input: r.q.inputEstimate(), Output: r.stream.tokens()}
	if reported := r.stream.s.Usage(); reported != nil {
		u.Input = reported.Input
		u.Output = max(u.Output, reported.Output)
	}
	r.q.Tokens = u.Input + u.Output
	return r.meter(u.Input, u.Output, true)
}

// billRequest meters a request after its last attempt, unless billStreamAndWait has
// done so. A broken stream is billed up to the last token delivered. A broken plain
// answer is unusable and isn't billed.
func (r *run) billRequest(step Step) {
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
		return // The Exchange counts its requests itself.
	case r.usage != nil:
		u = *r.usage
	}
	r.q.Tokens = u.Input + u.Output
	r.meter(u.Input, u.Output, true)
}

// recordWaste counts the work of a failed attempt that isn't billed. It counts the
// estimated input, unless part of the answer was delivered and no retry follows.
// Before a retry it also counts the output tokens already delivered, since the retry
// generates them again.
func (r *run) recordWaste(res attemptResult, step Step) {
	cause, ok := wasteCauses[res.failure]
	if !ok || res.ran == tarragondeal.RanNot {
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

// recordSample reports the request's sample to the burn rate.
func (r *run) recordSample() {
	r.sample.Total = r.elapsed()
	scope := r.f.Metrics.Tagged(map[string]string{"class": r.q.Class.Name})
	scope.Counter("requests").Inc(1)
	if r.sample.Refused || r.sample.Failed {
		scope.Counter("notServed").Inc(1)
	}
	r.f.Burn.Observe(r.sample)
}
