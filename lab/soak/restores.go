package soak

import (
	"sync"
	"time"

	"headcourse/lab/standin"
)

// Snapshots and restores of the store. The soak takes snapshots at an interval and keeps the
// newest.
const (
	snapshotInterval = 500 * time.Millisecond
	maxSnapshots     = 20
	// minOutage and maxOutage bound how long the store is unavailable before a restore.
	// maxRewriteDelay is the time within which operators and servers repeat their writes: less
	// than three heartbeats.
	minOutage, maxOutage = 100 * time.Millisecond, 2500 * time.Millisecond
	maxRewriteDelay      = 800 * time.Millisecond
)

// snapshots holds the last snapshots of the store.
type snapshots struct {
	mutex       sync.Mutex
	newestFirst []standin.Snapshot
}

// add adds a snapshot and drops the oldest one beyond maxSnapshots.
func (s *snapshots) add(snapshot standin.Snapshot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.newestFirst = append([]standin.Snapshot{snapshot}, s.newestFirst[:min(len(s.newestFirst), maxSnapshots-1)]...)
}

// at returns the snapshot with the index, where 0 is the newest, or the oldest one if there
// are fewer.
func (s *snapshots) at(index int) standin.Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.newestFirst[min(index, len(s.newestFirst)-1)]
}

// takeSnapshots takes a snapshot of the store at each snapshotInterval until done is closed.
func (s *soak) takeSnapshots(done <-chan struct{}) {
	ticker := time.NewTicker(snapshotInterval)
	defer ticker.Stop()
	for {
		s.snapshots.add(s.platform.Store.Snapshot())
		select {
		case <-done:
			return
		case <-ticker.C:
		}
	}
}

// restoreStore makes the store unavailable in one of several ways and then restores it from a
// snapshot. In one of four cases it restores the newest snapshot right afterwards.
func restoreStore(s *soak) func() {
	s.platform.Store.SetFault([]standin.Fault{
		standin.Unavailable,
		standin.Unresponsive,
		standin.DelayingCommits,
	}[s.random.IntN(3)])
	options := standin.RestoreOptions{
		MaxRewriteDelay: s.randomDuration(0, maxRewriteDelay),
		KeepClock:       s.random.IntN(2) == 0,
	}
	index, isTwice := s.random.IntN(maxSnapshots), s.random.IntN(4) == 0
	s.schedule(s.randomDuration(minOutage, maxOutage), func() {
		s.restore(index, options)
		if isTwice {
			s.restore(0, options)
		}
	})
	return nil
}

// restore restores the store from a snapshot.
func (s *soak) restore(index int, options standin.RestoreOptions) {
	s.platform.Store.Restore(s.snapshots.at(index), options)
	s.platform.Store.SetFault(standin.NoFault)
	s.logf("store restored from copy %d, rows rewritten within %s, clock kept: %t", index, options.MaxRewriteDelay, options.KeepClock)
}

// checkRestore rotates the keys and at once restores the store from its oldest snapshot,
// without other faults. It returns the daemons that do not serve afterwards.
func (s *soak) checkRestore() []string {
	s.rotateKeys()
	s.platform.Store.SetFault(standin.Unavailable)
	time.Sleep(minOutage)
	s.restore(maxSnapshots, standin.RestoreOptions{
		MaxRewriteDelay: maxRewriteDelay,
	})
	return s.awaitServing("a restore of the store")
}
