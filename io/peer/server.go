package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"time"

	"github.com/sourcegraph/jsonrpc2"

	"headcourse/io/rpc"
)

// PullHandler answers the pulls of other daemons.
type PullHandler interface {
	HandlePull(ctx context.Context, request PullRequest) (PullAnswer, error)
}

// Server serves other daemons. Create it with Listen.
type Server struct {
	*rpc.Listener
	key     string
	handler PullHandler
	traffic *Traffic
}

// Listen starts a server at IP:port for daemons that have the key. Port 0 chooses a
// free port.
func Listen(address, key string, handler PullHandler, traffic *Traffic) (*Server, error) {
	server := &Server{
		key:     key,
		handler: handler,
		traffic: traffic,
	}
	listener, err := rpc.Listen(address, server.newSession)
	if err != nil {
		return nil, err
	}
	server.Listener = listener
	return server, nil
}

// newSession starts a session on a new connection. Its requests are handled one by one.
func (s *Server) newSession(raw net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(&countingConn{
		Conn:    raw,
		traffic: s.traffic,
	}, jsonrpc2.VarintObjectCodec{})
	created := &serverSession{
		server: s,
	}
	return jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(created.handle), discardLog())
}

// serverSession is the state of a session with another daemon.
type serverSession struct {
	server    *Server
	isTrusted bool
	encoder   encoder
}

// Error codes of this protocol.
const (
	codeUntrusted = -32001
	codeFailed    = -32002
)

// handle answers one request.
func (s *serverSession) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if request.Params == nil {
		return nil, newError(jsonrpc2.CodeInvalidParams, "no params")
	}
	switch request.Method {
	case methodHello:
		var hello Hello
		if err := json.Unmarshal(*request.Params, &hello); err != nil {
			return nil, newError(jsonrpc2.CodeInvalidParams, err.Error())
		}
		s.isTrusted = subtle.ConstantTimeCompare([]byte(hello.Key), []byte(s.server.key)) == 1
		if !s.isTrusted {
			return nil, newError(codeUntrusted, "wrong peer key")
		}
		return struct{}{}, nil
	case methodPull:
		return s.handlePull(ctx, *request.Params)
	default:
		return nil, newError(jsonrpc2.CodeMethodNotFound, request.Method)
	}
}

// handlePull answers a pull if the daemon has sent the peer key.
func (s *serverSession) handlePull(ctx context.Context, params json.RawMessage) (any, error) {
	if !s.isTrusted {
		return nil, newError(codeUntrusted, "say hello first")
	}
	var pull PullRequest
	if err := json.Unmarshal(params, &pull); err != nil {
		return nil, newError(jsonrpc2.CodeInvalidParams, err.Error())
	}
	answer, err := s.server.handler.HandlePull(ctx, pull)
	if err != nil {
		return nil, newError(codeFailed, err.Error())
	}
	return s.encoder.encode(answer, time.Now()), nil
}

// newError returns a JSON-RPC error.
func newError(code int64, text string) error {
	return &jsonrpc2.Error{
		Code:    code,
		Message: text,
	}
}
