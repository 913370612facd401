package entry

import (
	"time"

	"go.uber.org/zap"

	"headcourse/core/neighbours"
	"headcourse/core/retry"
)

// inFlightFraction reduces the limits of retries. Servers count a retry when it arrives and a
// request when its client sends it, daemons a little earlier and later, so a window of the servers
// may hold the retries of a slightly longer one.
const inFlightFraction = 0.92

// retryOrderKey is the key of the order in which daemons have parts of the retry budget.
const retryOrderKey = "retries"

// initRetryBudgets sets up the retry budgets, without a burst until the daemon list is known.
func (d *Daemon) initRetryBudgets() {
	d.retryPart.Store(&retry.Part{
		Total: retry.Limits{
			Share:  inFlightFraction * d.settings.RetryRatio,
			Burst:  inFlightFraction * d.settings.RetryBurst,
			Window: d.settings.RetryWindow,
		},
	})
	d.retryBudgets.Limits = d.retryLimits
	d.retryBudgets.Clock = d.bootClock
	d.retryBudgets.StartedAt = d.bootClock.Now()
}

// retryLimits returns this daemon's current part of the limits of retries.
func (d *Daemon) retryLimits() retry.Limits {
	return d.retryPart.Load().Limits(d.bootClock.Now())
}

// updateRetryPart updates this daemon's part of the retry budget from the list, which is valid as
// of a time. The caller holds the directory's mutex.
func (d *Daemon) updateRetryPart(asOf time.Time) {
	directory := &d.directory
	previous := d.retryPart.Load()
	if len(directory.known) > previous.Daemons() {
		directory.retryPosition = directory.positionAmongKnown(d.settings.Name)
	}
	position := -1
	if directory.known[d.settings.Name] {
		position = directory.retryPosition
	}
	part := previous.WithList(len(directory.known), position, asOf, d.bootClock.Now())
	d.retryPart.Store(&part)
	if part.Daemons() > previous.Daemons() {
		d.logRetryLimits(part, asOf)
	}
}

// logRetryLimits logs this daemon's part of the retry budget. The list is valid as of a time.
func (d *Daemon) logRetryLimits(part retry.Part, asOf time.Time) {
	mayWrite, suppressed := d.retryLimitsThrottle.Allow("")
	if !mayWrite {
		return
	}
	limits := part.Limits(d.bootClock.Now())
	d.log.Info("retries: limits set",
		zap.Int("daemons", part.Daemons()),
		zap.Float64("share", limits.Share),
		zap.Float64("burst", limits.Burst),
		zap.Int64("list_age_ms", d.bootClock.Since(asOf).Milliseconds()),
		zap.Int64("age_ms", time.Since(d.startedAt).Milliseconds()),
		zap.Int("lines_left_out", suppressed))
}

// positionAmongKnown returns a daemon's position, from 0, among all daemons that the list has
// contained since this daemon started. The caller holds the mutex.
func (d *daemonDirectory) positionAmongKnown(name string) int {
	daemons := make([]neighbours.Daemon, 0, len(d.known))
	for known := range d.known {
		daemons = append(daemons, neighbours.Daemon{
			Name: known,
		})
	}
	position, _ := neighbours.NewList(daemons).PositionForKey(retryOrderKey, "", name)
	return position
}
