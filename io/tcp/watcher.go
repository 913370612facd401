package tcp

import (
	"context"
	"net"
	"sync"
	"time"
)

// pollInterval is the interval between checks of all connections. Work for a client that has
// disconnected should end within half a second.
const pollInterval = 200 * time.Millisecond

// CloseWatcher detects clients that disconnect while their requests are in flight. The zero
// value is ready to use once Run is running.
type CloseWatcher struct {
	mutex   sync.Mutex
	nextID  int
	watched map[int]watchedConn
}

// watchedConn is a watched connection and the function to call when its peer closes it.
type watchedConn struct {
	conn     net.Conn
	onClosed func()
}

// Watch calls onClosed once if the peer closes conn, unless forget is called before.
func (w *CloseWatcher) Watch(conn net.Conn, onClosed func()) (forget func()) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.watched == nil {
		w.watched = map[int]watchedConn{}
	}
	w.nextID++
	id := w.nextID
	w.watched[id] = watchedConn{
		conn:     conn,
		onClosed: onClosed,
	}
	return func() {
		w.mutex.Lock()
		defer w.mutex.Unlock()
		delete(w.watched, id)
	}
}

// Run checks all connections periodically until ctx ends.
func (w *CloseWatcher) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.poll()
		case <-ctx.Done():
			return
		}
	}
}

// poll checks all connections once.
func (w *CloseWatcher) poll() {
	w.mutex.Lock()
	watched := make(map[int]watchedConn, len(w.watched))
	for id, entry := range w.watched {
		watched[id] = entry
	}
	w.mutex.Unlock()
	for id, entry := range watched {
		if Probe(entry.conn) != Closed {
			continue
		}
		w.mutex.Lock()
		_, isWatched := w.watched[id]
		delete(w.watched, id)
		w.mutex.Unlock()
		if isWatched {
			entry.onClosed()
		}
	}
}
