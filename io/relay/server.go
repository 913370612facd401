// Package relay lets daemons follow the store's tables through one another, by
// JSON-RPC over TCP: a few daemons follow the store, the others follow them.
//
// There are two calls. "read" returns a table whole; "feed" returns its changes
// since a version as soon as there is one, or nothing after a wait. Both answer
// from the daemon's copy and tell, by the store's clock, how old it is.
package relay

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"headcourse/core/rowstore"
	"headcourse/io/logline"
	"headcourse/io/rpc"
)

// Names of the calls.
const (
	callRead = "read"
	callFeed = "feed"
)

// Codes of errors.
const (
	codeCompacted = 1
	codeRefused   = 2
	codeNoCopy    = 3
)

// longestWait bounds how long a feed waits, whatever is asked.
const longestWait = 30 * time.Second

// question is what both calls ask.
type question struct {
	Table string `json:"table"`
	Since int64  `json:"since,omitempty"`
	// WaitMS is a time in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
}

// answer is what both calls answer.
type answer struct {
	Rows    []row `json:"rows,omitempty"`
	Version int64 `json:"version"`
	// NowUS is the store's clock in microseconds.
	NowUS int64 `json:"now_us"`
}

// row is one row.
type row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is the value, compressed, in place of Value.
	Packed  []byte `json:"packed,omitempty"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Server answers other daemons. Use Listen.
type Server struct {
	*rpc.Listener
	reader rowstore.Reader
	packer packer
}

// Listen answers from a copy at IP:port, where port 0 picks a free one.
func Listen(address string, reader rowstore.Reader) (*Server, error) {
	server := &Server{
		reader: reader,
	}
	listener, err := rpc.Listen(address, server.talk)
	if err != nil {
		return nil, err
	}
	server.Listener = listener
	return server, nil
}

// talk begins a conversation; its calls are answered side by side.
func (s *Server) talk(raw net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(logline.Quiet{}))
}

// handle answers one call.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if request.Params == nil {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInvalidParams,
			Message: "params are missing",
		}
	}
	var asked question
	if err := json.Unmarshal(*request.Params, &asked); err != nil {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInvalidParams,
			Message: "params: " + err.Error(),
		}
	}
	var result rowstore.Result
	var err error
	switch request.Method {
	case callRead:
		result, err = s.reader.Read(ctx, asked.Table)
	case callFeed:
		wait := min(time.Duration(asked.WaitMS)*time.Millisecond, longestWait)
		result, err = s.reader.Feed(ctx, asked.Table, asked.Since, wait)
	default:
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "no call " + request.Method,
		}
	}
	if err != nil {
		return nil, encodeError(err)
	}
	return s.encode(asked.Table, result)
}

// encodeError returns the error as it is sent.
func encodeError(err error) error {
	code := int64(codeRefused)
	switch {
	case errors.Is(err, rowstore.ErrCompacted):
		code = codeCompacted
	case errors.Is(err, rowstore.ErrNoCopy):
		code = codeNoCopy
	}
	return &jsonrpc2.Error{
		Code:    code,
		Message: err.Error(),
	}
}

// encode returns a result as it is sent.
func (s *Server) encode(table string, result rowstore.Result) (answer, error) {
	encoded := answer{
		Version: result.Version,
		NowUS:   result.Now.Microseconds(),
	}
	for _, one := range result.Rows {
		packed, err := s.packer.pack(table, one.Key, one.Version, one.Value)
		if err != nil {
			return answer{}, err
		}
		sent := row{
			Key:     one.Key,
			Value:   one.Value,
			Packed:  packed,
			Version: one.Version,
			Deleted: one.Deleted,
		}
		if packed != nil {
			sent.Value = nil
		}
		encoded.Rows = append(encoded.Rows, sent)
	}
	return encoded, nil
}

// decode returns a result as it was sent.
func decode(table string, encoded answer) (rowstore.Result, error) {
	result := rowstore.Result{
		Version:   encoded.Version,
		Now:       time.Duration(encoded.NowUS) * time.Microsecond,
		IsRelayed: true,
	}
	for _, one := range encoded.Rows {
		value := one.Value
		if one.Packed != nil {
			var err error
			if value, err = unpack(one.Packed); err != nil {
				return rowstore.Result{}, err
			}
		}
		result.Rows = append(result.Rows, rowstore.Row{
			Table:   table,
			Key:     one.Key,
			Value:   value,
			Version: one.Version,
			Deleted: one.Deleted,
		})
	}
	return result, nil
}
