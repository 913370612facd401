package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"headcourse/platform/wire"
)

// lastRequest makes the IDs of requests unique.
var lastRequest atomic.Int64

// call is a request of a client and its answer.
type call struct {
	id     string
	status int
	seal   string
	body   string
	// retryAfter is the pause that a refusal asks for, in seconds.
	retryAfter string
	// err is set if the answer has not arrived, or has ended early for the client.
	err error
}

// isComplete reports whether the client has a success that looks complete.
func (c call) isComplete() bool {
	return c.err == nil && c.status == http.StatusOK
}

// String describes the answer for the record.
func (c call) String() string {
	if c.err != nil {
		return fmt.Sprintf("request %s: status %d, %d bytes, then %s", c.id, c.status, len(c.body), c.err)
	}
	if c.status != http.StatusOK {
		return fmt.Sprintf("request %s: status %d, Retry-After %q, %q", c.id, c.status, c.retryAfter, strings.TrimSpace(c.body))
	}
	return fmt.Sprintf("request %s: status %d, ended as complete with %d bytes", c.id, c.status, len(c.body))
}

// client sends the requests of one client to a daemon, on connections that it keeps.
type client struct {
	address string
	http    http.Client
}

// send sends a request and reads the answer.
func (c *client) send(path string, timeout time.Duration, headers map[string]string, body []byte) call {
	result := call{
		id: fmt.Sprintf("%016x", lastRequest.Add(1)),
	}
	request, err := http.NewRequest(http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		result.err = err
		return result
	}
	request.Host = routeHost
	request.Header.Set(wire.HeaderID, result.id)
	request.Header.Set(wire.HeaderDeadline, strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Set(wire.HeaderKey, key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	response, err := c.http.Do(request)
	if err != nil {
		result.err = err
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status = response.StatusCode
	result.retryAfter = response.Header.Get("Retry-After")
	result.seal = response.Header.Get(wire.HeaderSeal)
	content, err := io.ReadAll(response.Body)
	result.body = string(content)
	result.err = err
	return result
}

// stream requests a stream of a number of events. The first part of its prompt is that of all streams,
// the last part and the body are its own.
func (c *client) stream(events int) call {
	const timeout = 8 * time.Second
	own := lastRequest.Add(1)
	return c.send(pathStream+"x", timeout, map[string]string{
		wire.HeaderModel:       modelName,
		wire.HeaderTokens:      "100," + strconv.Itoa(events*tokensPerEvent),
		wire.HeaderPromptParts: fmt.Sprintf("5c1e07a2:40,%08x:60", own),
	}, fmt.Appendf(nil, "prompt %d", own))
}

// expectedStream is the whole body of a stream.
func expectedStream(id string, events int) string {
	var body strings.Builder
	for number := 1; number <= events; number++ {
		body.WriteString(streamEvent(id, number))
	}
	return body.String()
}
