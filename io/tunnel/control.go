package tunnel

import (
	"net"
	"time"

	"headcourse/io/tcp"
)

// controlTimeout bounds connecting to a server in a check of the daemon's own links.
const controlTimeout = 60 * time.Millisecond

// hasWorkingLinks reports whether a direct connect to one of a few servers succeeds, so that the
// failure of another server is that server's own.
func hasWorkingLinks(dialer tcp.Dialer, servers []string) bool {
	results := make(chan bool, len(servers))
	for _, address := range servers {
		go func() {
			conn, err := dialer.Dial(address, controlTimeout)
			if err == nil {
				_ = conn.Close()
			}
			results <- err == nil
		}()
	}
	for range servers {
		if <-results {
			return true
		}
	}
	return false
}

// comparison is the result of connecting to a server and to others at the same time: a connection, or the error and
// whether one of the others was connected to.
type comparison struct {
	conn            net.Conn
	err             error
	hasWorkingLinks bool
}

// compare connects to a server and to a few others. An earlier connect to it does not count: while a server stands still
// a connect stays unanswered, and its repetition comes after the timeout.
func compare(dialer tcp.Dialer, address string, others []string) comparison {
	checked := make(chan bool, 1)
	go func() { checked <- hasWorkingLinks(dialer, others) }()
	conn, err := dialer.Dial(address, controlTimeout)
	if err == nil {
		return comparison{
			conn: conn,
		}
	}
	return comparison{
		err:             err,
		hasWorkingLinks: <-checked,
	}
}

// close closes the connection, if any.
func (c comparison) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
}
