package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"headcourse/core/neighbours"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
	"headcourse/io/relay"
)

// Figures of listing.
const (
	// listAgain is the time between two tries to list itself, listLater that between two
	// looks at the list after one which the store has taken: it comes back through relays.
	listAgain = time.Second
	listLater = 5 * time.Second
)

// startSpread is the time over which daemons come to the list when the whole system
// starts for the first time. Those that come later find others listed, follow the tables
// through these and are listed by them; nobody is to be served for seconds yet.
const startSpread = 800 * time.Millisecond

// inTurn runs a task, at the first start of the whole system after a while.
func (d *Daemon) inTurn(task func(context.Context)) func(context.Context) {
	if !d.settings.IsFirstStart {
		return task
	}
	return func(ctx context.Context) {
		select {
		case <-time.After(rand.N(startSpread)):
			task(ctx)
		case <-ctx.Done():
		}
	}
}

// listSelf writes this daemon into the list whenever it is not there: at its start, or when
// the store was restored from a copy that lacks it.
func (d *Daemon) listSelf(ctx context.Context) {
	for ctx.Err() == nil {
		pause := listLater
		if !d.isListed() && !d.writeSelf(ctx) {
			pause = listAgain
		}
		if d.isLeading.Load() {
			d.publishRelays(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// writeSelf has this daemon listed, and tells whether the store has taken it.
func (d *Daemon) writeSelf(ctx context.Context) bool {
	encoded, err := d.self().Encode()
	if err != nil {
		d.log.Error("daemons: self not listed", logline.Err(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportCallTime)
	defer cancel()
	for _, lister := range d.listers() {
		if lister.Enlist(ctx, encoded) == nil {
			return true
		}
	}
	if err = d.enlist(ctx, d.settings.Name, encoded); err != nil {
		d.recordStoreError(neighbours.Table)(err)
	}
	return err == nil
}

// listersAsked is how many daemons are asked to list this one before it asks the store.
const listersAsked = 2

// listers returns the daemons that list this one together with others.
func (d *Daemon) listers() []*relay.Client {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	var listers []*relay.Client
	for _, one := range d.roster.list.For(d.settings.Name, d.settings.Zone) {
		listers = append(listers, d.roster.clients[one.Address])
	}
	return listers[:min(listersAsked, len(listers))]
}

// enlist writes the row of a daemon, together with others.
func (d *Daemon) enlist(ctx context.Context, name string, entry []byte) error {
	if _, err := neighbours.Decode(name, entry); err != nil {
		return err
	}
	return d.rows.Write(ctx, rowstore.Row{
		Table: neighbours.Table,
		Key:   name,
		Value: entry,
	})
}
