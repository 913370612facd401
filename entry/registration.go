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

const (
	// registerRetryInterval is the time between two attempts to register, registerCheckInterval
	// the time between two checks of the list after the store has accepted one: the new row
	// comes back through relays.
	registerRetryInterval = time.Second
	registerCheckInterval = 5 * time.Second
)

// firstStartJitter spreads the first reads of the daemon list, and with them the registrations,
// at the first start of the whole system. Later daemons find others in the list, read tables
// through them and are registered by them. No client has to be served for several seconds yet.
const firstStartJitter = 800 * time.Millisecond

// withFirstStartJitter delays a task randomly at the first start of the whole system.
func (d *Daemon) withFirstStartJitter(task func(context.Context)) func(context.Context) {
	if !d.settings.IsFirstStart {
		return task
	}
	return func(ctx context.Context) {
		select {
		case <-time.After(rand.N(firstStartJitter)):
			task(ctx)
		case <-ctx.Done():
		}
	}
}

// maintainRegistration registers this daemon whenever the list lacks it: at its start, and
// after the store was restored from a copy without it.
func (d *Daemon) maintainRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		pause := registerCheckInterval
		if !d.isRegistered() && !d.register(ctx) {
			pause = registerRetryInterval
		}
		if d.isLeader.Load() {
			d.publishRelays(ctx)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// register writes this daemon's entry to the list and returns whether the store has accepted
// it.
func (d *Daemon) register(ctx context.Context) bool {
	encoded, err := d.selfEntry().Encode()
	if err != nil {
		d.log.Error("daemons: own entry not encoded", logline.ErrorField(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for _, registrar := range d.registrars() {
		if registrar.Register(ctx, encoded) == nil {
			return true
		}
	}
	if err = d.registerDaemon(ctx, d.settings.Name, encoded); err != nil {
		d.recordStoreError(neighbours.Table)(err)
	}
	return err == nil
}

// maxRegistrars is how many daemons are tried as registrars before this daemon writes to the
// store.
const maxRegistrars = 2

// registrars returns clients of daemons that batch this daemon's registration with others.
func (d *Daemon) registrars() []*relay.Client {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	var clients []*relay.Client
	for _, daemon := range d.directory.list.RelaysFor(d.settings.Name, d.settings.Zone) {
		clients = append(clients, d.directory.relayClients[daemon.Address])
	}
	return clients[:min(maxRegistrars, len(clients))]
}

// registerDaemon writes the entry of a daemon, batched with others.
func (d *Daemon) registerDaemon(ctx context.Context, name string, entry []byte) error {
	if _, err := neighbours.Decode(name, entry); err != nil {
		return err
	}
	return d.rowWriter.Write(ctx, rowstore.Row{
		Table: neighbours.Table,
		Key:   name,
		Value: entry,
	})
}
