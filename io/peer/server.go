package peer

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Answerer answers pulls.
type Answerer interface {
	AnswerPull(ctx context.Context, request PullRequest) (Answer, error)
}

// Server answers other daemons. Use Listen.
type Server struct {
	listener net.Listener
	key      string
	answerer Answerer
	traffic  *Traffic
	mutex    sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	isClosed bool
}

// Listen answers daemons that know the key, at IP:port, where port 0 picks a
// free one.
func Listen(address, key string, answerer Answerer, traffic *Traffic) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for peers on %s", address)
	}
	server := &Server{
		listener: listener,
		key:      key,
		answerer: answerer,
		traffic:  traffic,
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
	go server.accept()
	return server, nil
}

// Address returns the IP:port listened on.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close ends all conversations.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.mutex.Lock()
	s.isClosed = true
	conns := s.conns
	s.conns = map[*jsonrpc2.Conn]struct{}{}
	s.mutex.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
}

// accept takes conversations until the listener is closed.
func (s *Server) accept() {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return
		}
		stream := jsonrpc2.NewBufferedStream(&countedConn{
			Conn:    raw,
			traffic: s.traffic,
		}, jsonrpc2.VarintObjectCodec{})
		talk := &conversation{
			server: s,
		}
		conn := jsonrpc2.NewConn(context.Background(), stream, jsonrpc2.HandlerWithError(talk.handle), silence())
		s.keep(conn)
	}
}

// keep keeps track of a conversation until it ends.
func (s *Server) keep(conn *jsonrpc2.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isClosed {
		_ = conn.Close()
		return
	}
	s.conns[conn] = struct{}{}
	go func() {
		<-conn.DisconnectNotify()
		s.mutex.Lock()
		defer s.mutex.Unlock()
		delete(s.conns, conn)
	}()
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
