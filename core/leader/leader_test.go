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

// fakeStore keeps rows under conditions. It can be down, lose answers, or do a
// write only later.
type fakeStore struct {
	mutex     sync.Mutex
	rows      map[string]rowstore.Row
	era       int64
	version   int64
	isDown    bool
	loseNext  bool
	lateNext  time.Duration
	delivered func(rowstore.Row)
}

// newFakeStore returns an empty store.
func newFakeStore() *fakeStore {
	return &fakeStore{
		rows: map[string]rowstore.Row{},
	}
}

// Read returns all rows.
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

// Feed is not used: the tests tell electors of rows themselves.
func (f *fakeStore) Feed(context.Context, string, rowstore.Revision, time.Duration) (rowstore.Result, error) {
	return rowstore.Result{}, rowstore.ErrRefused
}

// Commit does a transaction.
func (f *fakeStore) Commit(_ context.Context, transaction rowstore.Transaction) (rowstore.Revision, error) {
	f.mutex.Lock()
	isDown, isLost, late := f.isDown, f.loseNext, f.lateNext
	f.loseNext, f.lateNext = false, 0
	f.mutex.Unlock()
	switch {
	case isDown:
		return rowstore.Revision{}, rowstore.ErrRefused
	case late > 0:
		go func() {
			time.Sleep(late)
			_, _ = f.apply(transaction)
		}()
		return rowstore.Revision{}, rowstore.ErrUnknown
	case isLost:
		_, _ = f.apply(transaction)
		return rowstore.Revision{}, rowstore.ErrUnknown
	default:
		at, err := f.apply(transaction)
		if err == nil && at.Era != transaction.Era {
			return rowstore.Revision{}, rowstore.ErrRestored
		}
		return at, err
	}
}

// apply does a transaction if its conditions hold.
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
		if f.delivered != nil && row.Table == leader.Table {
			f.delivered(row)
		}
	}
	for _, row := range transaction.Removes {
		delete(f.rows, row.Key)
	}
	return rowstore.Revision{
		Era:     f.era,
		Version: f.version,
	}, nil
}

// written returns the value of the row that leaders write; "" where there is none.
func (f *fakeStore) written() string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return string(f.rows["g1"].Value)
}

// set changes how the store behaves.
func (f *fakeStore) set(change func(f *fakeStore)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	change(f)
}

// cluster is some electors over one store, which tells them of the row.
type cluster struct {
	store    *fakeStore
	mutex    sync.Mutex
	leading  map[string]bool
	terms    []string
	overlap  bool
	electors []*leader.Elector
	cut      map[string]bool
}

// newCluster returns electors by name, all told that there is no row yet.
func newCluster(names ...string) *cluster {
	c := &cluster{
		store:   newFakeStore(),
		leading: map[string]bool{},
		cut:     map[string]bool{},
	}
	for i, name := range names {
		elector := &leader.Elector{
			Store: c.store,
			Name:  name,
			Start: name + "/1",
			Rank: func() int {
				return i
			},
			Changed: c.changed(name),
		}
		_ = elector.See(nil, 0, true)
		c.electors = append(c.electors, elector)
	}
	c.store.delivered = func(row rowstore.Row) {
		for _, elector := range c.electors {
			if !c.cut[elector.Name] {
				_ = elector.See([]rowstore.Row{row}, c.store.era, false)
			}
		}
	}
	return c
}

// changed notes who leads.
func (c *cluster) changed(name string) func(bool, rowstore.Revision, string) {
	return func(isLeader bool, _ rowstore.Revision, _ string) {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		if isLeader && len(c.leading) > 0 {
			c.overlap = true
		}
		if isLeader {
			c.leading[name] = true
			c.terms = append(c.terms, name)
		} else {
			delete(c.leading, name)
		}
	}
}

