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

const (
	// refreshAgeFraction is the age of the configuration from which on it is refreshed out of turn, as a fraction of the
	// time within which configurations must apply. In normal operation no copy gets as old.
	refreshAgeFraction = 0.8
	// refreshedAgeFraction is the age up to which a refreshed configuration counts as fresh, as a fraction of the age up
	// to which unknown routes and keys may be refused by it.
	refreshedAgeFraction = 0.8
)

// initRefresher creates the refresher of the configuration.
func (d *Daemon) initRefresher() {
	target := fraction(max(0, d.ConfirmationPolicy().MaxRefusalAge()), refreshedAgeFraction)
	follower := d.configFollower()
	d.refresher = rowstore.NewRefresher(follower, d.tableReader.Race(target), &d.configFreshness)
	d.refresher.MaxAge = fraction(d.settings.ApplyBound, refreshAgeFraction)
	d.refresher.TargetAge = target
	d.refresher.MaxPause = d.maxRefreshPause
	recordFailure := follower.OnFailure
	follower.OnFailure = func(err error) {
		recordFailure(err)
		d.refresher.Request()
	}
	d.runConfigFollower = follower.Run
}

// refreshPausePerDaemon keeps the calls of all daemons to the relays few while none has a copy.
const refreshPausePerDaemon = 10 * time.Millisecond

// maxRefreshPause returns the longest pause between two attempts to refresh the configuration.
func (d *Daemon) maxRefreshPause() time.Duration {
	const longest = 1600 * time.Millisecond
	return min(longest, max(rowstore.DefaultRefreshPause, time.Duration(d.DaemonCount())*refreshPausePerDaemon))
}

// configFollower watches the operator's configuration.
func (d *Daemon) configFollower() *rowstore.Follower {
	apply := func(isSnapshot bool) func([]rowstore.Row, rowstore.Revision, time.Time) {
		return func(rows []rowstore.Row, at rowstore.Revision, asOf time.Time) {
			for _, row := range rows {
				if platform.IsConfigKey(row.Key) && !row.Deleted {
					d.applyConfig(row)
				}
			}
			// This precedes the confirmation of the view: the evacuation deadline counts from
			// the view's previous age.
			d.applyEvacuations(rows, isSnapshot)
			d.configEra.Store(at.Era)
			d.configFreshness.ConfirmView(asOf)
			d.updateInitialised()
		}
	}
	return &rowstore.Follower{
		Reader:        d.tableReader,
		TableCache:    &d.tableCache,
		Table:         platform.ConfigTable,
		FeedWait:      fraction(d.settings.ApplyBound, configFeedWaitFraction),
		OnSnapshot:    apply(true),
		OnChanges:     apply(false),
		MergeSnapshot: d.mergeNewestConfig,
		RetainRows:    d.retainEvacuations,
		RewriteWait:   d.rewriteWindow,
		OnConfirmed:   d.recordConfirmation,
		OnFailure:     d.recordOutageStart(platform.ConfigTable),
		OnRecovery:    d.recordOutageEnd(platform.ConfigTable),
		OnEraChange:   d.recordEraChange(platform.ConfigTable),
		OnRejected:    d.recordDroppedAnswer(platform.ConfigTable),
		Clock:         &d.storeClock,
	}
}

// applyConfig replaces the current configuration by a newer one. An invalid configuration
// leaves the last valid one in force.
func (d *Daemon) applyConfig(row rowstore.Row) {
	next, err := platform.DecodeConfig(row.Value)
	if err != nil {
		d.log.Error("configuration: not taken, the last valid one stays in force", zap.Int64("row_version", row.Version), logline.ErrorField(err))
		return
	}
	former := d.view.Load().Config
	if former != nil && next.Version <= former.Version {
		return
	}
	d.configRow.Store(&row)
	d.updateView(func(view *gateway.View) {
		view.Config = next
		if former == nil {
			d.applyColdLimits(view)
		}
	})
	d.log.Info("configuration: taken",
		zap.Int64("config_version", next.Version),
		zap.Int64("former_version", configVersion(former)),
		zap.Int("routes", len(next.Routes)),
		zap.Int("keys_withdrawn", countRevokedKeys(former, next)))
}

