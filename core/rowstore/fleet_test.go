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

// A fleet of daemons follows the store through its relays while the store turns some of
// them away, or all, for eight seconds.
//
// The pattern is that of a store which serves some VMs and not others. Answered by each
// daemon for itself it costs the more calls the more daemons there are: with 89 daemons
// and 31 of them turned away, among them the three relays, 57 followed the store
// themselves and made 82 to 90 calls each. Eight seconds is what the longest of the users'
// outages lasts.

// How the store turns a daemon away.
const (
	refused = "refused"
	cut     = "cut"
	silent  = "silent"
)

// door is a daemon's way to the store.
type door struct {
	store *fakeStore
	how   string
	// isShut tells that the daemon is turned away; calls counts those of all daemons.
	isShut atomic.Bool
	calls  *atomic.Int64
}

// pass returns the error of a daemon that is turned away.
func (d *door) pass(ctx context.Context) error {
	d.calls.Add(1)
	switch {
	case !d.isShut.Load():
		return nil
	case d.how == refused:
		return rowstore.ErrRefused
	case d.how == silent:
		<-ctx.Done()
	}
	return rowstore.ErrUnknown
}

// Read reads a table.
func (d *door) Read(ctx context.Context, table string) (rowstore.Result, error) {
	if err := d.pass(ctx); err != nil {
		return rowstore.Result{}, err
	}
	return d.store.Read(ctx, table)
}

// Feed follows a table.
func (d *door) Feed(ctx context.Context, table string, since rowstore.Revision, wait time.Duration) (rowstore.Result, error) {
	if err := d.pass(ctx); err != nil {
		return rowstore.Result{}, err
	}
	return d.store.Feed(ctx, table, since, wait)
}

// follower is a daemon that follows two tables, one of which has bounded age.
type follower struct {
	door  *door
	hub   rowstore.Hub
	value string
}

// fleet is a list of daemons and what they do.
type fleet struct {
	store   *fakeStore
	list    neighbours.List
	named   map[string]*follower
	ordered []neighbours.Daemon
	calls   atomic.Int64
}

// limit is how old a copy may be: 0.6 of the 3 s in which a configuration must be in
// force.
const limit = 1800 * time.Millisecond

// newFleet starts a fleet over three zones, six daemons of which are stronger.
func newFleet(ctx context.Context, daemons int, how string) *fleet {
	f := &fleet{
		store: newFakeStore(),
		named: map[string]*follower{},
	}
	f.store.put("a", "1")
	for i := range daemons {
		f.ordered = append(f.ordered, neighbours.Daemon{
			Name:     fmt.Sprintf("front-%d", i),
			Zone:     []string{"a", "b", "c"}[i%3],
			Strength: max(0, 6-float64(i)),
		})
	}
	f.list = neighbours.NewList(f.ordered)
	for _, daemon := range f.ordered {
		f.named[daemon.Name] = &follower{
			door: &door{
				store: f.store,
				how:   how,
				calls: &f.calls,
			},
			hub: rowstore.Hub{
				ContactLimit: limit,
			},
		}
	}
	for _, daemon := range f.ordered {
		f.start(ctx, daemon)
	}
	return f
}

// start has a daemon follow the store.
func (f *fleet) start(ctx context.Context, daemon neighbours.Daemon) {
	one := f.named[daemon.Name]
	clock := &rowstore.Freshness{}
	clock.Prove(0, time.Now(), time.Since(f.store.started))
	one.hub.Clock = clock
	chain := rowstore.NewChain(one.door, clock, map[string]time.Duration{
		"t": limit,
	})
	chain.SetPeers(rowstore.Peers{
		Relays:    f.relays(f.list.For(daemon.Name, daemon.Zone)),
		Standbys:  f.relays(f.list.StandbysFor(daemon.Name, daemon.Zone)),
		Fallbacks: f.relays(f.list.FallbacksFor(daemon.Name)),
	})
	one.hub.IsSecondHand = chain.IsSecondHand
	chain.Sharing = func() int {
		return f.list.Sharing(daemon.Name)
	}
	note := func(rows []rowstore.Row, _ rowstore.Revision, _ time.Time) {
		for _, row := range rows {
			one.value = string(row.Value)
		}
	}
	for table, wait := range map[string]time.Duration{
		"t": 750 * time.Millisecond,
		"u": 1500 * time.Millisecond,
	} {
		known := &rowstore.Follower{
			Store:   chain,
			Table:   table,
			Wait:    wait,
			Whole:   func([]rowstore.Row, rowstore.Revision, time.Time) {},
			Changed: func([]rowstore.Row, rowstore.Revision, time.Time) {},
			Hub:     &one.hub,
			Clock:   clock,
		}
		if table == "t" {
			known.Whole = note
			known.Changed = note
		}
		go known.Run(ctx)
	}
}

