// Package relay lets daemons read and follow the store's tables through other daemons, by
// JSON-RPC over TCP: a few daemons (relays) follow the store, and the others follow the relays.
//
// There are five calls. "read" returns a snapshot of a table. "feed" returns its changes since a
// version as soon as there are any, or nothing after a timeout. Both answer from the daemon's table
// cache and return the time of the store's clock at which it was current. "load" reports the demand
// of the calling daemon and returns the total demand of all daemons (core/demand). A feed may also do
// so, for daemons of releases without "load". "enlist" registers a daemon in the store together with
// others. "totals" returns the totals of all daemons and what the called daemon has decided from them; it
// is for operators and changes nothing.
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

// Method names of the calls.
const (
	callRead     = "read"
	callFeed     = "feed"
	callRegister = "enlist"
	callLoad     = "load"
	callTotals   = "totals"
)

// Codes of RPC errors.
const (
	codeCompacted = 1
	codeRefused   = 2
	codeNoCopy    = 3
)

// maxFeedWait bounds how long a feed waits for changes, whatever the caller requests.
const maxFeedWait = 30 * time.Second

// callParams are the parameters of all calls.
type callParams struct {
	Table string `json:"table,omitempty"`
	// Era and Since are the revision since which changes are requested.
	Era   int64 `json:"era,omitempty"`
	Since int64 `json:"since,omitempty"`
	// WaitMS is how long a feed may wait for changes, in milliseconds.
	WaitMS int64 `json:"wait_ms,omitempty"`
	// From is the calling daemon. Asked is the demand at it and at the daemons that follow
	// tables through it. Both are empty in a feed if no report is due.
	From  string        `json:"from,omitempty"`
	Asked []demandEntry `json:"asked,omitempty"`
	// Depth is the largest number of daemons through which demand in Asked was reported.
	Depth int `json:"depth,omitempty"`
	// Load are the sections of a report, in place of Asked (encodeLoad).
	Load []byte `json:"load,omitempty"`
	// Entry is the entry under which the calling daemon is to be listed.
	Entry []byte `json:"entry,omitempty"`
}

// callResult is the result of all calls.
type callResult struct {
	Rows    []row `json:"rows,omitempty"`
	Era     int64 `json:"era,omitempty"`
	Version int64 `json:"version"`
	// NowUS is the time of the store's clock, in microseconds, at which the rows were current.
	// LatestUS is an upper bound of the store's clock, in microseconds; 0 if unknown.
	NowUS    int64 `json:"now_us"`
	LatestUS int64 `json:"latest_us,omitempty"`
	// PackedRows are all rows as compressed JSON, in place of Rows.
	PackedRows []byte `json:"packed_rows,omitempty"`
	loadResult
}

// loadResult is the result of load reports: the totals of all daemons, if the caller reported its own.
type loadResult struct {
	// Asked is the total demand, if the caller reported in the form of releases without Load.
	Asked []demandEntry `json:"asked,omitempty"`
	// Load are the sections of the totals, in place of Asked (encodeLoad).
	Load []byte `json:"load,omitempty"`
}

