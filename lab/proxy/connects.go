package proxy

import (
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

const (
	// fillTimeout is how long a connect to a listener whose queue is not full takes at most.
	fillTimeout = 100 * time.Millisecond
	// maxFillConns is far more connections than the shortest queue holds.
	maxFillConns = 64
)

// HoldConnects leaves new connects unanswered, as a server does that stands still with its queue of connections full.
// Open connections are not affected. release answers connects again; those of clients that still wait succeed when the
// kernel repeats them.
func (p *Proxy) HoldConnects() (release func(), err error) {
	p.mutex.Lock()
	if p.released != nil {
		p.mutex.Unlock()
		return nil, errors.New("hold connects: they are held already")
	}
	p.released = make(chan struct{})
	p.mutex.Unlock()
	// The queue then has room for one connection.
	if err = p.setQueueLength(0); err != nil {
		p.release(nil)
		return nil, err
	}
	var fillers []net.Conn
	for range maxFillConns {
		filler, dialErr := net.DialTimeout("tcp", p.Address(), fillTimeout)
		if dialErr != nil {
			break
		}
		fillers = append(fillers, filler)
	}
	return func() { p.release(fillers) }, nil
}

// release accepts connections again and closes those that filled the queue.
func (p *Proxy) release(fillers []net.Conn) {
	p.mutex.Lock()
	close(p.released)
	p.released = nil
	p.mutex.Unlock()
	// The error is ignored: a closed listener has no queue.
	_ = p.setQueueLength(unix.SOMAXCONN)
	for _, filler := range fillers {
		_ = filler.Close()
	}
}

// awaitRelease waits while connects are held.
func (p *Proxy) awaitRelease() {
	p.mutex.Lock()
	released := p.released
	p.mutex.Unlock()
	if released != nil {
		<-released
	}
}

// setQueueLength sets how many connections may wait until they are accepted.
func (p *Proxy) setQueueLength(length int) error {
	listener, ok := p.listener.(*net.TCPListener)
	if !ok {
		return errors.Errorf("set the length of a queue: %T is no TCP listener", p.listener)
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set the length of a queue")
	}
	var listenErr error
	err = raw.Control(func(descriptor uintptr) {
		listenErr = unix.Listen(int(descriptor), length)
	})
	if err == nil {
		err = listenErr
	}
	return errors.Wrap(err, "set the length of a queue")
}
