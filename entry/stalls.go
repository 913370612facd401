package entry

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/fleet"
	"headcourse/core/rowstore"
)

// toldTable has what daemons tell all others of backend servers: at which groups requests
// stand still or are slow, keyed by the group, and which servers ended under a request
// (crashes.go), and which take no more than some requests a second (limits.go).
const toldTable = "told"

// toldWait is how long one call waits for such words: a call that is under way when
// the store falls silent is waited for as long, whether the store is back or not.
const toldWait = 2500 * time.Millisecond

// stall is a row of toldTable: a group at which requests stand still or are slow.
type stall struct {
	Epoch int64  `json:"epoch"`
	By    string `json:"by"`
	// Silent is the member that did not answer; empty where one is slow.
	Silent string `json:"silent,omitempty"`
}

// toldStalls are the stalls that the store tells of. The zero value is empty.
type toldStalls struct {
	mutex  sync.Mutex
	stalls map[string]stall
	heard  func(group string, told stall)
}

// listen has heard called for each stall, those that are known first; nil ends
// it.
func (t *toldStalls) listen(heard func(group string, told stall)) {
	t.mutex.Lock()
	t.heard = heard
	known := maps.Clone(t.stalls)
	t.mutex.Unlock()
	if heard == nil {
		return
	}
	for group, told := range known {
		heard(group, told)
	}
}

// take takes a row.
func (t *toldStalls) take(group string, told stall) {
	t.mutex.Lock()
	if t.stalls == nil {
		t.stalls = map[string]stall{}
	}
	t.stalls[group] = told
	heard := t.heard
	t.mutex.Unlock()
	if heard != nil {
		heard(group, told)
	}
}

// keep forgets all stalls but those of some rows.
func (t *toldStalls) keep(rows []rowstore.Row) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.stalls, func(group string, _ stall) bool {
		return !slices.ContainsFunc(rows, func(row rowstore.Row) bool {
			return row.Key == group
		})
	})
}

// forget notes that a row is gone.
func (t *toldStalls) forget(group string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.stalls, group)
}

// has tells whether a group's stall has been told.
func (t *toldStalls) has(m fleet.Membership) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stalls[m.Group].Epoch == m.Epoch
}

// isStill tells whether a member of the group was told not to answer.
func (t *toldStalls) isStill(m fleet.Membership) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	told, ok := t.stalls[m.Group]
	return ok && told.Epoch == m.Epoch && told.Silent != ""
}

// IsTroubled tells whether requests are known, by any daemon's word, to stand still
// or to be slow at a server's group.
func (d *Daemon) IsTroubled(server fleet.Server) bool {
	return server.Membership.State != fleet.NoGroup && d.told.has(server.Membership)
}

// IsStill tells whether requests are known, by any daemon's word, to stand still at a
// server's group, since a member of it does not answer.
func (d *Daemon) IsStill(server fleet.Server) bool {
	return server.Membership.State != fleet.NoGroup && d.told.isStill(server.Membership)
}

// toldFollower follows what daemons tell of servers.
func (d *Daemon) toldFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Store:      d.chain,
		Table:      toldTable,
		Wait:       toldWait,
		Whole:      d.takeAllTold,
		Restored:   d.takeRestoredTold,
		Rewrite:    d.rewriteTime,
		Changed:    d.takeTold,
		Hub:        &d.hub,
		Failed:     d.recordToldError,
		Recovered:  d.recordRecovered(toldTable),
		EraChanged: d.recordEra(toldTable),
		Dropped:    d.recordDropped(toldTable),
		Clock:      &d.clock,
	}
}

// recordToldError records a failed call for the table. Until it was read, requests cannot be
// served: one of them may be held.
func (d *Daemon) recordToldError(err error) {
	if !d.toldRead.Load() {
		d.unreadable.set()
	}
	d.recordStoreError(toldTable)(err)
}

// takeAllTold takes the whole table: what is not in it does not hold any more.
func (d *Daemon) takeAllTold(rows []rowstore.Row, at rowstore.Revision, asOf time.Time) {
	d.told.keep(rows)
	d.keepEnds(rows)
	d.keepLimits(rows, at.Version)
	d.takeRestoredTold(rows, at, asOf)
}

// takeRestoredTold does so from a restored table, which may lack what daemons are about to
// write again.
func (d *Daemon) takeRestoredTold(rows []rowstore.Row, at rowstore.Revision, asOf time.Time) {
	d.toldEra.Store(at.Era)
	d.takeTold(rows, at, asOf)
	d.toldRead.Store(true)
	d.noteKnown()
}

// takeTold takes rows of toldTable.
func (d *Daemon) takeTold(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	for _, row := range rows {
		d.written.observe(row)
		switch {
		case isEnd(row):
			d.takeEnd(row)
		case isTrial(row):
			d.takeTrial(row, at.Era)
		case isLimit(row):
			d.takeLimit(row)
		default:
			d.takeStall(row)
		}
	}
}

// takeStall takes the row of a stall.
func (d *Daemon) takeStall(row rowstore.Row) {
	if row.Deleted {
		d.told.forget(row.Key)
		return
	}
	var told stall
	if err := json.Unmarshal(row.Value, &told); err != nil {
		d.told.forget(row.Key)
		d.recordBadRow(toldTable, row, errors.Wrap(err, "decode stall"))
		return
	}
	d.told.take(row.Key, told)
}
