package rowstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/neighbours"
	"headcourse/core/rowstore"
)

// All daemons of a fleet start at one moment, as after a loss of power: each has to learn who the
// others are before it can read anything from them.

// Figures of the model.
const (
	listRows = 128
	// storeTime is how long the store takes, startSpread over which time processes start.
	storeTime   = 4 * time.Millisecond
	startSpread = 200 * time.Millisecond
)

// listStore is the store's table of the daemons.
type listStore struct {
	rows  []rowstore.Row
	mutex sync.Mutex
	calls int
	sent  int
}

// answer returns so many of the rows.
func (s *listStore) answer(rows int) rowstore.Result {
	time.Sleep(storeTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	const page = 500
	s.calls += max(1, (rows+page-1)/page)
	s.sent += rows
	return rowstore.Result{
		Rows:    s.rows[:rows],
		Version: 1,
		Now:     time.Hour,
	}
}

// Read returns all rows.
func (s *listStore) Read(context.Context, string) (rowstore.Result, error) {
	return s.answer(len(s.rows)), nil
}

// Feed is not called in the model.
func (s *listStore) Feed(context.Context, string, rowstore.Revision, time.Duration) (rowstore.Result, error) {
	return rowstore.Result{}, rowstore.ErrRefused
}

// Sample returns the first rows.
func (s *listStore) Sample(_ context.Context, _ string, rows int) (rowstore.Result, bool, error) {
	rows = min(rows, len(s.rows))
	return s.answer(rows), rows == len(s.rows), nil
}

// starting is a fleet whose daemons start.
type starting struct {
	store *listStore
	list  neighbours.List
	hubs  map[string]*rowstore.Hub
	// lost are daemons that do not start again.
	lost map[string]bool
}

// newStarting returns a fleet in three zones that is listed, its relays too where isPublished.
func newStarting(t *testing.T, count int, isPublished bool) (*starting, []neighbours.Daemon) {
	t.Helper()
	var daemons []neighbours.Daemon
	f := &starting{
		store: &listStore{},
		hubs:  map[string]*rowstore.Hub{},
		lost:  map[string]bool{},
	}
	for i := range count {
		daemons = append(daemons, neighbours.Daemon{
			Name:     fmt.Sprintf("front-%04d", i),
			Zone:     string(rune('a' + i%3)),
			Address:  "10.0.0.1:7700",
			Strength: float64(i % 20),
		})
		f.hubs[daemons[i].Name] = &rowstore.Hub{}
	}
	f.list = neighbours.NewList(daemons)
	if isPublished {
		value, err := neighbours.EncodeRelays(f.list.Relays())
		qt.Assert(t, err, qt.IsNil)
		f.store.rows = append(f.store.rows, rowstore.Row{
			Key:   neighbours.RelaysKey,
			Value: value,
		})
	}
	for _, daemon := range daemons {
		value, err := daemon.Encode()
		qt.Assert(t, err, qt.IsNil)
		f.store.rows = append(f.store.rows, rowstore.Row{
			Key:   daemon.Name,
			Value: value,
		})
	}
	return f, daemons
}

// read has a daemon read the list, and gives it to others from then on.
func (f *starting) read(ctx context.Context, self neighbours.Daemon) (rowstore.Result, error) {
	clock := &rowstore.Freshness{}
	chain := rowstore.NewChain(f.store, clock, nil)
	seeded := rowstore.Seeded{
		Chain: chain,
		From:  f.store,
		Rows:  listRows,
		Seeds: func(sample []rowstore.Row) []rowstore.Relay {
			return f.seeds(sample, self)
		},
	}
	result, err := seeded.Read(ctx, neighbours.Table)
	if err == nil {
		f.hubs[self.Name].Take(neighbours.Table, result, true, time.Now())
	}
	return result, err
}

// seeds returns whom a daemon asks.
func (f *starting) seeds(sample []rowstore.Row, self neighbours.Daemon) []rowstore.Relay {
	var known []neighbours.Daemon
	for _, row := range sample {
		if row.Key == neighbours.RelaysKey {
			known, _ = neighbours.DecodeRelays(row.Value)
			break
		}
		daemon, _ := neighbours.Decode(row.Key, row.Value)
		known = append(known, daemon)
	}
	var relays []rowstore.Relay
	for _, one := range neighbours.Nearest(known, self.Name, self.Zone) {
		if one.Name == self.Name {
			return nil
		}
		relays = append(relays, f.relay(one.Name))
	}
	return relays[:min(4, len(relays))]
}

// relay returns a daemon as one that others ask; one that is lost does not answer.
func (f *starting) relay(name string) rowstore.Relay {
	hub := f.hubs[name]
	if f.lost[name] {
		// Its copy never comes.
		hub = &rowstore.Hub{}
	}
	return rowstore.Relay{
		Name:   name,
		Reader: hub,
	}
}

// startAll has all daemons start, and returns how long the last took to read the list.
func (f *starting) startAll(t *testing.T, daemons []neighbours.Daemon) time.Duration {
	t.Helper()
	var group sync.WaitGroup
	var mutex sync.Mutex
	longest := time.Duration(0)
	for _, daemon := range daemons {
		group.Go(func() {
			time.Sleep(rand.N(startSpread))
			began := time.Now()
			result, err := f.read(t.Context(), daemon)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, result.Rows, qt.HasLen, len(f.store.rows))
			mutex.Lock()
			defer mutex.Unlock()
			longest = max(longest, time.Since(began))
		})
	}
	group.Wait()
	return longest
}

// What the store sends a daemon does not grow with the fleet but for one read of the list for each
// relay. Where each read the whole list, 984 daemons were sent 968,256 rows in 1,968 calls.
func TestStartOfAllReadsTheListOncePerRelay(t *testing.T) {
	for _, count := range []int{9, 89, 360, 984, 1968} {
		for _, isPublished := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				f, daemons := newStarting(t, count, isPublished)
				longest := f.startAll(t, daemons)
				rows := float64(f.store.sent) / float64(count)
				comment := qt.Commentf("%d daemons, relays published: %t: %d calls, %.0f rows each, %s", count, isPublished, f.store.calls, rows, longest)
				// One daemon of 32 relays; without relays those of the sample stand for them.
				seeds := float64(count)/32 + 3
				if !isPublished {
					seeds = listRows
				}
				most := listRows + seeds*float64(len(f.store.rows))/float64(count)
				if count < listRows {
					most = float64(len(f.store.rows))
				}
				qt.Check(t, rows <= most, qt.IsTrue, comment)
				qt.Check(t, longest < time.Second, qt.IsTrue, comment)
				t.Log(comment)
			})
		}
	}
}

// Seeds that are gone cost a start its wait for them, and the store is the last resort.
func TestStartWithoutSeedsReadsTheListFromTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, daemons := newStarting(t, 360, true)
		for _, relay := range f.list.Relays() {
			f.lost[relay.Name] = true
		}
		longest := f.startAll(t, daemons)
		qt.Assert(t, longest < time.Second, qt.IsTrue, qt.Commentf("%s", longest))
	})
}
