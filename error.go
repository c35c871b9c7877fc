package tarragondeal

import (
	"fmt"
	"time"
)

// Ran says whether a refused or failed request has run.
type Ran string

// Whether a refused or failed request has run. RanUnknown may change into one
// of the others later; the others are final.
const (
	RanNot     Ran = "notRun"
	RanYes     Ran = "ran"
	RanUnknown Ran = "unknown"
)

// Reason is a stable code for why a request was refused or failed.
type Reason string

// The reasons, as callers see them in the error's code field.
const (
	ReasonBadRequest       Reason = "badRequest"
	ReasonNoKey            Reason = "noKey"
	ReasonBadKey           Reason = "badKey"
	ReasonKeyWithdrawn     Reason = "keyWithdrawn"
	ReasonNoRoute          Reason = "noRoute"
	ReasonNotPermitted     Reason = "notPermitted"
	ReasonNoPlace          Reason = "noPermittedPlace"
	ReasonNoServer         Reason = "noServer"
	ReasonNoServerVersion  Reason = "noServerOfVersion" // No server has the version that began the stream.
	ReasonUnknownVersion   Reason = "unknownVersion"    // It is not known which version began the stream.
	ReasonOverload         Reason = "overload"
	ReasonLimit            Reason = "limit"
	ReasonDeadline         Reason = "deadline"
	ReasonQuarantined      Reason = "quarantined"
	ReasonNeedsIdemKey     Reason = "needsIdempotencyKey"
	ReasonAlreadyRunning   Reason = "alreadyRunning"
	ReasonAlreadyRan       Reason = "alreadyRan"
	ReasonBodyDiffers      Reason = "bodyDiffers"
	ReasonOutcomeUnknown   Reason = "outcomeUnknown" // It may have run and is not run again.
	ReasonStoreUnavailable Reason = "storeAway"
	ReasonBackend          Reason = "backendFailed"
	ReasonLeaving          Reason = "leaving"
	ReasonNotReady         Reason = "notReady"
)

// RefusedError reports a request that the router refuses.
type RefusedError struct {
	Reason     Reason
	Ran        Ran
	RetryAfter time.Duration // Zero when a retry would not help.
	Detail     string        // Safe to show to the caller.
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("request refused: %s (%s): %s", e.Reason, e.Ran, e.Detail)
}

// StoreError reports a call of the key-value service that failed.
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

// ConflictError reports a condition that did not hold at the key-value service.
type ConflictError struct {
	Op      string
	Key     string
	Current Entry  // The current entry, if the service returns it.
	Holder  string // For leases, the current holder.
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: %s %s: conflict at revision %d", e.Op, e.Key, e.Current.Revision)
}

// ClaimError reports a non-idempotent request that may not run again.
type ClaimError struct {
	Key    ClaimKey
	Reason Reason // ReasonAlreadyRunning, ReasonAlreadyRan, ReasonBodyDiffers or ReasonOutcomeUnknown.
	Ran    Ran
	Answer *RecordedAnswer // The recorded answer, if the request completed.
	// RetryAfter is the time after which a retry may get another result; zero
	// when the result is final.
	RetryAfter time.Duration
}

func (e *ClaimError) Error() string {
	return fmt.Sprintf("claim %s/%s: %s (%s)", e.Key.Workspace, e.Key.Route, e.Reason, e.Ran)
}

// BackendError reports an attempt that a backend server did not answer.
type BackendError struct {
	Server  ServerID
	Ran     Ran
	Crashed bool // The server's connection broke after bytes were sent.
	Revoked bool // MaySend of the call did not permit sending it, or its connection was closed before.
	Err     error
}

func (e *BackendError) Error() string {
	return fmt.Sprintf("backend server %s (%s): %v", e.Server, e.Ran, e.Err)
}

// Unwrap returns the cause.
func (e *BackendError) Unwrap() error { return e.Err }

// FenceError reports an order or report that was refused because of an old
// fencing token.
type FenceError struct {
	Fence   uint64
	Current uint64
}

func (e *FenceError) Error() string {
	return fmt.Sprintf("fencing token %d is older than %d", e.Fence, e.Current)
}

// PlatformError reports a call of the platform that failed.
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

// HistoryError reports a watch from a revision whose history the key-value
// service has compacted.
type HistoryError struct{ After Revision }

func (e *HistoryError) Error() string {
	return fmt.Sprintf("store: the history after revision %d is forgotten", e.After)
}

// AnswerSizeError reports an answer that is longer than what is read of one. The same call
// is likely to get it again.
type AnswerSizeError struct{ Limit int }

func (e *AnswerSizeError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes", e.Limit)
}

// VersionError reports a configuration whose version is not later than the one in force.
type VersionError struct {
	Version Version
	InForce Version
}

func (e *VersionError) Error() string {
	return fmt.Sprintf("version %d is not later than the version in force, %d", e.Version, e.InForce)
}

// EraError reports an answer of the key-value service that belongs to another history than the
// one that this node knows: the service was restored from an earlier copy since, or the answer
// is from before that. The call may have had an effect.
type EraError struct {
	Op       string
	Key      string
	Reported Revision // By the answer.
	Known    Position // When the call began.
}

func (e *EraError) Error() string {
	return fmt.Sprintf("store: %s %s: the answer is at revision %d, after revision %d of era %d", e.Op, e.Key, e.Reported, e.Known.Revision, e.Known.Era)
}
