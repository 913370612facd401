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

// reportTable holds the reports about backend servers that daemons share: groups at which
// requests stall or are slow, keyed by group; servers that crashed during a request
// (crashes.go); and servers that limit their requests per second (limits.go).
const reportTable = "told"

// reportFeedWait is how long one call waits for such reports. A call in flight when the
// store stops answering blocks for as long, even if the store recovers earlier.
const reportFeedWait = 2500 * time.Millisecond

// stall is a row of reportTable for a group at which requests stall or are slow.
type stall struct {
	Epoch      int64  `json:"epoch"`
	ReportedBy string `json:"by"`
	// UnresponsiveMember is the member that did not answer. It is empty if a member is only
	// slow.
	UnresponsiveMember string `json:"silent,omitempty"`
}

// reportedStalls are the stalls that daemons have reported. The zero value is empty.
type reportedStalls struct {
	mutex   sync.Mutex
	stalls  map[string]stall
	onStall func(group string, reported stall)
}

// subscribe calls onStall for each stall, starting with the known ones. A nil onStall ends the
// subscription.
func (s *reportedStalls) subscribe(onStall func(group string, reported stall)) {
	s.mutex.Lock()
	s.onStall = onStall
	known := maps.Clone(s.stalls)
	s.mutex.Unlock()
	if onStall == nil {
		return
	}
	for group, reported := range known {
		onStall(group, reported)
	}
}

// add records a group's stall.
func (s *reportedStalls) add(group string, reported stall) {
	s.mutex.Lock()
	if s.stalls == nil {
		s.stalls = map[string]stall{}
	}
	s.stalls[group] = reported
	onStall := s.onStall
	s.mutex.Unlock()
	if onStall != nil {
		onStall(group, reported)
	}
}

// retain forgets all stalls whose group is not the key of one of the rows.
func (s *reportedStalls) retain(rows []rowstore.Row) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	maps.DeleteFunc(s.stalls, func(group string, _ stall) bool {
		return !slices.ContainsFunc(rows, func(row rowstore.Row) bool {
			return row.Key == group
		})
	})
}

// remove forgets the stall of a group.
func (s *reportedStalls) remove(group string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.stalls, group)
}

// contains reports whether a stall of a group's current epoch has been reported.
func (s *reportedStalls) contains(membership fleet.Membership) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.stalls[membership.Group].Epoch == membership.Epoch
}

// isUnresponsive reports whether a member of the group is reported as unresponsive.
func (s *reportedStalls) isUnresponsive(membership fleet.Membership) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	reported, ok := s.stalls[membership.Group]
	return ok && reported.Epoch == membership.Epoch && reported.UnresponsiveMember != ""
}

// IsDegraded reports whether any daemon has reported that requests stall or are slow at a
// server's group.
func (d *Daemon) IsDegraded(server fleet.Server) bool {
	return server.Membership.State != fleet.NoGroup && d.reportedStalls.contains(server.Membership)
}

// HasUnresponsiveMember reports whether any daemon has reported that requests stall at a
// server's group because a member does not answer.
func (d *Daemon) HasUnresponsiveMember(server fleet.Server) bool {
	return server.Membership.State != fleet.NoGroup && d.reportedStalls.isUnresponsive(server.Membership)
}

// reportFollower watches the reports of all daemons about servers.
func (d *Daemon) reportFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Reader:             d.tableReader,
		Table:              reportTable,
		FeedWait:           reportFeedWait,
		OnSnapshot:         d.applyReportSnapshot,
		OnRestoredSnapshot: d.applyRestoredReports,
		RewriteWait:        d.rewriteWindow,
		OnChanges:          d.applyReports,
		TableCache:         &d.tableCache,
		OnFailure:          d.recordReportError,
		OnRecovery:         d.recordStoreRecovery(reportTable),
		OnEraChange:        d.recordEraChange(reportTable),
		OnRejected:         d.recordDroppedAnswer(reportTable),
		Clock:              &d.storeClock,
	}
}

// recordReportError records a failed call for the table. Before its first read any request may
// be quarantined, so requests wait for that read, but not after it has failed.
func (d *Daemon) recordReportError(err error) {
	if !d.reportsLoaded.Load() {
		d.readFailed.set()
	}
	d.recordStoreError(reportTable)(err)
}

// applyReportSnapshot applies a snapshot of the table. Reports that it does not contain have
// ended.
func (d *Daemon) applyReportSnapshot(rows []rowstore.Row, at rowstore.Revision, asOf time.Time) {
	d.reportedStalls.retain(rows)
	d.retainCrashes(rows)
	d.retainLimits(rows, at.Version)
	d.applyRestoredReports(rows, at, asOf)
}

// applyRestoredReports applies a restored table. It may lack reports that daemons are about to
// write again, so known reports are kept.
func (d *Daemon) applyRestoredReports(rows []rowstore.Row, at rowstore.Revision, asOf time.Time) {
	d.reportsEra.Store(at.Era)
	d.applyReports(rows, at, asOf)
	d.reportsLoaded.Store(true)
	d.updateInitialised()
}

// applyReports applies rows of reportTable.
func (d *Daemon) applyReports(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	for _, row := range rows {
		d.recentReports.observe(row)
		switch {
		case isCrashRow(row):
			d.applyCrash(row)
		case isTrialRow(row):
			d.applyTrial(row, at.Era)
		case isLimitRow(row):
			d.applyLimit(row)
		default:
			d.applyStall(row)
		}
	}
}

// applyStall applies the row of a stall.
func (d *Daemon) applyStall(row rowstore.Row) {
	if row.Deleted {
		d.reportedStalls.remove(row.Key)
		return
	}
	var reported stall
	if err := json.Unmarshal(row.Value, &reported); err != nil {
		d.reportedStalls.remove(row.Key)
		d.recordRejectedRow(reportTable, row, errors.Wrap(err, "decode stall"))
		return
	}
	d.reportedStalls.add(row.Key, reported)
}
