package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/fleet"
	"headcourse/io/logline"
)

// noteTrouble notes a failed call of the store.
func (d *Daemon) noteTrouble(table string) func(error) {
	return func(err error) {
		metrics.GetOrRegisterCounter("store_failed."+table, d.registry).Inc(1)
		d.log.Warn("store: call failed", zap.String("table", table), logline.Err(err))
	}
}

// noteRestored notes that the store answers again.
func (d *Daemon) noteRestored(table string) func(time.Duration) {
	return func(away time.Duration) {
		d.log.Info("store: answers again", zap.String("table", table), zap.Int64("away_ms", away.Milliseconds()))
	}
}

// noteOutage notes that a table that is always followed cannot be.
func (d *Daemon) noteOutage(table string) func(error) {
	return func(err error) {
		d.unreadable.set()
		if !d.outage.Load().IsUnderWay() {
			d.outage.Store(&fleet.Outage{
				Began: time.Now(),
			})
		}
		d.noteTrouble(table)(err)
	}
}

// noteReturn notes that such a table can be followed again. It is called before
// what was read is taken.
func (d *Daemon) noteReturn(table string) func(time.Duration) {
	return func(away time.Duration) {
		now := time.Now()
		d.outage.Store(&fleet.Outage{
			Began: now.Add(-away),
			Ended: now,
		})
		d.noteRestored(table)(away)
	}
}
