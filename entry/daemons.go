package entry

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"headcourse/core/neighbours"
	"headcourse/core/reach"
	"headcourse/core/rowstore"
	"headcourse/io/relay"
)

const (
	// listFeedWait is how long one call waits for changes of the list.
	listFeedWait = 5 * time.Second
	// listCoalesceDelay collects changes of the list. Hundreds of daemons that start at the
	// same time write a row each, and without the delay each daemon would process the list once
	// for each row.
	listCoalesceDelay = 250 * time.Millisecond
	// maxListWait is how long a starting daemon waits for the list before it reads the other
	// tables. Without the list it has no relays. A store that does not return the list returns
	// nothing else, so each daemon would try to read and watch all tables itself.
	maxListWait = 6 * time.Second
)

// selfEntry returns this daemon's entry in the list.
func (d *Daemon) selfEntry() neighbours.Daemon {
	return neighbours.Daemon{
		Name:          d.settings.Name,
		Zone:          d.settings.Zone,
		Capacity:      d.settings.RelativeCapacity,
		Address:       d.relayServer.Address(),
		TunnelAddress: d.tunnels.Address(),
	}
}

// daemonDirectory is the list of all daemons as this daemon last read it.
type daemonDirectory struct {
	mutex        sync.Mutex
	byName       map[string]neighbours.Daemon
	list         neighbours.List
	relayClients map[string]*relay.Client
	// fallbackClients are clients of the same daemons that do not send them this daemon's
	// demand.
	fallbackClients map[string]*relay.Client
	// publishedRelays is the value of the relays' row in the list, or nil without such a row.
	publishedRelays []byte
	// isSelfMissing is set if a restored list lacks this daemon.
	isSelfMissing bool
	// tunnelPeers are the other daemons that open tunnels to backend servers, daemonIPs the IP
	// addresses of all other daemons.
	tunnelPeers []reach.Peer
	daemonIPs   map[netip.Addr]bool
	// relayNames are the relays that this daemon uses, in order, for the log.
	relayNames []string
	// known holds the names of all daemons that the list has contained since this daemon started.
	known map[string]bool
	// retryPosition is this daemon's position among them for the retry budget, if it is one of them.
	retryPosition int
}

// initClients creates the maps of clients. The caller holds the mutex.
func (d *daemonDirectory) initClients() {
	if d.relayClients == nil {
		d.relayClients = map[string]*relay.Client{}
		d.fallbackClients = map[string]*relay.Client{}
	}
}

// listFollower watches the daemon list. Rows of VMs that no longer exist stay in it, so the
// count is never too low.
func (d *Daemon) listFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Reader:   d.listReader(),
		Table:    neighbours.Table,
		FeedWait: listFeedWait,
		PauseAfterChanges: func() time.Duration {
			return listCoalesceDelay
		},
		OnSnapshot: func(rows []rowstore.Row, _ rowstore.Revision, asOf time.Time) {
			d.applyList(rows, true, asOf)
		},
		// Daemons that a restored list lacks register again. Until then they still count, so
		// that the quotas of all daemons do not add up to more than the limit.
		OnRestoredSnapshot: func(rows []rowstore.Row, _ rowstore.Revision, asOf time.Time) {
			d.applyList(rows, false, asOf)
			d.updateSelfMissing(rows)
		},
		RewriteWait: d.reregistrationWindow,
		OnChanges: func(rows []rowstore.Row, _ rowstore.Revision, asOf time.Time) {
			if len(rows) > 0 {
				d.applyList(rows, false, asOf)
				return
			}
			d.confirmList(asOf)
		},
		TableCache:  &d.tableCache,
		OnFailure:   d.recordListError,
		OnRecovery:  d.recordListRecovery,
		OnEraChange: d.recordEraChange(neighbours.Table),
		OnRejected:  d.recordDroppedAnswer(neighbours.Table),
		Clock:       &d.storeClock,
	}
}

// updateSelfMissing records whether a restored list lacks this daemon.
func (d *Daemon) updateSelfMissing(rows []rowstore.Row) {
	isPresent := slices.ContainsFunc(rows, func(row rowstore.Row) bool {
		return row.Key == d.settings.Name
	})
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	d.directory.isSelfMissing = !isPresent
}

