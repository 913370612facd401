package tcp

import (
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Conns is the set of open connections of an HTTP server. The zero value is empty and safe for
// concurrent use.
type Conns struct {
	mutex sync.Mutex
	open  map[net.Conn]connState
}

// connState is the state of a connection and the time since which it has it.
type connState struct {
	state fasthttp.ConnState
	since time.Time
}

// isLessUsedThan reports whether a connection is to be closed before another: idle ones before those
// that have sent no request yet, and the longest idle first.
func (s connState) isLessUsedThan(other connState) bool {
	if s.state != other.state {
		return s.state == fasthttp.StateIdle
	}
	return s.since.Before(other.since)
}

// Len returns the number of open connections.
func (c *Conns) Len() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.open)
}

// Counts are numbers of open connections by state: that have sent no request yet, whose request is being read or
// served, and that wait for another request.
type Counts struct {
	New    int
	Active int
	Idle   int
}

// Count returns the numbers of open connections.
func (c *Conns) Count() Counts {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	var counts Counts
	for _, conn := range c.open {
		switch conn.state {
		case fasthttp.StateNew:
			counts.New++
		case fasthttp.StateActive:
			counts.Active++
		case fasthttp.StateIdle:
			counts.Idle++
		}
	}
	return counts
}

// SetState records a state change of a connection, as reported by the HTTP library.
func (c *Conns) SetState(conn net.Conn, state fasthttp.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, isOpen := c.open[conn]
	switch {
	case state == fasthttp.StateClosed || state == fasthttp.StateHijacked:
		delete(c.open, conn)
	case state == fasthttp.StateNew || isOpen:
		if c.open == nil {
			c.open = map[net.Conn]connState{}
		}
		c.open[conn] = connState{
			state: state,
			since: time.Now(),
		}
	}
}

// CloseLeastUsed closes the connection that has been idle for longest or, if none is idle, the oldest
// one that has sent no whole request head for openingTime. It returns false if there is neither.
func (c *Conns) CloseLeastUsed(openingTime time.Duration) bool {
	c.mutex.Lock()
	var chosen net.Conn
	var chosenState connState
	for conn, state := range c.open {
		isSlow := state.state == fasthttp.StateNew && time.Since(state.since) >= openingTime
		if state.state != fasthttp.StateIdle && !isSlow {
			continue
		}
		// An idle connection with bytes to read has the next request.
		isUsed := state.state == fasthttp.StateIdle && Probe(conn) == Readable
		if !isUsed && (chosen == nil || state.isLessUsedThan(chosenState)) {
			chosen = conn
			chosenState = state
		}
	}
	delete(c.open, chosen)
	c.mutex.Unlock()
	if chosen == nil {
		return false
	}
	// The peer may have closed it already.
	_ = chosen.Close()
	return true
}

// SetReadDeadline sets the read deadline of all open connections.
func (c *Conns) SetReadDeadline(deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for conn := range c.open {
		// A connection that was closed in the meantime needs no deadline.
		_ = conn.SetReadDeadline(deadline)
	}
}

// CloseAll closes all open connections.
func (c *Conns) CloseAll() {
	c.mutex.Lock()
	open := c.open
	c.open = nil
	c.mutex.Unlock()
	for conn := range open {
		// A connection that was closed in the meantime needs no further handling.
		_ = conn.Close()
	}
}
