package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/confirmation"
	"headcourse/io/gateway"
)

// View returns the current view.
func (d *Daemon) View() gateway.View {
	return *d.view.Load()
}

// Confirmation returns the evidence for the age of the configuration. The configuration is stored before it is
// confirmed, so views that are loaded later are at least as recent.
func (d *Daemon) Confirmation() gateway.Confirmation {
	return gateway.Confirmation{
		AsOf:   d.configFreshness.ViewAsOf(),
		Source: *d.configSource.Load(),
	}
}

// recordConfirmation records who confirmed the configuration, and logs it if its age had exceeded the bound within
// which changes must be in force.
func (d *Daemon) recordConfirmation(source string, asOf time.Time) {
	former := *d.configSource.Swap(&source)
	age, isKnown := d.configFreshness.ViewAge()
	if !isKnown || age <= d.settings.ApplyBound {
		return
	}
	metrics.GetOrRegisterCounter("configuration_confirmed_late", d.registry).Inc(1)
	d.log.Warn("configuration: confirmed late",
		zap.Int64("former_age_ms", age.Milliseconds()),
		zap.String("former_source", former),
		zap.Int64("age_ms", d.configFreshness.Since(asOf).Milliseconds()),
		zap.String("source", source))
}

// MaxViewAge returns the maximum age of the view of the configuration, or 0 before the
// configuration is read.
func (d *Daemon) MaxViewAge() time.Duration {
	age, _ := d.configFreshness.ViewAge()
	return age
}

// AwaitConfirmation asks for a confirmation of the configuration and waits until unknown routes and keys may be refused by
// it, for at most limit. It returns whether they may, and at once while nothing confirms the configuration.
func (d *Daemon) AwaitConfirmation(limit time.Duration) bool {
	return d.refresher.Await(limit)
}

// ConfirmationPolicy determines how old the configuration may be for each decision.
func (d *Daemon) ConfirmationPolicy() confirmation.Policy {
	return confirmation.Policy{
		ApplyBound:         d.settings.ApplyBound,
		RevocationBound:    d.settings.RevocationBound,
		IsRevocationStrict: d.settings.IsRevocationStrict,
	}
}

// isWithinRevocationBound reports whether the configuration lacks every key that was withdrawn longer ago than the
// bound. It is also correct after the daemon was suspended or cut off from the store.
func (d *Daemon) isWithinRevocationBound() bool {
	age, isKnown := d.configFreshness.ViewAge()
	return isKnown && d.ConfirmationPolicy().IsWithinRevocationBound(age)
}

// acceptsKeys reports whether keys of the configuration are accepted.
func (d *Daemon) acceptsKeys() bool {
	age, isKnown := d.configFreshness.ViewAge()
	return isKnown && d.ConfirmationPolicy().MayAcceptKeys(age)
}

// isReady reports whether the load balancer should send clients here: the configuration, the
// servers and the reports about them are loaded, and the view is recent enough for withdrawn keys. A daemon that is cut
// off from the store keeps serving its existing connections while keys may be accepted, but
// others serve new ones better. If all daemons are cut off, the load balancer uses all of them.
func (d *Daemon) isReady() bool {
	isReady := d.hasView() && d.hasReports() && d.isWithinRevocationBound()
	if d.wasReady.Swap(isReady) != isReady {
		d.log.Info("daemon: readiness changed", zap.Bool("is_ready", isReady), zap.Int64("config_age_ms", d.MaxViewAge().Milliseconds()), zap.Bool("accepts_keys", d.acceptsKeys()))
	}
	return isReady
}

// hasView reports whether the configuration and the servers are loaded.
func (d *Daemon) hasView() bool {
	return d.view.Load().Config != nil && d.serversLoaded.Load()
}

// maxReportWait is how long a daemon with a loaded view waits for the reports about servers, so
// that a store which fails only for this table does not keep the daemon from serving. A daemon
// counts as in contact 3 s after its start, and has usually read the reports by then.
const maxReportWait = 1500 * time.Millisecond

// hasReports reports whether the reports about servers are loaded, or the wait for them is
// over.
func (d *Daemon) hasReports() bool {
	return d.reportsLoaded.Load() || d.viewLoaded.since() > maxReportWait
}

// ViewReady is closed when the daemon is ready for the first time.
func (d *Daemon) ViewReady() <-chan struct{} {
	return d.initialised.done
}

// ViewUnreadable is closed when a call for the configuration or the servers, or for the first
// read of the daemon list or the reports, has failed.
func (d *Daemon) ViewUnreadable() <-chan struct{} {
	return d.readFailed.done
}

// SinceViewReady returns the time since ViewReady was closed, or 0 before.
func (d *Daemon) SinceViewReady() time.Duration {
	return d.initialised.since()
}

// updateInitialised sets initialised once the daemon is ready. If the configuration is read
// last, its keys are current shortly afterwards, since the follower confirms what it has just
// read.
func (d *Daemon) updateInitialised() {
	if d.hasView() && !d.viewLoaded.isSet() {
		d.viewLoaded.set()
		time.AfterFunc(maxReportWait+time.Millisecond, d.updateInitialised)
	}
	if d.isReady() {
		d.initialised.set()
	}
}

// updateView replaces the view by an edited copy.
func (d *Daemon) updateView(edit func(view *gateway.View)) {
	d.viewMutex.Lock()
	next := *d.view.Load()
	edit(&next)
	d.view.Store(&next)
	d.viewMutex.Unlock()
	select {
	case d.viewChanged <- struct{}{}:
	default:
	}
}
