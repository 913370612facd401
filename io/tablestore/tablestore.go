// Package tablestore speaks to the platform's table service, as JSON over
// HTTP. It is the one place to change for another transport of that service.
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

// Client implements table.Store. Use New.
type Client struct {
	address string
	http    *http1.Client
}

// Times of the client. They are well below a lease's term.
const (
	connectTimeout = 500 * time.Millisecond
	idleTimeout    = 2 * time.Second
)

// New returns a client of the service at IP:port.
func New(address string) *Client {
	return &Client{
		address: address,
		http: &http1.Client{
			ConnectTimeout: connectTimeout,
			IdleTimeout:    idleTimeout,
		},
	}
}

// commitReply is the answer to a commit that landed.
type commitReply struct {
	Version uint64 `json:"version"`
}

// Commit commits a transaction. An exchange that broke off after something was
// sent is ErrUnknown; a refusal and a failed connection are ErrUnavailable.
func (c *Client) Commit(_ context.Context, transaction table.Transaction) (uint64, error) {
	body, err := json.Marshal(transaction)
	if err != nil {
		return 0, errors.Wrap(table.ErrUnavailable, err.Error())
	}
	status, answer, err := c.http.JSON(c.address, "/commit", body)
	var failed *http1.Error
	switch {
	case errors.As(err, &failed) && !failed.Sent:
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

// Read returns a row; one never written has version 0.
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

// query asks something that changes nothing.
func (c *Client) query(path string, body []byte, target any) error {
	status, answer, err := c.http.JSON(c.address, path, body)
	if err != nil {
		return errors.Wrap(table.ErrUnavailable, err.Error())
	}
	if status != fasthttp.StatusOK {
		return errors.Wrapf(table.ErrUnavailable, "at %s: status %d", c.address, status)
	}
	return errors.Wrapf(json.Unmarshal(answer, target), "decode answer of %s", c.address)
}
