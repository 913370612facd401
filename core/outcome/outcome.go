// Package outcome defines the outcomes of callers' requests.
//
// There are three outcomes: ran, not run, and unknown. "Not run" is reported only if it is
// certain, for example if no byte was sent to the backend server, or if the backend server
// reported that it ran nothing.
package outcome

import "github.com/pkg/errors"

// Outcome reports whether a request ran. The zero value is Unknown, so that a missing
// assignment never claims more than is known.
type Outcome int

// The three outcomes.
const (
	Unknown Outcome = iota
	NotRun
	Ran
)

// String returns the outcome as it appears in headers and error bodies.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "not_run"
	default:
		return "unknown"
	}
}

// Reason is why a request was rejected or retried. Each reason has a counter.
type Reason string

// Reasons. Each has a row in the reference of counters.
const (
	ReasonNone                        Reason = ""
	ReasonBadRequest                  Reason = "bad_request"
	ReasonUnauthorised                Reason = "unauthorised"
	ReasonUnknownModel                Reason = "unknown_model"
	ReasonUnknownRoute                Reason = "unknown_route"
	ReasonDaemonLeaving               Reason = "daemon_leaving"
	ReasonDaemonCutOff                Reason = "daemon_cut_off"
	ReasonDaemonNotConfigured         Reason = "daemon_not_configured"
	ReasonRateLimit                   Reason = "organisation_rate"
	ReasonQueueFull                   Reason = "queue_full"
	ReasonQueueDeadline               Reason = "queue_deadline"
	ReasonCallerGone                  Reason = "caller_gone"
	ReasonNoGroup                     Reason = "no_whole_group"
	ReasonNoServer                    Reason = "no_live_server"
	ReasonBackendConnectFailed        Reason = "backend_connect_failed"
	ReasonEngineRefused               Reason = "backend_refused"
	ReasonEngineBusy                  Reason = "backend_busy"
	ReasonBackendError                Reason = "backend_error"
	ReasonConnectionLost              Reason = "connection_lost"
	ReasonDeadline                    Reason = "deadline"
	ReasonRetryBudget                 Reason = "retry_budget"
	ReasonKeyReused                   Reason = "idempotency_key_reused"
	ReasonKeyInProgress               Reason = "idempotency_key_in_progress"
	ReasonKeyOutcomeUnknown           Reason = "idempotency_key_outcome_unknown"
	ReasonIdempotencyStoreUnavailable Reason = "idempotency_store_unavailable"
)

// Reasons lists all reasons with their meanings, in the order of the reference.
var Reasons = []struct {
	Reason  Reason
	Meaning string
}{
	{
		Reason:  ReasonBadRequest,
		Meaning: "the request could not be read; correct it",
	},
	{
		Reason:  ReasonUnauthorised,
		Meaning: "no key, or a key that no organisation or operator has",
	},
	{
		Reason:  ReasonUnknownModel,
		Meaning: "no such model in the configuration in force",
	},
	{
		Reason:  ReasonUnknownRoute,
		Meaning: "no declared service has this prefix",
	},
	{
		Reason:  ReasonDaemonLeaving,
		Meaning: "this daemon is stopping; ask another",
	},
	{
		Reason:  ReasonDaemonCutOff,
		Meaning: "this daemon has heard neither the store nor a majority of daemons lately",
	},
	{
		Reason:  ReasonDaemonNotConfigured,
		Meaning: "this daemon has not learned a configuration yet",
	},
	{
		Reason:  ReasonRateLimit,
		Meaning: "the organisation sends more than its declared rate",
	},
	{
		Reason:  ReasonQueueFull,
		Meaning: "the organisation's queue at this daemon is full",
	},
	{
		Reason:  ReasonQueueDeadline,
		Meaning: "no group had room before the queueing bound or the deadline",
	},
	{
		Reason:  ReasonCallerGone,
		Meaning: "the caller went away; the backend server's work was cancelled",
	},
	{
		Reason:  ReasonNoGroup,
		Meaning: "no serving group of the model is whole on fresh evidence",
	},
	{
		Reason:  ReasonNoServer,
		Meaning: "no backend server of the service is live",
	},
	{
		Reason:  ReasonBackendConnectFailed,
		Meaning: "no connection to the backend server; nothing was handed to it",
	},
	{
		Reason:  ReasonEngineRefused,
		Meaning: "the backend server said that it ran nothing",
	},
	{
		Reason:  ReasonEngineBusy,
		Meaning: "the backend server said that it is full and ran nothing",
	},
	{
		Reason:  ReasonBackendError,
		Meaning: "the backend server answered with an error of its own",
	},
	{
		Reason:  ReasonConnectionLost,
		Meaning: "the connection broke after the request was written",
	},
	{
		Reason:  ReasonDeadline,
		Meaning: "the caller's deadline passed while the backend server worked",
	},
	{
		Reason:  ReasonRetryBudget,
		Meaning: "a retry was allowed but the budget for retries was spent",
	},
	{
		Reason:  ReasonKeyReused,
		Meaning: "the idempotency key was used before with another body",
	},
	{
		Reason:  ReasonKeyInProgress,
		Meaning: "a request with this idempotency key is running",
	},
	{
		Reason:  ReasonKeyOutcomeUnknown,
		Meaning: "a request with this idempotency key ran to an unknown end",
	},
	{
		Reason:  ReasonIdempotencyStoreUnavailable,
		Meaning: "the idempotency key could not be claimed; the store does not answer",
	},
}

// Failure is the error of a request that did not end with a complete answer.
type Failure struct {
	Outcome Outcome
	Reason  Reason
	Step    string
	Peer    string
	Cause   error
}

// Error returns the step, the peer, the reason, the outcome and the cause.
func (f *Failure) Error() string {
	text := f.Step
	if f.Peer != "" {
		text += " at " + f.Peer
	}
	text += ": " + string(f.Reason) + " (" + f.Outcome.String() + ")"
	if f.Cause != nil {
		text += ": " + f.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (f *Failure) Unwrap() error {
	return f.Cause
}

// NotRunFailure returns the failure of a request that certainly did not run.
func NotRunFailure(reason Reason, step string) *Failure {
	return &Failure{
		Outcome: NotRun,
		Reason:  reason,
		Step:    step,
	}
}

// FailureOf returns the Failure in err's chain, or a new one of unknown outcome with err as
// its cause.
func FailureOf(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return &Failure{
		Outcome: Unknown,
		Reason:  ReasonBackendError,
		Step:    "serve request",
		Cause:   err,
	}
}
