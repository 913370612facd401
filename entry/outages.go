package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// errorLinesEvery is the time between two lines about failed calls for one table: while the
// store is away five followers of a daemon fail three times a second each. The counters have
// them all.
const errorLinesEvery = 5 * time.Second

// recordStoreError records a failed call of the store, or of the relays that stand for it.
func (d *Daemon) recordStoreError(table string) func(error) {
	return func(err error) {
		metrics.GetOrRegisterCounter("store_failed."+table, d.registry).Inc(1)
		mayWrite, leftOut := d.errorLines.Pass(table)
		if !mayWrite {
			return
		}
		d.log.Warn("store: call failed", zap.String("table", table), logline.Err(err), zap.Int("lines_left_out", leftOut))
	}
}

// recordRecovered records that the store answers again.
func (d *Daemon) recordRecovered(table string) func(time.Duration) {
	return func(away time.Duration) {
		leftOut := d.errorLines.End(table)
		d.log.Info("store: answers again", zap.String("table", table), zap.Int64("away_ms", away.Milliseconds()), zap.Int("lines_left_out", leftOut))
	}
}

// recordDropped records an answer about a table that was not taken.
func (d *Daemon) recordDropped(table string) func(rowstore.Result, rowstore.Revision) {
	return func(answer rowstore.Result, known rowstore.Revision) {
		metrics.GetOrRegisterCounter("store_answers_dropped."+table, d.registry).Inc(1)
		mayWrite, leftOut := d.errorLines.Pass("dropped answers of " + table)
		if !mayWrite {
			return
		}
		d.log.Warn("store: answer not taken, it is older than what is known",
			zap.String("table", table),
			zap.Int64("era", answer.Era),
			zap.Int64("version", answer.Version),
			zap.Int64("known_era", known.Era),
			zap.Int64("known_version", known.Version),
			zap.Int64("store_clock_ms", answer.Now.Milliseconds()),
			zap.Bool("is_relayed", answer.IsRelayed),
			zap.Int("lines_left_out", leftOut))
	}
}

// recordEraRefused records an answer whose era cannot be read, or is a former one.
func (d *Daemon) recordEraRefused(err error) {
	metrics.GetOrRegisterCounter("store_eras_refused", d.registry).Inc(1)
	mayWrite, leftOut := d.errorLines.Pass("eras")
	if !mayWrite {
		return
	}
	d.log.Warn("store: answer not taken for its era", logline.Err(err), zap.Int("lines_left_out", leftOut))
}

// recordOutage records that a table that is always followed cannot be.
func (d *Daemon) recordOutage(table string) func(error) {
	return func(err error) {
		d.unreadable.set()
		if !d.outage.Load().IsUnderWay() {
			d.outage.Store(&fleet.Outage{
				Began: time.Now(),
			})
		}
		d.recordStoreError(table)(err)
	}
}

// recordReturn records that such a table can be followed again. It is called before
// what was read is taken.
func (d *Daemon) recordReturn(table string) func(time.Duration) {
	return func(away time.Duration) {
		now := time.Now()
		d.outage.Store(&fleet.Outage{
			Began: now.Add(-away),
			Ended: now,
		})
		d.recordRecovered(table)(away)
	}
}

// recordBadRow records a row that was not taken: anybody may write to the platform's tables, as
// often as they like, so the lines are bounded and the counter has them all.
func (d *Daemon) recordBadRow(table string, row rowstore.Row, err error) {
	metrics.GetOrRegisterCounter("rows_not_taken."+table, d.registry).Inc(1)
	mayWrite, leftOut := d.errorLines.Pass("rows of " + table)
	if !mayWrite {
		return
	}
	const longest = 80
	d.log.Warn("store: row not taken",
		zap.String("table", table),
		zap.String("key", row.Key[:min(len(row.Key), longest)]),
		zap.Int64("row_version", row.Version),
		logline.Err(err),
		zap.Int("lines_left_out", leftOut))
}
