package entry

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"headcourse/core/config"
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
	"headcourse/io/gateway"
	"headcourse/io/logline"
	"headcourse/platform"
)

// configFollower follows the operator's configuration.
func (d *Daemon) configFollower() *rowstore.Follower {
	take := func(isWhole bool) func([]rowstore.Row, rowstore.Revision, time.Time) {
		return func(rows []rowstore.Row, at rowstore.Revision, asOf time.Time) {
			for _, row := range rows {
				if platform.IsConfig(row.Key) && !row.Deleted {
					d.takeConfig(row)
				}
			}
			// Before the view is confirmed: its age tells since when a zone may be evacuated.
			d.takeEvacuations(rows, isWhole)
			d.configEra.Store(at.Era)
			d.fresh.Confirm(asOf)
			d.updateKnown()
		}
	}
	return &rowstore.Follower{
		Store:   d.chain,
		Hub:     &d.hub,
		Table:   platform.ConfigTable,
		Wait:    part(d.settings.ApplyWithin, waitPart),
		Whole:   take(true),
		Changed: take(false),
		Merge: func(read rowstore.Result) rowstore.Result {
			return d.keepEvacuations(d.keepNewestConfig(read))
		},
		Rewrite:    d.rewriteTime,
		Failed:     d.recordOutage(platform.ConfigTable),
		Recovered:  d.recordReturn(platform.ConfigTable),
		EraChanged: d.recordEra(platform.ConfigTable),
		Dropped:    d.recordDropped(platform.ConfigTable),
		Clock:      &d.clock,
	}
}

// takeConfig puts a configuration in force unless a newer one is. One that
// cannot be read leaves the last good one in force.
func (d *Daemon) takeConfig(row rowstore.Row) {
	read, err := platform.DecodeConfig(row.Value)
	if err != nil {
		d.log.Error("configuration: not taken, the last good one stays in force", zap.Int64("row_version", row.Version), logline.Err(err))
		return
	}
	former := d.view.Load().Config
	if former != nil && read.Version <= former.Version {
		return
	}
	d.configRow.Store(&row)
	d.change(func(view *gateway.View) {
		view.Config = read
	})
	if former == nil {
		d.limitAllCold(read)
	}
	d.log.Info("configuration: taken",
		zap.Int64("config_version", read.Version),
		zap.Int64("former_version", versionOf(former)),
		zap.Int("routes", len(read.Routes)),
		zap.Int("keys_withdrawn", countWithdrawn(former, read)))
}

// versionOf returns a configuration's version; 0: none.
func versionOf(known *config.Config) int64 {
	if known == nil {
		return 0
	}
	return known.Version
}

// countWithdrawn returns how many keys of the former configuration are gone.
func countWithdrawn(former, next *config.Config) int {
	if former == nil {
		return 0
	}
	count := 0
	for _, organisation := range former.Organisations {
		for _, key := range organisation.Keys {
			if next.Organisation(key) == nil {
				count++
			}
		}
	}
	return count
}

// serverFollower follows the servers' entries.
func (d *Daemon) serverFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Store:      d.chain,
		Hub:        &d.hub,
		Table:      platform.ServerTable,
		Wait:       serverWait,
		Settle:     d.serverSettle,
		Whole:      d.takeServers,
		Restored:   d.takeRestoredServers,
		Rewrite:    d.rewriteTime,
		Changed:    d.takeServerChanges,
		Failed:     d.recordOutage(platform.ServerTable),
		Recovered:  d.recordReturn(platform.ServerTable),
		EraChanged: d.recordEra(platform.ServerTable),
		Dropped:    d.recordDropped(platform.ServerTable),
		Clock:      &d.clock,
	}
}

// serverSettle returns how long changes of servers may come together.
func (d *Daemon) serverSettle() time.Duration {
	isIdle := d.isIdle()
	switch {
	case d.isLeading.Load() && isIdle:
		return relaySettle
	case d.isLeading.Load() || !d.isRelay():
		return serverSettle
	case isIdle:
		return idleSettle
	default:
		return relaySettle
	}
}

// takeServers replaces the view of the servers.
func (d *Daemon) takeServers(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	d.replaceServers(rows, at, false)
}

// takeRestoredServers does so from a restored table: what is known to be later stays until
// the servers have written again.
func (d *Daemon) takeRestoredServers(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	d.replaceServers(rows, at, true)
}

