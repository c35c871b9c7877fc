package tdflow

import (
	"time"

	"tarragondeal"
)

// Failure is the reason why an attempt gave no complete answer.
type Failure int

// The failures of an attempt.
const (
	FailNone            Failure = iota
	FailPlacement               // The granted server is outside the permitted data centres.
	FailUnreachable             // The server was unreachable: no byte was sent.
	FailNoServer                // The dispatcher granted no server.
	FailBusy                    // The server answered with status 429 or 503.
	FailServerError             // The server answered with a 5xx status.
	FailRedirect                // The server answered with a redirect.
	FailCrashed                 // The connection broke.
	FailTruncated               // The connection did not break, but the answer was not complete.
	FailInvalid                 // The answer belongs to another request or is malformed.
	FailDiverged                // A retry generated an answer that differs from what was delivered.
	FailCallerGone              // The caller disconnected or stopped reading.
	FailKeyWithdrawn            // The key was withdrawn.
	FailDeadline                // The deadline passed.
	FailRejected                // The server states that it has not run the request and never will.
	FailResponseTimeout         // The server sent no response in time.
	FailRevoked                 // The server may not be used any more: no byte was sent.
	FailLeaving                 // This node is about to end.
)

// Step is the action that follows an attempt.
type Step int

// The steps.
const (
	StepDone       Step = iota // The answer is complete.
	StepRetry                  // Make another attempt at another server.
	StepResume                 // Resume at the same server.
	StepRefuse                 // Answer with an error.
	StepFail                   // End the stream with an error event.
	StepAbort                  // Break the connection so that the caller sees the failure.
	StepCallerGone             // Break the connection: the caller has disconnected or stopped reading.
)

// State is the input of Next.
type State struct {
	Failure     Failure
	Idempotent  bool
	Stream      bool // The answer is a model's stream.
	Delivered   bool // Bytes have been sent to the caller.
	Final       bool // No other attempt can continue what has been sent.
	Resumed     bool // This attempt has already been resumed, or has sent nothing of the stream.
	Attempts    int  // Made so far, including this one.
	Unsent      int  // Attempts that reached no server.
	MaxAttempts int
	Remaining   time.Duration
}

// Next returns the step that follows an attempt. It doesn't check the fleet's
// retry budget: see NeedsBudget.
func Next(s State) Step {
	switch s.Failure {
	case FailNone:
		return StepDone
	case FailCallerGone:
		return StepCallerGone
	case FailKeyWithdrawn, FailLeaving, FailDeadline, FailNoServer, FailDiverged, FailRedirect:
		return s.finalStep()
	}
	if s.Remaining <= 0 || s.Delivered && (s.Final || !s.Stream) {
		return s.finalStep()
	}
	if s.resumable() {
		return StepResume
	}
	notRun := s.Failure.unsent() || s.Failure == FailRejected
	safe := s.Idempotent || notRun && !s.Delivered
	if !safe || s.Attempts-min(s.Unsent, maxUnsentAttempts) >= s.MaxAttempts {
		return s.finalStep()
	}
	return StepRetry
}

// maxUnsentAttempts is the number of attempts which reached no server that
// don't count towards the limit of a request.
const maxUnsentAttempts = 3

// resumable reports whether the same server may be able to resume the stream. An
// answer to another request can't be resumed.
func (s State) resumable() bool {
	broke := s.Failure == FailCrashed || s.Failure == FailTruncated
	return broke && s.Stream && s.Delivered && !s.Resumed
}

func (s State) finalStep() Step {
	switch {
	case !s.Delivered:
		return StepRefuse
	case s.Stream:
		return StepFail
	default:
		return StepAbort
	}
}

// NeedsBudget reports whether a retry after f has to be taken from the fleet's
// retry budget. A retry is free if the attempt sent nothing to a server. After a
// response timeout it has been taken from the budget when the attempt was
// cancelled.
func (f Failure) NeedsBudget() bool {
	return !f.unsent() && f != FailResponseTimeout
}

// unsent reports whether an attempt that failed with f sent nothing to a server.
func (f Failure) unsent() bool {
	return f == FailUnreachable || f == FailPlacement || f == FailRevoked
}

