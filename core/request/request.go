// Package request names what a client asks, what a backend server answered,
// and what may be said of it.
package request

import (
	"time"

	"headcourse/core/directive"
	"headcourse/core/ratelimit"
)

// Request is one attempt of a client, copied from the connection.
type Request struct {
	// ID is the client's own id of the attempt; answers must carry it.
	ID string
	// Method, Target and Body go to the backend server unchanged. Target is the
	// path with its query, as the client wrote it.
	Method string
	Target string
	Host   string
	Body   []byte
	// Headers are those that are passed on, in the client's order.
	Headers []Header
	// Arrived is when the request was read; Wait is how long the client waits.
	Arrived time.Time
	Wait    time.Duration
	Key     string
	// LastEvent is the id after which the client wants a stream to go on.
	LastEvent int64
	// Model is the model asked for; PromptTokens and MaxTokens its size.
	Model        string
	PromptTokens int
	MaxTokens    int
}

// Header is one header.
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

// Cost returns how much work the request is for a model engine, in tokens
// written: reading a prompt token costs about a tenth of writing one.
func (r *Request) Cost() float64 {
	const (
		readShare = 0.1
		// base is the cost of a request of no known size.
		base = 20
	)
	return base + readShare*float64(r.PromptTokens) + float64(r.MaxTokens)
}

// Attempt is what the system tells a backend server about one send.
type Attempt struct {
	// Server is the ID of the start that must take the request; any other
	// refuses it.
	Server       string
	Organisation string
	// Left is the time that remains for the request.
	Left      time.Duration
	Priority  int
	LastEvent int64
}

// Answer is the head of a backend server's answer.
type Answer struct {
	Status  int
	Headers []Header
	// ID is the id of the request that the answer belongs to.
	ID string
	// Signed tells that the server signed the answer as its own.
	Signed bool
	// NotRun tells that the server did not run the request.
	NotRun bool
	// Encoded tells that the body is not the plain one that was asked for.
	Encoded bool
	// KeepFor is how long the server keeps the connection; 0: not told. Close
	// tells that it does not keep it.
	KeepFor time.Duration
	Close   bool
	// Directive is what the server says about further requests.
	Directive directive.Directive
	// Limit is what the server says it takes from all daemons together.
	Limit ratelimit.Limit
	// ColdFor is for how long the server says it stays cold; 0: it does not say so.
	ColdFor time.Duration
}

// Reason names why a request was refused, sent again or ended early. Each has
// a counter.
type Reason string

// The reasons.
const (
	ReasonNone          Reason = ""
	ReasonNotConfigured Reason = "not_configured"
	ReasonStale         Reason = "configuration_stale"
	ReasonNoRoute       Reason = "no_route"
	ReasonNoKey         Reason = "unknown_key"
	ReasonBadRequest    Reason = "bad_request"
	ReasonNoServer      Reason = "no_server"
	ReasonConnect       Reason = "connect_failed"
	ReasonRefused       Reason = "server_refused"
	ReasonOtherServer   Reason = "other_server"
	ReasonBroken        Reason = "connection_broken"
	ReasonBadAnswer     Reason = "bad_answer"
	ReasonServerError   Reason = "server_error"
	ReasonStalled       Reason = "stalled"
	ReasonDeadline      Reason = "deadline"
	ReasonClientGone    Reason = "client_gone"
	ReasonNoBudget      Reason = "retry_budget"
	ReasonOverload      Reason = "overload"
	ReasonCrashes       Reason = "crashes_servers"
	ReasonPaused        Reason = "servers_paused"
	ReasonLimited       Reason = "servers_limited"
	ReasonEvacuated     Reason = "zone_evacuated"
)
