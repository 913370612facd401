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
)

// refusal is an error that is the operator's to correct.
type refusal struct {
	cause error
}

// Error returns the cause's text.
func (r refusal) Error() string {
	return r.cause.Error()
}

// Refuse marks an error as the operator's to correct.
func Refuse(cause error) error {
	return refusal{
		cause: cause,
	}
}

// IsRefused tells whether an error is the operator's to correct.
func IsRefused(err error) bool {
	var found refusal
	return errors.As(err, &found)
}

// Fleet is what operators can ask of a daemon.
type Fleet interface {
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

// Server answers operators. Use Listen.
type Server struct {
	fleet         Fleet
	bootstrapHash string
	log           *zap.Logger
	app           *fiber.App
	listener      net.Listener
}

// requestTimeout bounds one operator's request; it is longer than it takes for
// a configuration to be accepted.
const requestTimeout = 20 * time.Second

// Listen answers operators at IP:port, where port 0 picks a free one.
// bootstrapHash is the key's hash of who may apply the first declaration.
func Listen(address, bootstrapHash string, fleet Fleet, log *zap.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for operators on %s", address)
	}
	server := &Server{
		fleet:         fleet,
		bootstrapHash: bootstrapHash,
		log:           log,
		listener:      listener,
		app: fiber.New(fiber.Config{
			AppName:   "headcourse operators",
			Immutable: true,
			BodyLimit: 16 << 20,
		}),
	}
	server.routes()
	go func() {
		_ = server.app.Listener(listener, fiber.ListenConfig{
			DisableStartupMessage: true,
		})
	}()
	return server, nil
}

// Address returns the IP:port listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close ends the server.
func (s *Server) Close() {
	_ = s.app.ShutdownWithTimeout(time.Second)
	_ = s.listener.Close()
}

// operation is one operator's request: it returns what is answered as JSON.
type operation func(ctx context.Context, c fiber.Ctx, operator string) (any, error)

// routes registers the paths.
func (s *Server) routes() {
	s.app.Post(pathApply, s.serve(s.apply))
	s.app.Post(pathDiff, s.serve(s.diff))
	s.app.Post(pathPlans, s.serve(s.propose))
	s.app.Get(pathPlans, s.serve(s.plans))
	s.app.Get(pathPlans+"/:id", s.serve(s.plan))
	s.app.Post(pathPlans+"/:id/:change", s.serve(s.change))
	s.app.Get(pathStatus, s.serve(func(context.Context, fiber.Ctx, string) (any, error) {
		return s.fleet.Status(), nil
	}))
	s.app.Get(pathGroups, s.serve(func(context.Context, fiber.Ctx, string) (any, error) {
		return s.fleet.Groups(), nil
	}))
	s.app.Get(pathCounters, s.serve(func(context.Context, fiber.Ctx, string) (any, error) {
		return s.fleet.Counters(), nil
	}))
}

// serve returns the handler of an operation for operators that are known.
func (s *Server) serve(run operation) fiber.Handler {
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
		if IsRefused(err) {
			status = fiber.StatusUnprocessableEntity
		}
		return c.Status(status).JSON(errorReply{
			Error:   err.Error(),
			Unknown: errors.Is(err, table.ErrUnknown),
		})
	}
}

// authenticate returns the operator whose key the request has.
func (s *Server) authenticate(c fiber.Ctx) (string, bool) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	declared := s.fleet.Declaration()
	for _, operator := range declared.Operators {
		for _, known := range operator.KeyHashes {
			if subtle.ConstantTimeCompare([]byte(known), []byte(hash)) == 1 {
				return operator.Name, true
			}
		}
	}
	isFirst := len(declared.Operators) == 0 && s.bootstrapHash != ""
	return "bootstrap", isFirst && subtle.ConstantTimeCompare([]byte(s.bootstrapHash), []byte(hash)) == 1
}

// apply parses and applies a declaration.
func (s *Server) apply(ctx context.Context, c fiber.Ctx, operator string) (any, error) {
	var request ApplyRequest
	if err := c.Bind().JSON(&request); err != nil {
		return nil, Refuse(err)
	}
	declared, err := declaration.Parse(request.Files)
	if err != nil {
		return nil, Refuse(err)
	}
	return s.fleet.Apply(ctx, operator, declared, request.From)
}

// diff compares a declaration with the one in force.
func (s *Server) diff(ctx context.Context, c fiber.Ctx, _ string) (any, error) {
	var request ApplyRequest
	if err := c.Bind().JSON(&request); err != nil {
		return nil, Refuse(err)
	}
	declared, err := declaration.Parse(request.Files)
	if err != nil {
		return nil, Refuse(err)
	}
	return s.fleet.Diff(ctx, declared)
}

// propose plans an intent.
func (s *Server) propose(ctx context.Context, c fiber.Ctx, operator string) (any, error) {
	var intent plan.Intent
	if err := c.Bind().JSON(&intent); err != nil {
		return nil, Refuse(err)
	}
	return replyWith(s.fleet.Propose(ctx, operator, intent))
}

// replyWith adds the prediction to a plan.
func replyWith(made plan.Plan, err error) (any, error) {
	if err != nil {
		return nil, err
	}
	downtime, stranded := made.Predicted()
	return PlanReply{
		Plan:            made,
		DowntimeSeconds: downtime,
		StrandedSeconds: stranded,
	}, nil
}

// plans lists all plans.
func (s *Server) plans(ctx context.Context, _ fiber.Ctx, _ string) (any, error) {
	return s.fleet.Plans(ctx)
}

// plan shows one plan.
func (s *Server) plan(ctx context.Context, c fiber.Ctx, _ string) (any, error) {
	all, err := s.fleet.Plans(ctx)
	if err != nil {
		return nil, err
	}
	for _, one := range all {
		if one.ID == c.Params("id") {
			return replyWith(one, nil)
		}
	}
	return nil, Refuse(errors.Errorf("plan %q does not exist", c.Params("id")))
}

// changeConfirm is the change that confirms a plan.
const changeConfirm = "confirm"

// change confirms, pauses, resumes or abandons a plan.
func (s *Server) change(ctx context.Context, c fiber.Ctx, operator string) (any, error) {
	id, change := c.Params("id"), c.Params("change")
	if change == changeConfirm {
		return replyWith(s.fleet.Confirm(ctx, operator, id))
	}
	return replyWith(s.fleet.Change(ctx, operator, id, plan.Change(change)))
}