// CombineRan combines what is known of two attempts of a request. It returns
// RanYes if either ran, else RanUnknown if either is unknown, else RanNot.
func CombineRan(a, b tarragondeal.Ran) tarragondeal.Ran {
	for _, r := range []tarragondeal.Ran{tarragondeal.RanYes, tarragondeal.RanUnknown} {
		if a == r || b == r {
			return r
		}
	}
	return tarragondeal.RanNot
}

// outcomes maps failures to the outcomes reported to the node that owns the
// server.
var outcomes = map[Failure]tarragondeal.OutcomeKind{
	FailNone:         tarragondeal.OutcomeServed,
	FailPlacement:    tarragondeal.OutcomeUnused,
	FailUnreachable:  tarragondeal.OutcomeUnreachable,
	FailBusy:         tarragondeal.OutcomeRefused,
	FailServerError:  tarragondeal.OutcomeRefused,
	FailRedirect:     tarragondeal.OutcomeRefused,
	FailCrashed:      tarragondeal.OutcomeCrashed,
	FailTruncated:    tarragondeal.OutcomeWrong,
	FailInvalid:      tarragondeal.OutcomeWrong,
	FailDiverged:     tarragondeal.OutcomeCancelled,
	FailCallerGone:   tarragondeal.OutcomeCancelled,
	FailKeyWithdrawn: tarragondeal.OutcomeCancelled,
	FailDeadline:     tarragondeal.OutcomeLate,

	FailLeaving:         tarragondeal.OutcomeCancelled,
	FailRejected:        tarragondeal.OutcomeRefused,
	FailRevoked:         tarragondeal.OutcomeUnused,
	FailResponseTimeout: tarragondeal.OutcomeLate,
}

// wasteCauses maps failures to the causes of waste in the meter.
var wasteCauses = map[Failure]string{
	FailBusy:            "refused",
	FailServerError:     "serverFault",
	FailRedirect:        "redirect",
	FailCrashed:         "crashed",
	FailTruncated:       "short",
	FailInvalid:         "wrong",
	FailDiverged:        "differs",
	FailCallerGone:      "cancelled",
	FailKeyWithdrawn:    "keyWithdrawn",
	FailLeaving:         "leaving",
	FailDeadline:        "late",
	FailResponseTimeout: "silent",
}

// String returns the name of f in log lines.
func (f Failure) String() string {
	switch f {
	case FailUnreachable:
		return "unreachable"
	case FailPlacement:
		return "outsidePlace"
	case FailNoServer:
		return "noServer"
	case FailRevoked:
		return "revoked"
	case FailRejected:
		return "turnedAway"
	}
	return wasteCauses[f]
}

// callerReasons maps failures to the reason and text returned to the caller.
var callerReasons = map[Failure]struct {
	reason tarragondeal.Reason
	text   string
}{
	FailPlacement:   {tarragondeal.ReasonNoServer, "no backend server was found in a permitted data centre"},
	FailUnreachable: {tarragondeal.ReasonBackend, "no backend server could be reached"},
	FailBusy:        {tarragondeal.ReasonBackend, "the backend servers refused the request"},
	FailServerError: {tarragondeal.ReasonBackend, "the backend server failed"},
	FailRedirect:    {tarragondeal.ReasonBackend, "the backend server answered with a redirect, which is not followed"},
	FailCrashed:     {tarragondeal.ReasonBackend, "the connection to the backend server broke"},
	FailTruncated:   {tarragondeal.ReasonBackend, "the backend server's answer was not whole"},
	FailInvalid:     {tarragondeal.ReasonBackend, "the backend server's answer was not this request's"},
	FailDiverged:    {tarragondeal.ReasonBackend, "the answer broke, and another run of it was not the same"},
	FailDeadline:    {tarragondeal.ReasonDeadline, "the deadline of the request's class passed"},

	FailRevoked:         {tarragondeal.ReasonNoServer, "the backend server left before the request was sent"},
	FailRejected:        {tarragondeal.ReasonOverload, "the backend servers would not take the request"},
	FailResponseTimeout: {tarragondeal.ReasonBackend, "the backend server did not begin to answer"},
}
