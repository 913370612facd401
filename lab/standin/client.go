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
	// Address is the daemon's IP:port for clients, Daemon its name; empty: what servers say
	// to it about further requests is not checked.
	Address string
	Daemon  string
	Key     string
	http    http.Client
}

// Answer is what a client was answered.
type Answer struct {
	ID     string
	Status int
	Body   string
	Seal   string
	// Reason is why the daemon refused the request, in its own words; empty where a server
	// answered.
	Reason string
	// Retry is the Retry-After header.
	Retry string
	// Err is why the answer is not whole.
	Err error
}

// number makes ids unique over all clients of a process.
var number atomic.Int64

// Ask sends a request and reads the whole answer.
func (c *Client) Ask(ctx context.Context, method, path string, headers map[string]string, body string) Answer {
	id := fmt.Sprintf("%08x", number.Add(1))
	answer := Answer{
		ID: id,
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address+path, strings.NewReader(body))
	if err != nil {
		answer.Err = errors.Wrap(err, "make request")
		return answer
	}
	request.Host = Host
	request.Header.Set(wire.HeaderID, id)
	request.Header.Set(wire.HeaderDeadline, "6000")
	request.Header.Set(headerDaemon, c.Daemon)
	request.Header.Set(headerSent, strconv.FormatInt(time.Now().UnixMilli(), 10))
	if c.Key != "" {
		request.Header.Set(wire.HeaderKey, c.Key)
	}
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		answer.Err = errors.Wrap(err, "send request")
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	answer.Status = response.StatusCode
	answer.Seal = response.Header.Get(wire.HeaderSeal)
	answer.Retry = response.Header.Get("Retry-After")
	content, err := io.ReadAll(response.Body)
	answer.Body = string(content)
	if answer.Seal == "" {
		answer.Reason = strings.TrimSpace(answer.Body)
	}
	answer.Err = errors.Wrap(err, "read answer")
	c.check(answer, response.Header.Get(wire.HeaderID), path)
	return answer
}

// check notes answers that must not be.
func (c *Client) check(answer Answer, id, path string) {
	if answer.Status != http.StatusOK || answer.Err != nil {
		if answer.Status == http.StatusServiceUnavailable && c.Platform.Runs(answer.ID) > 0 && strings.HasPrefix(path, PathUnsafe) {
			c.Platform.violate("request " + answer.ID + " was refused as not run, but ran")
		}
		return
	}
	if id != answer.ID || !strings.HasSuffix(answer.Seal, answer.ID) {
		c.Platform.violate("request " + answer.ID + " was given the answer to " + id)
	}
}

// Stream asks for a stream of so many events, and notes one that is not exactly
// that.
func (c *Client) Stream(ctx context.Context, model string, events int) Answer {
	path := PathLarge
	if model == ModelSmall {
		path = PathSmall
	}
	answer := c.Ask(ctx, http.MethodPost, path+"x", map[string]string{
		wire.HeaderModel:  model,
		wire.HeaderTokens: "100," + strconv.Itoa(events*tokensPerEvent),
	}, "prompt")
	if answer.Status != http.StatusOK || answer.Err != nil {
		return answer
	}
	var whole strings.Builder
	for i := 1; i <= events; i++ {
		whole.WriteString(Event(answer.ID, i))
	}
	if answer.Body != whole.String() {
		c.Platform.violate(fmt.Sprintf("stream %s ended as complete with %d bytes of %d", answer.ID, len(answer.Body), whole.Len()))
	}
	return answer
}

// Await asks again and again until an answer satisfies is, or the time is over;
// it returns the last answer and whether it does.
func Await(limit time.Duration, ask func() Answer, is func(Answer) bool) (Answer, bool) {
	const pause = 20 * time.Millisecond
	for end := time.Now().Add(limit); ; {
		answer := ask()
		if is(answer) {
			return answer, true
		}
		if time.Now().After(end) {
			return answer, false
		}
		time.Sleep(pause)
	}
}
