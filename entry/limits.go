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

// A server names its limit to the daemons that send it requests; these report it to all others by a row
// of reportTable for its start, written without a condition, and remove it when the limit is over.
// A daemon that reads it sends no request just to learn of a limit, and one that has no part of
// it learns by the row's end only that it may use the server again. While no server names a
// limit, all this costs no call.

// limitLineEvery bounds the lines about what others report: all servers of a service may be in need.
const limitLineEvery = 200 * time.Millisecond

// limitPrefix is the beginning of keys of such rows; names of groups have no slash.
const limitPrefix = "limit/"

// isLimit tells whether a row of reportTable is of a limit.
func isLimit(row rowstore.Row) bool {
	return strings.HasPrefix(row.Key, limitPrefix)
}

// limitStart returns the start of a server that a limit's row is of.
func limitStart(row rowstore.Row) string {
	return strings.TrimPrefix(row.Key, limitPrefix)
}

// LimitObserved reports a limit to other daemons, if they do not know it. It never waits.
func (d *Daemon) LimitObserved(server fleet.Server, said ratelimit.Limit) {
	start := server.Start()
	if !said.IsNamed {
		time.AfterFunc(rand.N(reportSpread), func() { d.reportLimitEnd(start, endTries) })
		return
	}
	if !d.notices.Wants(start, said) {
		return
	}
	// Daemons observe a limit together; the first one's report saves the others theirs.
	time.AfterFunc(rand.N(reportSpread), func() {
		if d.notices.Speak(start, said) {
			d.reportLimit(start, said)
		}
	})
}

// Figures of reporting that a limit is over: another daemon's report of it may come to the store
// after that, so it is looked at again.
const (
	endTries = 5
	endAgain = 2 * time.Second
)

// reportLimitEnd reports that a limit is over, as long as the store has its row, and this daemon
// knows no new one.
func (d *Daemon) reportLimitEnd(start string, tries int) {
	if named, _ := d.limits.Known(start); tries == 0 || named.IsNamed {
		return
	}
	if d.notices.Speak(start, ratelimit.Limit{}) {
		d.reportLimit(start, ratelimit.Limit{})
	}
	time.AfterFunc(endAgain, func() { d.reportLimitEnd(start, tries-1) })
}

// reportLimit has a limit's row written, or removed where the limit is over.
func (d *Daemon) reportLimit(start string, limit ratelimit.Limit) {
	one := report{
		key: limitPrefix + start,
	}
	if limit.IsNamed {
		encoded, err := limit.Encode(d.settings.Name)
		if err != nil {
			d.log.Error("servers: limit not reported", logline.Err(err))
			return
		}
		one.value = encoded
	}
	d.queueReport(one)
}

// takeLimit takes the row of a limit.
func (d *Daemon) takeLimit(row rowstore.Row) {
	start := limitStart(row)
	if row.Deleted {
		d.endLimit(start, row.Version)
		return
	}
	limit, err := ratelimit.Decode(row.Value)
	if err != nil {
		d.recordBadRow(reportTable, row, err)
		return
	}
	if d.notices.Take(start, limit) {
		d.logReportedLimit(start, limit, row.Version)
	}
	d.limits.Reported(start, limit)
}

// logReportedLimit writes a line about what others reported of a limit.
func (d *Daemon) logReportedLimit(start string, limit ratelimit.Limit, version int64) {
	mayWrite, leftOut := d.limitLines.Pass(reportTable)
	if !mayWrite {
		return
	}
	d.log.Info("servers: limit reported by another daemon",
		zap.String("start", start),
		zap.Bool("is_named", limit.IsNamed),
		zap.Float64("per_second", limit.PerSecond),
		zap.Int64("row_version", version),
		zap.Int("lines_left_out", leftOut))
}

// endLimit notes that the row of a limit is gone.
func (d *Daemon) endLimit(start string, version int64) {
	if d.notices.Remove(start) {
		d.logReportedLimit(start, ratelimit.Limit{}, version)
	}
	d.limits.Reported(start, ratelimit.Limit{})
}

// keepLimits notes that limits are over that are not among the rows of the whole table.
func (d *Daemon) keepLimits(rows []rowstore.Row, version int64) {
	starts := map[string]bool{}
	for _, row := range rows {
		if isLimit(row) {
			starts[limitStart(row)] = true
		}
	}
	for _, start := range d.notices.Others(starts) {
		d.endLimit(start, version)
	}
}

// sweepLimits removes, where this daemon leads, the rows of limits of servers that are gone.
func (d *Daemon) sweepLimits() {
	d.notices.Sweep()
	if !d.isLeading.Load() {
		return
	}
	known := map[string]bool{}
	for _, server := range d.view.Load().Fleet.Servers() {
		known[server.Start()] = true
	}
	for _, start := range d.notices.Old() {
		if !known[start] {
			d.reportLimit(start, ratelimit.Limit{})
		}
	}
}
