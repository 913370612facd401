package tcp

import (
	"net"
	"sync"

	"github.com/valyala/fasthttp"
)

// Conns are the open connections of an HTTP server. The zero value is empty and
// safe for concurrent use.
type Conns struct {
	open sync.Map
}

// Note takes a change of a connection's state, as the HTTP library tells it.
func (c *Conns) Note(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		c.open.Store(conn, struct{}{})
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		c.open.Delete(conn)
	case fasthttp.StateActive, fasthttp.StateIdle:
	}
}

// CloseAll closes all connections that are open.
func (c *Conns) CloseAll() {
	c.open.Range(func(conn, _ any) bool {
		if open, ok := conn.(net.Conn); ok {
			// One that has just been closed needs nothing more.
			_ = open.Close()
		}
		return true
	})
}
