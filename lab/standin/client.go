package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"headcourse/platform/wire"
)

// Client sends requests to one daemon and checks the answers.
type Client struct {
	Platform *Platform
	// Address is the daemon's IP:port for clients. Daemon is its name; if it is empty, the
	// pauses, limits and drains that servers announce are not checked for these requests.
	Address string
	Daemon  string
	Key     string
	// PromptParts names the parts of the prompts of streams, as the header has them; empty if they
	// have none.
	PromptParts string
	// UploadTime is how long the client pauses in the middle of each body.
	UploadTime time.Duration
	http       http.Client
}

// Answer is the daemon's answer to one request.
type Answer struct {
	ID     string
	Status int
	Body   string
	Seal   string
	// Reason is the text with which the daemon rejected the request; empty if a server
	// answered.
	Reason string
	// RetryAfter is the pause that a rejection requests, in seconds, as the header has it;
	// empty if it requests none.
	RetryAfter string
	// Err is the error that kept the client from reading the complete answer.
	Err error
}

// lastRequestNumber makes request IDs unique across all clients of the process.
var lastRequestNumber atomic.Int64

// NewRequestID returns an ID that no other request of the process has.
func NewRequestID() string {
	return fmt.Sprintf("%08x", lastRequestNumber.Add(1))
}

// Send sends a request and reads its complete answer.
func (c *Client) Send(ctx context.Context, method, path string, headers map[string]string, body string) Answer {
	id := NewRequestID()
	answer := Answer{
		ID: id,
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, strings.NewReader(body))
	if err != nil {
		answer.Err = errors.Wrap(err, "make request")
		return answer
	}
	if c.UploadTime > 0 && len(body) > 0 {
		request.Body = io.NopCloser(newSlowBody(body, c.UploadTime, func() { c.Platform.recordSent(id) }))
		request.GetBody = nil
	}
	request.Host = Host
	request.Header.Set(wire.HeaderID, id)
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(clientTime.Milliseconds(), 10))
	request.Header.Set(headerDaemon, c.Daemon)
	request.Header.Set(headerSent, strconv.FormatInt(time.Now().UnixMilli(), 10))
	if c.Key != "" {
		request.Header.Set(wire.HeaderKey, c.Key)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	c.Platform.RecordRequest(path)
	c.Platform.recordSent(id)
	response, err := c.http.Do(request)
	if err != nil {
		answer.Err = errors.Wrap(err, "send request")
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status = response.StatusCode
	answer.Seal = response.Header.Get(wire.HeaderSeal)
	answer.RetryAfter = response.Header.Get("Retry-After")
	content, err := io.ReadAll(response.Body)
	answer.Body = string(content)
	if answer.Seal == "" {
		answer.Reason = strings.TrimSpace(answer.Body)
	}
	answer.Err = errors.Wrap(err, "read answer")
	if answer.Status == http.StatusServiceUnavailable && answer.Reason == reasonOverload {
		c.Platform.recordRefusal(method, id)
	}
	c.check(answer, response.Header.Get(wire.HeaderID), path)
	if isStream := headers[wire.HeaderModel] != ""; !isStream {
		c.checkBody(answer, plainAnswer(id, len(body)))
	}
	return answer
}

// check records a violation if the answer belongs to another request, or if a request that may
// not be repeated was rejected with 503 although it ran.
func (c *Client) check(answer Answer, id, path string) {
	if answer.Status != http.StatusOK || answer.Err != nil {
		if answer.Status == http.StatusServiceUnavailable && c.Platform.Runs(answer.ID) > 0 && strings.HasPrefix(path, PathUnsafe) {
			c.Platform.recordViolation("request " + answer.ID + " was rejected as not executed, but ran")
		}
		return
	}
	if id != answer.ID || !strings.HasSuffix(answer.Seal, answer.ID) {
		c.Platform.recordViolation("request " + answer.ID + " received the answer to " + id)
	}
}

// Stream requests a stream with the given number of events. It records a violation if the
// stream ends as complete with other content.
func (c *Client) Stream(ctx context.Context, model string, events int) Answer {
	path := PathLarge
	if model == ModelSmall {
		path = PathSmall
	}
	headers := map[string]string{
		wire.HeaderModel:  model,
		wire.HeaderTokens: "100," + strconv.Itoa(events*tokensPerEvent),
	}
	if c.PromptParts != "" {
		headers[wire.HeaderPromptParts] = c.PromptParts
	}
	answer := c.Send(ctx, http.MethodPost, path+"x", headers, "prompt")
	var expected strings.Builder
	for i := 1; i <= events; i++ {
		expected.WriteString(StreamEvent(answer.ID, i))
	}
	c.checkBody(answer, expected.String())
	return answer
}

// checkBody records a violation if a success ended as complete with another body.
func (c *Client) checkBody(answer Answer, expected string) {
	if answer.Status != http.StatusOK || answer.Err != nil || answer.Body == expected {
		return
	}
	c.Platform.recordViolation(fmt.Sprintf("answer %s ended as complete with %d bytes instead of the expected %d", answer.ID, len(answer.Body), len(expected)))
}

// Await repeats send until an answer satisfies the condition or the timeout has passed. It
// returns the last answer and whether that satisfies the condition.
func Await(timeout time.Duration, send func() Answer, isSatisfied func(Answer) bool) (Answer, bool) {
	const interval = 20 * time.Millisecond
	for deadline := time.Now().Add(timeout); ; {
		answer := send()
		if isSatisfied(answer) {
			return answer, true
		}
		if time.Now().After(deadline) {
			return answer, false
		}
		time.Sleep(interval)
	}
}
