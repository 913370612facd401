package standin

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"headcourse/platform/wire"
)

// ownWrite is what an operator or a server wrote last to a row; nil: it removed the row.
type ownWrite struct {
	value  []byte
	number int64
}

// Snapshot is a copy of the store.
type Snapshot struct {
	rows      map[rowKey]wire.Row
	history   []wire.Row
	version   int64
	floor     int64
	ownWrites int64
	taken     time.Time
}

// Snapshot returns a copy of the store as it is.
func (s *Store) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{
		rows:      maps.Clone(s.rows),
		history:   slices.Clone(s.history),
		version:   s.version,
		floor:     s.floor,
		ownWrites: s.ownWrites,
		taken:     time.Now(),
	}
}

// Restoring is how the store is restored.
type Restoring struct {
	// RewriteWithin is how long it takes until operators and servers have written again
	// what the copy lacks, each row at a moment of its own; 0: at once.
	RewriteWithin time.Duration
	// IsClockKept tells that the store's clock goes on; else it goes back with the rows.
	IsClockKept bool
}

// Restore replaces the store by a copy and begins a new era. What daemons wrote since is
// gone, and versions are given out again.
func (s *Store) Restore(snapshot Snapshot, how Restoring) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.rows = maps.Clone(snapshot.rows)
	s.history = slices.Clone(snapshot.history)
	s.version = snapshot.version
	s.floor = snapshot.floor
	if !how.IsClockKept {
		s.started = s.started.Add(time.Since(snapshot.taken))
	}
	s.wake()
	for _, at := range s.lostKeys(snapshot) {
		number := s.own[at].number
		if how.RewriteWithin == 0 {
			s.putAgain(at.table, at.key, s.own[at].value)
			continue
		}
		time.AfterFunc(rand.N(how.RewriteWithin), func() {
			s.writeAgain(at, number)
		})
	}
}

// lostKeys returns the rows that operators and servers have written since a copy, in
// the order in which they did. The mutex is held.
func (s *Store) lostKeys(snapshot Snapshot) []rowKey {
	var lost []rowKey
	for at, write := range s.own {
		if write.number > snapshot.ownWrites {
			lost = append(lost, at)
		}
	}
	slices.SortFunc(lost, func(a, b rowKey) int {
		return cmp.Compare(s.own[a].number, s.own[b].number)
	})
	return lost
}

// writeAgain writes a row again unless it was written anew since.
func (s *Store) writeAgain(at rowKey, number int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.own[at].number == number {
		s.putAgain(at.table, at.key, s.own[at].value)
	}
}
