// Package tablestore is the client for the platform's table service, which uses JSON
// over HTTP. A change of the transport needs changes in this package only.
package tablestore

import (
	"context"
	"encoding/json"
	"net/url"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"headcourse/core/table"
	"headcourse/io/http1"
)

// Client implements table.Store. Create it with New.
type Client struct {
	address string
	http    *http1.Client
}

// The timeouts are well below the term of a lease. ioTimeout bounds each read and each write.
const (
	connectTimeout = 500 * time.Millisecond
	ioTimeout      = 2 * time.Second
)

// New returns a client for the service at IP:port.
func New(address string) *Client {
	return &Client{
		address: address,
		http: &http1.Client{
			ConnectTimeout: connectTimeout,
			IOTimeout:      ioTimeout,
		},
	}
}

// commitReply is the answer to a successful commit.
type commitReply struct {
	Version uint64 `json:"version"`
}

// Commit commits a transaction. The error is table.ErrConflict if a condition does not
// hold, table.ErrUnavailable if the connection failed or the service refused the commit,
// and table.ErrUnknown if the exchange failed after something was sent or the answer has
// another status.
func (c *Client) Commit(_ context.Context, transaction table.Transaction) (uint64, error) {
	body, err := json.Marshal(transaction)
	if err != nil {
		return 0, errors.Wrap(table.ErrUnavailable, err.Error())
	}
	status, answer, err := c.http.CallJSON(c.address, "/commit", body)
	var httpErr *http1.Error
	switch {
	case errors.As(err, &httpErr) && !httpErr.MayHaveBeenSent:
		return 0, errors.Wrapf(table.ErrUnavailable, "commit: %s", err)
	case err != nil:
		return 0, errors.Wrapf(table.ErrUnknown, "commit: %s", err)
	case status == fasthttp.StatusConflict:
		return 0, errors.Wrapf(table.ErrConflict, "commit at %s: %s", c.address, answer)
	case status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusTooManyRequests:
		return 0, errors.Wrapf(table.ErrUnavailable, "commit at %s: status %d", c.address, status)
	case status != fasthttp.StatusOK:
		return 0, errors.Wrapf(table.ErrUnknown, "commit at %s: status %d", c.address, status)
	}
	var reply commitReply
	if err = json.Unmarshal(answer, &reply); err != nil {
		return 0, errors.Wrapf(table.ErrUnknown, "commit at %s: %s", c.address, err)
	}
	return reply.Version, nil
}

// Read returns a row. A row that was never written has version 0.
func (c *Client) Read(_ context.Context, key string) (table.Row, error) {
	var row table.Row
	err := c.query("/read?key="+url.QueryEscape(key), nil, &row)
	return row, errors.Wrapf(err, "read row %q", key)
}

// Scan returns rows that changed after a version.
func (c *Client) Scan(_ context.Context, request table.ScanRequest) (table.ScanResult, error) {
	var result table.ScanResult
	body, err := json.Marshal(request)
	if err != nil {
		return result, err
	}
	err = c.query("/scan", body, &result)
	return result, errors.Wrapf(err, "scan rows after %d", request.After)
}

// query sends a request that changes nothing, and decodes the answer into target.
func (c *Client) query(path string, body []byte, target any) error {
	status, answer, err := c.http.CallJSON(c.address, path, body)
	if err != nil {
		return errors.Wrap(table.ErrUnavailable, err.Error())
	}
	if status != fasthttp.StatusOK {
		return errors.Wrapf(table.ErrUnavailable, "at %s: status %d", c.address, status)
	}
	return errors.Wrapf(json.Unmarshal(answer, target), "decode answer of %s", c.address)
}
