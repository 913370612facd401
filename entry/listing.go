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
	// listAgain is the time between two tries to list itself, listLater that after one
	// which the store has taken: the list comes back through relays.
	listAgain = time.Second
	listLater = 5 * time.Second
)

// askSeeds has the chain ask the seeds until the list of the daemons is known. A daemon
// that is a seed itself reads the store.
func (d *Daemon) askSeeds() {
	for _, address := range d.settings.Seeds {
		if address == d.relays.Address() {
			d.roster.seeds = nil
			return
		}
		d.roster.seeds = append(d.roster.seeds, d.newRelayClient(address, address))
	}
	if len(d.roster.seeds) == 0 {
		return
	}
	rand.Shuffle(len(d.roster.seeds), func(i, k int) {
		d.roster.seeds[i], d.roster.seeds[k] = d.roster.seeds[k], d.roster.seeds[i]
	})
	readers := make([]rowstore.Reader, len(d.roster.seeds))
	for i, seed := range d.roster.seeds {
		readers[i] = seed
	}
	d.chain.SetRelays([]rowstore.Relay{
		{
			Name:   "seeds",
			Reader: rowstore.NewSeeds(readers...),
		},
	})
}

// listSelf writes this daemon into the list, until it is there.
func (d *Daemon) listSelf(ctx context.Context) {
	for ctx.Err() == nil && !d.isListed() {
		pause := listAgain
		if d.writeSelf(ctx) {
			pause = listLater
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
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	for _, lister := range d.listers() {
		if lister.Enlist(ctx, encoded) == nil {
			return true
		}
	}
	if err = d.enlist(ctx, d.settings.Name, encoded); err != nil {
		d.noteTrouble(neighbours.Table)(err)
	}
	return err == nil
}

// listersAsked is how many daemons are asked to list this one before it asks the store.
const listersAsked = 2

// listers returns the daemons that list this one together with others.
func (d *Daemon) listers() []*relay.Client {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	if d.roster.list.Len() == 0 {
		return d.roster.seeds
	}
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
