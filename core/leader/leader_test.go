package leader_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/boottime"
	"headcourse/core/leader"
	"headcourse/core/rowstore"
)

// fakeStore stores rows under conditions. It can be unavailable, lose answers, or delay a
// write.
type fakeStore struct {
	mutex           sync.Mutex
	rows            map[string]rowstore.Row
	era             int64
	version         int64
	isDown          bool
	losesNextAnswer bool
	nextDelay       time.Duration
	onLeaseWrite    func(rowstore.Row)
}

// newFakeStore returns an empty store.
func newFakeStore() *fakeStore {
	return &fakeStore{
		rows: map[string]rowstore.Row{},
	}
}

// Read returns all rows of the lease table.
func (f *fakeStore) Read(context.Context, string) (rowstore.Result, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.isDown {
		return rowstore.Result{}, rowstore.ErrRefused
	}
	result := rowstore.Result{
		Era:     f.era,
		Version: f.version,
	}
	for _, row := range f.rows {
		if row.Table == leader.Table {
			result.Rows = append(result.Rows, row)
		}
	}
	return result, nil
}

// Feed is not used: the tests deliver rows to the electors themselves.
func (f *fakeStore) Feed(context.Context, string, rowstore.Revision, time.Duration) (rowstore.Result, error) {
	return rowstore.Result{}, rowstore.ErrRefused
}

// Commit applies a transaction, unless the store is set to fail or delay it.
func (f *fakeStore) Commit(_ context.Context, transaction rowstore.Transaction) (rowstore.Revision, error) {
	f.mutex.Lock()
	isDown, isAnswerLost, delay := f.isDown, f.losesNextAnswer, f.nextDelay
	f.losesNextAnswer, f.nextDelay = false, 0
	f.mutex.Unlock()
	switch {
	case isDown:
		return rowstore.Revision{}, rowstore.ErrRefused
	case delay > 0:
		go func() {
			time.Sleep(delay)
			_, _ = f.apply(transaction)
		}()
		return rowstore.Revision{}, rowstore.ErrOutcomeUnknown
	case isAnswerLost:
		_, _ = f.apply(transaction)
		return rowstore.Revision{}, rowstore.ErrOutcomeUnknown
	default:
		revision, err := f.apply(transaction)
		if err == nil && revision.Era != transaction.Era {
			return rowstore.Revision{}, rowstore.ErrRestored
		}
		return revision, err
	}
}

// apply applies a transaction if its conditions hold.
func (f *fakeStore) apply(transaction rowstore.Transaction) (rowstore.Revision, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, condition := range transaction.Conditions {
		if f.rows[condition.Key].Version != condition.Version {
			return rowstore.Revision{}, &rowstore.Conflict{}
		}
	}
	f.version++
	for _, row := range transaction.Writes {
		row.Version = f.version
		f.rows[row.Key] = row
		if f.onLeaseWrite != nil && row.Table == leader.Table {
			f.onLeaseWrite(row)
		}
	}
	for _, row := range transaction.Deletes {
		delete(f.rows, row.Key)
	}
	return rowstore.Revision{
		Era:     f.era,
		Version: f.version,
	}, nil
}

// groupRowValue returns the value of the row that leaders write, or "" if there is none.
func (f *fakeStore) groupRowValue() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return string(f.rows["g1"].Value)
}

// configure changes the store's behaviour under its mutex.
func (f *fakeStore) configure(change func(f *fakeStore)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

// cluster is a set of electors that observe the lease row of one store.
type cluster struct {
	store          *fakeStore
	mutex          sync.Mutex
	currentLeaders map[string]bool
	leaders        []string
	hasOverlap     bool
	electors       []*leader.Elector
	isDisconnected map[string]bool
}

// newCluster returns electors by name, all of which have observed an empty table.
func newCluster(names ...string) *cluster {
	c := &cluster{
		store:          newFakeStore(),
		currentLeaders: map[string]bool{},
		isDisconnected: map[string]bool{},
	}
	for i, name := range names {
		elector := &leader.Elector{
			Store:   c.store,
			Name:    name,
			StartID: name + "/1",
			Rank: func() int {
				return i
			},
			OnChange: c.recordChange(name),
		}
		_ = elector.Observe(nil, 0, true)
		c.electors = append(c.electors, elector)
	}
	c.store.onLeaseWrite = func(row rowstore.Row) {
		for _, elector := range c.electors {
			if !c.isDisconnected[elector.Name] {
				_ = elector.Observe([]rowstore.Row{row}, c.store.era, false)
			}
		}
	}
	return c
}

// recordChange returns a callback that records the current leaders.
func (c *cluster) recordChange(name string) func(bool, rowstore.Revision, string) {
	return func(isLeader bool, _ rowstore.Revision, _ string) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if isLeader && len(c.currentLeaders) > 0 {
			c.hasOverlap = true
		}
		if isLeader {
			c.currentLeaders[name] = true
			c.leaders = append(c.leaders, name)
		} else {
			delete(c.currentLeaders, name)
		}
	}
}

