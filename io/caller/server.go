// Package caller speaks to callers: HTTP with the chat-completions form that
// their clients already know, server-sent events for streams, and plain
// services under their declared prefixes.
//
// Every answer says what became of the request, in the header
// X-Headcourse-Outcome and, on errors, in the body: ran, not_run or unknown.
// Whatever a request brings is copied before anything else sees it, since the
// HTTP library uses its buffers again.
package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/admission"
	"headcourse/core/control"
	"headcourse/core/idempotency"
	"headcourse/core/outcome"
	"headcourse/core/retry"
	"headcourse/core/route"
	"headcourse/core/table"
	"headcourse/io/engine"
	"headcourse/io/tcp"
)

// Source is what the callers' side needs of the daemon.
type Source interface {
	ID() string
	Snapshot() *control.Snapshot
	Engines() *engine.Client
	Store() table.Store
	OnChange(changed func())
	IsAlive(daemon string) bool
}

// Server serves callers. Use Listen.
type Server struct {
	source   Source
	log      *zap.Logger
	registry metrics.Registry
	app      *fiber.App
	listener net.Listener
	queue    admission.Queue
	tracker  route.Tracker
	policy   route.Policy
	budget   retry.Budget
	keeper   idempotency.Keeper
	gone     tcp.Watcher
	// conns holds the open connections; refused holds, by group, the time of the
	// evidence that the group itself has disproved.
	conns   tcp.Conns
	refused sync.Map

	stop context.CancelFunc
	// unready is told to the balancer; leaving refuses requests.
	unready atomic.Bool
	leaving atomic.Bool
	closed  atomic.Bool
	// open counts requests in flight and answers being kept.
	open atomic.Int64
}

// Figures of the HTTP server.
const (
	bodyLimit       = 16 << 20
	readTimeout     = 30 * time.Second
	keepAliveWindow = 2 * time.Minute
)

// Listen serves callers at IP:port, where port 0 picks a free one.
func Listen(address string, source Source, registry metrics.Registry, log *zap.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", address)
	}
	ctx, stop := context.WithCancel(context.Background())
	batcher := idempotency.NewBatcher(source.Store())
	server := &Server{
		source:   source,
		log:      log,
		registry: registry,
		listener: listener,
		policy:   route.Affinity{},
		keeper: idempotency.Keeper{
			Store:   source.Store(),
			Commit:  batcher.Commit,
			IsAlive: source.IsAlive,
		},
		stop: stop,
	}
	go batcher.Run(ctx)
	go server.gone.Run(ctx)
	source.OnChange(server.queue.Wake)
	server.app = fiber.New(fiber.Config{
		AppName:                  "headcourse",
		Immutable:                true,
		BodyLimit:                bodyLimit,
		ReadTimeout:              readTimeout,
		IdleTimeout:              keepAliveWindow,
		StreamRequestBody:        false,
		DisableDefaultDate:       true,
		DisableHeaderNormalizing: false,
		ErrorHandler:             server.handleError,
	})
	server.app.Server().ConnState = server.conns.Note
	server.routes()
	go server.serve()
	return server, nil
}

// routes registers the paths.
func (s *Server) routes() {
	s.app.Get("/health/ready", s.handleReady)
	s.app.Get("/health/live", func(c fiber.Ctx) error {
		return c.SendString("live\n")
	})
	s.app.Get("/v1/models", s.handleModels)
	s.app.Post("/v1/chat/completions", s.handleCompletion)
	s.app.All("/*", s.handleService)
}

// serve runs the HTTP server until it is shut down.
func (s *Server) serve() {
	err := s.app.Listener(s.listener, fiber.ListenConfig{
		DisableStartupMessage: true,
	})
	if err != nil && !s.closed.Load() {
		s.log.Error("callers: server ended", zap.Error(err))
	}
}

// Address returns the IP:port listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Unready makes the health check tell the balancer to send no more.
func (s *Server) Unready() {
	s.unready.Store(true)
}

// Close refuses new requests, waits for those in flight until ctx ends, and
// closes. It returns an error if some were cut off.
func (s *Server) Close(ctx context.Context) error {
	s.leaving.Store(true)
	s.closed.Store(true)
	err := s.awaitIdle(ctx)
	s.stop()
	shutdownErr := s.app.ShutdownWithTimeout(time.Second)
	if err == nil && shutdownErr != nil && !errors.Is(shutdownErr, context.DeadlineExceeded) {
		err = errors.Wrap(shutdownErr, "stop callers' server")
	}
	return err
}

// idlePoll is the time between two looks at whether all answers are finished.
const idlePoll = 20 * time.Millisecond

// awaitIdle waits until nothing is in flight, or returns an error when ctx ends.
func (s *Server) awaitIdle(ctx context.Context) error {
	for s.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Errorf("stop callers' server: %d answers were still in flight", s.open.Load())
		case <-time.After(idlePoll):
		}
	}
	return nil
}

// Kill closes at once, as a crash would.
func (s *Server) Kill() {
	s.closed.Store(true)
	s.stop()
	_ = s.listener.Close()
	s.conns.CloseAll()
}

// handleReady tells the balancer whether to send requests here.
func (s *Server) handleReady(c fiber.Ctx) error {
	if s.unready.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString(string(outcome.ReasonLeaving) + "\n")
	}
	if !s.source.Snapshot().Warm {
		return c.Status(fiber.StatusServiceUnavailable).SendString("warming_up\n")
	}
	if refusal := s.readiness(); refusal != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(string(refusal.Reason) + "\n")
	}
	return c.SendString("ready\n")
}

// readiness returns why this daemon does not serve; nil when it does.
func (s *Server) readiness() *outcome.Failure {
	snapshot := s.source.Snapshot()
	switch {
	case s.leaving.Load():
		return outcome.Refuse(outcome.ReasonLeaving, "check readiness")
	case snapshot.Configuration.Revision == 0:
		return outcome.Refuse(outcome.ReasonNotConfigured, "check readiness")
	case time.Now().After(snapshot.ServeUntil):
		return outcome.Refuse(outcome.ReasonCutOff, "check readiness")
	default:
		return nil
	}
}

// modelList is the answer to /v1/models.
type modelList struct {
	Object string      `json:"object"`
	Data   []modelInfo `json:"data"`
}

// modelInfo is one model of a modelList.
type modelInfo struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// handleModels lists the declared models.
func (s *Server) handleModels(c fiber.Ctx) error {
	if _, refusal := s.authenticate(c); refusal != nil {
		return s.refuse(c, "", refusal)
	}
	list := modelList{
		Object: "list",
		Data:   []modelInfo{},
	}
	declared := s.source.Snapshot().Declaration()
	for _, model := range declared.Models {
		list.Data = append(list.Data, modelInfo{
			ID:      model.Name,
			Object:  "model",
			OwnedBy: declared.Deployment,
		})
	}
	return c.JSON(list)
}

// count adds one to a counter.
func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
}

// Names of counters; each is followed by a reason or an outcome.
const (
	counterRefusal = "refusal."
	counterRetry   = "retry."
	counterOutcome = "request."
	counterResume  = "stream.resumed"
	counterReplay  = "idempotency.replayed"
)
