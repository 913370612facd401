package ratelimit

import (
	"math"
	"sync"
	"time"
)

// Times of notices.
const (
	// refreshEvery is the age at which a notice is told again while its limit holds, so
	// that others know that somebody still hears of it.
	refreshEvery = 15 * time.Second
	// wordEvery is the least time between two words of this daemon about one server, and the
	// least age at which a limit that has changed is told anew by anybody.
	wordEvery = 2 * time.Second
	// isOther is by which part a limit must differ from the one told to be told anew.
	isOther = 0.1
)

// Notices are the limits that daemons tell each other, as this one has read them, and decide
// when it tells one: a daemon that is told needs no request of its own to learn that a server
// is in need, and one without a part learns only so that the need is over. The zero value is
// empty and safe for concurrent use.
type Notices struct {
	mutex sync.Mutex
	told  map[string]notice
	// spoke is when this daemon last told something of a start.
	spoke map[string]time.Time
}

// notice is the limit of a start, and when it was read.
type notice struct {
	limit Limit
	at    time.Time
}

// Take notes a notice that was read, and tells whether it is another than before.
func (n *Notices) Take(start string, limit Limit) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	isNews := n.told[start].limit != limit
	if n.told == nil {
		n.told = map[string]notice{}
	}
	n.told[start] = notice{
		limit: limit,
		at:    time.Now(),
	}
	return isNews
}

// Remove notes that the notice of a start is gone, and tells whether there was one.
func (n *Notices) Remove(start string) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	_, isTold := n.told[start]
	delete(n.told, start)
	return isTold
}

// Len returns of how many starts there is a notice.
func (n *Notices) Len() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return len(n.told)
}

// Others returns the starts of which there is a notice, but for some.
func (n *Notices) Others(starts map[string]bool) []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var others []string
	for start := range n.told {
		if !starts[start] {
			others = append(others, start)
		}
	}
	return others
}

// Old returns the starts of which the notice has not been told again for long.
func (n *Notices) Old() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var old []string
	for start, one := range n.told {
		if time.Since(one.at) > keptFor {
			old = append(old, start)
		}
	}
	return old
}

// Wants tells whether others are to be told what this daemon has heard of a start: a limit
// that they do not know, or know as another, or was not told for refreshEvery; or that the
// one they know is over.
func (n *Notices) Wants(start string, heard Limit) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.wants(start, heard) && time.Since(n.spoke[start]) >= wordEvery
}

// Speak tells whether what was wanted still is, and notes that it is told now.
func (n *Notices) Speak(start string, heard Limit) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.wants(start, heard) || time.Since(n.spoke[start]) < wordEvery {
		return false
	}
	if n.spoke == nil {
		n.spoke = map[string]time.Time{}
	}
	n.spoke[start] = time.Now()
	return true
}

// wants is Wants whenever this daemon spoke last. The mutex is held.
func (n *Notices) wants(start string, heard Limit) bool {
	told, isTold := n.told[start]
	if heard.IsNamed != isTold || !isTold {
		return heard.IsNamed != isTold
	}
	age := time.Since(told.at)
	difference := math.Abs(heard.PerSecond - told.limit.PerSecond)
	hasChanged := difference > isOther*told.limit.PerSecond
	return (hasChanged && age >= wordEvery) || age >= refreshEvery
}

// Sweep forgets when this daemon spoke, where that is of no use any more.
func (n *Notices) Sweep() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for start, at := range n.spoke {
		if time.Since(at) > wordEvery {
			delete(n.spoke, start)
		}
	}
}
