package rowstore_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/neighbours"
	"headcourse/core/rowstore"
)

// These tests run a fleet of daemons that follow the store through relays while the store fails for
// some or all of them for eight seconds, as long as the longest of the users' outages.
//
// A store may serve some VMs and not others. If each daemon reacts on its own, the calls grow
// with the number of daemons: with 89 daemons of which 31 were refused, among them the three
// relays, 57 daemons followed the store themselves and made 82 to 90 calls each.

// Ways in which the store fails for a daemon.
const (
	refused    = "refused"
	cut        = "cut"
	unanswered = "unanswered"
)

// storeAccess is a daemon's connection to the store.
type storeAccess struct {
	store       *fakeStore
	failureMode string
	// isBlocked is set while the store fails for the daemon. calls counts the calls of all daemons.
	isBlocked atomic.Bool
	calls     *atomic.Int64
}

// admit counts a call and returns an error if the daemon is blocked.
func (a *storeAccess) admit(ctx context.Context) error {
	a.calls.Add(1)
	switch {
	case !a.isBlocked.Load():
		return nil
	case a.failureMode == refused:
		return rowstore.ErrRefused
	case a.failureMode == unanswered:
		<-ctx.Done()
	}
	return rowstore.ErrOutcomeUnknown
}

// Read reads a table.
func (a *storeAccess) Read(ctx context.Context, table string) (rowstore.Result, error) {
	if err := a.admit(ctx); err != nil {
		return rowstore.Result{}, err
	}
	return a.store.Read(ctx, table)
}

// Feed follows a table.
func (a *storeAccess) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if err := a.admit(ctx); err != nil {
		return rowstore.Result{}, err
	}
	return a.store.Feed(ctx, table, since, wait)
}

// testDaemon is a daemon that follows two tables, one of them with a maximum age.
type testDaemon struct {
	access     *storeAccess
	tableCache rowstore.TableCache
	lastValue  string
	// isSilent is set while calls to the daemon go unanswered.
	isSilent atomic.Bool
	// view is what the daemon knows of the age of its view.
	view rowstore.Freshness
}

// Read reads a table from the daemon's copy.
func (d *testDaemon) Read(ctx context.Context, table string) (rowstore.Result, error) {
	if d.isSilent.Load() {
		<-ctx.Done()
		return rowstore.Result{}, rowstore.ErrOutcomeUnknown
	}
	return d.tableCache.Read(ctx, table)
}

// Feed follows a table by the daemon's copy. An answer that is due while the daemon stands still does not arrive.
func (d *testDaemon) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if d.isSilent.Load() {
		<-ctx.Done()
		return rowstore.Result{}, rowstore.ErrOutcomeUnknown
	}
	result, err := d.tableCache.Feed(ctx, table, since, wait)
	if d.isSilent.Load() {
		<-ctx.Done()
		return rowstore.Result{}, rowstore.ErrOutcomeUnknown
	}
	return result, err
}

// fleet is a set of daemons and their state.
type fleet struct {
	store   *fakeStore
	list    neighbours.List
	byName  map[string]*testDaemon
	daemons []neighbours.Daemon
	calls   atomic.Int64
	// applyBound is the time within which a change must be in force.
	applyBound time.Duration
}

// maxCopyAge is the maximum age of a copy: 0.6 of the 3 s within which a configuration must be in
// force.
const maxCopyAge = 1800 * time.Millisecond

// newFleet starts a fleet in three zones. Six daemons have a higher capacity than the others.
func newFleet(ctx context.Context, daemons int, failureMode string) *fleet {
	return newFleetWithBound(ctx, daemons, failureMode, 3*time.Second)
}

// newFleetWithBound is newFleet with a time within which a change must be in force.
func newFleetWithBound(ctx context.Context, daemons int, failureMode string, applyBound time.Duration) *fleet {
	f := &fleet{
		store:      newFakeStore(),
		byName:     map[string]*testDaemon{},
		applyBound: applyBound,
	}
	f.store.put("a", "1")
	for i := range daemons {
		f.daemons = append(f.daemons, neighbours.Daemon{
			Name:     fmt.Sprintf("front-%d", i),
			Zone:     []string{"a", "b", "c"}[i%3],
			Capacity: max(0, 6-float64(i)),
		})
	}
	f.list = neighbours.NewList(f.daemons)
	for _, daemon := range f.daemons {
		f.byName[daemon.Name] = &testDaemon{
			access: &storeAccess{
				store:       f.store,
				failureMode: failureMode,
				calls:       &f.calls,
			},
			tableCache: rowstore.TableCache{
				MaxContactAge: f.maxCopyAge(),
			},
		}
	}
	for _, daemon := range f.daemons {
		f.start(ctx, daemon)
	}
	return f
}

// maxCopyAge returns the maximum age of a copy.
func (f *fleet) maxCopyAge() time.Duration {
	const tenths = 10
	return 6 * f.applyBound / tenths
}

