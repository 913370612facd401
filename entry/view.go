package entry

import (
	"time"

	"go.uber.org/zap"

	"headcourse/core/revocation"
	"headcourse/io/gateway"
)

// View returns what the daemon knows now.
func (d *Daemon) View() gateway.View {
	return *d.view.Load()
}

// Age returns how old the view of the configuration may be.
func (d *Daemon) Age() time.Duration {
	age, _ := d.fresh.Age()
	return age
}

// MayAcceptKeys tells whether keys of the view may be accepted, also where the daemon
// was frozen or cut off.
func (d *Daemon) MayAcceptKeys() bool {
	age, isKnown := d.fresh.Age()
	return isKnown && d.revocation().MayAccept(age)
}

// IsCurrent tells whether the view shows all that has been in force for longer than
// the bound, so that what it does not hold may be denied.
func (d *Daemon) IsCurrent() bool {
	age, isKnown := d.fresh.Age()
	return isKnown && d.revocation().IsCurrent(age)
}

// revocation returns how old the view may be.
func (d *Daemon) revocation() revocation.Policy {
	return revocation.Policy{
		IsStrict: d.settings.IsRevocationStrict,
		Within:   d.settings.RevokeWithin,
	}
}

// isReady tells whether clients should be sent here: configuration, servers and what
// daemons report of them were read, and the view is current. A daemon that is cut off serves
// on those that have a connection to it, where keys may still be accepted, but others serve
// new ones better; where the store is away for all of them, the balancer uses all of them.
func (d *Daemon) isReady() bool {
	isReady := d.hasView() && d.hasReports() && d.IsCurrent()
	if d.wasReady.Swap(isReady) != isReady {
		d.log.Info("daemon: readiness changed", zap.Bool("is_ready", isReady), zap.Int64("config_age_ms", d.Age().Milliseconds()), zap.Bool("accepts_keys", d.MayAcceptKeys()))
	}
	return isReady
}

// hasView tells whether configuration and servers were read.
func (d *Daemon) hasView() bool {
	return d.view.Load().Config != nil && d.serversRead.Load()
}

// reportPatience is how long a daemon that has its view waits for what daemons report of servers:
// a store that answers about all but this table must not keep it from serving. It counts as
// in touch 3 s after its start, and mostly has read it by then.
const reportPatience = 1500 * time.Millisecond

// hasReports tells whether what daemons report of servers was read, or was waited for in vain.
func (d *Daemon) hasReports() bool {
	return d.reportsRead.Load() || d.viewRead.since() > reportPatience
}

// Known is closed when configuration and servers were read for the first time.
func (d *Daemon) Known() <-chan struct{} {
	return d.known.isSet
}

// Unreadable is closed when configuration or servers could not be read.
func (d *Daemon) Unreadable() <-chan struct{} {
	return d.unreadable.isSet
}

// KnownFor returns how long ago that was; 0 before.
func (d *Daemon) KnownFor() time.Duration {
	return d.known.since()
}

// updateKnown sets known if it is time. Where the configuration was read last, keys are
// fresh soon after: the follower confirms what it has just read.
func (d *Daemon) updateKnown() {
	if d.hasView() && !d.viewRead.has() {
		d.viewRead.set()
		time.AfterFunc(reportPatience+time.Millisecond, d.updateKnown)
	}
	if d.isReady() {
		d.known.set()
	}
}

// change replaces the view by what edit makes of it.
func (d *Daemon) change(edit func(view *gateway.View)) {
	d.mutex.Lock()
	next := *d.view.Load()
	edit(&next)
	d.view.Store(&next)
	d.mutex.Unlock()
	select {
	case d.changed <- struct{}{}:
	default:
	}
}
