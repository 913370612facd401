package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/core/declaration"
	"headcourse/core/plan"
	"headcourse/core/table"
	"headcourse/io/tcp"
)

// invalidRequestError is an error that the operator can correct.
type invalidRequestError struct {
	cause error
}

// Error returns the text of the cause.
func (e invalidRequestError) Error() string {
	return e.cause.Error()
}

// MarkInvalid marks an error as one that the operator can correct.
func MarkInvalid(cause error) error {
	return invalidRequestError{
		cause: cause,
	}
}

// IsInvalid reports whether an error was marked by MarkInvalid.
func IsInvalid(err error) bool {
	var invalid invalidRequestError
	return errors.As(err, &invalid)
}

// Service executes the requests of operators.
type Service interface {
	Apply(ctx context.Context, operator string, declared declaration.Declaration, from uint64) (ApplyReply, error)
	Diff(ctx context.Context, declared declaration.Declaration) (DiffReply, error)
	Propose(ctx context.Context, operator string, intent plan.Intent) (plan.Plan, error)
	Plans(ctx context.Context) ([]plan.Plan, error)
	Confirm(ctx context.Context, operator, id string) (plan.Plan, error)
	Change(ctx context.Context, operator, id string, change plan.Change) (plan.Plan, error)
	Status() Status
	Groups() []GroupStatus
	Counters() Counters
	Declaration() declaration.Declaration
}

// Server serves operators. Create it with Listen.
type Server struct {
	service       Service
	bootstrapHash string
	log           *zap.Logger
	app           *fiber.App
	listener      net.Listener
}

// requestTimeout limits one request. It is longer than a configuration needs to be
// accepted.
const requestTimeout = 20 * time.Second

// Listen starts a server at IP:port. Port 0 chooses a free port. bootstrapHash is the hash
// of the key that is valid until a declaration names operators.
func Listen(address, bootstrapHash string, service Service, log *zap.Logger) (*Server, error) {
	listener, err := tcp.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for operators on %s", address)
	}
	server := &Server{
		service:       service,
		bootstrapHash: bootstrapHash,
		log:           log,
		listener:      listener,
		app: fiber.New(fiber.Config{
			AppName:   "headcourse operators",
			Immutable: true,
			BodyLimit: 16 << 20,
		}),
	}
	server.registerRoutes()
	go func() {
		_ = server.app.Listener(listener, fiber.ListenConfig{
			DisableStartupMessage: true,
		})
	}()
	return server, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close stops the server.
func (s *Server) Close() {
	_ = s.app.ShutdownWithTimeout(time.Second)
	_ = s.listener.Close()
}

// operation executes a request of an operator. Its result is the JSON body of the answer.
type operation func(ctx context.Context, c fiber.Ctx, operator string) (any, error)

// registerRoutes registers the handlers.
func (s *Server) registerRoutes() {
	s.app.Post(pathApply, s.handler(s.apply))
	s.app.Post(pathDiff, s.handler(s.diff))
	s.app.Post(pathPlans, s.handler(s.propose))
	s.app.Get(pathPlans, s.handler(s.plans))
	s.app.Get(pathPlans+"/:id", s.handler(s.plan))
	s.app.Post(pathPlans+"/:id/:change", s.handler(s.change))
	s.app.Get(pathStatus, s.handler(func(context.Context, fiber.Ctx, string) (any, error) {
		return s.service.Status(), nil
	}))
	s.app.Get(pathGroups, s.handler(func(context.Context, fiber.Ctx, string) (any, error) {
		return s.service.Groups(), nil
	}))
	s.app.Get(pathCounters, s.handler(func(context.Context, fiber.Ctx, string) (any, error) {
		return s.service.Counters(), nil
	}))
}