// start lets a daemon follow the store.
func (f *fleet) start(ctx context.Context, daemon neighbours.Daemon) {
	started := f.byName[daemon.Name]
	clock := &rowstore.Freshness{}
	clock.ObserveClock(0, time.Now(), time.Since(f.store.started))
	started.tableCache.Clock = clock
	chain := rowstore.NewReaderChain(started.access, clock, map[string]time.Duration{
		"t": f.maxCopyAge(),
	})
	chain.SetPeers(rowstore.Peers{
		Relays:    f.relays(f.list.RelaysFor(daemon.Name, daemon.Zone)),
		Standbys:  f.relays(f.list.StandbysFor(daemon.Name, daemon.Zone)),
		Fallbacks: f.relays(f.list.FallbacksFor(daemon.Name)),
	})
	started.tableCache.IsFromFallback = chain.IsFromFallback
	chain.ContenderCount = func() int {
		return f.list.ContenderCount(daemon.Name)
	}
	recordValue := func(rows []rowstore.Row, _ rowstore.Revision, asOf time.Time) {
		for _, row := range rows {
			started.lastValue = string(row.Value)
		}
		started.view.ConfirmView(asOf)
	}
	for table, wait := range map[string]time.Duration{
		"t": f.applyBound / 4,
		"u": 1500 * time.Millisecond,
	} {
		tableFollower := &rowstore.Follower{
			Reader:     chain,
			Table:      table,
			FeedWait:   wait,
			OnSnapshot: func([]rowstore.Row, rowstore.Revision, time.Time) {},
			OnChanges:  func([]rowstore.Row, rowstore.Revision, time.Time) {},
			TableCache: &started.tableCache,
			Clock:      clock,
		}
		if table == "t" {
			tableFollower.OnSnapshot = recordValue
			tableFollower.OnChanges = recordValue
			refresher := rowstore.NewRefresher(tableFollower, chain.Race(f.applyBound/3), &started.view)
			refresher.MaxAge = 4 * f.applyBound / 5
			refresher.TargetAge = f.applyBound / 3
			tableFollower.OnFailure = func(error) { refresher.Request() }
			go refresher.Run(ctx)
		}
		go tableFollower.Run(ctx)
	}
}

// relays returns daemons as relays.
func (f *fleet) relays(daemons []neighbours.Daemon) []rowstore.Relay {
	var relays []rowstore.Relay
	for _, daemon := range daemons {
		relays = append(relays, rowstore.Relay{
			Name:   daemon.Name,
			Reader: f.byName[daemon.Name],
		})
	}
	return relays
}

// setBlocked sets for each daemon whether the store fails for it.
func (f *fleet) setBlocked(isBlocked func(i int, daemon neighbours.Daemon) bool) {
	for i, daemon := range f.daemons {
		f.byName[daemon.Name].access.isBlocked.Store(isBlocked(i, daemon))
	}
}

// setSilent sets which daemons stand still: calls to them go unanswered, and so do theirs to the store.
func (f *fleet) setSilent(silent map[string]bool) {
	for name, daemon := range f.byName {
		daemon.isSilent.Store(silent[name])
		daemon.access.isBlocked.Store(silent[name])
	}
}

// countWithout returns the number of daemons whose last value is not the given one.
func (f *fleet) countWithout(value string) int {
	count := 0
	for _, daemon := range f.byName {
		if daemon.lastValue != value {
			count++
		}
	}
	return count
}

// Guards against late configurations and many store calls while the store fails for a third of the
// daemons, or for these and all relays. The daemons that the store serves follow it for the others.
func TestBlockedDaemonsFollowServedDaemons(t *testing.T) {
	const thirds = 3
	for name, isBlocked := range map[string]func(f *fleet) func(i int, daemon neighbours.Daemon) bool{
		"a third": func(*fleet) func(int, neighbours.Daemon) bool {
			return func(i int, _ neighbours.Daemon) bool {
				return i%thirds == 0
			}
		},
		"a third and all relays": func(f *fleet) func(int, neighbours.Daemon) bool {
			return func(i int, daemon neighbours.Daemon) bool {
				return i%thirds == 0 || f.list.IsRelay(daemon.Name)
			}
		},
	} {
		for _, failureMode := range []string{refused, cut, unanswered} {
			for _, daemons := range []int{9, 40, 89, 295} {
				t.Run(fmt.Sprintf("%s %s %d", name, failureMode, daemons), func(t *testing.T) {
					runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
						f := newFleet(ctx, daemons, failureMode)
						advance(2 * time.Second)
						f.setBlocked(isBlocked(f))
						before := f.calls.Load()
						advance(3 * time.Second)
						f.store.put("a", "2")
						advance(maxCopyAge)
						late := f.countWithout("2")
						advance(3200 * time.Millisecond)
						storeCalls := f.calls.Load() - before
						t.Logf("%d calls, %d without the value", storeCalls, late)
						qt.Check(t, late, qt.Equals, 0)
						qt.Check(t, storeCalls < 250, qt.IsTrue, qt.Commentf("%d calls", storeCalls))
					})
				})
			}
		}
	}
}

// Guards against many store calls while the store fails for all daemons, and against a slow
// recovery after that.
func TestAllBlockedDaemonsRecoverTogether(t *testing.T) {
	for _, failureMode := range []string{refused, cut, unanswered} {
		for _, daemons := range []int{9, 40, 89, 295} {
			t.Run(fmt.Sprintf("%s %d", failureMode, daemons), func(t *testing.T) {
				runWithFakeClock(t, func(ctx context.Context, t *testing.T) {
					f := newFleet(ctx, daemons, failureMode)
					advance(2 * time.Second)
					f.setBlocked(func(int, neighbours.Daemon) bool {
						return true
					})
					before := f.calls.Load()
					advance(8 * time.Second)
					storeCalls := f.calls.Load() - before
					f.setBlocked(func(int, neighbours.Daemon) bool {
						return false
					})
					f.store.put("a", "2")
					advance(2500 * time.Millisecond)
					t.Logf("%d calls, %d without the value", storeCalls, f.countWithout("2"))
					qt.Check(t, f.countWithout("2"), qt.Equals, 0)
					qt.Check(t, storeCalls < 250, qt.IsTrue, qt.Commentf("%d calls", storeCalls))
				})
			})
		}
	}
}
