// Package request holds the request of a client, the head of a backend server's
// answer, and the reasons of refusals, retries and failures.
package request

import (
	"time"

	"headcourse/core/directive"
	"headcourse/core/ratelimit"
)

// Request is one request of a client, copied from the buffers of the connection.
type Request struct {
	// ID is the request ID that the client chose; answers must have the same.
	ID string
	// Method, Target and Body go to the backend server unchanged. Target is the
	// path with its query, as the client sent it.
	Method string
	Target string
	Host   string
	Body   []byte
	// Headers are the forwarded headers, in the client's order.
	Headers []Header
	// ReceivedAt is when the request was read; ClientTimeout is the timeout of the client.
	ReceivedAt    time.Time
	ClientTimeout time.Duration
	APIKey        string
	// LastEventID is the ID of the event after which the client resumes a stream;
	// 0: none.
	LastEventID int64
	// Model is the requested model; PromptTokens is the size of the prompt,
	// MaxTokens the maximum size of the answer.
	Model        string
	PromptTokens int
	MaxTokens    int
	// AnswerTokensHint is the client's guess at the length of its answer, in tokens; 0: none.
	AnswerTokensHint int
	// PromptParts are the IDs of the parts of the prompt that other requests may share, each in its
	// one normal form and once.
	PromptParts []string
}

// Header is one header field.
type Header struct {
	Name  string
	Value string
}

// Path returns the target without its query.
func (r *Request) Path() string {
	for i := range len(r.Target) {
		if r.Target[i] == '?' {
			return r.Target[:i]
		}
	}
	return r.Target
}

// Cost returns the estimated work of a model engine for the request, in generated
// tokens. Reading a prompt token costs about a tenth of generating a token.
// expectedAnswer is the expected length of the answer, in tokens; 0: unknown, the
// maximum counts.
func (r *Request) Cost(expectedAnswer float64) float64 {
	const (
		promptTokenCost = 0.1
		// baseCost is added for every request, and is the whole cost of one of unknown size.
		baseCost = 20
	)
	answer := expectedAnswer
	if answer <= 0 {
		answer = float64(r.MaxTokens)
	}
	return baseCost + promptTokenCost*float64(r.PromptTokens) + answer
}

// Attempt describes one attempt to run a request to the backend server.
type Attempt struct {
	// ServerID is the ID of the start that the request is meant for; any other start
	// refuses it.
	ServerID     string
	Organisation string
	// Remaining is the time until the deadline of the request.
	Remaining   time.Duration
	Priority    int
	LastEventID int64
}

// Answer is the head of a backend server's answer.
type Answer struct {
	Status  int
	Headers []Header
	// ID is the ID of the request that the answer is for.
	ID string
	// IsSigned is set if the answer has the server's signature.
	IsSigned bool
	// IsNotExecuted is set if the server did not run the request.
	IsNotExecuted bool
	// IsEncoded is set if the body has a content encoding, although none was requested.
	IsEncoded bool
	// KeepAlive is how long the server keeps the connection open; 0: unknown. Close is
	// set if the server closes it.
	KeepAlive time.Duration
	Close     bool
	// Directive is the server's instruction concerning further requests.
	Directive directive.Directive
	// Limit is the rate limit that the server states for all daemons together.
	Limit ratelimit.Limit
	// ColdFor is how long the server stays cold, as it states; 0: not stated.
	ColdFor time.Duration
}

// Reason is why a request was refused, retried or ended early. Each reason has a
// counter.
type Reason string

// The reasons of refusals, retries and early ends.
const (
	ReasonNone               Reason = ""
	ReasonNotConfigured      Reason = "not_configured"
	ReasonConfigurationStale Reason = "configuration_stale"
	ReasonNoRoute            Reason = "no_route"
	ReasonUnknownKey         Reason = "unknown_key"
	ReasonBadRequest         Reason = "bad_request"
	ReasonNoServer           Reason = "no_server"
	ReasonConnectFailed      Reason = "connect_failed"
	ReasonServerRefused      Reason = "server_refused"
	ReasonOtherServer        Reason = "other_server"
	ReasonConnectionBroken   Reason = "connection_broken"
	ReasonAnswerTruncated    Reason = "answer_truncated"
	ReasonBadAnswer          Reason = "bad_answer"
	ReasonServerError        Reason = "server_error"
	ReasonStalled            Reason = "stalled"
	ReasonDeadline           Reason = "deadline"
	ReasonClientGone         Reason = "client_gone"
	ReasonRetryBudgetSpent   Reason = "retry_budget"
	ReasonOverload           Reason = "overload"
	ReasonCrashesServers     Reason = "crashes_servers"
	ReasonServersPaused      Reason = "servers_paused"
	ReasonServersLimited     Reason = "servers_limited"
	ReasonZoneEvacuated      Reason = "zone_evacuated"
	ReasonSuperseded         Reason = "superseded"
	ReasonDaemonStopping     Reason = "daemon_stopping"
	ReasonNoMemory           Reason = "no_memory"
)