// configVersion returns a configuration's version, or 0 without one.
func configVersion(current *config.Config) int64 {
	if current == nil {
		return 0
	}
	return current.Version
}

// countRevokedKeys returns how many keys of the former configuration are no longer valid.
func countRevokedKeys(former, next *config.Config) int {
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

// serverFollower watches the servers' entries.
func (d *Daemon) serverFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Reader:             d.tableReader,
		TableCache:         &d.tableCache,
		Table:              platform.ServerTable,
		FeedWait:           serverFeedWait,
		PauseAfterChanges:  d.coalesceDelay,
		OnSnapshot:         d.applyServerSnapshot,
		OnRestoredSnapshot: d.applyRestoredServers,
		RewriteWait:        d.rewriteWindow,
		OnChanges:          d.applyServerChanges,
		OnFailure:          d.recordOutageStart(platform.ServerTable),
		OnRecovery:         d.recordOutageEnd(platform.ServerTable),
		OnEraChange:        d.recordEraChange(platform.ServerTable),
		OnRejected:         d.recordDroppedAnswer(platform.ServerTable),
		Clock:              &d.storeClock,
	}
}

// coalesceDelay returns how long changes of servers are collected before they are applied.
func (d *Daemon) coalesceDelay() time.Duration {
	isIdle := d.isIdle()
	switch {
	case d.isLeader.Load() && isIdle:
		return relayCoalesceDelay
	case d.isLeader.Load() || !d.isRelay():
		return serverCoalesceDelay
	case isIdle:
		return idleCoalesceDelay
	default:
		return relayCoalesceDelay
	}
}

// applyServerSnapshot replaces the view of the servers.
func (d *Daemon) applyServerSnapshot(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	d.replaceServers(rows, at, false)
}

// applyRestoredServers replaces the view of the servers by a restored table. Newer known
// entries stay until the servers have written them again.
func (d *Daemon) applyRestoredServers(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	d.replaceServers(rows, at, true)
}

// replaceServers replaces the view of the servers by the decoded rows.
func (d *Daemon) replaceServers(rows []rowstore.Row, at rowstore.Revision, isRestored bool) {
	servers := make([]fleet.Server, 0, len(rows))
	var invalidIDs []string
	for _, row := range rows {
		if server, ok := d.decodeServer(row); ok {
			servers = append(servers, server)
		} else {
			invalidIDs = append(invalidIDs, row.Key)
		}
	}
	former := d.view.Load().Fleet
	if isRestored {
		servers = former.ReconciledWithRestored(servers)
	}
	// The era is stored before the view, so that a leader of a former era does not act on this
	// view.
	d.serversEra.Store(at.Era)
	for _, server := range servers {
		d.recordRestart(former, server)
	}
	d.updateView(func(view *gateway.View) {
		for _, server := range servers {
			previous, wasPresent := former.Server(server.ID)
			if !wasPresent || previous.StartedAtMs != server.StartedAtMs || previous.ColdFor != server.ColdFor {
				d.applyColdLimit(view.Config, server)
			}
		}
		view.Fleet = view.Fleet.WithSnapshot(at.Version, servers, d.storeOutage.Load().GraceUntil(d.removalGrace()), invalidIDs...)
	})
	d.serversLoaded.Store(true)
	d.updateInitialised()
	d.log.Info("servers: read",
		zap.Int("servers", len(servers)),
		zap.Int64("era", at.Era),
		zap.Int64("table_version", at.Version),
		zap.Bool("is_restored", isRestored))
}

