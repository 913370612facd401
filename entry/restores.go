package entry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/rowstore"
	"headcourse/platform"
)

// The store may be restored from an older copy. What this daemon read before the restore is
// newer. It stays in force until operators, servers and daemons have had time to write again
// what the copy lacks. Only then do the tables apply as they are. The configuration stays in
// force until a newer one is read, however long that takes.

// recentReportTTL is how long committed reports are kept. It exceeds the age of a restored
// copy.
const recentReportTTL = time.Minute

// recordEraChange records that a table was read in another era. The first table of a new era
// also causes reports that the store may have lost to be written again.
func (d *Daemon) recordEraChange(table string) func(former, next rowstore.Revision) {
	return func(former, next rowstore.Revision) {
		d.log.Info("store: table read in a new era",
			zap.String("table", table),
			zap.Int64("era", next.Era),
			zap.Int64("version", next.Version),
			zap.Int64("former_era", former.Era),
			zap.Int64("former_version", former.Version))
		if d.storeEra.Swap(next.Era) == next.Era {
			return
		}
		metrics.GetOrRegisterCounter("store_restores", d.registry).Inc(1)
		for _, recent := range d.recentReports.all() {
			d.enqueueReport(recent)
		}
	}
}

// mergeNewestConfig replaces an older configuration in a table by the one in force: after a
// restore the operator has not written the newer one again yet, and starting daemons have no
// other.
func (d *Daemon) mergeNewestConfig(table rowstore.Result) rowstore.Result {
	current := d.configRow.Load()
	if current == nil || d.hasCurrentConfig(table.Rows) {
		return table
	}
	row := *current
	row.Version = table.Version
	rows := []rowstore.Row{row}
	for _, readRow := range table.Rows {
		if !platform.IsConfigKey(readRow.Key) {
			rows = append(rows, readRow)
		}
	}
	table.Rows = rows
	return table
}

// hasCurrentConfig reports whether rows contain a configuration that is at least as new as the
// one in force.
func (d *Daemon) hasCurrentConfig(rows []rowstore.Row) bool {
	for _, row := range rows {
		if !platform.IsConfigKey(row.Key) {
			continue
		}
		decoded, err := platform.DecodeConfig(row.Value)
		return err == nil && decoded.Version >= configVersion(d.view.Load().Config)
	}
	return false
}

// recentReports are reports that the store has committed recently. They are written again if a
// restore loses them. The zero value is empty.
type recentReports struct {
	mutex   sync.Mutex
	reports map[string]recentReport
}

// recentReport is a report and the time of its commit.
type recentReport struct {
	report      report
	committedAt time.Time
}

// add records a report that the store has committed, unless reportQueueCapacity reports are
// recorded already.
func (r *recentReports) add(committed report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.reports == nil {
		r.reports = map[string]recentReport{}
	}
	r.expire()
	if len(r.reports) < reportQueueCapacity {
		r.reports[committed.key] = recentReport{
			report:      committed,
			committedAt: time.Now(),
		}
	}
}

// observe forgets a report whose row has since been changed by another daemon.
func (r *recentReports) observe(row rowstore.Row) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, isKnown := r.reports[row.Key]
	if isKnown && (row.Deleted != (known.report.value == nil) || string(row.Value) != string(known.report.value)) {
		delete(r.reports, row.Key)
	}
}

// all returns the reports that have not expired.
func (r *recentReports) all() []report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire()
	var all []report
	for _, recent := range r.reports {
		all = append(all, recent.report)
	}
	return all
}

// expire removes reports that are older than recentReportTTL. The caller holds the mutex.
func (r *recentReports) expire() {
	for key, recent := range r.reports {
		if time.Since(recent.committedAt) > recentReportTTL {
			delete(r.reports, key)
		}
	}
}
