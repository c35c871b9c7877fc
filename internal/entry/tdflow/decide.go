package tdflow

import (
	"time"

	"tarragondeal"
)

// Failure says why an attempt gave no whole answer.
type Failure int

// The failures of an attempt.
const (
	FailNone       Failure = iota
	FailPlace              // The granted server is outside the permitted places.
	FailUnsent             // The server can't be reached: no byte was sent.
	FailRefused            // The dispatcher gave no server.
	FailBusy               // The server answered that it won't now.
	FailServer             // The server answered with a fault of its own.
	FailRedirect           // The server answered with another address.
	FailCrashed            // The connection broke.
	FailShort              // The answer ended cleanly, before its end.
	FailWrong              // The answer is another request's, or none.
	FailDiffers            // Another attempt's answer starts differently.
	FailCaller             // The caller went away or takes nothing.
	FailCut                // The key was withdrawn.
	FailLate               // The deadline passed.
	FailTurnedAway         // The server says that it has not run the request and never will.
	FailSilent             // The server did not begin to answer in time.
)

// Step is what to do after an attempt.
type Step int

// The steps.
const (
	StepDone   Step = iota // The answer is whole.
	StepRetry              // Another attempt, elsewhere.
	StepResume             // Go on at the same server.
	StepRefuse             // Answer with an error.
	StepFail               // End the stream with an error event.
	StepCut                // Break the connection, so that the caller sees it.
	StepGone               // There is nobody to answer.
)

// State is what the next step depends on.
type State struct {
	Failure    Failure
	Idempotent bool
	Stream     bool // The answer is a model's stream.
	Delivered  bool // The caller has got a byte.
	Resumed    bool // This attempt has been resumed already.
	Attempts   int  // Made so far, this one included.
	Unsent     int  // Of these, the ones that reached no server.
	Bound      int  // Of attempts.
	Left       time.Duration
}

// Next returns what to do after an attempt. Whether the fleet's budget has
// room for a retry is asked afterwards: see NeedsBudget.
func Next(s State) Step {
	switch s.Failure {
	case FailNone:
		return StepDone
	case FailCaller:
		return StepGone
	case FailCut, FailLate, FailRefused, FailDiffers, FailRedirect:
		return s.end()
	}
	if s.Left <= 0 || s.Delivered && !s.Stream {
		return s.end()
	}
	if s.resumable() {
		return StepResume
	}
	notRun := s.Failure == FailUnsent || s.Failure == FailPlace || s.Failure == FailTurnedAway
	safe := s.Idempotent || notRun && !s.Delivered
	if !safe || s.Attempts-min(s.Unsent, unsentMost) >= s.Bound {
		return s.end()
	}
	return StepRetry
}

// unsentMost is how many attempts that reached no server are not counted
// against the bound of a request.
const unsentMost = 3

// resumable reports whether the same server may know where the stream broke.
// An answer that was not this request's can't be gone on with.
func (s State) resumable() bool {
	broke := s.Failure == FailCrashed || s.Failure == FailShort
	return broke && s.Stream && s.Delivered && !s.Resumed
}

func (s State) end() Step {
	switch {
	case !s.Delivered:
		return StepRefuse
	case s.Stream:
		return StepFail
	default:
		return StepCut
	}
}

// NeedsBudget reports whether a retry takes from the fleet's budget. One that
// follows an attempt which cost no server anything is free, and one that follows
// a silent server was taken when the attempt was given up.
func (f Failure) NeedsBudget() bool { return f != FailUnsent && f != FailPlace && f != FailSilent }

// CombineRan returns what can be said of a request after two attempts.
func CombineRan(a, b tarragondeal.Ran) tarragondeal.Ran {
	for _, r := range []tarragondeal.Ran{tarragondeal.RanYes, tarragondeal.RanUnknown} {
		if a == r || b == r {
			return r
		}
	}
	return tarragondeal.RanNot
}

// outcomes are what the owner of the server is told.
var outcomes = map[Failure]tarragondeal.OutcomeKind{
	FailNone:     tarragondeal.OutcomeServed,
	FailPlace:    tarragondeal.OutcomeUnused,
	FailUnsent:   tarragondeal.OutcomeUnreachable,
	FailBusy:     tarragondeal.OutcomeRefused,
	FailServer:   tarragondeal.OutcomeRefused,
	FailRedirect: tarragondeal.OutcomeRefused,
	FailCrashed:  tarragondeal.OutcomeCrashed,
	FailShort:    tarragondeal.OutcomeWrong,
	FailWrong:    tarragondeal.OutcomeWrong,
	FailDiffers:  tarragondeal.OutcomeCancelled,
	FailCaller:   tarragondeal.OutcomeCancelled,
	FailCut:      tarragondeal.OutcomeCancelled,
	FailLate:     tarragondeal.OutcomeLate,

	FailTurnedAway: tarragondeal.OutcomeRefused,
	FailSilent:     tarragondeal.OutcomeLate,
}

// causes name wasted work in the meter.
var causes = map[Failure]string{
	FailBusy:     "refused",
	FailServer:   "serverFault",
	FailRedirect: "redirect",
	FailCrashed:  "crashed",
	FailShort:    "short",
	FailWrong:    "wrong",
	FailDiffers:  "differs",
	FailCaller:   "cancelled",
	FailCut:      "keyWithdrawn",
	FailLate:     "late",
	FailSilent:   "silent",
}

// causeOf names a failure in log lines.
func causeOf(f Failure) string {
	switch f {
	case FailUnsent:
		return "unreachable"
	case FailPlace:
		return "outsidePlace"
	case FailRefused:
		return "noServer"
	case FailTurnedAway:
		return "turnedAway"
	}
	return causes[f]
}

// reasons are what the caller is told, with a text.
var reasons = map[Failure]struct {
	reason tarragondeal.Reason
	text   string
}{
	FailPlace:    {tarragondeal.ReasonNoServer, "no backend server was found in a permitted data centre"},
	FailUnsent:   {tarragondeal.ReasonBackend, "no backend server could be reached"},
	FailBusy:     {tarragondeal.ReasonBackend, "the backend servers refused the request"},
	FailServer:   {tarragondeal.ReasonBackend, "the backend server failed"},
	FailRedirect: {tarragondeal.ReasonBackend, "the backend server answered with a redirect, which is not followed"},
	FailCrashed:  {tarragondeal.ReasonBackend, "the connection to the backend server broke"},
	FailShort:    {tarragondeal.ReasonBackend, "the backend server's answer was not whole"},
	FailWrong:    {tarragondeal.ReasonBackend, "the backend server's answer was not this request's"},
	FailDiffers:  {tarragondeal.ReasonBackend, "the answer broke, and another run of it was not the same"},
	FailLate:     {tarragondeal.ReasonDeadline, "the deadline of the request's class passed"},

	FailTurnedAway: {tarragondeal.ReasonOverload, "the backend servers would not take the request"},
	FailSilent:     {tarragondeal.ReasonBackend, "the backend server did not begin to answer"},
}
