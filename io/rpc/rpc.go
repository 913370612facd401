// Package rpc accepts the JSON-RPC connections of other daemons over TCP and tracks
// them until they end or the listener is closed. The user of the package handles
// the requests.
package rpc

import (
	"net"
	"sync"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"headcourse/io/tcp"
)

// Listener accepts connections. Create it with Listen.
type Listener struct {
	listener net.Listener
	open     func(raw net.Conn) *jsonrpc2.Conn

	mutex    sync.Mutex
	conns    map[*jsonrpc2.Conn]struct{}
	isClosed bool
}

// Listen accepts connections at IP:port. Port 0 chooses a free port. open starts
// JSON-RPC on a new connection.
func Listen(address string, open func(raw net.Conn) *jsonrpc2.Conn) (*Listener, error) {
	listener, err := tcp.Listen(address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen for daemons on %s", address)
	}
	l := &Listener{
		listener: listener,
		open:     open,
		conns:    map[*jsonrpc2.Conn]struct{}{},
	}
	go l.accept()
	return l, nil
}

// Address returns the IP:port that the listener uses.
func (l *Listener) Address() string {
	return l.listener.Addr().String()
}

// Close closes all connections and accepts no more.
func (l *Listener) Close() {
	// The only error means that the listener is closed already.
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

// accept accepts connections until the listener is closed.
func (l *Listener) accept() {
	for {
		raw, err := l.listener.Accept()
		if err != nil {
			return
		}
		l.track(l.open(raw))
	}
}

// track holds a connection until it ends, so that Close can close it.
func (l *Listener) track(conn *jsonrpc2.Conn) {
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
