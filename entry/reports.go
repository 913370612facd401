package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/rowstore"
	"headcourse/platform"
)

const (
	// reportQueueCapacity bounds the reports that wait to be written. It holds all requests
	// that fail at once when a server of the largest size crashes.
	reportQueueCapacity = 1024
	// reportBatchDelay is how long the first report waits for others. All requests in flight at
	// a crashed server fail at the same moment.
	reportBatchDelay = 30 * time.Millisecond
	// reportRetryInterval is the time between two attempts. Other daemons must get a report
	// within the time in which a daemon counts as in contact, which is 3 s or more.
	reportRetryInterval = 500 * time.Millisecond
	// sweepInterval is the time between two removals of old reports.
	sweepInterval = time.Minute
)

// report is a row of reportTable to be written without a condition, or to be removed if it has
// no value.
type report struct {
	key   string
	value []byte
}

// enqueueReport enqueues a report to be written. It drops the report if the queue is full.
func (d *Daemon) enqueueReport(queued report) {
	select {
	case d.pendingReports <- queued:
	default:
		metrics.GetOrRegisterCounter("reports_dropped", d.registry).Inc(1)
	}
}

// runReportWriter writes reports until ctx ends.
func (d *Daemon) runReportWriter(ctx context.Context) {
	pending := map[string]report{}
	add := func(queued report) {
		pending[queued.key] = queued
	}
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			d.expireCrashes()
			d.removeStaleLimits()
			continue
		case queued := <-d.pendingReports:
			add(queued)
		}
		for pause := reportBatchDelay; len(pending) > 0 && ctx.Err() == nil; pause = reportRetryInterval {
			d.collectReports(ctx, pause, add)
			d.writeReports(ctx, pending)
		}
	}
}

// collectReports collects further reports for a delay, at most as many as the queue holds.
func (d *Daemon) collectReports(ctx context.Context, delay time.Duration, add func(report)) {
	timeout := time.After(delay)
	for range reportQueueCapacity {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case queued := <-d.pendingReports:
			add(queued)
		}
	}
}

// writeReports writes reports in transactions of at most platform.MaxTransactionEntries rows,
// and removes those that the store has committed from pending.
func (d *Daemon) writeReports(ctx context.Context, pending map[string]report) {
	for len(pending) > 0 {
		var transaction rowstore.Transaction
		var keys []string
		for key, pendingReport := range pending {
			row := rowstore.Row{
				Table: reportTable,
				Key:   key,
				Value: pendingReport.value,
			}
			if pendingReport.value == nil {
				transaction.Deletes = append(transaction.Deletes, row)
			} else {
				transaction.Writes = append(transaction.Writes, row)
			}
			if keys = append(keys, key); len(keys) == platform.MaxTransactionEntries {
				break
			}
		}
		if !d.commitReports(ctx, transaction) {
			return
		}
		for _, key := range keys {
			d.recentReports.add(pending[key])
			delete(pending, key)
		}
	}
}

// commitReports commits one transaction and returns whether the store has accepted it.
func (d *Daemon) commitReports(ctx context.Context, transaction rowstore.Transaction) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err := d.store.Commit(ctx, transaction)
	if err != nil {
		d.recordStoreError(reportTable)(err)
		return false
	}
	d.log.Info("servers: reports written",
		zap.Int("written", len(transaction.Writes)),
		zap.Int("removed", len(transaction.Deletes)))
	return true
}
