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

// Answerer answers pulls.
type Answerer interface {
	AnswerPull(ctx context.Context, request PullRequest) (Answer, error)
}

// Server answers other daemons. Use Listen.
type Server struct {
	*rpc.Listener
	key      string
	answerer Answerer
	traffic  *Traffic
}

// Listen answers daemons that know the key, at IP:port, where port 0 picks a
// free one.
func Listen(address, key string, answerer Answerer, traffic *Traffic) (*Server, error) {
	server := &Server{
		key:      key,
		answerer: answerer,
		traffic:  traffic,
	}
	listener, err := rpc.Listen(address, server.talk)
	if err != nil {
		return nil, err
	}
	server.Listener = listener
	return server, nil
}

// talk begins a conversation; its requests are answered one by one.
func (s *Server) talk(raw net.Conn) *jsonrpc2.Conn {
	stream := jsonrpc2.NewBufferedStream(&countedConn{
		Conn:    raw,
		traffic: s.traffic,
	}, jsonrpc2.VarintObjectCodec{})
	talk := &conversation{
		server: s,
	}
	return jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(talk.handle), silence())
}

// conversation is one daemon's connection; its requests come one by one.
type conversation struct {
	server    *Server
	isTrusted bool
	teller    teller
}

// Codes of refusals.
const (
	codeUntrusted = -32001
	codeFailed    = -32002
)

// handle answers one request.
func (c *conversation) handle(ctx context.Context, _ *jsonrpc2.Conn, request *jsonrpc2.Request) (any, error) {
	if request.Params == nil {
		return nil, refuse(jsonrpc2.CodeInvalidParams, "no params")
	}
	switch request.Method {
	case methodHello:
		var hello Hello
		if err := json.Unmarshal(*request.Params, &hello); err != nil {
			return nil, refuse(jsonrpc2.CodeInvalidParams, err.Error())
		}
		c.isTrusted = subtle.ConstantTimeCompare([]byte(hello.Key), []byte(c.server.key)) == 1
		if !c.isTrusted {
			return nil, refuse(codeUntrusted, "wrong peer key")
		}
		return struct{}{}, nil
	case methodPull:
		return c.handlePull(ctx, *request.Params)
	default:
		return nil, refuse(jsonrpc2.CodeMethodNotFound, request.Method)
	}
}

// handlePull answers a pull of a trusted daemon.
func (c *conversation) handlePull(ctx context.Context, params json.RawMessage) (any, error) {
	if !c.isTrusted {
		return nil, refuse(codeUntrusted, "say hello first")
	}
	var pull PullRequest
	if err := json.Unmarshal(params, &pull); err != nil {
		return nil, refuse(jsonrpc2.CodeInvalidParams, err.Error())
	}
	answer, err := c.server.answerer.AnswerPull(ctx, pull)
	if err != nil {
		return nil, refuse(codeFailed, err.Error())
	}
	return c.teller.pack(answer, time.Now()), nil
}

// refuse returns an error in the protocol's form.
func refuse(code int64, text string) error {
	return &jsonrpc2.Error{
		Code:    code,
		Message: text,
	}
}