// replaceServers replaces the view of the servers by rows.
func (d *Daemon) replaceServers(rows []rowstore.Row, at rowstore.Revision, isRestored bool) {
	servers := make([]fleet.Server, 0, len(rows))
	var void []string
	for _, row := range rows {
		if server, ok := d.decodeServer(row); ok {
			servers = append(servers, server)
		} else {
			void = append(void, row.Key)
		}
	}
	former := d.view.Load().Fleet
	if isRestored {
		servers = former.Reconciled(servers)
	}
	// Before the view: a leader of a former era must not act on this one.
	d.serversEra.Store(at.Era)
	known := d.view.Load().Config
	for _, server := range servers {
		d.recordStart(former, server)
		before, wasKnown := former.Server(server.ID)
		if !wasKnown || before.Born != server.Born || before.ColdFor != server.ColdFor {
			d.limitCold(known, server)
		}
	}
	d.change(func(view *gateway.View) {
		view.Fleet = view.Fleet.WithAll(at.Version, servers, d.outage.Load().LostUntil(d.grace()), void...)
	})
	d.serversRead.Store(true)
	d.updateKnown()
	d.log.Info("servers: read",
		zap.Int("servers", len(servers)),
		zap.Int64("era", at.Era),
		zap.Int64("table_version", at.Version),
		zap.Bool("is_restored", isRestored))
}

// takeServerChanges takes changed entries.
func (d *Daemon) takeServerChanges(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	if len(rows) == 0 {
		return
	}
	changes := make([]fleet.Change, 0, len(rows))
	for _, row := range rows {
		if row.Deleted {
			changes = append(changes, fleet.Change{
				ID:   row.Key,
				Gone: true,
			})
			continue
		}
		server, ok := d.decodeServer(row)
		changes = append(changes, fleet.Change{
			ID:     row.Key,
			Server: server,
			Gone:   !ok,
			IsVoid: !ok,
		})
	}
	former := d.view.Load().Fleet
	known := d.view.Load().Config
	for _, change := range changes {
		d.recordStart(former, change.Server)
		d.limitCold(known, change.Server)
	}
	d.change(func(view *gateway.View) {
		view.Fleet = view.Fleet.WithChanges(at.Version, changes, d.outage.Load().LostUntil(d.grace()))
	})
	if d.isFirstHand() {
		d.logChanges(former, changes)
	}
}

// recordStart records a server that started again under its ID: its paces, failures and
// silences were those of its former start.
func (d *Daemon) recordStart(former fleet.View, server fleet.Server) {
	before, wasKnown := former.Known(server.ID)
	if !wasKnown || before.Born == server.Born {
		return
	}
	d.gateway.Restarted(before, server)
	if d.isFirstHand() {
		d.log.Info("servers: started again",
			zap.String("server", server.ID),
			zap.Int64("born", server.Born),
			zap.Int64("former_born", before.Born),
			zap.String("former_group", before.Membership.Group))
	}
}

// grace returns how long servers whose entry goes may be sent requests.
func (d *Daemon) grace() fleet.Grace {
	return fleet.Grace{
		DrainWithin: d.settings.DrainWithin,
		Heartbeat:   d.settings.HeartbeatInterval,
	}
}

// rewriteTime returns how long after a restore of the store rows may still be those of the
// older copy.
func (d *Daemon) rewriteTime() time.Duration {
	return d.grace().Rewritten()
}

// decodeServer decodes an entry; one that cannot be read names no server.
func (d *Daemon) decodeServer(row rowstore.Row) (fleet.Server, bool) {
	server, err := platform.DecodeServer(row.Key, row.Value)
	if err != nil {
		d.recordBadRow(platform.ServerTable, row, err)
		return fleet.Server{}, false
	}
	return server, true
}

// isFirstHand tells whether this daemon follows the store itself: the leader, and the
// first relay. What all daemons see is written there only. A request's line has the version of
// the servers' table that its daemon went by.
func (d *Daemon) isFirstHand() bool {
	return d.isLeading.Load() || d.isFirstRelay()
}

// logChanges writes a line for each server that came, went, or changed in a way
// that decides about requests.
func (d *Daemon) logChanges(former fleet.View, changes []fleet.Change) {
	for _, change := range changes {
		before, wasThere := former.Server(change.ID)
		m := change.Server.Membership
		switch {
		case change.Gone && wasThere:
			d.log.Info("servers: gone", zap.String("server", change.ID), zap.String("group", before.Membership.Group), zap.Bool("was_leaving", before.Draining))
		case change.Gone:
		case !wasThere:
			d.log.Info("servers: up", zap.String("server", change.ID), zap.String("service", change.Server.Service), zap.String("address", change.Server.Address))
		case change.Server.Draining && !before.Draining:
			d.log.Info("servers: leaving", zap.String("server", change.ID), zap.String("group", m.Group))
		case !slices.Equal(change.Server.Staged, before.Staged):
			d.log.Info("servers: weights staged", zap.String("server", change.ID), zap.Strings("staged", change.Server.Staged), zap.Strings("loaded", change.Server.Models))
		case m.Rank == 0 && m != before.Membership:
			d.log.Info("servers: head changed", zap.String("server", change.ID), zap.String("group", m.Group), zap.Int64("epoch", m.Epoch), zap.String("state", m.State.String()))
		}
	}
}
