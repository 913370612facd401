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

// copied is a copy of a fake store.
type copied struct {
	rows    map[string]rowstore.Row
	version int64
}

// copied returns a copy of the store as it is.
func (f *fakeStore) copied() copied {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return copied{
		rows:    maps.Clone(f.rows),
		version: f.version,
	}
}

// restore replaces the store by a copy, in a new era, and has all electors told but those that
// are cut off.
func (c *cluster) restore(from copied) {
	c.store.set(func(f *fakeStore) {
		f.era++
		f.rows = maps.Clone(from.rows)
		f.version = from.version
	})
	for _, elector := range c.electors {
		if !c.cut[elector.Name] {
			c.tellAll(elector)
		}
	}
}

// tellAll tells an elector of the whole table.
func (c *cluster) tellAll(elector *leader.Elector) {
	result, _ := c.store.Read(context.Background(), leader.Table)
	_ = elector.See(result.Rows, result.Era, true)
}

// Guards against nobody leading after a restore, since the lease's version is lower than known.
func TestOneLeadsAgainWithinTwoTermsOfARestore(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b", "c")
		for i := range c.electors {
			c.run(ctx, i)
		}
		before := c.store.copied()
		time.Sleep(5 * leader.Term)
		former := c.leader()
		qt.Assert(t, former, qt.Not(qt.Equals), "")

		c.restore(before)
		time.Sleep(leader.Term / 2)
		qt.Assert(t, c.leader(), qt.Equals, "")
		time.Sleep(2 * leader.Term)
		qt.Assert(t, c.leader(), qt.Not(qt.Equals), "")
		qt.Assert(t, c.overlap, qt.IsFalse)
		next := c.leader()
		time.Sleep(4 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, next)
	})
}

// Guards against two leaders at once: the holder of the former era's lease does not know of the
// restore, and its term goes on.
func TestLeaderThatDoesNotKnowOfTheRestoreStopsBeforeItsSuccessorBegins(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		c.run(ctx, 0)
		time.Sleep(2 * leader.Term)
		before := c.store.copied()
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Equals, "a")
		c.run(ctx, 1)
		c.cut["a"] = true
		c.restore(before)
		time.Sleep(3 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, c.overlap, qt.IsFalse)
	})
}

// Guards against a change of the former era that is done by a version given out again.
func TestChangeOfAFormerEraIsNotDoneByAVersionGivenOutAgain(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		leading, stop := context.WithCancel(ctx)
		former := held(leading, c)
		before := c.store.copied()
		_, err := former.Commit(ctx, record("1"), nil)
		qt.Assert(t, err, qt.IsNil)
		c.cut["a"] = true
		c.store.set(func(f *fakeStore) {
			f.lateNext = 3 * leader.Term
		})
		_, err = former.Commit(ctx, record("late"), nil)
		qt.Assert(t, errors.Is(err, rowstore.ErrUnknown) || errors.Is(err, leader.ErrLost), qt.IsTrue)
		stop()
		c.restore(before)
		c.run(ctx, 1)
		time.Sleep(5 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, c.store.written(), qt.Equals, "")
	})
}

// Guards against a leader that acts at once on what servers wrote before the restore.
func TestLeaseTellsThatTheStoreWasRestored(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		leading, stop := context.WithCancel(ctx)
		first := held(leading, c)
		qt.Assert(t, first.HasSettled(time.Hour), qt.IsTrue)
		stop()
		time.Sleep(leader.Term)
		c.restore(c.store.copied())
		second := held(ctx, c)
		qt.Assert(t, second.Era(), qt.Equals, int64(1))
		qt.Assert(t, second.HasSettled(time.Hour), qt.IsFalse)
		qt.Assert(t, second.HasSettled(leader.Term/2), qt.IsTrue)
	})
}

// Guards against a daemon that starts after a restore and takes the lease while the holder of
// the former era may still act.
func TestDaemonThatStartsAfterARestoreWaitsForTheFormerLease(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		c.run(ctx, 0)
		time.Sleep(2 * leader.Term)
		before := c.store.copied()
		c.cut["a"] = true
		c.restore(before)
		started := &leader.Elector{
			Store:   c.store,
			Name:    "late",
			Start:   "late/1",
			Rank:    func() int { return 0 },
			Changed: c.changed("late"),
		}
		c.electors = append(c.electors, started)
		c.tellAll(started)
		c.run(ctx, 1)
		time.Sleep(leader.Term + time.Second)
		qt.Assert(t, c.leader(), qt.Equals, "late")
		qt.Assert(t, c.overlap, qt.IsFalse)
	})
}
