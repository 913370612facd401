// Package gateway is the entry for clients: it takes a request, finds its
// route, sends it to a backend server and gives the client that server's whole
// answer.
//
// What may be said of a request depends on what may have become of it. "Not
// run" (503) is said only while no byte of the request can have been run by
// any server, or every server that had it said that it ran nothing. Anything
// else ends with 502 or 504. A request is sent again only if it was not run,
// or its route allows it to run more than once; and only within the budget
// that all daemons share.
//
// A request that comes before the daemon has read what it serves by is held for a
// moment. Each send tells the server how urgent the request is.
package gateway

import (
	"cmp"
	"context"
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
	"headcourse/core/demand"
	"headcourse/core/directive"
	"headcourse/core/evacuation"
	"headcourse/core/fleet"
	"headcourse/core/quarantine"
	"headcourse/core/ratelimit"
	"headcourse/core/request"
	"headcourse/core/retry"
	"headcourse/core/urgency"
	"headcourse/core/usage"
	"headcourse/io/backend"
	"headcourse/io/logline"
	"headcourse/io/tcp"
)

// Dialect reads and writes what clients and backend servers speak. Name puts a
// request's id on an answer of the system's own.
type Dialect interface {
	ReadRequest(ctx *fasthttp.RequestCtx) (*request.Request, error)
	WriteHead(r *request.Request, attempt request.Attempt) []byte
	ReadAnswer(head *fasthttp.ResponseHeader) request.Answer
	Name(ctx *fasthttp.RequestCtx, id string)
}

// View is what a daemon knows when it serves a request.
type View struct {
	// Config is nil until one is known.
	Config *config.Config
	Fleet  fleet.View
	// Evacuated are the zones whose servers are to get no requests.
	Evacuated evacuation.Zones
}

// Source gives the view and takes what requests find out.
type Source interface {
	View() View
	// Known is closed when configuration and servers were read for the first time.
	Known() <-chan struct{}
	// Unreadable is closed when they could not be read.
	Unreadable() <-chan struct{}
	// KnownFor is how long ago that was; 0 before.
	KnownFor() time.Duration
	// Age is how old the view of configuration and keys may be; MayAcceptKeys
	// whether keys may still be accepted by it; IsCurrent whether keys and routes
	// that it does not hold may be denied.
	Age() time.Duration
	MayAcceptKeys() bool
	IsCurrent() bool
	// Daemons is how many daemons there are.
	Daemons() int
	// Preference is what a request of a kind goes by when a server is chosen.
	Preference(kind demand.Kind) balancer.Preference
	// IsTroubled tells whether other daemons found a server standing still or slow.
	IsTroubled(server fleet.Server) bool
	// IsStill tells whether other daemons found that a member of its group is silent.
	IsStill(server fleet.Server) bool
	// LimitPlace is this daemon's place among those that may share the limit of a server.
	LimitPlace(server fleet.Server) ratelimit.Place
	// LimitObserved takes what an answer of a server says of its limit, where it names one or
	// told that one is over.
	LimitObserved(server fleet.Server, said ratelimit.Limit)
	// ServerCold takes from an answer that a server is cold.
	ServerCold(server fleet.Server)
	// Stalled is told of a server that stands still with requests under way.
	Stalled(server fleet.Server)
	// Ended is told of a server that ended with a request under way, of which all
	// daemons are to know; Cleared that a request which they suspect was answered.
	Ended(end quarantine.End)
	Cleared(cleared quarantine.Cleared)
	// MayTry tells whether the other daemons agree to a trial. It waits for the store.
	MayTry(trial quarantine.Trial) bool
}

// Server serves clients. Use Listen.
type Server struct {
	source       Source
	dialect      Dialect
	meter        *demand.Meter
	viewPatience time.Duration
	clock        boottime.Clock
	log          *zap.Logger
	registry     metrics.Registry
	backends     *backend.Client
	tracker      balancer.Tracker
	patience     urgency.Patience
	overload     urgency.Overload
	lane         urgency.Lane
	sizes        usage.Sizes
	budgets      *retry.Budgets
	// directives are what servers said about further requests.
	directives directive.Book
	// directiveLines bounds the lines about them.
	directiveLines logline.Rarely
	// limits are what servers said that they take from all daemons together; limitLines
	// bounds the lines about them.
	limits     *ratelimit.Book
	limitLines logline.Rarely
	// ledger knows which requests are held; underWay finds those that were sent before;
	// checks find out which servers have ended.
	ledger   *quarantine.Ledger
	underWay underWay
	checks   checks
	http     *fasthttp.Server
	listener net.Listener
	// gone finds out which clients went away.
	gone    tcp.Watcher
	stop    context.CancelFunc
	leaving atomic.Bool
	// open counts requests under way; hadAny tells that one ever came.
	open   atomic.Int64
	hadAny atomic.Bool
	// thinning bounds the log lines of requests that ended well.
	thinning thinner
	// conns holds the open connections of clients.
	conns tcp.Conns
}

