package entry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/rowstore"
	"headcourse/platform"
)

// The store may be restored from an older copy. What this daemon knew before is newer than
// that: it stays until operators, servers and daemons have had the time to write again what
// the copy lacks, and only then the tables count as they stand.

// recentFor is how long reports that the store has taken are kept: longer than a copy is old.
const recentFor = time.Minute

// recordEra records that a table was read in another era. With the first one, reports are
// written again that the store may have lost.
func (d *Daemon) recordEra(table string) func(former, next rowstore.Revision) {
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
		for _, one := range d.recent.all() {
			d.queueReport(one)
		}
	}
}

// keepNewestConfig returns a table of the configuration with the one in force, where that is
// newer: the operator has not written it again yet, and daemons that start know no better.
func (d *Daemon) keepNewestConfig(read rowstore.Result) rowstore.Result {
	kept := d.configRow.Load()
	if kept == nil || d.hasConfigFrom(read.Rows) {
		return read
	}
	row := *kept
	row.Version = read.Version
	rows := []rowstore.Row{row}
	for _, one := range read.Rows {
		if !platform.IsConfig(one.Key) {
			rows = append(rows, one)
		}
	}
	read.Rows = rows
	return read
}

// hasConfigFrom tells whether rows have a configuration that is not older than the one in
// force.
func (d *Daemon) hasConfigFrom(rows []rowstore.Row) bool {
	for _, row := range rows {
		if !platform.IsConfig(row.Key) {
			continue
		}
		read, err := platform.DecodeConfig(row.Value)
		return err == nil && read.Version >= versionOf(d.view.Load().Config)
	}
	return false
}

// recentReports are reports that the store has taken lately, to be written again where a restore
// has lost them. The zero value is empty.
type recentReports struct {
	mutex   sync.Mutex
	reports map[string]recentReport
}

// recentReport is a report, and when the store took it.
type recentReport struct {
	report report
	at     time.Time
}

// add records a report that the store has taken.
func (r *recentReports) add(one report) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.reports == nil {
		r.reports = map[string]recentReport{}
	}
	r.forgetOld()
	if len(r.reports) < reportQueue {
		r.reports[one.key] = recentReport{
			report: one,
			at:     time.Now(),
		}
	}
}

// observe forgets a report whose row was written by another since.
func (r *recentReports) observe(row rowstore.Row) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, isThere := r.reports[row.Key]
	if isThere && (row.Deleted != (known.report.value == nil) || string(row.Value) != string(known.report.value)) {
		delete(r.reports, row.Key)
	}
}

// all returns the reports that were written lately.
func (r *recentReports) all() []report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forgetOld()
	var all []report
	for _, one := range r.reports {
		all = append(all, one.report)
	}
	return all
}

// forgetOld forgets reports that were written long ago. The mutex is held.
func (r *recentReports) forgetOld() {
	for key, one := range r.reports {
		if time.Since(one.at) > recentFor {
			delete(r.reports, key)
		}
	}
}
