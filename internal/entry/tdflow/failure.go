package tdflow

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"tarragondeal"
	"tarragondeal/internal/entry/tdrelay"
)

// contextFailure returns the failure for the cause of a context that is done.
func contextFailure(ctx context.Context) Failure {
	cause := context.Cause(ctx)
	refused, cut := errors.AsType[*tarragondeal.RefusedError](cause)
	switch {
	case cut && refused.Reason == tarragondeal.ReasonLeaving:
		return FailLeaving
	case cut:
		return FailKeyWithdrawn
	case errors.Is(cause, errDeadline):
		return FailDeadline
	default:
		return FailCallerGone
	}
}

// sendFailure classifies an attempt whose call to the backend failed with err.
func sendFailure(ctx context.Context, err error) attemptResult {
	var b *tarragondeal.BackendError
	out := attemptResult{failure: FailCrashed, ran: tarragondeal.RanUnknown}
	if errors.As(err, &b) {
		out.ran = b.Ran
	}
	switch {
	case ctx.Err() != nil:
		out.failure, out.err = contextFailure(ctx), context.Cause(ctx)
	case b != nil && b.Revoked:
		out.failure = FailRevoked
	case out.ran == tarragondeal.RanNot:
		out.failure = FailUnreachable
	case b != nil && !b.Crashed:
		out.failure = FailTruncated
	}
	return out
}

// checkHead classifies an answer by its status and request ID. The answer to a
// non-idempotent call is passed on whatever its status, except a redirect, since
// only the caller can decide what an error from the service means.
func (a *attempt) checkHead(answer *tarragondeal.Answer) Failure {
	want := fmt.Sprintf("%s.%d", a.r.q.ID, a.r.attempts)
	switch {
	case answer.Request != "" && answer.Request != want:
		return FailInvalid
	case answer.Status >= http.StatusMultipleChoices && answer.Status < http.StatusBadRequest:
		return FailRedirect
	case !a.r.ask.Idempotent:
		return FailNone
	case answer.Status == http.StatusTooManyRequests, answer.Status == http.StatusServiceUnavailable:
		return FailBusy
	case answer.Status >= http.StatusInternalServerError:
		return FailServerError
	}
	return FailNone
}

// endFailure returns the failure for the way in which relaying an answer ended.
func endFailure(ctx context.Context, end tdrelay.End) Failure {
	if end == tdrelay.EndComplete {
		return FailNone
	}
	if ctx.Err() != nil {
		return contextFailure(ctx)
	}
	switch end {
	case tdrelay.EndCallerGone:
		return FailCallerGone
	case tdrelay.EndBroken:
		return FailCrashed
	case tdrelay.EndTruncated:
		return FailTruncated
	case tdrelay.EndDiverged:
		return FailDiverged
	default:
		return FailInvalid
	}
}

func relayFailure(ctx context.Context, err error) Failure {
	var b *tdrelay.BrokenError
	if errors.As(err, &b) {
		return endFailure(ctx, b.End)
	}
	return FailInvalid
}

// contextCause returns the cause of a context that is done, or nil.
func contextCause(ctx context.Context) error {
	if ctx.Err() == nil {
		return nil
	}
	return context.Cause(ctx)
}
