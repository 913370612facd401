package urgency

import (
	"sync"
	"time"
)

// Lane lets a bounded number of late requests of a kind wait for their first event
// at once. When all clients come back after an outage, those that are late already
// would otherwise fill all places of the engines before the next ones come, which
// could still be in time; a level does not help there, since what runs is not put
// back. The zero value is empty; it is safe for concurrent use.
type Lane struct {
	mutex sync.Mutex
	kinds map[string]*laneOfKind
}

// laneOfKind is the lane of one kind of request.
type laneOfKind struct {
	inside int
	// left is closed when a request leaves.
	left chan struct{}
}

// Enter waits until fewer than limit requests of a kind are inside, at most for a
// time, and enters. leave must be called when the request's answer begins or fails;
// more calls do nothing.
func (l *Lane) Enter(kind string, limit int, patience time.Duration) (leave func()) {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	for {
		left := l.tryEnter(kind, limit)
		if left == nil {
			return l.leaver(kind)
		}
		select {
		case <-left:
		case <-timer.C:
			l.force(kind)
			return l.leaver(kind)
		}
	}
}

// of returns the lane of a kind. The mutex is held.
func (l *Lane) of(kind string) *laneOfKind {
	if l.kinds == nil {
		l.kinds = map[string]*laneOfKind{}
	}
	lane, ok := l.kinds[kind]
	if !ok {
		lane = &laneOfKind{
			left: make(chan struct{}),
		}
		l.kinds[kind] = lane
	}
	return lane
}

// tryEnter enters if there is room, or returns what is closed when one leaves.
func (l *Lane) tryEnter(kind string, limit int) <-chan struct{} {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	lane := l.of(kind)
	if lane.inside < limit {
		lane.inside++
		return nil
	}
	return lane.left
}

// force enters although there is no room.
func (l *Lane) force(kind string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.of(kind).inside++
}

// leaver returns what makes one request leave.
func (l *Lane) leaver(kind string) func() {
	return sync.OnceFunc(func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		lane := l.of(kind)
		lane.inside--
		close(lane.left)
		if lane.inside == 0 {
			delete(l.kinds, kind)
			return
		}
		lane.left = make(chan struct{})
	})
}