// applyServerChanges applies changed entries.
func (d *Daemon) applyServerChanges(rows []rowstore.Row, at rowstore.Revision, _ time.Time) {
	if len(rows) == 0 {
		return
	}
	changes := make([]fleet.Change, 0, len(rows))
	for _, row := range rows {
		if row.Deleted {
			changes = append(changes, fleet.Change{
				ID:        row.Key,
				IsRemoved: true,
			})
			continue
		}
		server, ok := d.decodeServer(row)
		changes = append(changes, fleet.Change{
			ID:        row.Key,
			Server:    server,
			IsRemoved: !ok,
			IsInvalid: !ok,
		})
	}
	former := d.view.Load().Fleet
	for _, change := range changes {
		d.recordRestart(former, change.Server)
	}
	d.updateView(func(view *gateway.View) {
		for _, change := range changes {
			d.applyColdLimit(view.Config, change.Server)
		}
		view.Fleet = view.Fleet.WithChanges(at.Version, changes, d.storeOutage.Load().GraceUntil(d.removalGrace()))
	})
	if d.readsStoreDirectly() {
		d.logServerChanges(former, changes)
	}
}

// recordRestart records that a server started again under its ID. The latencies, failures and
// ejections that the gateway has recorded belong to the former start.
func (d *Daemon) recordRestart(former fleet.View, server fleet.Server) {
	previous, wasKnown := former.ServerOrRemoved(server.ID)
	if !wasKnown || previous.StartedAtMs == server.StartedAtMs {
		return
	}
	d.gateway.RecordRestart(previous, server)
	if d.readsStoreDirectly() {
		d.log.Info("servers: started again",
			zap.String("server", server.ID),
			zap.Int64("born", server.StartedAtMs),
			zap.Int64("former_born", previous.StartedAtMs),
			zap.String("former_group", previous.Membership.Group))
	}
}

// removalGrace returns how long servers whose entry is removed may still get requests.
func (d *Daemon) removalGrace() fleet.Grace {
	return fleet.Grace{
		DrainBound:        d.settings.DrainBound,
		HeartbeatInterval: d.settings.HeartbeatInterval,
	}
}

// rewriteWindow returns how long after a restore of the store its rows may still come from the
// older copy.
func (d *Daemon) rewriteWindow() time.Duration {
	return d.removalGrace().RewriteTime()
}

// decodeServer decodes an entry. An invalid entry names no server.
func (d *Daemon) decodeServer(row rowstore.Row) (fleet.Server, bool) {
	server, err := platform.DecodeServer(row.Key, row.Value)
	if err != nil {
		d.recordRejectedRow(platform.ServerTable, row, err)
		return fleet.Server{}, false
	}
	return server, true
}

// readsStoreDirectly reports whether this daemon watches the store itself, as the leader and
// the first relay do. Only these log changes that all daemons see. The log line of a request
// has the version of the servers' table that its daemon used.
func (d *Daemon) readsStoreDirectly() bool {
	return d.isLeader.Load() || d.isFirstRelay()
}

// logServerChanges logs each server that was added or removed, that started to drain or staged
// other weights, or whose membership as the head of a group changed.
func (d *Daemon) logServerChanges(former fleet.View, changes []fleet.Change) {
	for _, change := range changes {
		previous, wasPresent := former.Server(change.ID)
		membership := change.Server.Membership
		switch {
		case change.IsRemoved && wasPresent:
			d.log.Info("servers: gone", zap.String("server", change.ID), zap.String("group", previous.Membership.Group), zap.Bool("was_leaving", previous.Draining))
		case change.IsRemoved:
		case !wasPresent:
			d.log.Info("servers: added", zap.String("server", change.ID), zap.String("service", change.Server.Service), zap.String("address", change.Server.Address))
		case change.Server.Draining && !previous.Draining:
			d.log.Info("servers: draining", zap.String("server", change.ID), zap.String("group", membership.Group))
		case !slices.Equal(change.Server.Staged, previous.Staged):
			d.log.Info("servers: weights staged", zap.String("server", change.ID), zap.Strings("staged", change.Server.Staged), zap.Strings("loaded", change.Server.Models))
		case membership.Rank == 0 && membership != previous.Membership:
			d.log.Info("servers: head changed", zap.String("server", change.ID), zap.String("group", membership.Group), zap.Int64("epoch", membership.Epoch), zap.String("state", membership.State.String()))
		}
	}
}
