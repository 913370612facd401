package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
)

// errorLogInterval is the time between two log lines about failed calls for one table. During
// an outage of the store, each of the five followers of a daemon fails three times a second.
// The counters include every failure.
const errorLogInterval = 5 * time.Second

// recordStoreError records a failed call to the store, or to the relays that stand in for it.
func (d *Daemon) recordStoreError(table string) func(error) {
	return func(err error) {
		metrics.GetOrRegisterCounter("store_failed."+table, d.registry).Inc(1)
		mayLog, suppressed := d.errorLogThrottle.Allow(table)
		if !mayLog {
			return
		}
		d.log.Warn("store: call failed", zap.String("table", table), logline.ErrorField(err), zap.Int("lines_left_out", suppressed))
	}
}

// recordStoreRecovery records that the store answers again.
func (d *Daemon) recordStoreRecovery(table string) func(time.Duration) {
	return func(downtime time.Duration) {
		suppressed := d.errorLogThrottle.Reset(table)
		d.log.Info("store: answers again", zap.String("table", table), zap.Int64("away_ms", downtime.Milliseconds()), zap.Int("lines_left_out", suppressed))
	}
}

// recordDroppedAnswer records an answer about a table that was dropped as older than the known
// one.
func (d *Daemon) recordDroppedAnswer(table string) func(rowstore.Result, rowstore.Revision) {
	return func(answer rowstore.Result, known rowstore.Revision) {
		metrics.GetOrRegisterCounter("store_answers_dropped."+table, d.registry).Inc(1)
		mayLog, suppressed := d.errorLogThrottle.Allow("dropped answers of " + table)
		if !mayLog {
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
			zap.Int("lines_left_out", suppressed))
	}
}

// recordRejectedEra records an answer whose era is invalid or older than the known one.
func (d *Daemon) recordRejectedEra(err error) {
	metrics.GetOrRegisterCounter("store_eras_refused", d.registry).Inc(1)
	mayLog, suppressed := d.errorLogThrottle.Allow("eras")
	if !mayLog {
		return
	}
	d.log.Warn("store: answer not taken for its era", logline.ErrorField(err), zap.Int("lines_left_out", suppressed))
}

// recordOutageStart records that the configuration or the servers cannot be watched, or that the
// daemon list cannot be read for the first time.
func (d *Daemon) recordOutageStart(table string) func(error) {
	return func(err error) {
		d.readFailed.set()
		if !d.storeOutage.Load().IsOngoing() {
			d.storeOutage.Store(&fleet.Outage{
				Began: time.Now(),
			})
		}
		d.recordStoreError(table)(err)
	}
}

// recordOutageEnd records that the configuration or the servers can be watched again. It is
// called before the new rows are applied.
func (d *Daemon) recordOutageEnd(table string) func(time.Duration) {
	return func(downtime time.Duration) {
		now := time.Now()
		d.storeOutage.Store(&fleet.Outage{
			Began: now.Add(-downtime),
			Ended: now,
		})
		d.recordStoreRecovery(table)(downtime)
	}
}

// recordRejectedRow records a row that was rejected. Anybody may write to the platform's tables
// at any rate, so the log lines are rate limited; the counter includes every row.
func (d *Daemon) recordRejectedRow(table string, row rowstore.Row, err error) {
	metrics.GetOrRegisterCounter("rows_not_taken."+table, d.registry).Inc(1)
	mayLog, suppressed := d.errorLogThrottle.Allow("rows of " + table)
	if !mayLog {
		return
	}
	const maxKeyBytes = 80
	d.log.Warn("store: row not taken",
		zap.String("table", table),
		zap.String("key", row.Key[:min(len(row.Key), maxKeyBytes)]),
		zap.Int64("row_version", row.Version),
		logline.ErrorField(err),
		zap.Int("lines_left_out", suppressed))
}