// Figures of the HTTP server.
const (
	// bodyLimit bounds what is read of any client; the configuration's own
	// limit is checked after reading.
	bodyLimit = 8 << 20
	// headLimit holds the largest head the configuration allows, twice over.
	headLimit = 32 << 10
	// readTime bounds reading one request; the slowest clients send a body of
	// some KB over seconds.
	readTime = 30 * time.Second
	// idleTime is longer than any limit the operator sets, so that a client
	// that keeps within the limit is never cut off.
	idleTime = 3 * time.Minute
	// sweepEvery is the time between two clean-ups of kept connections.
	sweepEvery = 2 * time.Second
)

// Options are what a Server needs.
type Options struct {
	Address string
	Source  Source
	Dialect Dialect
	// Meter measures what is asked.
	Meter   *demand.Meter
	Budgets *retry.Budgets
	// Ledger knows which requests servers ended under.
	Ledger *quarantine.Ledger
	// Limits knows what servers take a second from all daemons together.
	Limits   *ratelimit.Book
	Registry metrics.Registry
	Log      *zap.Logger
	// Clock goes on while the machine is suspended, as clients' patience does.
	Clock boottime.Clock
	// ViewPatience is how long a request is held at most until the daemon has read
	// what it serves by; 0: the default.
	ViewPatience time.Duration
}

// Listen serves clients at IP:port.
func Listen(options Options) (*Server, error) {
	listener, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for clients on %s", options.Address)
	}
	ctx, stop := context.WithCancel(context.Background())
	server := &Server{
		source:       options.Source,
		dialect:      options.Dialect,
		meter:        options.Meter,
		viewPatience: cmp.Or(options.ViewPatience, viewPatience),
		clock:        options.Clock,
		log:          options.Log,
		registry:     options.Registry,
		backends:     &backend.Client{},
		budgets:      options.Budgets,
		ledger:       options.Ledger,
		limits:       options.Limits,
		listener:     listener,
		stop:         stop,
	}
	server.directives.Clock = options.Clock
	server.directiveLines.Every = directiveLineEvery
	server.limitLines.Every = directiveLineEvery
	server.http = &fasthttp.Server{
		Handler:                      server.handle,
		ErrorHandler:                 server.handleBadRequest,
		MaxRequestBodySize:           bodyLimit,
		ReadBufferSize:               headLimit,
		ReadTimeout:                  readTime,
		IdleTimeout:                  idleTime,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		NoDefaultContentType:         true,
		DisablePreParseMultipartForm: true,
		Logger:                       logline.Quiet{},
	}
	server.http.ConnState = server.conns.Note
	server.ledger.Listen(server.endHeld)
	go server.gone.Run(ctx)
	go server.sweep(ctx)
	go func() {
		if serveErr := server.http.Serve(listener); serveErr != nil && !server.leaving.Load() {
			server.log.Error("clients: server ended", logline.Err(serveErr))
		}
	}()
	return server, nil
}

// Address returns the IP:port listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// HadRequests tells whether any request has come since the start.
func (s *Server) HadRequests() bool {
	return s.hadAny.Load()
}

// Open returns how many requests are under way.
func (s *Server) Open() int64 {
	return s.open.Load()
}

// Connections returns how many connections to backend servers were made, and how
// often one was used again.
func (s *Server) Connections() (opened, reused int64) {
	return s.backends.Counts()
}

// Restarted tells that a backend server has started again under its ID, before the view
// shows so.
func (s *Server) Restarted(former, next fleet.Server) {
	s.tracker.Forget(former.ID)
	s.directives.Restarted(former.Start(), next.Start())
}

// Leave makes every further answer ask its client to use another connection.
func (s *Server) Leave() {
	s.leaving.Store(true)
}

// Close takes no more requests and waits until those under way have ended, or
// ctx ends.
func (s *Server) Close(ctx context.Context) error {
	s.leaving.Store(true)
	err := s.http.ShutdownWithContext(ctx)
	s.stop()
	return errors.Wrapf(err, "stop clients' server with %d requests under way", s.open.Load())
}

// Kill closes everything at once, as a crash would.
func (s *Server) Kill() {
	s.leaving.Store(true)
	s.stop()
	_ = s.listener.Close()
	s.conns.CloseAll()
}

// sweep closes old connections to servers until ctx ends.
func (s *Server) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			isKnown := s.source.View().Fleet.IsUsable
			s.backends.Sweep(isKnown)
			s.tracker.Sweep(isKnown)
			s.sweepSaid()
		}
	}
}
