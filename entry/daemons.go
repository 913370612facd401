package entry

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"headcourse/core/neighbours"
	"headcourse/core/retry"
	"headcourse/core/rowstore"
	"headcourse/io/relay"
)

// Figures of the list of daemons.
const (
	// fewestDaemons is assumed until the list is read: a daemon that knows no
	// others spends little.
	fewestDaemons = 16
	// listWait is how long one call waits for changes of the list.
	listWait = 5 * time.Second
	// listSettle lets changes of the list come together: hundreds of daemons that start
	// together write a row each, and each would look at the list once for each of them.
	listSettle = 250 * time.Millisecond
	// listPatience is how long a starting daemon waits for the list before it reads
	// the other tables. Without the list it knows no relay, and a store that does not give
	// the list gives nothing else: each daemon would read and follow all tables itself.
	listPatience = 6 * time.Second
	// sharePart is the part of the share of requests that is used: daemons and
	// servers do not count in the same windows.
	sharePart = 0.92
)

// setBudgets gives this daemon its part of the retries, and returns the burst of
// it.
func (d *Daemon) setBudgets(daemons int) float64 {
	burst := retry.BurstPart(d.settings.RetryBurst, daemons)
	d.budgets.SetFigures(sharePart*d.settings.RetryShare, burst, d.settings.RetryWindow)
	return burst
}

// self returns this daemon as it stands in the list.
func (d *Daemon) self() neighbours.Daemon {
	return neighbours.Daemon{
		Name:     d.settings.Name,
		Zone:     d.settings.Zone,
		Strength: d.settings.Strength,
		Address:  d.relays.Address(),
	}
}

// roster is the list of the daemons as one daemon knows it.
type roster struct {
	mutex   sync.Mutex
	known   map[string]neighbours.Daemon
	list    neighbours.List
	clients map[string]*relay.Client
	// fallbacks are clients of the same daemons that tell them nothing.
	fallbacks map[string]*relay.Client
	// published is the row of the relays as the list has it; nil: it has none.
	published []byte
	// isLost tells that a restored list lacks this daemon.
	isLost bool
	// relays are the names of those that this daemon asks, in order, for the log.
	relays []string
}

// prepare makes the maps of clients. The mutex is held.
func (r *roster) prepare() {
	if r.clients == nil {
		r.clients = map[string]*relay.Client{}
		r.fallbacks = map[string]*relay.Client{}
	}
}

// listFollower follows the list of the daemons. Rows of VMs that are gone stay,
// so the count is never too small and the parts of the retries never add up to
// too much.
func (d *Daemon) listFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Store: d.listReader(),
		Table: neighbours.Table,
		Wait:  listWait,
		Settle: func() time.Duration {
			return listSettle
		},
		Whole: func(rows []rowstore.Row, _ rowstore.Revision, _ time.Time) {
			d.takeList(rows, true)
		},
		// Daemons that a restored list lacks list themselves again. Until then they count:
		// what all share must not add up to more.
		Restored: func(rows []rowstore.Row, _ rowstore.Revision, _ time.Time) {
			d.takeList(rows, false)
			d.updateIsLost(rows)
		},
		Rewrite: d.relistTime,
		Changed: func(rows []rowstore.Row, _ rowstore.Revision, _ time.Time) {
			if len(rows) > 0 {
				d.takeList(rows, false)
			}
		},
		Hub:        &d.hub,
		Failed:     d.recordListError,
		Recovered:  d.recordRecovered(neighbours.Table),
		EraChanged: d.recordEra(neighbours.Table),
		Dropped:    d.recordDropped(neighbours.Table),
		Clock:      &d.clock,
	}
}

// updateIsLost records whether a restored list lacks this daemon.
func (d *Daemon) updateIsLost(rows []rowstore.Row) {
	isThere := slices.ContainsFunc(rows, func(row rowstore.Row) bool {
		return row.Key == d.settings.Name
	})
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	d.roster.isLost = !isThere
}

// relistTime returns how long after a restore of the store the list may lack daemons.
func (d *Daemon) relistTime() time.Duration {
	return 2 * listLater
}

// recordListError records a failed call for the list. Until it was read, nothing else is.
func (d *Daemon) recordListError(err error) {
	if d.awaitsList(neighbours.Table) {
		d.recordOutage(neighbours.Table)(err)
		return
	}
	d.recordStoreError(neighbours.Table)(err)
}

// takeList takes rows of the list and chooses the relays anew.
func (d *Daemon) takeList(rows []rowstore.Row, isWhole bool) {
	r := &d.roster
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if isWhole || r.known == nil {
		r.known = map[string]neighbours.Daemon{}
		r.published = nil
	}
	for _, row := range rows {
		if row.Key == neighbours.RelaysKey {
			r.published = row.Value
			continue
		}
		if row.Deleted {
			delete(r.known, row.Key)
			continue
		}
		daemon, err := neighbours.Decode(row.Key, row.Value)
		if err != nil {
			// It names no daemon, whatever it named before.
			delete(r.known, row.Key)
			d.recordBadRow(neighbours.Table, row, err)
			continue
		}
		r.known[row.Key] = daemon
		if row.Key == d.settings.Name {
			r.isLost = false
		}
	}
	d.chooseRelays()
	if isWhole {
		d.listRead.set()
	}
}

