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

// reportTable has what daemons report to all others of backend servers: at which groups requests
// stand still or are slow, keyed by the group, and which servers ended under a request
// (crashes.go), and which take no more than some requests a second (limits.go).
const reportTable = "told"

// reportWait is how long one call waits for such reports: a call that is under way when
// the store falls silent is waited for as long, whether the store is back or not.
const reportWait = 2500 * time.Millisecond

// stall is a row of reportTable: a group at which requests stand still or are slow.
type stall struct {
	Epoch int64  `json:"epoch"`
	By    string `json:"by"`
	// Silent is the member that did not answer; empty where one is slow.
	Silent string `json:"silent,omitempty"`
}

// reportedStalls are the stalls that daemons have reported. The zero value is empty.
type reportedStalls struct {
	mutex   sync.Mutex
	stalls  map[string]stall
	onStall func(group string, reported stall)
}

// subscribe has onStall called for each stall, those that are known first; nil ends
// it.
func (t *reportedStalls) subscribe(onStall func(group string, reported stall)) {
	t.mutex.Lock()
	t.onStall = onStall
	known := maps.Clone(t.stalls)
	t.mutex.Unlock()
	if onStall == nil {
		return
	}
	for group, reported := range known {
		onStall(group, reported)
	}
}

// take takes a row.
func (t *reportedStalls) take(group string, reported stall) {
	t.mutex.Lock()
	if t.stalls == nil {
		t.stalls = map[string]stall{}
	}
	t.stalls[group] = reported
	onStall := t.onStall
	t.mutex.Unlock()
	if onStall != nil {
		onStall(group, reported)
	}
}

// keep forgets all stalls but those of some rows.
func (t *reportedStalls) keep(rows []rowstore.Row) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	maps.DeleteFunc(t.stalls, func(group string, _ stall) bool {
		return !slices.ContainsFunc(rows, func(row rowstore.Row) bool {
			return row.Key == group
		})
	})
}

// forget notes that a row is gone.
func (t *reportedStalls) forget(group string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.stalls, group)
}

// has tells whether a group's stall has been reported.
func (t *reportedStalls) has(m fleet.Membership) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.stalls[m.Group].Epoch == m.Epoch
}

// isStill tells whether a member of the group is reported not to answer.
func (t *reportedStalls) isStill(m fleet.Membership) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	reported, ok := t.stalls[m.Group]
	return ok && reported.Epoch == m.Epoch && reported.Silent != ""
}

// IsTroubled tells whether requests are known, by any daemon's report, to stand still
// or to be slow at a server's group.
func (d *Daemon) IsTroubled(server fleet.Server) bool {
	return server.Membership.State != fleet.NoGroup && d.reported.has(server.Membership)
}

// IsStill tells whether requests are known, by any daemon's report, to stand still at a
// server's group, since a member of it does not answer.
func (d *Daemon) IsStill(server fleet.Server) bool {
	return server.Membership.State != fleet.NoGroup && d.reported.isStill(server.Membership)
}

// reportFollower follows what daemons report of servers.
func (d *Daemon) reportFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Store:      d.chain,
		Table:      reportTable,
		Wait:       reportWait,
		Whole:      d.takeAllReports,
		Restored:   d.takeRestoredReports,
		Rewrite:    d.rewriteTime,
		Changed:    d.takeReports,
		Hub:        &d.hub,
		Failed:     d.recordReportError,
		Recovered:  d.recordRecovered(reportTable),
		EraChanged: d.recordEra(reportTable),
		Dropped:    d.recordDropped(reportTable),
		Clock:      &d.clock,
	}
}

// recordReportError records a failed call for the table. Until it was read, requests cannot be
// served: one of them may be held.
func (d *Daemon) recordReportError(err error) {
	if !d.reportsRead.Load() {
		d.unreadable.set()
	}
	d.recordStoreError(reportTable)(err)
}

// takeAllReports takes the whole table: what is not in it does not hold any more.
func (d *Daemon) takeAllReports(rows []rowstore.Row, at rowstore.Revision, asOf time.Time) {
	d.reported.keep(rows)
	d.keepEnds(rows)
	d.keepLimits(rows, at.Version)
	d.takeRestoredReports(rows, at, asOf)
}

// takeRestoredReports does so from a restored table, which may lack what daemons are about to
// write again.
func (d *Daemon) takeRestoredReports(rows []rowstore.Row, at rowstore.Revision, asOf time.Time) {
	d.reportsEra.Store(at.Era)
	d.takeReports(rows, at, asOf)
	d.reportsRead.Store(true)
	d.updateKnown()
}

// takeReports takes rows of reportTable.
func (d *Daemon) takeReports(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	for _, row := range rows {
		d.recent.observe(row)
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
		d.reported.forget(row.Key)
		return
	}
	var reported stall
	if err := json.Unmarshal(row.Value, &reported); err != nil {
		d.reported.forget(row.Key)
		d.recordBadRow(reportTable, row, errors.Wrap(err, "decode stall"))
		return
	}
	d.reported.take(row.Key, reported)
}
