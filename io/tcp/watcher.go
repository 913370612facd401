package tcp

import (
	"context"
	"net"
	"sync"
	"time"
)

// lookEvery is the time between two looks at all connections. Work for a
// client that has gone should end within half a second.
const lookEvery = 200 * time.Millisecond

// Watcher finds out that clients went away while their requests are under way.
// The zero value works once Run is running.
type Watcher struct {
	mutex   sync.Mutex
	next    int
	watched map[int]watchedConn
}

// watchedConn is one connection and what to do when it is closed.
type watchedConn struct {
	conn   net.Conn
	onGone func()
}

// Watch calls onGone once if the peer of conn closes it, until forget is
// called.
func (w *Watcher) Watch(conn net.Conn, onGone func()) (forget func()) {
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

// Run looks at all connections again and again until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
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
func (w *Watcher) look() {
	w.mutex.Lock()
	current := make(map[int]watchedConn, len(w.watched))
	for id, one := range w.watched {
		current[id] = one
	}
	w.mutex.Unlock()
	for id, one := range current {
		if Look(one.conn) != Closed {
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
