package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"

	"headcourse/core/declaration"
	"headcourse/core/idempotency"
	"headcourse/core/outcome"
	"headcourse/core/route"
	"headcourse/io/engine"
)

// Header fields of requests and answers.
const (
	headerOutcome     = "X-Headcourse-Outcome"
	headerRequestID   = "X-Request-Id"
	headerIdempotency = "Idempotency-Key"
	headerPriority    = "X-Priority"
	headerDeadline    = "X-Deadline-Ms"
	headerReplayed    = "X-Headcourse-Replayed"
	headerRetryAfter  = "Retry-After"
)

// maxKey bounds the length of an idempotency key.
const maxKey = 255

// job is one request on its way. All of it is copied from the HTTP library's
// buffers.
type job struct {
	id           string
	organisation declaration.Organisation
	call         engine.Call
	// model or service is set.
	model   string
	service string
	prefix  uint64
	// repeatable tells that the request may be run twice.
	repeatable bool
	key        string
	priority   int
	// mayHaveRun tells that an earlier try ended in an unknown outcome, so that
	// whatever comes after it, the job cannot be said not to have run.
	mayHaveRun bool
	// tries counts how often the job was begun.
	tries  int
	ctx    context.Context
	cancel context.CancelFunc
	// isGone tells that the caller went away.
	isGone atomic.Bool
	// server is the backend server that was given the request, for cancelling.
	server atomic.Pointer[string]
	held   *idempotency.Held
	// endSlot and endPlace give back what was taken.
	endSlot  func()
	endPlace func()
	// endWatch ends the watch for the job's deadline.
	endWatch func() bool
	done     func()
}

// authenticate returns the organisation that the key belongs to.
func (s *Server) authenticate(c fiber.Ctx) (declaration.Organisation, *outcome.Failure) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return declaration.Organisation{}, outcome.Refuse(outcome.ReasonUnauthorised, "authenticate")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	for _, organisation := range s.source.Snapshot().Declaration().Organisations {
		for _, known := range organisation.KeyHashes {
			if known == hash {
				return organisation, nil
			}
		}
	}
	return declaration.Organisation{}, outcome.Refuse(outcome.ReasonUnauthorised, "authenticate")
}

// newJob copies a request and checks what all requests have in common.
func (s *Server) newJob(c fiber.Ctx) (*job, *outcome.Failure) {
	made := &job{
		id:         uuid.NewString(),
		repeatable: true,
		key:        strings.Clone(c.Get(headerIdempotency)),
	}
	if refusal := s.readiness(); refusal != nil {
		return made, refusal
	}
	organisation, refusal := s.authenticate(c)
	if refusal != nil {
		return made, refusal
	}
	made.organisation = organisation
	made.call = engine.Call{
		Method:         strings.Clone(c.Method()),
		Path:           strings.Clone(c.Path()),
		Query:          append([]byte(nil), c.Request().URI().QueryString()...),
		ContentType:    strings.Clone(c.Get(fiber.HeaderContentType)),
		Body:           append([]byte(nil), c.Body()...),
		RequestID:      made.id,
		IdempotencyKey: made.key,
	}
	if made.key != "" {
		made.repeatable = false
	}
	if len(made.key) > maxKey {
		return made, badRequest(headerIdempotency + ": at most 255 characters")
	}
	return made, s.readLimits(c, made)
}

// readLimits reads priority and deadline.
func (s *Server) readLimits(c fiber.Ctx, made *job) *outcome.Failure {
	if text := c.Get(headerPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > 9 {
			return badRequest(headerPriority + ": must be 0 to 9")
		}
		made.priority = priority
	}
	limits := s.source.Snapshot().Declaration().Limits
	deadline := limits.Deadline.Or(declaration.DefaultDeadline)
	if text := c.Get(headerDeadline); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms <= 0 {
			return badRequest(headerDeadline + ": must be a number of milliseconds above 0")
		}
		deadline = min(deadline, time.Duration(ms)*time.Millisecond)
	}
	made.ctx, made.cancel = context.WithTimeout(context.Background(), deadline)
	return nil
}

// badRequest returns a refusal that says what is wrong.
func badRequest(text string) *outcome.Failure {
	refusal := outcome.Refuse(outcome.ReasonBadRequest, text)
	return refusal
}

// completion is what is read of a completion's body.
type completion struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// readCompletion reads the body of a completion.
func (s *Server) readCompletion(made *job) *outcome.Failure {
	var body completion
	if err := json.Unmarshal(made.call.Body, &body); err != nil {
		return badRequest("body: " + err.Error())
	}
	if body.Model == "" {
		return badRequest("body: model: must be set")
	}
	if len(body.Messages) == 0 {
		return badRequest("body: messages: must hold at least one message")
	}
	if _, ok := s.source.Snapshot().Declaration().Model(body.Model); !ok {
		return outcome.Refuse(outcome.ReasonUnknownModel, "read body")
	}
	made.model = body.Model
	made.call.Stream = body.Stream
	var prompt []byte
	for _, message := range body.Messages {
		prompt = append(prompt, message...)
	}
	made.prefix = route.Prefix(made.organisation.Name, prompt)
	return nil
}

// finish gives back everything that a job took. It may be called repeatedly.
func (j *job) finish() {
	if j.endSlot != nil {
		j.endSlot()
	}
	if j.endPlace != nil {
		j.endPlace()
	}
	if j.endWatch != nil {
		j.endWatch()
	}
	if j.cancel != nil {
		j.cancel()
	}
	if j.done != nil {
		j.done()
	}
}
