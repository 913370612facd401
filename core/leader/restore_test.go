package leader_test

import (
	"context"
	"errors"
	"maps"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/leader"
	"headcourse/core/rowstore"
)

// storeCopy is a copy of the rows of a fake store.
type storeCopy struct {
	rows    map[string]rowstore.Row
	version int64
}

// copyRows returns a copy of the current rows.
func (f *fakeStore) copyRows() storeCopy {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return storeCopy{
		rows:    maps.Clone(f.rows),
		version: f.version,
	}
}

// restore replaces the store by a copy in a new era and delivers a snapshot to all
// connected electors.
func (c *cluster) restore(from storeCopy) {
	c.store.configure(func(f *fakeStore) {
		f.era++
		f.rows = maps.Clone(from.rows)
		f.version = from.version
	})
	for _, elector := range c.electors {
		if !c.isDisconnected[elector.Name] {
			c.deliverSnapshot(elector)
		}
	}
}

// deliverSnapshot delivers the whole table to an elector.
func (c *cluster) deliverSnapshot(elector *leader.Elector) {
	result, _ := c.store.Read(context.Background(), leader.Table)
	_ = elector.Observe(result.Rows, result.Era, true)
}

// Guards against a cluster without leader after a restore, when the lease row's version is
// lower than the observed one.
func TestNewLeaderWithinTwoTermsOfRestore(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b", "c")
		for i := range c.electors {
			c.run(ctx, i)
		}
		before := c.store.copyRows()
		time.Sleep(5 * leader.Term)
		former := c.leader()
		qt.Assert(t, former, qt.Not(qt.Equals), "")

		c.restore(before)
		time.Sleep(leader.Term / 2)
		qt.Assert(t, c.leader(), qt.Equals, "")
		time.Sleep(2 * leader.Term)
		qt.Assert(t, c.leader(), qt.Not(qt.Equals), "")
		qt.Assert(t, c.hasOverlap, qt.IsFalse)
		next := c.leader()
		time.Sleep(4 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, next)
	})
}

// Guards against two leaders at once: the holder of the former era's lease has not
// observed the restore, and its term has not ended.
func TestLeaderUnawareOfRestoreStopsBeforeSuccessorStarts(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		c.run(ctx, 0)
		time.Sleep(2 * leader.Term)
		before := c.store.copyRows()
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Equals, "a")
		c.run(ctx, 1)
		c.isDisconnected["a"] = true
		c.restore(before)
		time.Sleep(3 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, c.hasOverlap, qt.IsFalse)
	})
}

// Guards against a pending change of the former era that is applied because the restored
// store reuses its version.
func TestPendingCommitOfFormerEraFailsDespiteReusedVersion(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		leadCtx, stop := context.WithCancel(ctx)
		former := acquireLease(leadCtx, c)
		before := c.store.copyRows()
		_, err := former.Commit(ctx, groupRow("1"), nil)
		qt.Assert(t, err, qt.IsNil)
		c.isDisconnected["a"] = true
		c.store.configure(func(f *fakeStore) {
			f.nextDelay = 3 * leader.Term
		})
		_, err = former.Commit(ctx, groupRow("late"), nil)
		qt.Assert(t, errors.Is(err, rowstore.ErrOutcomeUnknown) || errors.Is(err, leader.ErrLost), qt.IsTrue)
		stop()
		c.restore(before)
		c.run(ctx, 1)
		time.Sleep(5 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, c.store.groupRowValue(), qt.Equals, "")
	})
}

// Guards against a leader that acts immediately on data that servers wrote before the
// restore.
func TestLeaseReportsRecentRestore(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		leadCtx, stop := context.WithCancel(ctx)
		first := acquireLease(leadCtx, c)
		qt.Assert(t, first.IsPastRestore(time.Hour), qt.IsTrue)
		stop()
		time.Sleep(leader.Term)
		c.restore(c.store.copyRows())
		second := acquireLease(ctx, c)
		qt.Assert(t, second.Era(), qt.Equals, int64(1))
		qt.Assert(t, second.IsPastRestore(time.Hour), qt.IsFalse)
		qt.Assert(t, second.IsPastRestore(leader.Term/2), qt.IsTrue)
	})
}

// Guards against a daemon that starts after a restore and acquires the lease while the
// holder of the former era may still act.
func TestDaemonStartedAfterRestoreWaitsForFormerLease(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		c.run(ctx, 0)
		time.Sleep(2 * leader.Term)
		before := c.store.copyRows()
		c.isDisconnected["a"] = true
		c.restore(before)
		late := &leader.Elector{
			Store:    c.store,
			Name:     "late",
			StartID:  "late/1",
			Rank:     func() int { return 0 },
			OnChange: c.recordChange("late"),
		}
		c.electors = append(c.electors, late)
		c.deliverSnapshot(late)
		c.run(ctx, 1)
		time.Sleep(leader.Term + time.Second)
		qt.Assert(t, c.leader(), qt.Equals, "late")
		qt.Assert(t, c.hasOverlap, qt.IsFalse)
	})
}
