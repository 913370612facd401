package entry

import (
	"time"

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

// KeysFresh tells whether the view is young enough to accept keys by: a key
// that was withdrawn must be dead within the bound, also where the daemon was
// frozen or cut off.
func (d *Daemon) KeysFresh() bool {
	age, isKnown := d.fresh.Age()
	return isKnown && age < d.settings.RevokeWithin-revokeMargin
}

// isReady tells whether clients should be sent here: configuration and servers were
// read, and keys may be accepted.
func (d *Daemon) isReady() bool {
	return d.view.Load().Config != nil && d.serversRead.Load() && d.KeysFresh()
}

// Known is closed when configuration and servers were read for the first time.
func (d *Daemon) Known() <-chan struct{} {
	return d.known.isSet
}

// KnownFor returns how long ago that was; 0 before.
func (d *Daemon) KnownFor() time.Duration {
	return d.known.since()
}

// noteKnown sets known if it is time. Where the configuration was read last, keys are
// fresh soon after: the follower confirms what it has just read.
func (d *Daemon) noteKnown() {
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
