// Package gateway accepts client requests, routes each to a backend server and returns that
// server's complete answer to the client.
//
// The status of a failed request depends on whether a server may have run it. The gateway
// answers 503 ("not run") only if no server can have run any part of the request, or if every
// server that received it reported that it did not run it. If the last attempt ended with a
// server's own 5xx answer, the client gets that answer. Other requests that were sent, and failed
// before their answer began, are answered 502 or 504.
// A request is retried only if it was not run or its route allows it to run more than once, and
// only within the retry budget that all daemons share.
//
// A request that arrives before the daemon has read its first view waits for it briefly. Each
// attempt carries the request's priority to the server.
package gateway

import (
	"cmp"
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"headcourse/core/balancer"
	"headcourse/core/boottime"
	"headcourse/core/config"
	"headcourse/core/confirmation"
	"headcourse/core/deferral"
	"headcourse/core/demand"
	"headcourse/core/directive"
	"headcourse/core/evacuation"
	"headcourse/core/fleet"
	"headcourse/core/memory"
	"headcourse/core/pace"
	"headcourse/core/quarantine"
	"headcourse/core/ratelimit"
	"headcourse/core/request"
	"headcourse/core/retry"
	"headcourse/core/shutdown"
	"headcourse/core/urgency"
	"headcourse/core/usage"
	"headcourse/io/backend"
	"headcourse/io/logline"
	"headcourse/io/tcp"
)

// Codec converts between HTTP messages and requests and answers. ReadRequest and ReadHead, which leaves the body out, return
// a request also with an error. SetRequestID writes the request ID into an answer that the gateway itself
// generates.
type Codec interface {
	ReadRequest(ctx *fasthttp.RequestCtx) (*request.Request, error)
	ReadHead(header *fasthttp.RequestHeader) (*request.Request, error)
	WriteHead(r *request.Request, attempt request.Attempt) []byte
	ReadAnswer(head *fasthttp.ResponseHeader) request.Answer
	SetRequestID(ctx *fasthttp.RequestCtx, id string)
}

// View is a snapshot of the configuration and the fleet, used to serve a request.
type View struct {
	// Config is nil until a configuration has been read.
	Config *config.Config
	Fleet  fleet.View
	// Evacuated are the zones whose servers must receive no requests.
	Evacuated evacuation.Zones
}

// Confirmation is the evidence for the age of a configuration.
type Confirmation struct {
	// AsOf is a time of the gateway's clock as of which the configuration is complete; zero if there is none.
	AsOf time.Time
	// Source is the daemon that confirmed it, or "store".
	Source string
}

// age returns the maximum age of the configuration; the maximum duration without a confirmation.
func (c Confirmation) age(clock boottime.Clock) time.Duration {
	if c.AsOf.IsZero() {
		return math.MaxInt64
	}
	return clock.Since(c.AsOf)
}

// Source provides the view and receives observations about servers and requests.
type Source interface {
	View() View
	// ViewReady is closed when the view can serve requests for the first time.
	ViewReady() <-chan struct{}
	// ViewUnreadable is closed when a table that the view depends on could not be read.
	ViewUnreadable() <-chan struct{}
	// SinceViewReady is the time since ViewReady was closed; 0 before.
	SinceViewReady() time.Duration
	// Confirmation is the evidence for the age of the configuration in the view. Every view that is loaded after it is
	// at least as recent.
	Confirmation() Confirmation
	// AwaitConfirmation asks for a confirmation of the configuration and waits until it is recent enough to refuse
	// requests, for at most limit. It returns whether it is, and at once while nothing confirms it.
	AwaitConfirmation(limit time.Duration) bool
	// ConfirmationPolicy determines how old the configuration may be for each decision.
	ConfirmationPolicy() confirmation.Policy
	// DaemonCount is the number of daemons.
	DaemonCount() int
	// Preference returns the balancing preference for requests of a kind.
	Preference(kind demand.Kind) balancer.Preference
	// Overload returns the decision about the requests of a kind and organisation.
	Overload(kind demand.Kind, organisation string) OverloadState
	// IsDegraded reports whether any daemon has reported that requests stall or are slow at a
	// server's group.
	IsDegraded(server fleet.Server) bool
	// Slowdown returns how many times as slow as others all daemons found a server; 0 if there is no
	// verdict.
	Slowdown(server fleet.Server) float64
	// HasUnresponsiveMember reports whether any daemon has reported that a member of the server's
	// group does not answer.
	HasUnresponsiveMember(server fleet.Server) bool
	// LimitPosition returns this daemon's position among those that may share a server's rate
	// limit.
	LimitPosition(server fleet.Server) ratelimit.Position
	// ObserveLimit receives the limit in a server's answer, if the answer names one or shows
	// that an earlier one has ended.
	ObserveLimit(server fleet.Server, limit ratelimit.Limit)
	// ObserveColdServer receives a server whose answer marks it as cold.
	ObserveColdServer(server fleet.Server)
	// ReportStall receives a server that makes no progress on requests in flight.
	ReportStall(server fleet.Server)
	// ReportCrash receives the crash of a server with a request in flight, which is reported to
	// all daemons. RemoveCrashReports receives a suspect digest that an answer cleared.
	ReportCrash(crash quarantine.Crash)
	RemoveCrashReports(cleared quarantine.StoredRows)
	// ClaimTrials reports whether the other daemons agree to the trials of all suspect digests of
	// a request. It blocks on the store. ReleaseTrials takes trials back whose request was not
	// sent.
	ClaimTrials(trials []quarantine.Trial) bool
	ReleaseTrials(trials []quarantine.Trial)
}

