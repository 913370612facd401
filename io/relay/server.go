// Package relay lets daemons follow the store's tables through one another, by
// JSON-RPC over TCP: a few daemons follow the store, the others follow them.
//
// There are three calls. "read" returns a table whole; "feed" returns its changes
// since a version as soon as there is one, or nothing after a wait. Both answer
// from the daemon's copy and tell, by the store's clock, how old it is. A feed also
// carries what is asked of the daemon that follows, and brings back what is asked of
// all (core/demand). "enlist" lists a daemon in the store together with others.
package relay

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"headcourse/core/demand"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
	"headcourse/io/rpc"
)

// Names of the calls.
const (
	callRead   = "read"
	callFeed   = "feed"
	callEnlist = "enlist"
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
	// Era and Since are the revision since which changes are asked for.
	Era   int64 `json:"era,omitempty"`
	Since int64 `json:"since,omitempty"`
	// WaitMS is a time in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// From is the daemon that asks, Asked what is asked of it and of those that follow
	// through it; empty where it tells nothing now.
	From  string  `json:"from,omitempty"`
	Asked []asked `json:"asked,omitempty"`
	// Depth is through how many daemons the requests in Asked were told.
	Depth int `json:"depth,omitempty"`
	// Entry is what the daemon that asks is to be listed as.
	Entry []byte `json:"entry,omitempty"`
}

// answer is what both calls answer.
type answer struct {
	Rows    []row `json:"rows,omitempty"`
	Era     int64 `json:"era,omitempty"`
	Version int64 `json:"version"`
	// NowUS is the store's clock, in microseconds, as of which the rows are true;
	// LatestUS what it shows at the latest, 0: not known.
	NowUS    int64 `json:"now_us"`
	LatestUS int64 `json:"latest_us,omitempty"`
	// PackedRows are all rows, encoded and compressed, in place of Rows.
	PackedRows []byte `json:"packed_rows,omitempty"`
	// Asked is what is asked of all daemons, for those that told.
	Asked []asked `json:"asked,omitempty"`
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
	board  *demand.Board
	// refused is told of words of other daemons that make no sense.
	refused func(from string, err error)
	enlist  func(ctx context.Context, name string, entry []byte) error
	packer  packer
	bundles bundles
}

// Options are what a Server needs.
type Options struct {
	// Address is the IP:port to listen on, where port 0 picks a free one.
	Address string
	// Reader is the copy to answer from.
	Reader rowstore.Reader
	// Board takes what is asked of other daemons; nil: it is not added up.
	Board *demand.Board
	// Refused, if set, is told of what another daemon told that makes no sense.
	Refused func(from string, err error)
	// Enlist lists another daemon in the store; nil: no daemon is.
	Enlist func(ctx context.Context, name string, entry []byte) error
}

// Listen answers other daemons.
func Listen(options Options) (*Server, error) {
	server := &Server{
		reader:  options.Reader,
		board:   options.Board,
		refused: options.Refused,
		enlist:  options.Enlist,
	}
	listener, err := rpc.Listen(options.Address, server.talk)
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
	switch request.Method {
	case callRead:
		return s.read(ctx, asked)
	case callFeed:
		return s.feed(ctx, asked)
	case callEnlist:
		return s.list(ctx, asked)
	default:
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "no call " + request.Method,
		}
	}
}

// read answers with a whole table.
func (s *Server) read(ctx context.Context, asked question) (any, error) {
	result, err := s.reader.Read(ctx, asked.Table)
	if err != nil {
		return nil, encodeError(err)
	}
	return s.encode(asked.Table, whole, result)
}

// feed answers with changes, and with what is asked of all if it was told something.
func (s *Server) feed(ctx context.Context, asked question) (any, error) {
	all := s.told(asked)
	wait := min(time.Duration(asked.WaitMS)*time.Millisecond, longestWait)
	result, err := s.reader.Feed(ctx, asked.Table, rowstore.Revision{
		Era:     asked.Era,
		Version: asked.Since,
	}, wait)
	if err != nil {
		s.retract(asked, err)
		return nil, encodeError(err)
	}
	encoded, err := s.encode(asked.Table, asked.Since, result)
	encoded.Asked = all
	return encoded, err
}

// list lists a daemon.
func (s *Server) list(ctx context.Context, asked question) (any, error) {
	if s.enlist == nil || asked.From == "" {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInvalidParams,
			Message: "no daemon is listed here, or it has no name",
		}
	}
	if err := s.enlist(ctx, asked.From, asked.Entry); err != nil {
		return nil, encodeError(err)
	}
	return answer{}, nil
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

// encode returns a result as it is sent to those who ask for what changed since a
// version, or for the whole.
func (s *Server) encode(table string, since int64, result rowstore.Result) (answer, error) {
	encoded := answer{
		Era:      result.Era,
		Version:  result.Version,
		NowUS:    result.Now.Microseconds(),
		LatestUS: result.Latest.Microseconds(),
	}
	for _, one := range result.Rows {
		packed, err := s.packer.pack(table, one.Key, rowstore.Revision{
			Era:     result.Era,
			Version: one.Version,
		}, one.Value)
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
	return s.bundles.pack(table, since, encoded)
}

// decode returns a result as it was sent.
func decode(table string, encoded answer) (rowstore.Result, error) {
	result := rowstore.Result{
		Era:       encoded.Era,
		Version:   encoded.Version,
		Now:       time.Duration(encoded.NowUS) * time.Microsecond,
		Latest:    time.Duration(encoded.LatestUS) * time.Microsecond,
		IsRelayed: true,
	}
	rows, err := encoded.rows()
	if err != nil {
		return rowstore.Result{}, err
	}
	for _, one := range rows {
		value := one.Value
		if one.Packed != nil {
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
