package entry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"headcourse/core/neighbours"
	"headcourse/core/rowstore"
	"headcourse/io/logline"
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
	// listAgain is the time between two tries to list itself.
	listAgain = time.Second
	// listPatience is how long a starting daemon waits for the list before it reads
	// the other tables: the store answers in some milliseconds.
	listPatience = 150 * time.Millisecond
	// burstPart is the part of the burst that is divided: when all daemons restart
	// within a window, each begins with a whole part again.
	burstPart = 0.45
	// sharePart is the part of the share of requests that is used: daemons and
	// servers do not count in the same windows.
	sharePart = 0.92
)

// setBudgets gives this daemon its part of the retries, and returns the burst of
// it.
func (d *Daemon) setBudgets(daemons int) float64 {
	burst := max(1, burstPart*d.settings.RetryBurst/float64(daemons))
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
}

// listFollower follows the list of the daemons. Rows of VMs that are gone stay,
// so the count is never too small and the parts of the retries never add up to
// too much.
func (d *Daemon) listFollower() *rowstore.Follower {
	return &rowstore.Follower{
		Store: d.chain,
		Table: neighbours.Table,
		Wait:  listWait,
		Settle: func() time.Duration {
			return listSettle
		},
		Whole: func(rows []rowstore.Row, _ int64, _ time.Time) {
			d.takeList(rows, true)
		},
		Changed: func(rows []rowstore.Row, _ int64, _ time.Time) {
			if len(rows) > 0 {
				d.takeList(rows, false)
			}
		},
		Hub:      &d.hub,
		Failed:   d.noteTrouble(neighbours.Table),
		Restored: d.noteRestored(neighbours.Table),
		Clock:    &d.clock,
	}
}

// takeList takes rows of the list and chooses the relays anew.
func (d *Daemon) takeList(rows []rowstore.Row, isWhole bool) {
	r := &d.roster
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if isWhole || r.known == nil {
		r.known = map[string]neighbours.Daemon{}
	}
	for _, row := range rows {
		if row.Deleted {
			delete(r.known, row.Key)
			continue
		}
		daemon, err := neighbours.Decode(row.Key, row.Value)
		if err != nil {
			d.log.Error("daemons: row not taken", zap.Int64("row_version", row.Version), logline.Err(err))
			continue
		}
		r.known[row.Key] = daemon
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

// chooseRelays applies the list that is known. The roster's mutex is held.
func (d *Daemon) chooseRelays() {
	r := &d.roster
	daemons := make([]neighbours.Daemon, 0, len(r.known))
	for _, daemon := range r.known {
		daemons = append(daemons, daemon)
	}
	r.list = neighbours.NewList(daemons)
	if r.clients == nil {
		r.clients = map[string]*relay.Client{}
	}
	var relays []rowstore.Relay
	for _, one := range r.list.For(d.settings.Name, d.settings.Zone) {
		if r.clients[one.Address] == nil {
			r.clients[one.Address] = d.newRelayClient(one.Name, one.Address)
		}
		relays = append(relays, rowstore.Relay{
			Name:   one.Name,
			Reader: r.clients[one.Address],
		})
	}
	if r.list.Len() > 0 {
		// Before the first daemon is listed the seeds are asked.
		d.chain.SetRelays(relays)
	}
	d.notePlace(r.list)
	burst := d.setBudgets(max(1, r.list.Len()))
	d.log.Info("daemons: listed",
		zap.Int("daemons", r.list.Len()),
		zap.Bool("is_relay", r.list.IsRelay(d.settings.Name)),
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

// askSeeds has the chain ask the seeds until the list of the daemons is known. A daemon
// that is a seed itself reads the store.
func (d *Daemon) askSeeds() {
	var seeds []rowstore.Reader
	for _, address := range d.settings.Seeds {
		if address == d.relays.Address() {
			return
		}
		seeds = append(seeds, d.newRelayClient(address, address))
	}
	if len(seeds) == 0 {
		return
	}
	rand.Shuffle(len(seeds), func(i, k int) {
		seeds[i], seeds[k] = seeds[k], seeds[i]
	})
	d.chain.SetRelays([]rowstore.Relay{
		{
			Name:   "seeds",
			Reader: rowstore.NewSeeds(seeds...),
		},
	})
}

// rank returns this daemon's place in the list.
func (d *Daemon) rank() int {
	d.roster.mutex.Lock()
	defer d.roster.mutex.Unlock()
	return d.roster.list.Rank(d.settings.Name)
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
	return d.roster.list.Has(d.self())
}

// listSelf writes this daemon into the list, until it is there.
func (d *Daemon) listSelf(ctx context.Context) {
	for ctx.Err() == nil && !d.isListed() {
		d.writeSelf(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(listAgain):
		}
	}
}

// writeSelf writes this daemon's row.
func (d *Daemon) writeSelf(ctx context.Context) {
	encoded, err := d.self().Encode()
	if err != nil {
		d.log.Error("daemons: self not listed", logline.Err(err))
		return
	}
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	_, err = d.store.Commit(ctx, rowstore.Transaction{
		Writes: []rowstore.Row{
			{
				Table: neighbours.Table,
				Key:   d.settings.Name,
				Value: encoded,
			},
		},
	})
	if err != nil {
		d.noteTrouble(neighbours.Table)(err)
	}
}