// Server serves client requests. Create it with Listen.
type Server struct {
	source          Source
	codec           Codec
	meter           *demand.Meter
	maxViewWait     time.Duration
	clock           boottime.Clock
	log             *zap.Logger
	registry        metrics.Registry
	backends        *backend.Client
	tracker         balancer.Tracker
	waitEstimator   urgency.WaitEstimator
	yieldController urgency.YieldController
	// lateStreams limits late streams after a start, if the totals of all daemons do not decide.
	lateStreams urgency.LateLimiter
	// deferred holds requests without priority while their kind is overloaded.
	deferred deferral.Queue
	sizes    usage.SizeEstimator
	// paces records how fast servers answer, compared with others of their class.
	paces   *pace.Recorder
	hints   usage.HintEstimator
	budgets *retry.Budgets
	// lastConnect is the last successful connect to any backend server. connectThrottle limits the
	// log lines about failed ones and about checks for a crash.
	lastConnect     lastSuccess
	connectThrottle logline.Throttle
	// retryThrottle limits the log lines about the retry budgets.
	retryThrottle logline.Throttle
	// endThrottle limits the log lines about ends of answers, acceptThrottle those about connections
	// of clients that were not accepted.
	endThrottle    logline.Throttle
	acceptThrottle logline.Throttle
	// silenceThrottle limits the log lines about silent servers.
	silenceThrottle logline.Throttle
	// directives holds the directives that servers sent: pauses, and notices that they drain.
	directives directive.Registry
	// directiveThrottle limits the log lines about directives.
	directiveThrottle logline.Throttle
	// limits holds the rate limits that servers name, each shared by all daemons; limitThrottle
	// limits the log lines about them.
	limits        *ratelimit.Limiter
	limitThrottle logline.Throttle
	// ledger holds the crashes recorded per digest of requests and decides which requests are
	// quarantined. inFlightByDigest finds requests in flight by their digests. trialClaims are the
	// trials that are being claimed. crashChecks runs the checks whether a server has crashed.
	ledger           *quarantine.Ledger
	inFlightByDigest digestIndex
	trialClaims      trialClaims
	crashChecks      crashChecks
	http             *fasthttp.Server
	listener         net.Listener
	// answerMemory is what buffered answers may hold.
	answerMemory memory.Budget
	// clientWatcher detects clients that close their connection.
	clientWatcher tcp.CloseWatcher
	stop          context.CancelFunc
	isDraining    atomic.Bool
	// schedule is that of a planned stop; nil: none has begun. isCutOff is set once the requests in flight are ended.
	// durations are those of the requests of each route and model.
	schedule  atomic.Pointer[shutdown.Schedule]
	isCutOff  atomic.Bool
	durations shutdown.Durations
	// inFlight holds the requests in flight; hadRequests is set by the first request.
	inFlight    jobSet
	hadRequests atomic.Bool
	// successThrottle limits the log lines of successful requests.
	successThrottle successThrottle
	// conns holds the open client connections, at most maxClientConns; 0 means no limit.
	conns          tcp.Conns
	maxClientConns int
}

const (
	// maxRequestBodyBytes bounds the body that is read from any client; the configured limit is
	// checked after reading.
	maxRequestBodyBytes = 8 << 20
	// maxRequestHeaderBytes is twice the largest header that the configuration allows.
	maxRequestHeaderBytes = 32 << 10
	// requestReadTimeout bounds reading one request; the slowest clients take seconds to send a
	// body of some KB.
	requestReadTimeout = 30 * time.Second
	// clientIdleTimeout is longer than any idle limit that the operator configures, so a client
	// within that limit is never disconnected.
	clientIdleTimeout = 3 * time.Minute
	// sweepInterval is the interval between removals of old backend connections, tracker states,
	// directives and limits.
	sweepInterval = 2 * time.Second
)

