package tarragondeal

import (
	"fmt"
	"time"
)

// Ran says whether a refused or failed request has run.
type Ran string

// What can be said of a request that did not end well. Unknown may turn
// into one of the others later; the others never change.
const (
	RanNot     Ran = "notRun"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Reason is a stable word for why a request was refused or failed.
type Reason string

// The reasons, as callers see them in the error's code field.
const (
	ReasonBadRequest     Reason = "badRequest"
	ReasonNoKey          Reason = "noKey"
	ReasonBadKey         Reason = "badKey"
	ReasonKeyWithdrawn   Reason = "keyWithdrawn"
	ReasonNoRoute        Reason = "noRoute"
	ReasonNotPermitted   Reason = "notPermitted"
	ReasonNoPlace        Reason = "noPermittedPlace"
	ReasonNoServer       Reason = "noServer"
	ReasonOverload       Reason = "overload"
	ReasonLimit          Reason = "limit"
	ReasonDeadline       Reason = "deadline"
	ReasonQuarantined    Reason = "quarantined"
	ReasonNeedsIdemKey   Reason = "needsIdempotencyKey"
	ReasonAlreadyRunning Reason = "alreadyRunning"
	ReasonAlreadyRan     Reason = "alreadyRan"
	ReasonBodyDiffers    Reason = "bodyDiffers"
	ReasonOutcomeUnknown Reason = "outcomeUnknown" // It may have run, and never runs again.
	ReasonStoreAway      Reason = "storeAway"
	ReasonBackend        Reason = "backendFailed"
	ReasonLeaving        Reason = "leaving"
	ReasonNotReady       Reason = "notReady"
)

// RefusedError is a request that gets no answer.
type RefusedError struct {
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // Zero when a repeat would not help.
	Detail     string        // Safe to show to the caller.
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s (%s): %s", e.Reason, e.Ran, e.Detail)
}

// StoreError is a call of the key-value service that gave no answer.
type StoreError struct {
	Op  string
	Key string
	// Settled is true when the call certainly had no effect.
	Settled bool
	Err     error
}

func (e *StoreError) Error() string {
	return fmt.Sprintf("store: %s %s: %v", e.Op, e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *StoreError) Unwrap() error { return e.Err }

// ConflictError is a condition that did not hold at the key-value service.
type ConflictError struct {
	Op      string
	Key     string
	Current Entry  // What stands there, where the service tells.
	Holder  string // Who holds the lease, for leases.
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s %s: conflict at revision %d", e.Op, e.Key, e.Current.Revision)
}

// ClaimError is a non-idempotent request that may not run again.
type ClaimError struct {
	Key    ClaimKey
	Reason Reason // ReasonAlreadyRunning, ReasonAlreadyRan, ReasonBodyDiffers or ReasonOutcomeUnknown.
	Ran    Ran
	Answer *Recorded // The recorded answer, if the request ran to its end.
	// RetryAfter is when a repeat may learn more; zero when it never will.
	RetryAfter time.Duration
}

func (e *ClaimError) Error() string {
	return fmt.Sprintf("claim %s/%s: %s (%s)", e.Key.Workspace, e.Key.Route, e.Reason, e.Ran)
}

// BackendError is an attempt that a backend server did not answer.
type BackendError struct {
	Server  ServerID
	Ran     Ran
	Crashed bool // The server's connection broke after bytes were sent.
	Err     error
}

func (e *BackendError) Error() string {
	return fmt.Sprintf("backend server %s (%s): %v", e.Server, e.Ran, e.Err)
}

// Unwrap returns the cause.
func (e *BackendError) Unwrap() error { return e.Err }

// FenceError is an order or report refused for an old fencing token.
type FenceError struct {
	Fence   uint64
	Current uint64
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("fencing token %d is older than %d", e.Fence, e.Current)
}

// PlatformError is a call of the platform that failed.
type PlatformError struct {
	Op     string
	Status int
	Err    error
}

func (e *PlatformError) Error() string {
	return fmt.Sprintf("platform: %s: status %d: %v", e.Op, e.Status, e.Err)
}

// Unwrap returns the cause.
func (e *PlatformError) Unwrap() error { return e.Err }

// HistoryError is a watch whose beginning the key-value service has forgotten.
type HistoryError struct{ After Revision }

func (e *HistoryError) Error() string {
	return fmt.Sprintf("store: the history after revision %d is forgotten", e.After)
}
