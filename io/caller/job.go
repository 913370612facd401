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

// maxIdempotencyKeyLength is the maximum length of an idempotency key, in bytes.
const maxIdempotencyKeyLength = 255

// job is one request that is being served. Its contents are copies, since the HTTP
// library reuses its buffers.
type job struct {
	id           string
	organisation declaration.Organisation
	request      engine.Call
	// model is set for completions, service for requests to plain services.
	model      string
	service    string
	prefixHash uint64
	// repeatable is set if the request may run more than once.
	repeatable     bool
	idempotencyKey string
	priority       int
	// mayHaveRun is set once an attempt ended with an unknown outcome. The job then
	// can no longer be reported as not run, whatever later attempts return.
	mayHaveRun bool
	// attempts is the number of attempts so far.
	attempts int
	ctx      context.Context
	cancel   context.CancelFunc
	// isCallerDisconnected is set when the caller has disconnected.
	isCallerDisconnected atomic.Bool
	// assignedAddress is the address of the backend server that the request is
	// assigned to; cancelWork needs it.
	assignedAddress atomic.Pointer[string]
	claim           *idempotency.ActiveClaim
	// releaseSlot releases the slot at the backend server, releaseQueuePlace the
	// place in the queue.
	releaseSlot       func()
	releaseQueuePlace func()
	// stopDeadlineWatch stops the function that cancels the work at the deadline.
	stopDeadlineWatch func() bool
	onFinish          func()
}

// authenticate returns the organisation that the key belongs to.
func (s *Server) authenticate(c fiber.Ctx) (declaration.Organisation, *outcome.Failure) {
	key, ok := strings.CutPrefix(c.Get(fiber.HeaderAuthorization), "Bearer ")
	if !ok || key == "" {
		return declaration.Organisation{}, outcome.NotRunFailure(outcome.ReasonUnauthorised, "authenticate")
	}
	sum := sha256.Sum256([]byte(key))
	hash := hex.EncodeToString(sum[:])
	for _, organisation := range s.source.Snapshot().Declaration().Organisations {
		for _, keyHash := range organisation.KeyHashes {
			if keyHash == hash {
				return organisation, nil
			}
		}
	}
	return declaration.Organisation{}, outcome.NotRunFailure(outcome.ReasonUnauthorised, "authenticate")
}

// newJob copies a request, authenticates it, and reads the headers that all kinds
// of requests share.
func (s *Server) newJob(c fiber.Ctx) (*job, *outcome.Failure) {
	j := &job{
		id:             uuid.NewString(),
		repeatable:     true,
		idempotencyKey: strings.Clone(c.Get(headerIdempotency)),
	}
	if refusal := s.readiness(); refusal != nil {
		return j, refusal
	}
	organisation, refusal := s.authenticate(c)
	if refusal != nil {
		return j, refusal
	}
	j.organisation = organisation
	j.request = engine.Call{
		Method:         strings.Clone(c.Method()),
		Path:           strings.Clone(c.Path()),
		Query:          append([]byte(nil), c.Request().URI().QueryString()...),
		ContentType:    strings.Clone(c.Get(fiber.HeaderContentType)),
		Body:           append([]byte(nil), c.Body()...),
		RequestID:      j.id,
		IdempotencyKey: j.idempotencyKey,
	}
	if j.idempotencyKey != "" {
		j.repeatable = false
	}
	if len(j.idempotencyKey) > maxIdempotencyKeyLength {
		return j, badRequest(headerIdempotency + ": at most 255 characters")
	}
	return j, s.readPriorityAndDeadline(c, j)
}

// readPriorityAndDeadline reads the headers of priority and deadline. The deadline is
// at most the declared one.
func (s *Server) readPriorityAndDeadline(c fiber.Ctx, j *job) *outcome.Failure {
	if text := c.Get(headerPriority); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil || priority < 0 || priority > 9 {
			return badRequest(headerPriority + ": must be 0 to 9")
		}
		j.priority = priority
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
	j.ctx, j.cancel = context.WithTimeout(s.jobsCtx, deadline)
	return nil
}

// badRequest returns the refusal of an invalid request. The text names the field and
// what is wrong with it.
func badRequest(text string) *outcome.Failure {
	refusal := outcome.NotRunFailure(outcome.ReasonBadRequest, text)
	return refusal
}

// completion contains the fields of a completion request that are read here.
type completion struct {
	Model    string            `json:"model"`
	Stream   bool              `json:"stream"`
	Messages []json.RawMessage `json:"messages"`
}

// readCompletion parses and checks the body of a completion request.
func (s *Server) readCompletion(j *job) *outcome.Failure {
	var parsed completion
	if err := json.Unmarshal(j.request.Body, &parsed); err != nil {
		return badRequest("body: " + err.Error())
	}
	if parsed.Model == "" {
		return badRequest("body: model: must be set")
	}
	if len(parsed.Messages) == 0 {
		return badRequest("body: messages: must hold at least one message")
	}
	if _, ok := s.source.Snapshot().Declaration().Model(parsed.Model); !ok {
		return outcome.NotRunFailure(outcome.ReasonUnknownModel, "read body")
	}
	j.model = parsed.Model
	j.request.Stream = parsed.Stream
	var prompt []byte
	for _, message := range parsed.Messages {
		prompt = append(prompt, message...)
	}
	j.prefixHash = route.PrefixHash(j.organisation.Name, prompt)
	return nil
}

// finish releases everything that a job holds. It may be called repeatedly.
func (j *job) finish() {
	if j.releaseSlot != nil {
		j.releaseSlot()
	}
	if j.releaseQueuePlace != nil {
		j.releaseQueuePlace()
	}
	if j.stopDeadlineWatch != nil {
		j.stopDeadlineWatch()
	}
	if j.cancel != nil {
		j.cancel()
	}
	if j.onFinish != nil {
		j.onFinish()
	}
}