// afterList runs a task when the list of the daemons has been read, or could not be
// for a while: then the other tables come from relays, not from the store.
func (d *Daemon) afterList(task func(context.Context)) func(context.Context) {
	return func(ctx context.Context) {
		select {
		case <-d.listRead.isSet:
		case <-ctx.Done():
		case <-time.After(listPatience):
		}
		task(ctx)
	}
}

// awaitsList tells whether a table is the list of the daemons, which was not read yet.
func (d *Daemon) awaitsList(table string) bool {
	return table == neighbours.Table && !d.listRead.has()
}

// chooseRelays applies the list that is known. The roster's mutex is held.
func (d *Daemon) chooseRelays() {
	r := &d.roster
	daemons := make([]neighbours.Daemon, 0, len(r.known))
	for _, daemon := range r.known {
		daemons = append(daemons, daemon)
	}
	r.list = neighbours.NewList(daemons)
	r.prepare()
	relays := d.asRelays(r.list.For(d.settings.Name, d.settings.Zone))
	d.chain.SetPeers(rowstore.Peers{
		Relays:    relays,
		Standbys:  d.asRelays(r.list.StandbysFor(d.settings.Name, d.settings.Zone)),
		Fallbacks: d.asFallbacks(r.list.FallbacksFor(d.settings.Name)),
	})
	d.updatePlace(r.list)
	burst := d.setBudgets(max(1, r.list.Len()))
	d.logRelays(relays, burst)
}

// asRelays returns daemons as those that this one asks. The roster's mutex is held.
func (d *Daemon) asRelays(daemons []neighbours.Daemon) []rowstore.Relay {
	return toRelays(daemons, d.roster.clients, d.newRelayClient)
}

// asFallbacks returns daemons as those that this one asks where the store fails it. They
// tell it what they are asked, so it does not tell them. The roster's mutex is held.
func (d *Daemon) asFallbacks(daemons []neighbours.Daemon) []rowstore.Relay {
	return toRelays(daemons, d.roster.fallbacks, newFallbackClient)
}

// toRelays returns daemons as relays, by clients that are kept.
func toRelays(daemons []neighbours.Daemon, clients map[string]*relay.Client, newClient func(name, address string) *relay.Client) []rowstore.Relay {
	var relays []rowstore.Relay
	for _, one := range daemons {
		if clients[one.Address] == nil {
			clients[one.Address] = newClient(one.Name, one.Address)
		}
		relays = append(relays, rowstore.Relay{
			Name:   one.Name,
			Reader: clients[one.Address],
		})
	}
	return relays
}

// logRelays writes a line where this daemon's relays are others than before. Daemons
// that come and go far from it change nothing for it.
func (d *Daemon) logRelays(relays []rowstore.Relay, burst float64) {
	r := &d.roster
	names := make([]string, len(relays))
	for i, one := range relays {
		names[i] = one.Name
	}
	if r.relays != nil && slices.Equal(names, r.relays) {
		return
	}
	r.relays = names
	d.log.Info("daemons: relays chosen",
		zap.Int("daemons", r.list.Len()),
		zap.Bool("is_relay", r.list.IsRelay(d.settings.Name)),
		zap.Strings("relays", names[:min(listersAsked, len(names))]),
		zap.String("retry_burst", strconv.FormatFloat(burst, 'f', 1, 64)))
}

// newRelayClient returns a client of another daemon.
func (d *Daemon) newRelayClient(name, address string) *relay.Client {
	client := relay.NewClient(address)
	client.Self = d.settings.Name
	client.Peer = name
	client.Board = &d.board
	client.Refused = d.refuseDemand
	return client
}

// newFallbackClient returns a client of another daemon that tells it nothing.
func newFallbackClient(_, address string) *relay.Client {
	return relay.NewClient(address)
}

// unlistedRank is the least rank of a daemon that is not listed yet: those that are go
// first.
const unlistedRank = 20

// notYetRank keeps daemons from trying for the lease before the list is whole, startSettle
// after the last of them came to it: the leader is to be on one of the largest VMs, since a
// small one cannot keep up with a thousand servers.
const (
	notYetRank  = 1000
	startSettle = 500 * time.Millisecond
)

// rank returns this daemon's place in the list.
func (d *Daemon) rank() int {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	list := d.roster.list
	if d.settings.IsFirstStart && time.Since(d.began) < startSpread+startSettle {
		return notYetRank
	}
	if !list.Has(d.self()) {
		return max(unlistedRank, list.Len())
	}
	return list.Rank(d.settings.Name)
}

// isFirstRelay tells whether this daemon follows the store for all relays.
func (d *Daemon) isFirstRelay() bool {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	list := d.roster.list
	return list.IsRelay(d.settings.Name) && len(list.For(d.settings.Name, d.settings.Zone)) == 0
}

// sharing returns how many daemons would ask the store like this one.
func (d *Daemon) sharing() int {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	return d.roster.list.Sharing(d.settings.Name)
}

// isRelay tells whether this daemon follows the store for others.
func (d *Daemon) isRelay() bool {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	return d.roster.list.IsRelay(d.settings.Name)
}

// Daemons returns how many daemons there are, as far as known.
func (d *Daemon) Daemons() int {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	return max(1, d.roster.list.Len())
}

// isListed tells whether the list has this daemon as it is.
func (d *Daemon) isListed() bool {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	return !d.roster.isLost && d.roster.list.Has(d.self())
}
