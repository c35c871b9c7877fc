package tdfront

import (
	"encoding/json"
	"errors"
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
}

func refused(reason tarragondeal.Reason, detail string) error {
	return &tarragondeal.RefusedError{Reason: reason, Ran: tarragondeal.RanNot, Detail: detail}
}

var statuses = map[tarragondeal.Reason]int{
	tarragondeal.ReasonBadRequest:     http.StatusBadRequest,
	tarragondeal.ReasonNoKey:          http.StatusUnauthorized,
	tarragondeal.ReasonBadKey:         http.StatusUnauthorized,
	tarragondeal.ReasonKeyWithdrawn:   http.StatusUnauthorized,
	tarragondeal.ReasonNoRoute:        http.StatusNotFound,
	tarragondeal.ReasonNotPermitted:   http.StatusForbidden,
	tarragondeal.ReasonNoPlace:        http.StatusForbidden,
	tarragondeal.ReasonLimit:          http.StatusTooManyRequests,
	tarragondeal.ReasonNeedsIdemKey:   http.StatusBadRequest,
	tarragondeal.ReasonAlreadyRunning: http.StatusConflict,
	tarragondeal.ReasonAlreadyRan:     http.StatusConflict,
	tarragondeal.ReasonBodyDiffers:    http.StatusUnprocessableEntity,
	tarragondeal.ReasonQuarantined:    http.StatusUnprocessableEntity,
	tarragondeal.ReasonBackend:        http.StatusBadGateway,
}

func (f *Front) refuse(w http.ResponseWriter, err error) {
	status, d, after := describe(err)
	if after > 0 {
		seconds := int((after + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	writeJSON(w, status, errorBody{Error: d})
}

func describe(err error) (int, errorDetail, time.Duration) {
	var refusedErr *tarragondeal.RefusedError
	var claimErr *tarragondeal.ClaimError
	var backendErr *tarragondeal.BackendError
	var storeErr *tarragondeal.StoreError
	switch {
	case errors.As(err, &refusedErr):
		return status(refusedErr.Reason), detail(refusedErr.Reason, refusedErr.Ran, refusedErr.Detail), refusedErr.RetryAfter
	case errors.As(err, &claimErr):
		return status(claimErr.Reason), detail(claimErr.Reason, claimErr.Ran, "the idempotency key is taken"), 0
	case errors.As(err, &backendErr):
		return status(tarragondeal.ReasonBackend), detail(tarragondeal.ReasonBackend, backendErr.Ran, "the backend server gave no answer"), 0
	case errors.As(err, &storeErr):
		return status(tarragondeal.ReasonStoreAway), detail(tarragondeal.ReasonStoreAway, tarragondeal.RanNot, "what this request needs can't be agreed now"), time.Second
	default:
		return http.StatusInternalServerError, detail("internal", tarragondeal.RanUnknown, "internal error"), 0
	}
}

func status(r tarragondeal.Reason) int {
	if s, ok := statuses[r]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

func detail(r tarragondeal.Reason, ran tarragondeal.Ran, text string) errorDetail {
	return errorDetail{Message: text, Type: "tarragondeal", Code: string(r), Ran: string(ran)}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