// leader returns the name of the current leader, or "" if there is none.
func (c *cluster) leader() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name := range c.currentLeaders {
		return name
	}
	return ""
}

// run runs an elector until ctx ends.
func (c *cluster) run(ctx context.Context, i int) {
	go c.electors[i].Run(ctx, func(ctx context.Context, _ *leader.Lease) {
		<-ctx.Done()
	})
}

func TestFirstDaemonKeepsLeadership(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b", "c")
		for i := range c.electors {
			c.run(ctx, i)
		}
		time.Sleep(30 * time.Second)
		qt.Assert(t, c.leaders, qt.DeepEquals, []string{"a"})
	})
}

func TestSuccessorTakesOverWithinTwoTermsOfCrash(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b", "c")
		firstCtx, crash := context.WithCancel(context.Background())
		c.run(firstCtx, 0)
		time.Sleep(time.Second)
		c.run(ctx, 1)
		c.run(ctx, 2)
		// A crash differs from a stop: the lease is not released.
		c.store.configure(func(f *fakeStore) {
			f.isDown = true
		})
		crash()
		time.Sleep(100 * time.Millisecond)
		c.store.configure(func(f *fakeStore) {
			f.isDown = false
		})
		time.Sleep(2 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, c.hasOverlap, qt.IsFalse)
	})
}

func TestStoppedLeaderReleasesLease(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		firstCtx, stop := context.WithCancel(context.Background())
		c.run(firstCtx, 0)
		time.Sleep(time.Second)
		c.run(ctx, 1)
		stop()
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Equals, "b")
	})
}

// Guards against a leader without access to the store that still acts when its successor
// starts.
func TestLeaderWithoutStoreStopsBeforeSuccessorStarts(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		unavailable := newFakeStore()
		c.electors[0].Store = &switchableStore{
			store: c.store,
			other: unavailable,
		}
		c.run(ctx, 0)
		time.Sleep(time.Second)
		c.run(ctx, 1)
		unavailable.configure(func(f *fakeStore) {
			f.isDown = true
		})
		c.electors[0].Store.(*switchableStore).switchToOther()
		time.Sleep(3 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, c.hasOverlap, qt.IsFalse)
	})
}

// switchableStore forwards calls to one store, and to another after switchToOther.
type switchableStore struct {
	mutex      sync.Mutex
	store      *fakeStore
	other      *fakeStore
	isSwitched bool
}

// switchToOther switches to the other store.
func (s *switchableStore) switchToOther() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isSwitched = true
}

// current returns the store in use.
func (s *switchableStore) current() *fakeStore {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isSwitched {
		return s.other
	}
	return s.store
}

// Read reads the store in use.
func (s *switchableStore) Read(ctx context.Context, table string) (rowstore.Result, error) {
	return s.current().Read(ctx, table)
}

// Feed follows the store in use.
func (s *switchableStore) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	return s.current().Feed(ctx, table, since, wait)
}

// Commit writes to the store in use.
func (s *switchableStore) Commit(ctx context.Context, transaction rowstore.Transaction) (rowstore.Revision, error) {
	return s.current().Commit(ctx, transaction)
}

// runWithFakeClock runs a test on a fake clock and ends the goroutines that it started.
func runWithFakeClock(t *testing.T, test func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		test(ctx, t)
		cancel()
		synctest.Wait()
	})
}

// acquireLease runs the first elector until it leads and returns its lease.
func acquireLease(ctx context.Context, c *cluster) *leader.Lease {
	leases := make(chan *leader.Lease, 1)
	go c.electors[0].Run(ctx, func(ctx context.Context, lease *leader.Lease) {
		leases <- lease
		<-ctx.Done()
	})
	return <-leases
}

// groupRow returns a row that a leader writes.
func groupRow(value string) []rowstore.Row {
	return []rowstore.Row{
		{
			Table: "groups",
			Key:   "g1",
			Value: []byte(value),
		},
	}
}

func TestCommitWithLostAnswerIsUnknownAndAppliedOnce(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		lease := acquireLease(ctx, c)
		c.store.configure(func(f *fakeStore) {
			f.losesNextAnswer = true
		})
		_, err := lease.Commit(ctx, groupRow("1"), nil)
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrOutcomeUnknown)
		qt.Assert(t, c.store.groupRowValue(), qt.Equals, "1")
		qt.Assert(t, lease.IsValid(), qt.IsTrue)
	})
}

