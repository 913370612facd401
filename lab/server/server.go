// Package server runs the HTTP server of a stand-in on one address, which can be killed and
// restarted on that address.
package server

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Server is the HTTP server of one stand-in. Use Start.
type Server struct {
	handler  fasthttp.RequestHandler
	mutex    sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// Start listens on address and serves; port 0 chooses a free port.
func Start(address string, handler fasthttp.RequestHandler) (*Server, error) {
	server := &Server{
		handler: handler,
		address: address,
	}
	return server, server.Restart()
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Kill closes the listener and all connections, as the end of the process would.
func (s *Server) Kill() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener == nil {
		return
	}
	_ = s.listener.Close()
	s.listener = nil
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

// Restart listens again on the same address. It does nothing if the server is listening.
func (s *Server) Restart() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", s.address)
	}
	s.address = listener.Addr().String()
	s.listener = listener
	s.conns = map[net.Conn]struct{}{}
	httpServer := &fasthttp.Server{
		Handler:               s.handler,
		NoDefaultServerHeader: true,
		StreamRequestBody:     false,
		MaxRequestBodySize:    64 << 20,
		Logger:                discardLogger{},
	}
	go func() {
		_ = httpServer.Serve(&trackingListener{
			Listener: listener,
			server:   s,
		})
	}()
	return nil
}

// discardLogger discards the library's log lines about closed connections.
type discardLogger struct{}

// Printf discards the line.
func (discardLogger) Printf(string, ...any) {}

// trackingListener registers its connections with the server, so that Kill can close them.
type trackingListener struct {
	net.Listener
	server *Server
}

// Accept accepts and registers a connection.
func (t *trackingListener) Accept() (net.Conn, error) {
	conn, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.server.mutex.Lock()
	defer t.server.mutex.Unlock()
	if t.server.listener != t.Listener {
		_ = conn.Close()
		return conn, nil
	}
	t.server.conns[conn] = struct{}{}
	return &trackedConn{
		Conn:   conn,
		server: t.server,
	}, nil
}

// trackedConn is removed from the server's connections when it is closed.
type trackedConn struct {
	net.Conn
	server *Server
}

// Close closes the connection.
func (t *trackedConn) Close() error {
	t.server.mutex.Lock()
	delete(t.server.conns, t.Conn)
	t.server.mutex.Unlock()
	return t.Conn.Close()
}
