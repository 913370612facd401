package entry

import (
	"math/rand/v2"
	"strings"
	"time"

	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/ratelimit"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// A server names its limit to the daemons that send it requests. They report it to all other
// daemons by a row of reportTable for the server's start, written without a condition, and
// remove the row when the limit ends. Other daemons thus need not send a request to observe
// the limit. For a daemon without a quota, only the removal of the row shows that it may use the
// server again. As long as no server names a limit, this costs no calls.

// limitLogInterval limits the rate of log lines about reported limits, since all servers of a
// service may name limits at once.
const limitLogInterval = 200 * time.Millisecond

// limitPrefix is the prefix of the keys of limit rows. Group names contain no slash.
const limitPrefix = "limit/"

// isLimitRow reports whether a row of reportTable reports a limit.
func isLimitRow(row rowstore.Row) bool {
	return strings.HasPrefix(row.Key, limitPrefix)
}

// serverStartOf returns the server start that a limit row belongs to.
func serverStartOf(row rowstore.Row) string {
	return strings.TrimPrefix(row.Key, limitPrefix)
}

// ObserveLimit reports a limit, or the end of one, to the other daemons unless it has been
// reported already. It does not block.
func (d *Daemon) ObserveLimit(server fleet.Server, limit ratelimit.Limit) {
	start := server.StartID()
	if !limit.IsSet {
		time.AfterFunc(rand.N(reportJitter), func() { d.reportLimitEnd(start, limitEndAttempts) })
		return
	}
	if !d.limitReports.ShouldReport(start, limit) {
		return
	}
	// Daemons observe a limit at the same time. The jitter lets the first report reach the
	// others before they write theirs.
	time.AfterFunc(rand.N(reportJitter), func() {
		if d.limitReports.ClaimReport(start, limit) {
			d.reportLimit(start, limit)
		}
	})
}

// Another daemon's report of a limit may reach the store after the report that the limit has
// ended, so the end is checked several times.
const (
	limitEndAttempts      = 5
	limitEndRetryInterval = 2 * time.Second
)

// reportLimitEnd reports that a limit has ended as long as the store has a row for it and the
// server has announced no new limit.
func (d *Daemon) reportLimitEnd(start string, attempts int) {
	if known, _ := d.serverLimits.AnnouncedLimit(start); attempts == 0 || known.IsSet {
		return
	}
	if d.limitReports.ClaimReport(start, ratelimit.Limit{}) {
		d.reportLimit(start, ratelimit.Limit{})
	}
	time.AfterFunc(limitEndRetryInterval, func() { d.reportLimitEnd(start, attempts-1) })
}

// reportLimit enqueues a limit row to be written, or to be removed if the limit has ended.
func (d *Daemon) reportLimit(start string, limit ratelimit.Limit) {
	update := report{
		key: limitPrefix + start,
	}
	if limit.IsSet {
		encoded, err := limit.Encode(d.settings.Name)
		if err != nil {
			d.log.Error("servers: limit not encoded", logline.ErrorField(err))
			return
		}
		update.value = encoded
	}
	d.enqueueReport(update)
}

// applyLimit applies a limit row.
func (d *Daemon) applyLimit(row rowstore.Row) {
	start := serverStartOf(row)
	if row.Deleted {
		d.removeLimit(start, row.Version)
		return
	}
	limit, err := ratelimit.Decode(row.Value)
	if err != nil {
		d.recordRejectedRow(reportTable, row, err)
		return
	}
	if d.limitReports.Apply(start, limit) {
		d.logReportedLimit(start, limit, row.Version)
	}
	d.serverLimits.ApplyReport(start, limit)
}

// logReportedLimit logs a limit, or the end of one, that another daemon reported.
func (d *Daemon) logReportedLimit(start string, limit ratelimit.Limit, version int64) {
	mayLog, suppressed := d.limitLogThrottle.Allow(reportTable)
	if !mayLog {
		return
	}
	d.log.Info("servers: limit reported by another daemon",
		zap.String("start", start),
		zap.Bool("is_named", limit.IsSet),
		zap.Float64("per_second", limit.PerSecond),
		zap.Int64("row_version", version),
		zap.Int("lines_left_out", suppressed))
}

// removeLimit records that a limit row was removed.
func (d *Daemon) removeLimit(start string, version int64) {
	if d.limitReports.Remove(start) {
		d.logReportedLimit(start, ratelimit.Limit{}, version)
	}
	d.serverLimits.ApplyReport(start, ratelimit.Limit{})
}

// retainLimits ends all limits that a snapshot of the table does not contain.
func (d *Daemon) retainLimits(rows []rowstore.Row, version int64) {
	starts := map[string]bool{}
	for _, row := range rows {
		if isLimitRow(row) {
			starts[serverStartOf(row)] = true
		}
	}
	for _, start := range d.limitReports.StartsNotIn(starts) {
		d.removeLimit(start, version)
	}
}

// removeStaleLimits forgets the times of old reports. The leader also removes the limit rows of
// servers that no longer exist.
func (d *Daemon) removeStaleLimits() {
	d.limitReports.Sweep()
	if !d.isLeader.Load() {
		return
	}
	present := map[string]bool{}
	for _, server := range d.view.Load().Fleet.Servers() {
		present[server.StartID()] = true
	}
	for _, start := range d.limitReports.StaleStarts() {
		if !present[start] {
			d.reportLimit(start, ratelimit.Limit{})
		}
	}
}
