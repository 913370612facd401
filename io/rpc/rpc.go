// Package rpc listens for other daemons that speak JSON-RPC over TCP and keeps
// their conversations until they end, or it is closed. What is said in a
// conversation is up to whoever listens.
package rpc

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Listener takes conversations. Use Listen.
type Listener struct {
	listener net.Listener
	talk     func(raw net.Conn) *jsonrpc2.Conn

	mutex    sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	isClosed bool
}

// Listen takes conversations at IP:port, where port 0 picks a free one. talk
// begins one on a new connection.
func Listen(address string, talk func(raw net.Conn) *jsonrpc2.Conn) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for daemons on %s", address)
	}
	l := &Listener{
		listener: listener,
		talk:     talk,
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
	go l.accept()
	return l, nil
}

// Address returns the IP:port listened on.
func (l *Listener) Address() string {
	return l.listener.Addr().String()
}

// Close ends all conversations and takes no more.
func (l *Listener) Close() {
	// A listener that is closed already needs nothing more.
	_ = l.listener.Close()
	l.mutex.Lock()
	l.isClosed = true
	conns := l.conns
	l.conns = map[*jsonrpc2.Conn]struct{}{}
	l.mutex.Unlock()
	for conn := range conns {
		_ = conn.Close()
	}
}

// accept takes conversations until the listener is closed.
func (l *Listener) accept() {
	for {
		raw, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.keep(l.talk(raw))
	}
}

// keep keeps a conversation until it ends.
func (l *Listener) keep(conn *jsonrpc2.Conn) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.isClosed {
		_ = conn.Close()
		return
	}
	l.conns[conn] = struct{}{}
	go func() {
		<-conn.DisconnectNotify()
		l.mutex.Lock()
		defer l.mutex.Unlock()
		delete(l.conns, conn)
	}()
}
