package tcp

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Range of the pause after an accept that failed, which doubles with each further one.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = 250 * time.Millisecond
)

// Listener accepts connections until it is closed. It retries an accept that fails, as one does while
// the process has no descriptor left: HTTP libraries take such an error for the end of the listener.
type Listener struct {
	net.Listener
	// OnError, if set, is called with each error after which accepting is retried. Set it before
	// use.
	OnError func(err error)

	failures atomic.Int64
	once     sync.Once
	closed   chan struct{}
}

// Listen listens at IP:port. Port 0 chooses a free port.
func Listen(address string) (*Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return NewListener(listener), nil
}

// NewListener returns a Listener that accepts the connections of another.
func NewListener(listener net.Listener) *Listener {
	return &Listener{
		Listener: listener,
		closed:   make(chan struct{}),
	}
}

// Accept returns the next connection, or net.ErrClosed once the listener is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for pause := minAcceptPause; ; pause = min(2*pause, maxAcceptPause) {
		conn, err := l.Listener.Accept()
		if err == nil {
			return conn, nil
		}
		if l.isClosed() || errors.Is(err, net.ErrClosed) {
			return nil, net.ErrClosed
		}
		l.failures.Add(1)
		if l.OnError != nil {
			l.OnError(err)
		}
		select {
		case <-l.closed:
			return nil, net.ErrClosed
		case <-time.After(pause):
		}
	}
}

// Failures returns how many accepts have failed and were retried.
func (l *Listener) Failures() int64 {
	return l.failures.Load()
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// isClosed reports whether Close was called.
func (l *Listener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}
