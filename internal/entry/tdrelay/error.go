package tdrelay

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"tarragondeal"
)

// errorBody is the JSON body of an error answer, in the format common to model
// APIs, with a field that says whether the request has run.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Ran     string `json:"ran"`
	Digest  string `json:"digest,omitempty"` // SHA-256 of a recorded answer whose body was too large to keep.
}

// statuses maps reasons to HTTP status codes. Reasons without an entry are
// answered with 503, reasonInternal with 500.
var statuses = map[tarragondeal.Reason]int{
	tarragondeal.ReasonBadRequest:     http.StatusBadRequest,
	tarragondeal.ReasonNoKey:          http.StatusUnauthorized,
	tarragondeal.ReasonBadKey:         http.StatusUnauthorized,
	tarragondeal.ReasonKeyWithdrawn:   http.StatusUnauthorized,
	tarragondeal.ReasonKeyMisplaced:   http.StatusBadRequest,
	tarragondeal.ReasonTooLarge:       http.StatusRequestEntityTooLarge,
	tarragondeal.ReasonSlow:           http.StatusRequestTimeout,
	tarragondeal.ReasonConnections:    http.StatusTooManyRequests,
	tarragondeal.ReasonNoRoute:        http.StatusNotFound,
	tarragondeal.ReasonNotPermitted:   http.StatusForbidden,
	tarragondeal.ReasonNoPlace:        http.StatusForbidden,
	tarragondeal.ReasonLimit:          http.StatusTooManyRequests,
	tarragondeal.ReasonDeadline:       http.StatusGatewayTimeout,
	tarragondeal.ReasonNeedsIdemKey:   http.StatusBadRequest,
	tarragondeal.ReasonAlreadyRunning: http.StatusConflict,
	tarragondeal.ReasonAlreadyRan:     http.StatusConflict,
	tarragondeal.ReasonOutcomeUnknown: http.StatusConflict,
	tarragondeal.ReasonBodyDiffers:    http.StatusUnprocessableEntity,
	tarragondeal.ReasonQuarantined:    http.StatusUnprocessableEntity,
	tarragondeal.ReasonBackend:        http.StatusBadGateway,
}

// Retry-After is extended by random jitter, so that refused callers do not all
// retry at once. The jitter is up to jitterRatio of the wait, or up to
// minJitter if that is longer.
const (
	jitterRatio = 0.5
	minJitter   = 3 * time.Second
)

// defaultRetryAfter is the wait before a retry for errors that set none.
var defaultRetryAfter = map[tarragondeal.Reason]time.Duration{
	tarragondeal.ReasonAlreadyRunning:   time.Second,
	tarragondeal.ReasonStoreUnavailable: 2 * time.Second,
	tarragondeal.ReasonNoServer:         2 * time.Second,
	tarragondeal.ReasonNoServerVersion:  2 * time.Second,
	tarragondeal.ReasonOverload:         2 * time.Second,
	tarragondeal.ReasonConnections:      time.Second,
	tarragondeal.ReasonNotReady:         time.Second,
	tarragondeal.ReasonLeaving:          time.Second,
}

// WriteError writes an error answer for err. Nothing may have been written to
// w before.
func WriteError(w http.ResponseWriter, err error) {
	status, body, after := ErrorJSON(err)
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(after, rand.Float64())))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// retryAfterSeconds returns the value of Retry-After in seconds: the wait with
// jitter, rounded up. The random number is in [0,1).
func retryAfterSeconds(after time.Duration, random float64) int {
	spread := max(time.Duration(jitterRatio*float64(after)), minJitter)
	after += time.Duration(random * float64(spread))
	return int((after + time.Second - 1) / time.Second)
}

// ErrorJSON returns the HTTP status and JSON body for err, and the wait before
// a retry without jitter, zero if a retry would not help.
func ErrorJSON(err error) (status int, body []byte, after time.Duration) {
	reason, d, after := errorDetails(err)
	d.Type, d.Code = "tarragondeal", string(reason)
	if after == 0 {
		after = defaultRetryAfter[reason]
	}
	status = http.StatusServiceUnavailable
	if s, ok := statuses[reason]; ok {
		status = s
	}
	if reason == reasonInternal {
		status = http.StatusInternalServerError
	}
	body, err = json.Marshal(errorBody{Error: d})
	if err != nil {
		body = []byte(`{"error":{"code":"internal","ran":"unknown"}}`)
	}
	return status, body, after
}

// reasonInternal is the reason for all errors of other types. Their text is not
// shown to callers.
const reasonInternal tarragondeal.Reason = "internal"

func errorDetails(err error) (tarragondeal.Reason, errorDetail, time.Duration) {
	var refused *tarragondeal.RefusedError
	var claim *tarragondeal.ClaimError
	switch {
	case errors.As(err, &refused):
		return refused.Reason, errorDetail{Message: refused.Detail, Ran: string(refused.Ran)}, refused.RetryAfter
	case errors.As(err, &claim):
		d := errorDetail{Message: claimMessage(claim), Ran: string(claim.Ran)}
		if claim.Answer != nil {
			d.Digest = claim.Answer.Digest
		}
		return claim.Reason, d, claim.RetryAfter
	default:
		return reasonInternal, errorDetail{Message: "internal error", Ran: string(tarragondeal.RanUnknown)}, 0
	}
}

func claimMessage(e *tarragondeal.ClaimError) string {
	switch e.Reason {
	case tarragondeal.ReasonBodyDiffers:
		return "the idempotency key was used with another request"
	case tarragondeal.ReasonAlreadyRan:
		return "the request has run; its answer was too large to keep"
	case tarragondeal.ReasonOutcomeUnknown:
		return "a request with this idempotency key may have run and will not run again"
	default:
		return "a request with this idempotency key runs or may have run"
	}
}