// A store may apply a write seconds later. Such a write must fail once its writer has
// received ErrOutcomeUnknown and rewritten the lease row, whose version has then changed.
func TestDelayedCommitIsNotApplied(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		lease := acquireLease(ctx, c)
		c.store.configure(func(f *fakeStore) {
			f.nextDelay = 3 * time.Second
		})
		_, err := lease.Commit(ctx, groupRow("late"), nil)
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrOutcomeUnknown)
		_, err = lease.Commit(ctx, groupRow("next"), nil)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		qt.Assert(t, c.store.groupRowValue(), qt.Equals, "next")
	})
}

// A leader whose VM was suspended for longer than a term resumed with a lease that seemed
// valid, and sent orders while its successor did the same.
func TestLeaseExpiresDuringSuspension(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		var suspended atomic.Int64
		c.electors[0].Clock = boottime.Clock{
			Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
		}
		lease := acquireLease(ctx, c)
		qt.Assert(t, lease.IsValid(), qt.IsTrue)
		suspended.Add(int64(leader.Term))
		qt.Assert(t, lease.IsValid(), qt.IsFalse)
	})
}

func TestFormerLeaderCannotCommit(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		pausedCtx, resume := context.WithCancel(context.Background())
		former := acquireLease(pausedCtx, c)
		// The paused daemon neither renews the lease nor observes rows.
		c.isDisconnected["a"] = true
		c.store.configure(func(f *fakeStore) {
			f.isDown = true
		})
		time.Sleep(2 * leader.Term)
		c.store.configure(func(f *fakeStore) {
			f.isDown = false
		})
		c.run(ctx, 1)
		time.Sleep(2 * leader.Term)
		qt.Assert(t, former.IsValid(), qt.IsFalse)
		_, err := former.Commit(ctx, groupRow("old"), nil)
		qt.Assert(t, err, qt.ErrorIs, leader.ErrLost)
		qt.Assert(t, c.store.groupRowValue(), qt.Equals, "")
		resume()
	})
}

func TestRestartedLeaderReacquiresOwnLeaseImmediately(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		_, err := c.store.Commit(ctx, rowstore.Transaction{
			Writes: []rowstore.Row{
				{
					Table: leader.Table,
					Key:   "lease/0",
					Value: []byte(`{"holder":"b","start":"b/0","count":7}`),
				},
			},
		})
		qt.Assert(t, err, qt.IsNil)
		c.run(ctx, 0)
		c.run(ctx, 1)
		time.Sleep(200 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Equals, "b")
	})
}

// countingStore counts attempted commits.
type countingStore struct {
	rowstore.Store
	attempts *atomic.Int64
}

// Commit counts and commits.
func (c countingStore) Commit(ctx context.Context, transaction rowstore.Transaction) (rowstore.Revision, error) {
	c.attempts.Add(1)
	return c.Store.Commit(ctx, transaction)
}

// All 68 daemons of a site repeatedly attempted to acquire the lease while the store was
// unavailable.
func TestNoAcquireAttemptsWhileStoreIsUnavailable(t *testing.T) {
	runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b", "c")
		var isUnavailable atomic.Bool
		var attempts atomic.Int64
		for _, elector := range c.electors {
			elector.IsStoreUnavailable = isUnavailable.Load
			elector.Store = countingStore{
				Store:    c.store,
				attempts: &attempts,
			}
		}
		firstCtx, crash := context.WithCancel(context.Background())
		c.run(firstCtx, 0)
		time.Sleep(time.Second)
		c.run(ctx, 1)
		c.run(ctx, 2)
		isUnavailable.Store(true)
		c.store.configure(func(f *fakeStore) {
			f.isDown = true
		})
		crash()
		synctest.Wait()
		before := attempts.Load()
		// The outage ends between two polls. If it ended at a poll, one daemon could
		// observe the end a whole poll later than another.
		const outage, betweenPolls = 8 * time.Second, 10 * time.Millisecond
		time.Sleep(outage + betweenPolls)
		qt.Assert(t, attempts.Load(), qt.Equals, before)

		// When the store returns, one daemon acquires the lease within 300 ms and the others
		// make no attempt.
		c.store.configure(func(f *fakeStore) {
			f.isDown = false
		})
		isUnavailable.Store(false)
		time.Sleep(300 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, attempts.Load() <= before+2, qt.IsTrue, qt.Commentf("%d attempts", attempts.Load()-before))
		qt.Assert(t, c.hasOverlap, qt.IsFalse)
	})
}