// Options configure a Server.
type Options struct {
	Address string
	Source  Source
	Codec   Codec
	// Meter measures the demand.
	Meter   *demand.Meter
	Budgets *retry.Budgets
	// Ledger holds the crashes recorded per digest of requests.
	Ledger *quarantine.Ledger
	// Paces records how fast servers answer.
	Paces *pace.Recorder
	// Limits holds the rate limits of servers, in requests per second, shared by all daemons.
	Limits   *ratelimit.Limiter
	Registry metrics.Registry
	Log      *zap.Logger
	// Dialer opens connections to backend servers; nil means directly. Links, if set, are the states of
	// the direct links.
	Dialer tcp.Dialer
	Links  backend.Links
	// Clock continues while the VM is suspended, as clients' timeouts do.
	Clock boottime.Clock
	// MaxClientConns is the limit of open connections of clients; 0 means none.
	MaxClientConns int
	// MemoryBytes is the memory of the VM; 0: unknown.
	MemoryBytes int64
	// MaxDeferred bounds the requests that are held during an overload.
	MaxDeferred deferral.Limits
	// MaxViewWait is the maximum time that a request waits for the first view; 0 means the
	// default.
	MaxViewWait time.Duration
}

// Listen starts a Server on IP:port.
func Listen(options Options) (*Server, error) {
	listener, err := tcp.Listen(options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for clients on %s", options.Address)
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{
		source:      options.Source,
		codec:       options.Codec,
		meter:       options.Meter,
		maxViewWait: cmp.Or(options.MaxViewWait, maxViewWait),
		clock:       options.Clock,
		log:         options.Log,
		registry:    options.Registry,
		backends: &backend.Client{
			Dialer: options.Dialer,
			Links:  options.Links,
		},
		budgets:  options.Budgets,
		ledger:   options.Ledger,
		limits:   options.Limits,
		paces:    options.Paces,
		listener: listener,
		stop:     stop,

		maxClientConns: options.MaxClientConns,
	}
	server.deferred.SetCapacity(options.MaxDeferred)
	server.answerMemory.SetLimit(memory.AnswerLimit(options.MemoryBytes))
	server.directives.Clock = options.Clock
	server.directiveThrottle.Interval = throttledLogInterval
	server.limitThrottle.Interval = throttledLogInterval
	server.retryThrottle.Interval = throttledLogInterval
	server.connectThrottle.Interval = throttledLogInterval
	server.endThrottle.Interval = throttledLogInterval
	server.acceptThrottle.Interval = throttledLogInterval
	server.silenceThrottle.Interval = throttledLogInterval
	server.http = &fasthttp.Server{
		Handler:                      server.handle,
		ErrorHandler:                 server.handleBadRequest,
		HeaderReceived:               server.limitBody,
		ExpectHandler:                server.expectBody,
		MaxRequestBodySize:           maxRequestBodyBytes,
		ReadBufferSize:               maxRequestHeaderBytes,
		ReadTimeout:                  requestReadTimeout,
		IdleTimeout:                  clientIdleTimeout,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       logline.Discard{},
	}
	server.http.ConnState = server.conns.SetState
	listener.OnError = server.recordAcceptError
	server.ledger.OnHold(server.abortQuarantined)
	go server.clientWatcher.Run(ctx)
	go server.sweep(ctx)
	go func() {
		if serveErr := server.http.Serve(&clientListener{
			Listener: listener,
			server:   server,
		}); serveErr != nil && !server.isDraining.Load() {
			server.log.Error("clients: HTTP server failed", logline.ErrorField(serveErr))
		}
	}()
	return server, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// HadRequests reports whether any request has arrived since the start.
func (s *Server) HadRequests() bool {
	return s.hadRequests.Load()
}

// InFlight returns the number of requests in flight.
func (s *Server) InFlight() int64 {
	return int64(s.inFlight.len())
}

// ConnectionCounts returns how many connections to backend servers were opened, and how often
// one was reused.
func (s *Server) ConnectionCounts() (opened, reused int64) {
	return s.backends.ConnectionCounts()
}

// RecordRestart records that a backend server has restarted under its ID. It is called before
// the view contains the new start.
func (s *Server) RecordRestart(former, next fleet.Server) {
	s.tracker.Reset(former.ID)
	s.directives.CarryPause(former.StartID(), next.StartID())
}

// Kill closes the listener and all connections at once, as a crash would.
func (s *Server) Kill() {
	s.isDraining.Store(true)
	s.stop()
	_ = s.listener.Close()
	s.conns.CloseAll()
}

// sweep periodically removes old backend connections, tracker states, directives and limits until
// ctx ends.
func (s *Server) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			isKnown := s.source.View().Fleet.HasServerOrRemoved
			s.backends.Sweep(isKnown)
			s.tracker.Sweep(isKnown)
			s.sweepDirectives()
		}
	}
}
