package caller

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lookEvery is the time between two looks at all connections.
const lookEvery = 200 * time.Millisecond

// watcher finds out that callers went away. The HTTP library does not tell a
// handler; so the watcher looks into each connection with a request under way,
// without taking anything from it. The zero value works once run is running.
type watcher struct {
	mutex   sync.Mutex
	next    int
	watched map[int]watchedConn
}

// watchedConn is one connection and what to do when it is closed.
type watchedConn struct {
	conn   net.Conn
	onGone func()
}

// watch calls onGone once if the peer of conn closes it, until forget is
// called.
func (w *watcher) watch(conn net.Conn, onGone func()) (forget func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.watched == nil {
		w.watched = map[int]watchedConn{}
	}
	w.next++
	id := w.next
	w.watched[id] = watchedConn{
		conn:   conn,
		onGone: onGone,
	}
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.watched, id)
	}
}

// run looks at all connections again and again until ctx ends.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.look()
		case <-ctx.Done():
			return
		}
	}
}

// look looks at all connections once.
func (w *watcher) look() {
	w.mutex.Lock()
	current := make(map[int]watchedConn, len(w.watched))
	for id, one := range w.watched {
		current[id] = one
	}
	w.mutex.Unlock()
	for id, one := range current {
		if !isClosed(one.conn) {
			continue
		}
		w.mutex.Lock()
		_, isWatched := w.watched[id]
		delete(w.watched, id)
		w.mutex.Unlock()
		if isWatched {
			one.onGone()
		}
	}
}

// isClosed tells whether the peer has closed a TCP connection, by peeking.
// Connections of other kinds count as open.
func isClosed(conn net.Conn) bool {
	raw, ok := conn.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	isGone := false
	err = control.Control(func(fd uintptr) {
		var one [1]byte
		n, _, peekErr := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		isWaiting := peekErr == unix.EAGAIN || peekErr == unix.EINTR
		isGone = (peekErr == nil && n == 0) || (peekErr != nil && !isWaiting)
	})
	return err == nil && isGone
}