// reregistrationWindow returns how long after a restore of the store daemons may be missing
// from the list.
func (d *Daemon) reregistrationWindow() time.Duration {
	return 2 * registerCheckInterval
}

// recordListError records a failed call for the list. Before its first read no other table is
// read either, so such a failure counts as an outage of the store.
func (d *Daemon) recordListError(err error) {
	if d.isInitialListRead(neighbours.Table) {
		d.recordOutageStart(neighbours.Table)(err)
		return
	}
	d.recordStoreError(neighbours.Table)(err)
}

// recordListRecovery records that the list can be read again, which ends the outage that a failed
// first read has begun. It is called before the rows are applied.
func (d *Daemon) recordListRecovery(downtime time.Duration) {
	if d.isInitialListRead(neighbours.Table) {
		d.recordOutageEnd(neighbours.Table)(downtime)
		return
	}
	d.recordStoreRecovery(neighbours.Table)(downtime)
}

// confirmList records that the list has not changed as of a time.
func (d *Daemon) confirmList(asOf time.Time) {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	d.updateRetryPart(asOf)
}

// applyList applies rows of the list, which is valid as of a time, and selects the relays again.
func (d *Daemon) applyList(rows []rowstore.Row, isSnapshot bool, asOf time.Time) {
	directory := &d.directory
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if directory.known == nil {
		directory.known = map[string]bool{}
	}
	if isSnapshot || directory.byName == nil {
		directory.byName = map[string]neighbours.Daemon{}
		directory.publishedRelays = nil
	}
	for _, row := range rows {
		if row.Key == neighbours.RelaysKey {
			directory.publishedRelays = row.Value
			continue
		}
		if row.Deleted {
			delete(directory.byName, row.Key)
			continue
		}
		daemon, err := neighbours.Decode(row.Key, row.Value)
		if err != nil {
			// An invalid row also invalidates the entry that it replaces.
			delete(directory.byName, row.Key)
			d.recordRejectedRow(neighbours.Table, row, err)
			continue
		}
		directory.byName[row.Key] = daemon
		directory.known[row.Key] = true
		if row.Key == d.settings.Name {
			directory.isSelfMissing = false
		}
	}
	d.chooseRelays()
	d.updateRetryPart(asOf)
	if isSnapshot {
		d.listLoaded.set()
	}
}

// afterListLoaded delays a task until the daemon list is read, or for at most maxListWait. With
// the list, the other tables are read from relays instead of the store.
func (d *Daemon) afterListLoaded(task func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-d.listLoaded.done:
		case <-ctx.Done():
		case <-time.After(maxListWait):
		}
		task(ctx)
	}
}

// isInitialListRead reports whether a table is the daemon list and has not been read yet.
func (d *Daemon) isInitialListRead(table string) bool {
	return table == neighbours.Table && !d.listLoaded.isSet()
}

// chooseRelays selects relays by the current list. The caller holds the directory's mutex.
func (d *Daemon) chooseRelays() {
	directory := &d.directory
	daemons := make([]neighbours.Daemon, 0, len(directory.byName))
	for _, daemon := range directory.byName {
		daemons = append(daemons, daemon)
	}
	directory.list = neighbours.NewList(daemons)
	directory.initClients()
	d.updateTunnelPeers()
	relays := d.relayReaders(directory.list.RelaysFor(d.settings.Name, d.settings.Zone))
	d.tableReader.SetPeers(rowstore.Peers{
		Relays:    relays,
		Standbys:  d.relayReaders(directory.list.StandbysFor(d.settings.Name, d.settings.Zone)),
		Fallbacks: d.fallbackReaders(directory.list.FallbacksFor(d.settings.Name)),
	})
	d.updatePosition(directory.list)
	d.logRelays(relays)
}

// relayReaders returns readers for daemons that this daemon reads tables from. The caller holds
// the directory's mutex.
func (d *Daemon) relayReaders(daemons []neighbours.Daemon) []rowstore.Relay {
	return buildRelays(daemons, d.directory.relayClients, d.newRelayClient)
}