// handler returns the HTTP handler of an operation. It authenticates the operator first.
func (s *Server) handler(run operation) fiber.Handler {
	return func(c fiber.Ctx) error {
		operator, ok := s.authenticate(c)
		if !ok {
			return c.Status(fiber.StatusUnauthorized).JSON(errorReply{
				Error: "no operator has this key",
			})
		}
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		result, err := run(ctx, c, operator)
		if err == nil {
			return c.JSON(result)
		}
		s.log.Warn("operators: request failed", zap.String("operator", operator), zap.String("path", c.Path()), zap.Error(err))
		status := fiber.StatusServiceUnavailable
		if IsInvalid(err) {
			status = fiber.StatusUnprocessableEntity
		}
		return c.Status(status).JSON(errorReply{
			Error:   err.Error(),
			Unknown: errors.Is(err, table.ErrUnknown),
		})
	}
}

// authenticate returns the name of the operator whose key the request has. The bootstrap
// key is valid only while no operators are declared.
func (s *Server) authenticate(c fiber.Ctx) (string, bool) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	declared := s.service.Declaration()
	for _, operator := range declared.Operators {
		for _, keyHash := range operator.KeyHashes {
			if subtle.ConstantTimeCompare([]byte(keyHash), []byte(hash)) == 1 {
				return operator.Name, true
			}
		}
	}
	isBootstrap := len(declared.Operators) == 0 && s.bootstrapHash != ""
	return "bootstrap", isBootstrap && subtle.ConstantTimeCompare([]byte(s.bootstrapHash), []byte(hash)) == 1
}

// apply parses and applies a declaration.
func (s *Server) apply(ctx context.Context, c fiber.Ctx, operator string) (any, error) {
	var request ApplyRequest
	if err := c.Bind().JSON(&request); err != nil {
		return nil, MarkInvalid(err)
	}
	declared, err := declaration.Parse(request.Files)
	if err != nil {
		return nil, MarkInvalid(err)
	}
	return s.service.Apply(ctx, operator, declared, request.From)
}

// diff compares a declaration with the one in force, without applying it.
func (s *Server) diff(ctx context.Context, c fiber.Ctx, _ string) (any, error) {
	var request ApplyRequest
	if err := c.Bind().JSON(&request); err != nil {
		return nil, MarkInvalid(err)
	}
	declared, err := declaration.Parse(request.Files)
	if err != nil {
		return nil, MarkInvalid(err)
	}
	return s.service.Diff(ctx, declared)
}

// propose creates a plan for an intent.
func (s *Server) propose(ctx context.Context, c fiber.Ctx, operator string) (any, error) {
	var intent plan.Intent
	if err := c.Bind().JSON(&intent); err != nil {
		return nil, MarkInvalid(err)
	}
	return planReply(s.service.Propose(ctx, operator, intent))
}

// planReply returns the reply with a plan and its predicted costs, or the error.
func planReply(proposal plan.Plan, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	downtime, stranded := proposal.PredictedTotals()
	return PlanReply{
		Plan:            proposal,
		DowntimeSeconds: downtime,
		StrandedSeconds: stranded,
	}, nil
}

// plans returns all plans.
func (s *Server) plans(ctx context.Context, _ fiber.Ctx, _ string) (any, error) {
	return s.service.Plans(ctx)
}

// plan returns one plan.
func (s *Server) plan(ctx context.Context, c fiber.Ctx, _ string) (any, error) {
	all, err := s.service.Plans(ctx)
	if err != nil {
		return nil, err
	}
	for _, candidate := range all {
		if candidate.ID == c.Params("id") {
			return planReply(candidate, nil)
		}
	}
	return nil, MarkInvalid(errors.Errorf("plan %q does not exist", c.Params("id")))
}

// changeConfirm is the change that confirms a plan.
const changeConfirm = "confirm"

// change confirms, pauses, resumes or abandons a plan.
func (s *Server) change(ctx context.Context, c fiber.Ctx, operator string) (any, error) {
	id, change := c.Params("id"), c.Params("change")
	if change == changeConfirm {
		return planReply(s.service.Confirm(ctx, operator, id))
	}
	return planReply(s.service.Change(ctx, operator, id, plan.Change(change)))
}
