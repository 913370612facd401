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

// statusClientClosedRequest is the status of requests whose caller has disconnected. No caller
// receives it.
const statusClientClosedRequest = 499

// statusByReason maps reasons to HTTP statuses. Other reasons have status 502.
var statusByReason = map[outcome.Reason]int{
	outcome.ReasonBadRequest:                  fiber.StatusBadRequest,
	outcome.ReasonUnauthorised:                fiber.StatusUnauthorized,
	outcome.ReasonUnknownModel:                fiber.StatusNotFound,
	outcome.ReasonUnknownRoute:                fiber.StatusNotFound,
	outcome.ReasonDaemonLeaving:               fiber.StatusServiceUnavailable,
	outcome.ReasonDaemonCutOff:                fiber.StatusServiceUnavailable,
	outcome.ReasonDaemonNotConfigured:         fiber.StatusServiceUnavailable,
	outcome.ReasonRateLimit:                   fiber.StatusTooManyRequests,
	outcome.ReasonQueueFull:                   fiber.StatusTooManyRequests,
	outcome.ReasonQueueDeadline:               fiber.StatusServiceUnavailable,
	outcome.ReasonCallerGone:                  statusClientClosedRequest,
	outcome.ReasonNoGroup:                     fiber.StatusServiceUnavailable,
	outcome.ReasonNoServer:                    fiber.StatusServiceUnavailable,
	outcome.ReasonBackendConnectFailed:        fiber.StatusServiceUnavailable,
	outcome.ReasonEngineRefused:               fiber.StatusServiceUnavailable,
	outcome.ReasonEngineBusy:                  fiber.StatusServiceUnavailable,
	outcome.ReasonDeadline:                    fiber.StatusGatewayTimeout,
	outcome.ReasonKeyReused:                   fiber.StatusUnprocessableEntity,
	outcome.ReasonKeyInProgress:               fiber.StatusConflict,
	outcome.ReasonKeyOutcomeUnknown:           fiber.StatusConflict,
	outcome.ReasonIdempotencyStoreUnavailable: fiber.StatusServiceUnavailable,
}

// errorBody is the body of an error, in the format that callers' client libraries expect.
type errorBody struct {
	Error errorInfo `json:"error"`
}

// errorInfo is the outcome of a failed request and its reason.
type errorInfo struct {
	Message   string `json:"message"`
	Type      string `json:"type"`
	Code      string `json:"code"`
	Outcome   string `json:"outcome"`
	RequestID string `json:"request_id,omitempty"`
}

// newErrorBody returns the error body of a failure. Addresses of peers are logged only.
func newErrorBody(requestID string, failure *outcome.Failure) errorBody {
	message := failure.Step + ": " + string(failure.Reason)
	for _, entry := range outcome.Reasons {
		if entry.Reason == failure.Reason {
			message = failure.Step + ": " + entry.Meaning
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

// sendFailure answers a request with a failure.
func (s *Server) sendFailure(c fiber.Ctx, requestID string, failure *outcome.Failure) error {
	s.count(counterRefusal + string(failure.Reason))
	s.count(counterOutcome + failure.Outcome.String())
	if failure.Outcome == outcome.Unknown {
		s.log.Warn("callers: outcome unknown", zap.String("request", requestID), zap.Error(failure))
	}
	status, ok := statusByReason[failure.Reason]
	if !ok {
		status = fiber.StatusBadGateway
	}
	if retryAfter := admission.RetryAfter(failure.Reason); retryAfter > 0 {
		c.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	c.Set(headerOutcome, failure.Outcome.String())
	c.Set(headerRequestID, requestID)
	return c.Status(status).JSON(newErrorBody(requestID, failure))
}

// sendAnswer answers a request with a reply that is not streamed.
func (s *Server) sendAnswer(c fiber.Ctx, requestID string, reply engine.Reply) error {
	s.count(counterOutcome + outcome.Ran.String())
	c.Set(headerOutcome, outcome.Ran.String())
	c.Set(headerRequestID, requestID)
	c.Set(fiber.HeaderContentType, reply.ContentType)
	return c.Status(reply.Status).Send(reply.Body)
}

// handleError answers requests that the HTTP library itself refuses. The library's
// error may quote the request and its key, so the answer has a fixed text instead.
func (s *Server) handleError(c fiber.Ctx, err error) error {
	status, text := fiber.StatusBadRequest, "malformed HTTP request"
	var httpError *fiber.Error
	if errors.As(err, &httpError) && httpError.Code != fiber.StatusBadRequest {
		status, text = httpError.Code, fiber.NewError(httpError.Code).Message
	}
	s.count(counterRefusal + string(outcome.ReasonBadRequest))
	c.Set(headerOutcome, outcome.NotRun.String())
	return c.Status(status).JSON(newErrorBody("", badRequest(text)))
}

// encodeErrorEvent returns the event that ends a stream with a failure.
func encodeErrorEvent(requestID string, failure *outcome.Failure) []byte {
	body, err := json.Marshal(newErrorBody(requestID, failure))
	if err != nil {
		return nil
	}
	event := append([]byte("event: error\ndata: "), body...)
	return append(event, "\n\n"...)
}
