// Package server runs the HTTP side of one stand-in on one address, and lets
// it be killed and started again there.
package server

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// Server is one stand-in's listener. Use Start.
type Server struct {
	handler  fasthttp.RequestHandler
	mutex    sync.Mutex
	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}
}

// Start listens on address, where port 0 picks a free one, and serves.
func Start(address string, handler fasthttp.RequestHandler) (*Server, error) {
	server := &Server{
		handler: handler,
		address: address,
	}
	return server, server.Revive()
}

// Address returns the IP:port listened on.
func (s *Server) Address() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.address
}

// Kill closes the listener and cuts every connection, as a dead process would.
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

// Revive listens again on the same address.
func (s *Server) Revive() error {
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
	inner := &fasthttp.Server{
		Handler:               s.handler,
		NoDefaultServerHeader: true,
		StreamRequestBody:     false,
		MaxRequestBodySize:    64 << 20,
		Logger:                silent{},
	}
	go func() {
		_ = inner.Serve(&tracked{
			Listener: listener,
			server:   s,
		})
	}()
	return nil
}

// silent drops the library's log of cut connections.
type silent struct{}

// Printf drops the line.
func (silent) Printf(string, ...any) {}

// tracked is a listener whose connections Kill can cut.
type tracked struct {
	net.Listener
	server *Server
}

// Accept accepts a connection and keeps track of it.
func (t *tracked) Accept() (net.Conn, error) {
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

// trackedConn forgets itself when closed.
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