// fallbackReaders returns readers for daemons that this daemon reads tables from if the store
// fails. These daemons report their demand to this one, so it does not report its own to them.
// The caller holds the directory's mutex.
func (d *Daemon) fallbackReaders(daemons []neighbours.Daemon) []rowstore.Relay {
	return buildRelays(daemons, d.directory.fallbackClients, newFallbackClient)
}

// buildRelays returns daemons as relays and reuses existing clients.
func buildRelays(daemons []neighbours.Daemon, clients map[string]*relay.Client, newClient func(name, address string) *relay.Client) []rowstore.Relay {
	var relays []rowstore.Relay
	for _, daemon := range daemons {
		if clients[daemon.Address] == nil {
			clients[daemon.Address] = newClient(daemon.Name, daemon.Address)
		}
		relays = append(relays, rowstore.Relay{
			Name:   daemon.Name,
			Reader: clients[daemon.Address],
		})
	}
	return relays
}

// logRelays logs the first maxRegistrars of this daemon's relays if the relays have changed.
// Changes elsewhere in the list do not affect it.
func (d *Daemon) logRelays(relays []rowstore.Relay) {
	directory := &d.directory
	names := make([]string, len(relays))
	for i, relay := range relays {
		names[i] = relay.Name
	}
	if directory.relayNames != nil && slices.Equal(names, directory.relayNames) {
		return
	}
	directory.relayNames = names
	d.log.Info("daemons: relays chosen",
		zap.Int("daemons", directory.list.Len()),
		zap.Bool("is_relay", directory.list.IsRelay(d.settings.Name)),
		zap.Strings("relays", names[:min(maxRegistrars, len(names))]))
}

// newRelayClient returns a client of another daemon that also sends it this daemon's demand.
func (d *Daemon) newRelayClient(name, address string) *relay.Client {
	client := relay.NewClient(address)
	client.Self = d.settings.Name
	client.Peer = name
	client.Aggregator = &d.demandTotals
	client.OnInvalidDemand = d.logRejectedDemand
	return client
}

// newFallbackClient returns a client of another daemon that does not send it any demand.
func newFallbackClient(_, address string) *relay.Client {
	return relay.NewClient(address)
}

// minUnregisteredRank is the lowest rank of a daemon that is not in the list yet. Registered
// daemons take precedence.
const minUnregisteredRank = 20

// deferredRank keeps daemons from trying to acquire the lease before the list is complete. At the
// first start, the list counts as complete firstStartSettleTime after the end of
// firstStartJitter. The leader should run on one of the largest VMs, since a small one cannot
// keep up with a thousand servers.
const (
	deferredRank         = 1000
	firstStartSettleTime = 500 * time.Millisecond
)

// candidateRank returns this daemon's rank in the leader election.
func (d *Daemon) candidateRank() int {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	list := d.directory.list
	if d.settings.IsFirstStart && time.Since(d.startedAt) < firstStartJitter+firstStartSettleTime {
		return deferredRank
	}
	if !list.Contains(d.selfEntry()) {
		return max(minUnregisteredRank, list.Len())
	}
	return list.Position(d.settings.Name)
}

// isFirstRelay reports whether this daemon watches the store on behalf of all relays.
func (d *Daemon) isFirstRelay() bool {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	list := d.directory.list
	return list.IsRelay(d.settings.Name) && len(list.RelaysFor(d.settings.Name, d.settings.Zone)) == 0
}

// storeReaderCount returns how many daemons would read the store in the same way as this one.
func (d *Daemon) storeReaderCount() int {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	return d.directory.list.ContenderCount(d.settings.Name)
}

// isRelay reports whether other daemons read tables from this one.
func (d *Daemon) isRelay() bool {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	return d.directory.list.IsRelay(d.settings.Name)
}

// DaemonCount returns the known number of daemons, at least 1.
func (d *Daemon) DaemonCount() int {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	return max(1, d.directory.list.Len())
}

// isRegistered reports whether the list contains this daemon's current entry.
func (d *Daemon) isRegistered() bool {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	return !d.directory.isSelfMissing && d.directory.list.Contains(d.selfEntry())
}
