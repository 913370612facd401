package standin

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"headcourse/platform/wire"
)

// platformWrite is the last value that an operator or a server wrote to a row; nil means that
// the row was removed.
type platformWrite struct {
	value    []byte
	sequence int64
}

// Snapshot is a copy of the store.
type Snapshot struct {
	rows               map[rowKey]wire.Row
	history            []wire.Row
	version            int64
	minFeedVersion     int64
	platformWriteCount int64
	takenAt            time.Time
}

// Snapshot returns a copy of the store's current state.
func (s *Store) Snapshot() Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return Snapshot{
		rows:               maps.Clone(s.rows),
		history:            slices.Clone(s.history),
		version:            s.version,
		minFeedVersion:     s.minFeedVersion,
		platformWriteCount: s.platformWriteCount,
		takenAt:            time.Now(),
	}
}

// RestoreOptions sets how the store is restored.
type RestoreOptions struct {
	// MaxRewriteDelay is the time within which operators and servers repeat the writes that
	// the snapshot lacks, each at a random moment; 0 means at once.
	MaxRewriteDelay time.Duration
	// KeepClock makes the store's clock continue; otherwise it returns to the time of the
	// snapshot.
	KeepClock bool
}

// Restore replaces the contents of the store by a snapshot and begins a new era. Later writes
// of daemons are lost, and their version numbers are assigned again.
func (s *Store) Restore(snapshot Snapshot, options RestoreOptions) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.era++
	s.rows = maps.Clone(snapshot.rows)
	s.history = slices.Clone(snapshot.history)
	s.version = snapshot.version
	s.minFeedVersion = snapshot.minFeedVersion
	if !options.KeepClock {
		s.clockStart = s.clockStart.Add(time.Since(snapshot.takenAt))
	}
	s.notifyWaiters()
	for _, key := range s.lostRows(snapshot) {
		sequence := s.platformWrites[key].sequence
		if options.MaxRewriteDelay == 0 {
			s.applyPlatformWrite(key.table, key.key, s.platformWrites[key].value)
			continue
		}
		time.AfterFunc(rand.N(options.MaxRewriteDelay), func() {
			s.repeatPlatformWrite(key, sequence)
		})
	}
}

// lostRows returns the rows that operators and servers wrote after the snapshot, in the order
// of their writes. The mutex is held.
func (s *Store) lostRows(snapshot Snapshot) []rowKey {
	var lost []rowKey
	for key, write := range s.platformWrites {
		if write.sequence > snapshot.platformWriteCount {
			lost = append(lost, key)
		}
	}
	slices.SortFunc(lost, func(a, b rowKey) int {
		return cmp.Compare(s.platformWrites[a].sequence, s.platformWrites[b].sequence)
	})
	return lost
}

// repeatPlatformWrite writes a lost row again unless it has been written since the restore.
func (s *Store) repeatPlatformWrite(key rowKey, sequence int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.platformWrites[key].sequence == sequence {
		s.applyPlatformWrite(key.table, key.key, s.platformWrites[key].value)
	}
}