// leader returns who leads; "" for none.
func (c *cluster) leader() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for name := range c.leading {
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

func TestOneLeadsAndKeepsLeading(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b", "c")
		for i := range c.electors {
			c.run(ctx, i)
		}
		time.Sleep(30 * time.Second)
		qt.Assert(t, c.terms, qt.DeepEquals, []string{"a"})
	})
}

func TestAnotherTakesOverWithinTwoTermsOfADeath(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b", "c")
		dying, die := context.WithCancel(context.Background())
		c.run(dying, 0)
		time.Sleep(time.Second)
		c.run(ctx, 1)
		c.run(ctx, 2)
		// A death is not a stop: the lease is not given up.
		c.store.set(func(f *fakeStore) {
			f.isDown = true
		})
		die()
		time.Sleep(100 * time.Millisecond)
		c.store.set(func(f *fakeStore) {
			f.isDown = false
		})
		time.Sleep(2 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, c.overlap, qt.IsFalse)
	})
}

func TestStoppedLeaderGivesTheLeaseUp(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		stopping, stop := context.WithCancel(context.Background())
		c.run(stopping, 0)
		time.Sleep(time.Second)
		c.run(ctx, 1)
		stop()
		time.Sleep(500 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Equals, "b")
	})
}

// A leader that does not reach the store stops before another can begin.
func TestLeaderWithoutStoreStopsBeforeItsSuccessorBegins(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		cutOff := newFakeStore()
		c.electors[0].Store = &switched{
			store: c.store,
			other: cutOff,
		}
		c.run(ctx, 0)
		time.Sleep(time.Second)
		c.run(ctx, 1)
		cutOff.set(func(f *fakeStore) {
			f.isDown = true
		})
		c.electors[0].Store.(*switched).cut()
		time.Sleep(3 * leader.Term)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, c.overlap, qt.IsFalse)
	})
}

// switched is a store that is replaced by another when it is cut.
type switched struct {
	mutex sync.Mutex
	store *fakeStore
	other *fakeStore
	isCut bool
}

// cut switches to the other store.
func (s *switched) cut() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.isCut = true
}

// current returns the store in use.
func (s *switched) current() *fakeStore {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.isCut {
		return s.other
	}
	return s.store
}

// Read reads the store in use.
func (s *switched) Read(ctx context.Context, table string) (rowstore.Result, error) {
	return s.current().Read(ctx, table)
}

// Feed follows the store in use.
func (s *switched) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	return s.current().Feed(ctx, table, since, wait)
}

// Commit writes to the store in use.
func (s *switched) Commit(ctx context.Context, transaction rowstore.Transaction) (rowstore.Revision, error) {
	return s.current().Commit(ctx, transaction)
}

// run plays a test on the paused clock; what it started ends with ctx, after it.
func run(t *testing.T, play func(ctx context.Context, t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		play(ctx, t)
		cancel()
		synctest.Wait()
	})
}

// held runs an elector until it leads and returns its lease.
func held(ctx context.Context, c *cluster) *leader.Lease {
	leases := make(chan *leader.Lease, 1)
	go c.electors[0].Run(ctx, func(ctx context.Context, lease *leader.Lease) {
		leases <- lease
		<-ctx.Done()
	})
	return <-leases
}

// record is a row that a leader writes.
func record(value string) []rowstore.Row {
	return []rowstore.Row{
		{
			Table: "groups",
			Key:   "g1",
			Value: []byte(value),
		},
	}
}

func TestChangeWhoseAnswerWasLostIsUnknownAndNotDoneTwice(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		lease := held(ctx, c)
		c.store.set(func(f *fakeStore) {
			f.loseNext = true
		})
		_, err := lease.Commit(ctx, record("1"), nil)
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrUnknown)
		qt.Assert(t, c.store.written(), qt.Equals, "1")
		qt.Assert(t, lease.Holds(), qt.IsTrue)
	})
}

