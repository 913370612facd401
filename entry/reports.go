package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/rowstore"
	"headcourse/platform"
)

// Figures of reports.
const (
	// reportQueue bounds reports that wait to be written; it holds all requests that end
	// with a server of the largest size.
	reportQueue = 1024
	// reportBatchTime is how long the first waits for others: all requests at a server end at
	// one moment.
	reportBatchTime = 30 * time.Millisecond
	// reportRetryPause is the time between two tries: within the time in which a daemon counts
	// as in touch, 3 s and more, others must know.
	reportRetryPause = 500 * time.Millisecond
	// sweepEvery is the time between two sweeps of old reports.
	sweepEvery = time.Minute
)

// report is a row of reportTable to be written without a condition; one without a value is to be
// removed.
type report struct {
	key   string
	value []byte
}

// queueReport has a report written soon.
func (d *Daemon) queueReport(one report) {
	select {
	case d.reports <- one:
	default:
		metrics.GetOrRegisterCounter("reports_dropped", d.registry).Inc(1)
	}
}

// runReports writes reports until ctx ends.
func (d *Daemon) runReports(ctx context.Context) {
	waiting := map[string]report{}
	take := func(one report) {
		waiting[one.key] = one
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			d.sweepEnds()
			d.sweepLimits()
			continue
		case one := <-d.reports:
			take(one)
		}
		for pause := reportBatchTime; len(waiting) > 0 && ctx.Err() == nil; pause = reportRetryPause {
			d.collectReports(ctx, pause, take)
			d.writeReports(ctx, waiting)
		}
	}
}

// collectReports takes further reports for a while, no more than the queue holds.
func (d *Daemon) collectReports(ctx context.Context, pause time.Duration, take func(report)) {
	end := time.After(pause)
	for range reportQueue {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case one := <-d.reports:
			take(one)
		}
	}
}

// writeReports writes reports, as many as a transaction holds at once, and takes those away
// that the store has.
func (d *Daemon) writeReports(ctx context.Context, waiting map[string]report) {
	for len(waiting) > 0 {
		var transaction rowstore.Transaction
		var keys []string
		for key, one := range waiting {
			row := rowstore.Row{
				Table: reportTable,
				Key:   key,
				Value: one.value,
			}
			if one.value == nil {
				transaction.Removes = append(transaction.Removes, row)
			} else {
				transaction.Writes = append(transaction.Writes, row)
			}
			if keys = append(keys, key); len(keys) == platform.MaxEntries {
				break
			}
		}
		if !d.commitReports(ctx, transaction) {
			return
		}
		for _, key := range keys {
			d.recent.add(waiting[key])
			delete(waiting, key)
		}
	}
}

// commitReports makes one transaction and tells whether the store has taken it.
func (d *Daemon) commitReports(ctx context.Context, transaction rowstore.Transaction) bool {
	ctx, cancel := context.WithTimeout(ctx, reportCallTime)
	defer cancel()
	_, err := d.store.Commit(ctx, transaction)
	if err != nil {
		d.recordStoreError(reportTable)(err)
		return false
	}
	d.log.Info("servers: reports written",
		zap.Int("written", len(transaction.Writes)),
		zap.Int("removed", len(transaction.Removes)))
	return true
}