// row is one row, as it is sent.
type row struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// Packed is the compressed value, in place of Value.
	Packed  []byte `json:"packed,omitempty"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Server answers calls of other daemons. Use Listen.
type Server struct {
	*rpc.Listener
	name       string
	reader     rowstore.Reader
	aggregator *demand.Aggregator
	// onInvalidDemand, if set, is called if another daemon reports invalid demand.
	onInvalidDemand func(from string, err error)
	register        func(ctx context.Context, name string, entry []byte) error
	// overview, if set, returns what this daemon has decided from the totals.
	overview        func() Overview
	valueCompressor valueCompressor
	rowCompressor   rowCompressor
}

// Options configure a Server.
type Options struct {
	// Address is the IP:port to listen on; port 0 selects a free one.
	Address string
	// Name is the name of this daemon, for answers to operators.
	Name string
	// Reader is the copy of the tables to answer from.
	Reader rowstore.Reader
	// Aggregator receives the demand of other daemons; nil means that demand is not added up.
	Aggregator *demand.Aggregator
	// OnInvalidDemand, if set, is called if another daemon reports invalid demand.
	OnInvalidDemand func(from string, err error)
	// Register registers another daemon in the store; nil means that such calls are rejected.
	Register func(ctx context.Context, name string, entry []byte) error
	// Overview returns what this daemon has decided from the totals, for operators; nil means nothing. It
	// is called concurrently.
	Overview func() Overview
}

// Listen starts a Server.
func Listen(options Options) (*Server, error) {
	server := &Server{
		name:            options.Name,
		reader:          options.Reader,
		aggregator:      options.Aggregator,
		onInvalidDemand: options.OnInvalidDemand,
		register:        options.Register,
		overview:        options.Overview,
	}
	listener, err := rpc.Listen(options.Address, server.serveConn)
	if err != nil {
		return nil, err
	}
	server.Listener = listener
	return server, nil
}

// serveConn serves the calls of one connection concurrently.
func (s *Server) serveConn(raw net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(raw, jsonrpc2.VarintObjectCodec{})
	handler := jsonrpc2.AsyncHandler(jsonrpc2.HandlerWithError(s.handle))
	return jsonrpc2.NewConn(context.Background(), stream, handler, jsonrpc2.SetLogger(logline.Discard{}))
}

// handle answers one call.
func (s *Server) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if request.Params == nil {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInvalidParams,
			Message: "params are missing",
		}
	}
	var params callParams
	if err := json.Unmarshal(*request.Params, &params); err != nil {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInvalidParams,
			Message: "params: " + err.Error(),
		}
	}
	switch request.Method {
	case callRead:
		return s.handleRead(ctx, params)
	case callFeed:
		return s.handleFeed(ctx, params)
	case callRegister:
		return s.handleRegister(ctx, params)
	case callLoad:
		return s.recordReport(params), nil
	case callTotals:
		return s.handleTotals()
	default:
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeMethodNotFound,
			Message: "no call " + request.Method,
		}
	}
}

// handleRead returns a snapshot of a table.
func (s *Server) handleRead(ctx context.Context, params callParams) (any, error) {
	result, err := s.reader.Read(ctx, params.Table)
	if err != nil {
		return nil, encodeError(err)
	}
	return s.encode(params.Table, wholeTable, result)
}

// handleFeed returns the changes of a table, and the total demand if the caller reported its
// own.
func (s *Server) handleFeed(ctx context.Context, params callParams) (any, error) {
	totals := s.recordReport(params)
	wait := min(time.Duration(params.WaitMS)*time.Millisecond, maxFeedWait)
	result, err := s.reader.Feed(ctx, params.Table, rowstore.Revision{
		Era:     params.Era,
		Version: params.Since,
	}, wait)
	if err != nil {
		s.retractDemand(params, err)
		return nil, encodeError(err)
	}
	encoded, err := s.encode(params.Table, params.Since, result)
	encoded.loadResult = totals
	return encoded, err
}

// handleRegister registers a daemon in the store.
func (s *Server) handleRegister(ctx context.Context, params callParams) (any, error) {
	if s.register == nil || params.From == "" {
		return nil, &jsonrpc2.Error{
			Code:    jsonrpc2.CodeInvalidParams,
			Message: "no daemon is listed here, or it has no name",
		}
	}
	if err := s.register(ctx, params.From, params.Entry); err != nil {
		return nil, encodeError(err)
	}
	return callResult{}, nil
}

// encodeError converts an error to an RPC error.
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

// encode converts a result to the form in which it is sent to callers that request the changes
// since a version, or a snapshot of the table.
func (s *Server) encode(table string, since int64, result rowstore.Result) (callResult, error) {
	encoded := callResult{
		Era:      result.Era,
		Version:  result.Version,
		NowUS:    result.Now.Microseconds(),
		LatestUS: result.MaxStoreTime.Microseconds(),
	}
	for _, one := range result.Rows {
		compressed, err := s.valueCompressor.compress(table, one.Key, rowstore.Revision{
			Era:     result.Era,
			Version: one.Version,
		}, one.Value)
		if err != nil {
			return callResult{}, err
		}
		encodedRow := row{
			Key:     one.Key,
			Value:   one.Value,
			Packed:  compressed,
			Version: one.Version,
			Deleted: one.Deleted,
		}
		if compressed != nil {
			encodedRow.Value = nil
		}
		encoded.Rows = append(encoded.Rows, encodedRow)
	}
	return s.rowCompressor.compress(table, since, encoded)
}

// decode converts a result from the form in which it is sent.
func decode(table string, encoded callResult) (rowstore.Result, error) {
	result := rowstore.Result{
		Era:          encoded.Era,
		Version:      encoded.Version,
		Now:          time.Duration(encoded.NowUS) * time.Microsecond,
		MaxStoreTime: time.Duration(encoded.LatestUS) * time.Microsecond,
		IsRelayed:    true,
	}
	rows, err := encoded.decodeRows()
	if err != nil {
		return rowstore.Result{}, err
	}
	for _, one := range rows {
		value := one.Value
		if one.Packed != nil {
			if value, err = decompress(one.Packed); err != nil {
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