// A write that the store would do seconds later is dead once its writer has been
// told that the outcome is unknown: the lease row has changed since.
func TestChangeThatIsDoneLateIsNotDoneAtAll(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		lease := held(ctx, c)
		c.store.set(func(f *fakeStore) {
			f.lateNext = 3 * time.Second
		})
		_, err := lease.Commit(ctx, record("late"), nil)
		qt.Assert(t, err, qt.ErrorIs, rowstore.ErrUnknown)
		_, err = lease.Commit(ctx, record("next"), nil)
		qt.Assert(t, err, qt.IsNil)
		time.Sleep(5 * time.Second)
		qt.Assert(t, c.store.written(), qt.Equals, "next")
	})
}

// A leader whose machine slept for longer than a term woke with a lease that seemed to hold,
// and gave orders beside its successor.
func TestLeaseDoesNotHoldAfterASuspension(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a")
		var suspended atomic.Int64
		c.electors[0].Clock = boottime.Clock{
			Suspended: func() time.Duration { return time.Duration(suspended.Load()) },
		}
		lease := held(ctx, c)
		qt.Assert(t, lease.Holds(), qt.IsTrue)
		suspended.Add(int64(leader.Term))
		qt.Assert(t, lease.Holds(), qt.IsFalse)
	})
}

func TestFormerLeaderChangesNothing(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b")
		paused, wake := context.WithCancel(context.Background())
		former := held(paused, c)
		// The daemon is paused: it renews nothing and hears nothing.
		c.cut["a"] = true
		c.store.set(func(f *fakeStore) {
			f.isDown = true
		})
		time.Sleep(2 * leader.Term)
		c.store.set(func(f *fakeStore) {
			f.isDown = false
		})
		c.run(ctx, 1)
		time.Sleep(2 * leader.Term)
		qt.Assert(t, former.Holds(), qt.IsFalse)
		_, err := former.Commit(ctx, record("old"), nil)
		qt.Assert(t, err, qt.ErrorIs, leader.ErrLost)
		qt.Assert(t, c.store.written(), qt.Equals, "")
		wake()
	})
}

func TestRestartedLeaderTakesItsOwnLeaseAtOnce(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
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

// countingStore counts the changes that are tried.
type countingStore struct {
	rowstore.Store
	tries *atomic.Int64
}

// Commit counts and commits.
func (c countingStore) Commit(ctx context.Context, transaction rowstore.Transaction) (rowstore.Revision, error) {
	c.tries.Add(1)
	return c.Store.Commit(ctx, transaction)
}

// Found on a drawn day of a site with 68 daemons: all of them tried for the lease while
// the store was away, again and again.
func TestNobodyTriesForTheLeaseWhileTheStoreIsAway(t *testing.T) {
	run(t, func(ctx context.Context, t *testing.T) {
		c := newCluster("a", "b", "c")
		var isAway atomic.Bool
		var tries atomic.Int64
		for _, elector := range c.electors {
			elector.IsAway = isAway.Load
			elector.Store = countingStore{
				Store: c.store,
				tries: &tries,
			}
		}
		dying, die := context.WithCancel(context.Background())
		c.run(dying, 0)
		time.Sleep(time.Second)
		c.run(ctx, 1)
		c.run(ctx, 2)
		isAway.Store(true)
		c.store.set(func(f *fakeStore) {
			f.isDown = true
		})
		die()
		synctest.Wait()
		before := tries.Load()
		// The outage ends between two looks: at the moment of one, one daemon may see the
		// end a whole look later than another.
		const outage, betweenLooks = 8 * time.Second, 10 * time.Millisecond
		time.Sleep(outage + betweenLooks)
		qt.Assert(t, tries.Load(), qt.Equals, before)

		// At its return one takes it soon, and the others do not try as well.
		c.store.set(func(f *fakeStore) {
			f.isDown = false
		})
		isAway.Store(false)
		time.Sleep(300 * time.Millisecond)
		qt.Assert(t, c.leader(), qt.Equals, "b")
		qt.Assert(t, tries.Load() <= before+2, qt.IsTrue, qt.Commentf("%d tries", tries.Load()-before))
		qt.Assert(t, c.overlap, qt.IsFalse)
	})
}
