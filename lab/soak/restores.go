package soak

import (
	"sync"
	"time"

	"headcourse/lab/standin"
)

// Figures of restores of the store. Copies are taken again and again, and the last of them are
// kept.
const (
	copyEvery  = 500 * time.Millisecond
	keptCopies = 20
	// leastAway and mostAway are how long the store is away, longestRewrite how long it takes
	// until operators and servers have written again: less than three heartbeats.
	leastAway, mostAway = 100 * time.Millisecond, 2500 * time.Millisecond
	longestRewrite      = 800 * time.Millisecond
)

// copies are the last copies of the store, the newest first.
type copies struct {
	mutex sync.Mutex
	kept  []standin.Snapshot
}

// add adds a copy.
func (c *copies) add(one standin.Snapshot) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.kept = append([]standin.Snapshot{one}, c.kept[:min(len(c.kept), keptCopies-1)]...)
}

// older returns a copy by how many there are after it, or the oldest.
func (c *copies) older(number int) standin.Snapshot {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.kept[min(number, len(c.kept)-1)]
}

// copyStore takes a copy of the store now and then, until done is closed.
func (s *soak) copyStore(done <-chan struct{}) {
	ticker := time.NewTicker(copyEvery)
	defer ticker.Stop()
	for {
		s.copies.add(s.platform.Store.Snapshot())
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// restoreStore takes the store away for a moment, in one of the ways in which it can be, and
// restores it from an older copy; now and then it is restored once more soon after.
func restoreStore(s *soak) func() {
	s.platform.Store.SetFault([]standin.Fault{
		standin.Refusing,
		standin.Silent,
		standin.Late,
	}[s.random.IntN(3)])
	how := standin.Restoring{
		RewriteWithin: s.between(0, longestRewrite),
		IsClockKept:   s.random.IntN(2) == 0,
	}
	age, isTwice := s.random.IntN(keptCopies), s.random.IntN(4) == 0
	s.later(s.between(leastAway, mostAway), func() {
		s.restore(age, how)
		if isTwice {
			s.restore(0, how)
		}
	})
	return nil
}

// restore restores the store from a copy.
func (s *soak) restore(age int, how standin.Restoring) {
	s.platform.Store.Restore(s.copies.older(age), how)
	s.platform.Store.SetFault(standin.Well)
	s.say("store restored from copy %d, rewritten within %s, its clock kept: %t", age, how.RewriteWithin, how.IsClockKept)
}

// checkRestore restores the store from its oldest copy while nothing else happens, right after
// keys were changed, and returns which daemon does not serve again.
func (s *soak) checkRestore() []string {
	s.changeKeys()
	s.platform.Store.SetFault(standin.Refusing)
	time.Sleep(leastAway)
	s.restore(keptCopies, standin.Restoring{
		RewriteWithin: longestRewrite,
	})
	return s.await("a restore of the store")
}
