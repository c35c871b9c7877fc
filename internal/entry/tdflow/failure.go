package tdflow

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"tarragondeal"
	"tarragondeal/internal/entry/tdrelay"
)

// ended tells why a context that has ended did.
func ended(ctx context.Context) Failure {
	cause := context.Cause(ctx)
	_, cut := errors.AsType[*tarragondeal.RefusedError](cause)
	switch {
	case cut:
		return FailCut
	case errors.Is(cause, errDeadline):
		return FailLate
	default:
		return FailCaller
	}
}

// unanswered classes an attempt that got no answer.
func unanswered(ctx context.Context, err error) failed {
	var b *tarragondeal.BackendError
	out := failed{failure: FailCrashed, ran: tarragondeal.RanUnknown}
	if errors.As(err, &b) {
		out.ran = b.Ran
	}
	switch {
	case ctx.Err() != nil:
		out.failure, out.err = ended(ctx), context.Cause(ctx)
	case out.ran == tarragondeal.RanNot:
		out.failure = FailUnsent
	case b != nil && !b.Crashed:
		out.failure = FailShort
	}
	return out
}

// judge looks at the head of an answer. The answer of a non-idempotent call
// is the caller's, whatever its status: only a caller can decide what a
// service's refusal means.
func (a *attempt) judge(answer *tarragondeal.Answer) Failure {
	want := fmt.Sprintf("%s.%d", a.r.q.ID, a.r.attempts)
	switch {
	case answer.Request != "" && answer.Request != want:
		return FailWrong
	case answer.Status >= http.StatusMultipleChoices && answer.Status < http.StatusBadRequest:
		return FailRedirect
	case !a.r.ask.Idempotent:
		return FailNone
	case answer.Status == http.StatusTooManyRequests, answer.Status == http.StatusServiceUnavailable:
		return FailBusy
	case answer.Status >= http.StatusInternalServerError:
		return FailServer
	}
	return FailNone
}

// failureOf turns the end of a part of an answer into a failure.
func failureOf(ctx context.Context, end tdrelay.End) Failure {
	if end == tdrelay.EndWhole {
		return FailNone
	}
	if ctx.Err() != nil {
		return ended(ctx)
	}
	switch end {
	case tdrelay.EndCaller:
		return FailCaller
	case tdrelay.EndBroken:
		return FailCrashed
	case tdrelay.EndShort:
		return FailShort
	case tdrelay.EndDiffers:
		return FailDiffers
	default:
		return FailWrong
	}
}

func brokenBy(ctx context.Context, err error) Failure {
	var b *tdrelay.BrokenError
	if errors.As(err, &b) {
		return failureOf(ctx, b.End)
	}
	return FailWrong
}

// cutCause returns the cause for which a context has ended, if any.
func cutCause(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return context.Cause(ctx)
}
