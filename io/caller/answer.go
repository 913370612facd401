package caller

import (
	"encoding/json"
	"math"
	"strconv"

	"github.com/gofiber/fiber/v3"
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"headcourse/core/admission"
	"headcourse/core/outcome"
	"headcourse/io/engine"
)

// statusClientGone is the status noted for callers that went away; none of
// them reads it.
const statusClientGone = 499

// statuses maps reasons to HTTP statuses; others are 502.
var statuses = map[outcome.Reason]int{
	outcome.ReasonBadRequest:        fiber.StatusBadRequest,
	outcome.ReasonUnauthorised:      fiber.StatusUnauthorized,
	outcome.ReasonUnknownModel:      fiber.StatusNotFound,
	outcome.ReasonUnknownRoute:      fiber.StatusNotFound,
	outcome.ReasonLeaving:           fiber.StatusServiceUnavailable,
	outcome.ReasonCutOff:            fiber.StatusServiceUnavailable,
	outcome.ReasonNotConfigured:     fiber.StatusServiceUnavailable,
	outcome.ReasonRateLimit:         fiber.StatusTooManyRequests,
	outcome.ReasonQueueFull:         fiber.StatusTooManyRequests,
	outcome.ReasonQueueDeadline:     fiber.StatusServiceUnavailable,
	outcome.ReasonCallerGone:        statusClientGone,
	outcome.ReasonNoGroup:           fiber.StatusServiceUnavailable,
	outcome.ReasonNoServer:          fiber.StatusServiceUnavailable,
	outcome.ReasonConnect:           fiber.StatusServiceUnavailable,
	outcome.ReasonEngineRefused:     fiber.StatusServiceUnavailable,
	outcome.ReasonEngineBusy:        fiber.StatusServiceUnavailable,
	outcome.ReasonDeadline:          fiber.StatusGatewayTimeout,
	outcome.ReasonKeyReused:         fiber.StatusUnprocessableEntity,
	outcome.ReasonKeyInProgress:     fiber.StatusConflict,
	outcome.ReasonKeyOutcomeUnknown: fiber.StatusConflict,
	outcome.ReasonKeyStoreDown:      fiber.StatusServiceUnavailable,
}

// errorBody is the body of an error, in the form that callers' clients know.
type errorBody struct {
	Error errorInfo `json:"error"`
}

// errorInfo says what became of the request and why.
type errorInfo struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
}

// errorOf returns the body of a failure. Peers' addresses stay in the log.
func errorOf(requestID string, failure *outcome.Failure) errorBody {
	message := failure.Step + ": " + string(failure.Reason)
	for _, known := range outcome.Reasons {
		if known.Reason == failure.Reason {
			message = failure.Step + ": " + known.Meaning
		}
	}
	return errorBody{
		Error: errorInfo{
			Message:   message,
			Type:      "headcourse_error",
			Code:      string(failure.Reason),
			Outcome:   failure.Outcome.String(),
			RequestID: requestID,
		},
	}
}

// refuse answers with a failure.
func (s *Server) refuse(c fiber.Ctx, requestID string, failure *outcome.Failure) error {
	s.count(counterRefusal + string(failure.Reason))
	s.count(counterOutcome + failure.Outcome.String())
	if failure.Outcome == outcome.Unknown {
		s.log.Warn("callers: outcome unknown", zap.String("request", requestID), zap.Error(failure))
	}
	status, ok := statuses[failure.Reason]
	if !ok {
		status = fiber.StatusBadGateway
	}
	if wait := admission.RetryAfter(failure.Reason); wait > 0 {
		c.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(wait.Seconds()))))
	}
	c.Set(headerOutcome, failure.Outcome.String())
	c.Set(headerRequestID, requestID)
	return c.Status(status).JSON(errorOf(requestID, failure))
}

// answer gives a whole answer.
func (s *Server) answer(c fiber.Ctx, requestID string, reply engine.Reply) error {
	s.count(counterOutcome + outcome.Ran.String())
	c.Set(headerOutcome, outcome.Ran.String())
	c.Set(headerRequestID, requestID)
	c.Set(fiber.HeaderContentType, reply.ContentType)
	return c.Status(reply.Status).Send(reply.Body)
}

// handleError answers requests that the HTTP library itself refuses. Its text
// may quote the request with its key, so that only errors of known text are
// passed on.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	status, text := fiber.StatusBadRequest, "malformed HTTP request"
	var known *fiber.Error
	if errors.As(err, &known) && known.Code != fiber.StatusBadRequest {
		status, text = known.Code, fiber.NewError(known.Code).Message
	}
	s.count(counterRefusal + string(outcome.ReasonBadRequest))
	c.Set(headerOutcome, outcome.NotRun.String())
	return c.Status(status).JSON(errorOf("", badRequest(text)))
}

// encodeError returns a failure as the event that ends a broken stream.
func encodeError(requestID string, failure *outcome.Failure) []byte {
	body, err := json.Marshal(errorOf(requestID, failure))
	if err != nil {
		return nil
	}
	event := append([]byte("event: error\ndata: "), body...)
	return append(event, "\n\n"...)
}