// relays returns daemons as those that others ask.
func (f *fleet) relays(daemons []neighbours.Daemon) []rowstore.Relay {
	var relays []rowstore.Relay
	for _, daemon := range daemons {
		relays = append(relays, rowstore.Relay{
			Name:   daemon.Name,
			Reader: &f.named[daemon.Name].hub,
		})
	}
	return relays
}

// turnAway has the store turn daemons away, or serve all again.
func (f *fleet) turnAway(isAway func(i int, daemon neighbours.Daemon) bool) {
	for i, daemon := range f.ordered {
		f.named[daemon.Name].door.isShut.Store(isAway(i, daemon))
	}
}

// behind counts the daemons that have not read a value.
func (f *fleet) behind(value string) int {
	count := 0
	for _, one := range f.named {
		if one.value != value {
			count++
		}
	}
	return count
}

// A third of the daemons is turned away, in the other case all relays as well: those that
// the store serves follow it for all, and a configuration is in force everywhere in time.
func TestDaemonsThatAreTurnedAwayFollowOneThatIsNot(t *testing.T) {
	const thirds = 3
	for name, isAway := range map[string]func(f *fleet) func(i int, daemon neighbours.Daemon) bool{
		"a third": func(*fleet) func(int, neighbours.Daemon) bool {
			return func(i int, _ neighbours.Daemon) bool {
				return i%thirds == 0
			}
		},
		"relays first": func(f *fleet) func(int, neighbours.Daemon) bool {
			return func(i int, daemon neighbours.Daemon) bool {
				return i%thirds == 0 || f.list.IsRelay(daemon.Name)
			}
		},
	} {
		for _, how := range []string{refused, cut, silent} {
			for _, daemons := range []int{9, 40, 89, 295} {
				t.Run(fmt.Sprintf("%s %s %d", name, how, daemons), func(t *testing.T) {
					run(t, func(ctx context.Context, t *testing.T) {
						f := newFleet(ctx, daemons, how)
						pause(2 * time.Second)
						f.turnAway(isAway(f))
						before := f.calls.Load()
						pause(3 * time.Second)
						f.store.put("a", "2")
						pause(limit)
						late := f.behind("2")
						pause(3200 * time.Millisecond)
						asked := f.calls.Load() - before
						t.Logf("%d calls, %d late", asked, late)
						qt.Check(t, late, qt.Equals, 0)
						qt.Check(t, asked < 250, qt.IsTrue, qt.Commentf("%d calls", asked))
					})
				})
			}
		}
	}
}

// All are turned away: a few look for the store's return, and all are back soon after it.
func TestDaemonsThatAreAllTurnedAwayAreBackTogether(t *testing.T) {
	for _, how := range []string{refused, cut, silent} {
		for _, daemons := range []int{9, 40, 89, 295} {
			t.Run(fmt.Sprintf("%s %d", how, daemons), func(t *testing.T) {
				run(t, func(ctx context.Context, t *testing.T) {
					f := newFleet(ctx, daemons, how)
					pause(2 * time.Second)
					f.turnAway(func(int, neighbours.Daemon) bool {
						return true
					})
					before := f.calls.Load()
					pause(8 * time.Second)
					asked := f.calls.Load() - before
					f.turnAway(func(int, neighbours.Daemon) bool {
						return false
					})
					f.store.put("a", "2")
					pause(2500 * time.Millisecond)
					t.Logf("%d calls, %d late", asked, f.behind("2"))
					qt.Check(t, f.behind("2"), qt.Equals, 0)
					qt.Check(t, asked < 250, qt.IsTrue, qt.Commentf("%d calls", asked))
				})
			})
		}
	}
}
