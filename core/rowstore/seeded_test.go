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

// These tests start all daemons of a fleet at the same moment, as after a power failure. Each
// daemon must learn about the others before it can read from them.

const (
	listRows = 128
	// storeTime is the response time of the store. startSpread is the time over which the processes
	// start.
	storeTime   = 4 * time.Millisecond
	startSpread = 200 * time.Millisecond
)

// listStore is a store that holds the table of the daemons.
type listStore struct {
	rows     []rowstore.Row
	mutex    sync.Mutex
	calls    int
	sentRows int
}

// sendRows returns the first rows.
func (s *listStore) sendRows(rows int) rowstore.Result {
	time.Sleep(storeTime)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	const page = 500
	s.calls += max(1, (rows+page-1)/page)
	s.sentRows += rows
	return rowstore.Result{
		Rows:    s.rows[:rows],
		Version: 1,
		Now:     time.Hour,
	}
}

// Read returns all rows.
func (s *listStore) Read(context.Context, string) (rowstore.Result, error) {
	return s.sendRows(len(s.rows)), nil
}

// Feed is not called by these tests.
func (s *listStore) Feed(context.Context, string, rowstore.Revision, time.Duration) (rowstore.Result, error) {
	return rowstore.Result{}, rowstore.ErrRefused
}

// Sample returns the first rows.
func (s *listStore) Sample(_ context.Context, _ string, rows int) (rowstore.Result, bool, error) {
	rows = min(rows, len(s.rows))
	return s.sendRows(rows), rows == len(s.rows), nil
}

// startingFleet is a fleet whose daemons start.
type startingFleet struct {
	store       *listStore
	list        neighbours.List
	tableCaches map[string]*rowstore.TableCache
	// withoutCopy are daemons that never have a copy for others.
	withoutCopy map[string]bool
}

// newStartingFleet returns a registered fleet in three zones, and its daemons. The table also holds
// the relays if isPublished is set.
func newStartingFleet(t *testing.T, count int, isPublished bool) (*startingFleet, []neighbours.Daemon) {
	t.Helper()
	var daemons []neighbours.Daemon
	f := &startingFleet{
		store:       &listStore{},
		tableCaches: map[string]*rowstore.TableCache{},
		withoutCopy: map[string]bool{},
	}
	for i := range count {
		daemons = append(daemons, neighbours.Daemon{
			Name:     fmt.Sprintf("front-%04d", i),
			Zone:     string(rune('a' + i%3)),
			Address:  "10.0.0.1:7700",
			Capacity: float64(i % 20),
		})
		f.tableCaches[daemons[i].Name] = &rowstore.TableCache{}
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

// read lets a daemon read the list, and then serves it to others.
func (f *startingFleet) read(ctx context.Context, self neighbours.Daemon) (rowstore.Result, error) {
	clock := &rowstore.Freshness{}
	chain := rowstore.NewReaderChain(f.store, clock, nil)
	seeded := rowstore.SeededReader{
		ReaderChain: chain,
		Sampler:     f.store,
		SampleRows:  listRows,
		Seeds: func(sample []rowstore.Row) []rowstore.Relay {
			return f.seeds(sample, self)
		},
	}
	result, err := seeded.Read(ctx, neighbours.Table)
	if err == nil {
		f.tableCaches[self.Name].Apply(neighbours.Table, result, true, time.Now())
	}
	return result, err
}

// seeds returns the relays that a daemon calls.
func (f *startingFleet) seeds(sample []rowstore.Row, self neighbours.Daemon) []rowstore.Relay {
	var candidates []neighbours.Daemon
	for _, row := range sample {
		if row.Key == neighbours.RelaysKey {
			candidates, _ = neighbours.DecodeRelays(row.Value)
			break
		}
		daemon, _ := neighbours.Decode(row.Key, row.Value)
		candidates = append(candidates, daemon)
	}
	var relays []rowstore.Relay
	for _, candidate := range neighbours.InCallOrder(candidates, self.Name, self.Zone) {
		if candidate.Name == self.Name {
			return nil
		}
		relays = append(relays, f.relay(candidate.Name))
	}
	return relays[:min(4, len(relays))]
}

// relay returns a daemon as a relay.
func (f *startingFleet) relay(name string) rowstore.Relay {
	tableCache := f.tableCaches[name]
	if f.withoutCopy[name] {
		// No copy is ever applied to this table cache.
		tableCache = &rowstore.TableCache{}
	}
	return rowstore.Relay{
		Name:   name,
		Reader: tableCache,
	}
}

// startAll starts all daemons, and returns the longest time that one took to read the list.
func (f *startingFleet) startAll(t *testing.T, daemons []neighbours.Daemon) time.Duration {
	t.Helper()
	var group sync.WaitGroup
	var mutex sync.Mutex
	longestRead := time.Duration(0)
	for _, daemon := range daemons {
		group.Go(func() {
			time.Sleep(rand.N(startSpread))
			began := time.Now()
			result, err := f.read(t.Context(), daemon)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, result.Rows, qt.HasLen, len(f.store.rows))
			mutex.Lock()
			defer mutex.Unlock()
			longestRead = max(longestRead, time.Since(began))
		})
	}
	group.Wait()
	return longestRead
}

// Guards against store traffic per daemon that grows with the fleet, beyond one read of the list
// per relay. If each daemon read the whole list, the store sent 968,256 rows to 984 daemons in
// 1,968 calls.
func TestFullRestartReadsDaemonListOncePerRelay(t *testing.T) {
	for _, count := range []int{9, 89, 360, 984, 1968} {
		for _, isPublished := range []bool{true, false} {
			synctest.Test(t, func(t *testing.T) {
				f, daemons := newStartingFleet(t, count, isPublished)
				longestRead := f.startAll(t, daemons)
				rows := float64(f.store.sentRows) / float64(count)
				comment := qt.Commentf("%d daemons, relays published: %t: %d calls, %.0f rows each, %s", count, isPublished, f.store.calls, rows, longestRead)
				// One of 32 daemons is a relay. If no relays are published, the daemons of the
				// sample take their place.
				seeds := float64(count)/32 + 3
				if !isPublished {
					seeds = listRows
				}
				maxRows := listRows + seeds*float64(len(f.store.rows))/float64(count)
				if count < listRows {
					maxRows = float64(len(f.store.rows))
				}
				qt.Check(t, rows <= maxRows, qt.IsTrue, comment)
				qt.Check(t, longestRead < time.Second, qt.IsTrue, comment)
				t.Log(comment)
			})
		}
	}
}

// Guards against a start that fails if no seed has a copy: the relays are tried for
// relayReadTimeout, and then the store is read.
func TestStartReadsDaemonListFromStoreIfNoSeedHasCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, daemons := newStartingFleet(t, 360, true)
		for _, relay := range f.list.Relays() {
			f.withoutCopy[relay.Name] = true
		}
		longestRead := f.startAll(t, daemons)
		qt.Assert(t, longestRead < time.Second, qt.IsTrue, qt.Commentf("%s", longestRead))
	})
}
