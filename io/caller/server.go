// Package caller is the HTTP server for callers. It serves the chat-completions API
// that their client libraries support, with server-sent events for streams, and plain
// services under their declared prefixes.
//
// Every answer states the outcome of the request: ran, not_run or unknown. It is in
// the header X-Headcourse-Outcome and, for errors, in the body. Requests are copied
// before they are used, since the HTTP library reuses its buffers.
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

// Source is the part of the daemon that this package uses.
type Source interface {
	ID() string
	Snapshot() *control.Snapshot
	Engines() *engine.Client
	Store() table.Store
	OnSnapshot(listener func())
	IsMember(daemon string) bool
}

// Server serves callers. Create it with Listen.
type Server struct {
	source      Source
	log         *zap.Logger
	registry    metrics.Registry
	app         *fiber.App
	listener    net.Listener
	queue       admission.Queue
	tracker     route.Tracker
	policy      route.Policy
	budget      retry.Budget
	claims      idempotency.Claimer
	disconnects tcp.CloseWatcher
	// conns holds the open connections. refusedEvidence holds, by group, the time of the
	// evidence that a refusal of the group has disproved.
	conns           tcp.Conns
	refusedEvidence sync.Map

	stop context.CancelFunc
	// jobsCtx is that of all requests; endJobs ends them.
	jobsCtx context.Context
	endJobs context.CancelFunc
	// isUnready fails the readiness check; isLeaving refuses new requests.
	isUnready atomic.Bool
	isLeaving atomic.Bool
	isClosed  atomic.Bool
	// openCount is the number of requests in flight and of claims being updated.
	openCount atomic.Int64
}

// Limits of the HTTP server.
const (
	// maxBodySize is in bytes.
	maxBodySize = 16 << 20
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// Listen starts a server at IP:port. Port 0 chooses a free port.
func Listen(address string, source Source, registry metrics.Registry, log *zap.Logger) (*Server, error) {
	listener, err := tcp.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for callers on %s", address)
	}
	ctx, stop := context.WithCancel(context.Background())
	jobsCtx, endJobs := context.WithCancel(context.Background())
	batcher := idempotency.NewBatcher(source.Store())
	server := &Server{
		source:   source,
		log:      log,
		registry: registry,
		listener: listener,
		policy:   route.Affinity{},
		claims: idempotency.Claimer{
			Store:   source.Store(),
			Commit:  batcher.Commit,
			IsAlive: source.IsMember,
		},
		stop:    stop,
		jobsCtx: jobsCtx,
		endJobs: endJobs,
	}
	go batcher.Run(ctx)
	go server.disconnects.Run(ctx)
	source.OnSnapshot(server.queue.DispatchAll)
	server.app = fiber.New(fiber.Config{
		AppName:                  "headcourse",
		Immutable:                true,
		BodyLimit:                maxBodySize,
		ReadTimeout:              readTimeout,
		IdleTimeout:              idleTimeout,
		StreamRequestBody:        false,
		DisableDefaultDate:       true,
		DisableHeaderNormalizing: false,
		ErrorHandler:             server.handleError,
	})
	server.app.Server().ConnState = server.conns.SetState
	server.registerRoutes()
	go server.serve()
	return server, nil
}

// registerRoutes registers the handlers.
func (s *Server) registerRoutes() {
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
	if err != nil && !s.isClosed.Load() {
		s.log.Error("callers: HTTP server failed", zap.Error(err))
	}
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// SetUnready makes the readiness check fail, so that the load balancer sends no more
// requests.
func (s *Server) SetUnready() {
	s.isUnready.Store(true)
}

// maxEndTime is how long the callers of requests that Close ends may take to get the end.
const maxEndTime = time.Second

// Close refuses new requests, waits for those in flight until ctx ends, ends the others with an unknown outcome, and
// closes the server. It returns an error if some requests were still in flight.
func (s *Server) Close(ctx context.Context) error {
	s.isLeaving.Store(true)
	s.isClosed.Store(true)
	err := s.waitUntilIdle(ctx)
	s.endJobs()
	if err != nil {
		endCtx, cancel := context.WithTimeout(context.Background(), maxEndTime)
		defer cancel()
		// The requests that are left were counted by the first wait.
		_ = s.waitUntilIdle(endCtx)
	}
	s.stop()
	shutdownErr := s.app.ShutdownWithTimeout(time.Second)
	if err == nil && shutdownErr != nil && !errors.Is(shutdownErr, context.DeadlineExceeded) {
		err = errors.Wrap(shutdownErr, "stop callers' server")
	}
	return err
}

// idlePollInterval is how often waitUntilIdle checks whether requests are in flight.
const idlePollInterval = 20 * time.Millisecond

// waitUntilIdle waits until no request is in flight. It returns an error if ctx ends
// before.
func (s *Server) waitUntilIdle(ctx context.Context) error {
	for s.openCount.Load() > 0 {
		select {
		case <-ctx.Done():
			return errors.Errorf("stop callers' server: %d answers were still in flight", s.openCount.Load())
		case <-time.After(idlePollInterval):
		}
	}
	return nil
}

// Kill closes the server and its connections at once, as a crash would.
func (s *Server) Kill() {
	s.isClosed.Store(true)
	s.endJobs()
	s.stop()
	_ = s.listener.Close()
	s.conns.CloseAll()
}

// handleReady serves the readiness check of the load balancer.
func (s *Server) handleReady(c fiber.Ctx) error {
	if s.isUnready.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString(string(outcome.ReasonDaemonLeaving) + "\n")
	}
	if !s.source.Snapshot().IsWarm {
		return c.Status(fiber.StatusServiceUnavailable).SendString("warming_up\n")
	}
	if refusal := s.readiness(); refusal != nil {
		return c.Status(fiber.StatusServiceUnavailable).SendString(string(refusal.Reason) + "\n")
	}
	return c.SendString("ready\n")
}

// readiness returns the reason why this daemon serves no requests, or nil if it does.
func (s *Server) readiness() *outcome.Failure {
	snapshot := s.source.Snapshot()
	switch {
	case s.isLeaving.Load():
		return outcome.NotRunFailure(outcome.ReasonDaemonLeaving, "check readiness")
	case snapshot.Configuration.Revision == 0:
		return outcome.NotRunFailure(outcome.ReasonDaemonNotConfigured, "check readiness")
	case time.Now().After(snapshot.ServeUntil):
		return outcome.NotRunFailure(outcome.ReasonDaemonCutOff, "check readiness")
	default:
		return nil
	}
}

// modelList is the body of the answer to /v1/models.
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
		return s.sendFailure(c, "", refusal)
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

// count increments a counter.
func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter(name, s.registry).Inc(1)
}

// Names of counters. Those that end with a full stop are prefixes of a reason or an
// outcome.
const (
	counterRefusal = "refusal."
	counterRetry   = "retry."
	counterOutcome = "request."
	counterResume  = "stream.resumed"
	counterReplay  = "idempotency.replayed"
)
