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

// errorBody is an error in the field's form, with what is known of the run.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Ran     string `json:"ran"`
	Digest  string `json:"digest,omitempty"` // Of a recorded answer that was too large to keep.
}

// statuses are those of the reasons; the others are 503.
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

// Callers that were told to come back are spread over a share of the time
// they were told, and over jitterLeast at least, so that they do not return
// as one.
const (
	jitterShare = 0.5
	jitterLeast = 3 * time.Second
)

// retryAfter is when to come back, where the refusal itself does not say.
var retryAfter = map[tarragondeal.Reason]time.Duration{
	tarragondeal.ReasonAlreadyRunning: time.Second,
	tarragondeal.ReasonStoreAway:      2 * time.Second,
	tarragondeal.ReasonNoServer:       2 * time.Second,
	tarragondeal.ReasonOverload:       2 * time.Second,
	tarragondeal.ReasonConnections:    time.Second,
	tarragondeal.ReasonNotReady:       time.Second,
	tarragondeal.ReasonLeaving:        time.Second,
}

// WriteError answers a request that gets no other answer.
func WriteError(w http.ResponseWriter, err error) {
	status, body, after := ErrorJSON(err)
	if after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(comeBack(after, rand.Float64())))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// comeBack returns the whole seconds that a caller is told to wait; chance is
// at least zero and below one.
func comeBack(after time.Duration, chance float64) int {
	spread := max(time.Duration(jitterShare*float64(after)), jitterLeast)
	after += time.Duration(chance * float64(spread))
	return int((after + time.Second - 1) / time.Second)
}

// ErrorJSON returns an error's status, its JSON, and when to come back.
func ErrorJSON(err error) (status int, body []byte, after time.Duration) {
	reason, d, after := detail(err)
	d.Type, d.Code = "tarragondeal", string(reason)
	if after == 0 {
		after = retryAfter[reason]
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

// reasonInternal is a fault of the router itself.
const reasonInternal tarragondeal.Reason = "internal"

func detail(err error) (tarragondeal.Reason, errorDetail, time.Duration) {
	var refused *tarragondeal.RefusedError
	var claim *tarragondeal.ClaimError
	switch {
	case errors.As(err, &refused):
		return refused.Reason, errorDetail{Message: refused.Detail, Ran: string(refused.Ran)}, refused.RetryAfter
	case errors.As(err, &claim):
		d := errorDetail{Message: claimText(claim), Ran: string(claim.Ran)}
		if claim.Answer != nil {
			d.Digest = claim.Answer.Digest
		}
		return claim.Reason, d, claim.RetryAfter
	default:
		return reasonInternal, errorDetail{Message: "internal error", Ran: string(tarragondeal.RanUnknown)}, 0
	}
}

func claimText(e *tarragondeal.ClaimError) string {
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
