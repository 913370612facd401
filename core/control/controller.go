// Package control is the decision-making part of one daemon.
//
// A Controller is owned by one goroutine. It is told what the daemon has
// learned (rows of the table, the VM list, probes, other daemons' reports,
// outcomes of transactions) and asked by Step what to do: transactions to
// commit and orders to send. It does no I/O itself and takes the time from the
// runtime's clock, so that tests play failures against this very code.
//
// What it learned may be late, repeated or out of order. Nothing rests on it
// being right: every transaction is conditional on the rows that it was
// decided from and on the epoch of the lease that it was decided under.
package control

import (
	"sort"
	"time"

	"headcourse/core/catalog"
	"headcourse/core/contact"
	"headcourse/core/declaration"
	"headcourse/core/lease"
	"headcourse/core/order"
	"headcourse/core/placement"
	"headcourse/core/plan"
	"headcourse/core/presence"
	"headcourse/core/roster"
	"headcourse/core/table"
	"headcourse/core/vm"
)

// Commit is a transaction to be committed. About names what it is for; while
// one is under way no other with the same name is asked for.
type Commit struct {
	About       string
	Transaction table.Transaction
	SentAt      time.Time
}

// Send is an order to be sent to a member. The sender checks Lease once more
// right before it writes.
type Send struct {
	VM      string
	Address string
	Order   order.Order
	Lease   lease.Held
}

// Actions is what Step asks for.
type Actions struct {
	Commits []Commit
	Sends   []Send
	// Refresh asks for a read of the store now, because something known was
	// found to be out of date.
	Refresh bool
}

// probe is the newest word of one backend server.
type probe struct {
	state order.State
	// answeredAt is the start of the last probe that was answered.
	answeredAt time.Time
	// firstAt is when this daemon began to probe it.
	firstAt time.Time
	// refused tells that the newest probe was refused outright.
	refused bool
}

// sighting is when a version of a row was first seen here.
type sighting struct {
	version uint64
	since   time.Time
}

// change is an entry of the log of changed rows that other daemons read.
type change struct {
	position int
	key      string
}

// Controller is the control state of one daemon. Use New.
type Controller struct {
	self    roster.Daemon
	leaving bool
	started time.Time

	repairer Repairer

	rows    catalog.Catalog
	log     []change
	logged  int
	pruned  time.Time
	world   plan.World
	reader  plan.Reader
	isStale bool
	roster  roster.Roster
	// alive are the daemons heard lately, and watched what this daemon watches
	// among them, by name.
	alive   roster.Roster
	watched map[string]bool

	vms    map[string]vm.VM
	probes map[string]probe
	// unjudged are the VMs whose probes changed since evidence was derived.
	unjudged map[string]bool
	// observed is the newest evidence that this daemon made itself, by name.
	observed map[string]presence.Evidence
	// badAt is when evidence last spoke against a VM or group, by name.
	badAt   map[string]time.Time
	book    presence.Book
	contact contact.Contact
	held    map[int]lease.Held
	// releasing holds the epochs of leases being given up, by shard.
	releasing map[int]uint64
	granted   [lease.Shards]granted
	// orderedUntil is when the last order of each shard has arrived.
	orderedUntil [lease.Shards]time.Time
	seen         map[string]sighting
	suspects     map[string]time.Time
	ordered      map[string]time.Time
	sequence     uint64
	pending      map[string]bool

	renewedAt  time.Time
	renewCount uint64
	releasedAt time.Time
	refresh    bool
}

// Repairer chooses what is done about a group that lost members.
type Repairer interface {
	Repair(loss placement.Loss, domains []placement.Domain, weights declaration.Weights) (placement.Remedy, placement.Choice)
}

// RepairBy replaces the repair policy, which is placement.Weighed.
func (c *Controller) RepairBy(repairer Repairer) {
	c.repairer = repairer
}

// New returns the controller of a daemon that has learned nothing yet.
func New(self roster.Daemon) *Controller {
	return &Controller{
		self:      self,
		started:   time.Now(),
		repairer:  placement.Weighed{},
		vms:       map[string]vm.VM{},
		probes:    map[string]probe{},
		unjudged:  map[string]bool{},
		observed:  map[string]presence.Evidence{},
		badAt:     map[string]time.Time{},
		held:      map[int]lease.Held{},
		releasing: map[int]uint64{},
		seen:      map[string]sighting{},
		suspects:  map[string]time.Time{},
		ordered:   map[string]time.Time{},
		pending:   map[string]bool{},
		watched:   map[string]bool{},
		isStale:   true,
	}
}

// Step returns what to do now.
func (c *Controller) Step() Actions {
	now := time.Now()
	c.rebuild()
	c.judge()
	actions := &Actions{}
	c.prune(now)
	c.noteUnwell()
	c.stepRoster(actions, now)
	c.stepLeases(actions, now)
	c.stepGroups(actions, now)
	c.stepPlans(actions)
	actions.Refresh = c.refresh
	c.refresh = false
	return *actions
}

// commit asks for a transaction unless one with this name is under way.
func (c *Controller) commit(actions *Actions, about string, transaction table.Transaction) {
	if c.pending[about] {
		return
	}
	c.pending[about] = true
	actions.Commits = append(actions.Commits, Commit{
		About:       about,
		Transaction: transaction,
		SentAt:      time.Now(),
	})
}

// ----------------------------------------------------------------------------
// Learning

// LearnStore adds rows read from the store by a scan that began at a time and
// was complete up to version.
func (c *Controller) LearnStore(rows []table.Row, version uint64, began time.Time) {
	c.addRows(rows)
	c.rows = c.rows.WithReached(version)
	c.contact = c.contact.WithStore(began)
}

// LearnRows adds rows from elsewhere: a peer, or a scan cut short.
func (c *Controller) LearnRows(rows []table.Row) {
	c.addRows(rows)
}

// LearnReports adds what daemons were heard to hold, and evidence of groups.
func (c *Controller) LearnReports(reports []contact.Report, evidence []presence.Evidence) {
	c.noteBad(evidence)
	c.contact = c.contact.WithReports(reports...)
	c.book = c.book.WithEvidence(evidence...)
}

// LearnVMs replaces the VM list.
func (c *Controller) LearnVMs(listed []vm.VM) {
	vms := make(map[string]vm.VM, len(listed))
	for _, entry := range listed {
		vms[entry.ID] = entry
	}
	c.vms = vms
	c.isStale = true
}

// LearnProbe notes a probe of a VM that began at a time and was answered.
func (c *Controller) LearnProbe(id string, began time.Time, state order.State) {
	known := c.probes[id]
	if known.firstAt.IsZero() {
		known.firstAt = began
	}
	if began.Before(known.answeredAt) {
		return
	}
	known.state = state
	known.answeredAt = began
	known.refused = false
	c.probes[id] = known
	c.unjudged[id] = true
}

// LearnSilence notes a probe of a VM that was not answered. refused tells that
// the connection was refused, which is certain word that nothing runs there.
func (c *Controller) LearnSilence(id string, began time.Time, refused bool) {
	known := c.probes[id]
	if known.firstAt.IsZero() {
		known.firstAt = began
	}
	known.refused = refused && began.After(known.answeredAt)
	c.probes[id] = known
	c.unjudged[id] = true
}

// Committed notes the outcome of a commit that Step asked for.
func (c *Controller) Committed(commit Commit, version uint64, err error) {
	delete(c.pending, commit.About)
	if err != nil {
		c.refresh = true
		return
	}
	rows := make([]table.Row, 0, len(commit.Transaction.Writes))
	for _, write := range commit.Transaction.Writes {
		rows = append(rows, table.Row{
			Key:     write.Key,
			Version: version,
			Value:   write.Value,
			Deleted: write.Delete,
		})
	}
	c.addRows(rows)
	if commit.About == aboutRenewal {
		c.renewed(commit)
	}
}

// addRows adds rows and notes what has to be derived anew.
func (c *Controller) addRows(rows []table.Row) {
	var news []table.Row
	c.rows, news = c.rows.WithRows(rows)
	now := time.Now()
	for _, row := range news {
		c.seen[row.Key] = sighting{
			version: row.Version,
			since:   now,
		}
		if isLeaseRow(row.Key) {
			// Leases are of use only to whoever reaches the store, and change
			// too often to be told to everyone by everyone.
			continue
		}
		c.isStale = true
		c.logged++
		c.log = append(c.log, change{
			position: c.logged,
			key:      row.Key,
		})
	}
	c.compactLog()
}

// slackLog is how many superseded entries the log may hold.
const slackLog = 4096

// compactLog drops entries that were superseded: a key needs only its last.
func (c *Controller) compactLog() {
	if len(c.log) <= slackLog+c.rows.Len() {
		return
	}
	last := map[string]int{}
	for _, entry := range c.log {
		last[entry.key] = entry.position
	}
	kept := make([]change, 0, len(last))
	for _, entry := range c.log {
		if last[entry.key] == entry.position {
			kept = append(kept, entry)
		}
	}
	c.log = kept
}

// isLeaseRow tells whether a key belongs to leases, which the world does not
// depend on.
func isLeaseRow(key string) bool {
	return hasPrefix(key, lease.KeyPrefix) || hasPrefix(key, lease.RenewalPrefix)
}

// hasPrefix tells whether key begins with prefix.
func hasPrefix(key, prefix string) bool {
	return len(key) >= len(prefix) && key[:len(prefix)] == prefix
}

// rebuild derives the world and the roster from the rows, if they changed.
func (c *Controller) rebuild() {
	if !c.isStale {
		return
	}
	listed := make([]vm.VM, 0, len(c.vms))
	for _, entry := range c.vms {
		listed = append(listed, entry)
	}
	world, err := c.reader.World(c.rows, listed)
	if err != nil {
		// A row that cannot be read is left for a daemon that can read it.
		return
	}
	c.world = world
	c.roster = roster.Of(c.rows)
	c.isStale = false
}

// Times of pruning.
const (
	pruneEvery = 10 * time.Second
	// forgetAfter is how old observations are that nobody can use any more.
	forgetAfter = 2 * time.Minute
)

// prune forgets old observations.
func (c *Controller) prune(now time.Time) {
	if now.Sub(c.pruned) < pruneEvery {
		return
	}
	c.pruned = now
	c.book = c.book.WithoutOlder(now.Add(-forgetAfter))
	c.contact = c.contact.WithoutOlder(now.Add(-forgetAfter))
	for id, since := range c.suspects {
		if now.Sub(since) > suspectFor {
			delete(c.suspects, id)
		}
	}
	for name, at := range c.badAt {
		if now.Sub(at) > forgetAfter {
			delete(c.badAt, name)
		}
	}
	for name, one := range c.observed {
		if now.Sub(one.At) > forgetAfter {
			delete(c.observed, name)
		}
	}
	for id, known := range c.probes {
		if now.Sub(known.answeredAt) > forgetAfter && now.Sub(known.firstAt) > forgetAfter {
			delete(c.probes, id)
		}
	}
}

// ----------------------------------------------------------------------------
// What others read

// Self returns the daemon's own entry.
func (c *Controller) Self() roster.Daemon {
	return c.self
}

// Leave makes the controller give up its leases and its place in the roster.
func (c *Controller) Leave() {
	c.leaving = true
}

// World returns the world as learned so far.
func (c *Controller) World() plan.World {
	c.rebuild()
	c.noteUnwell()
	return c.world
}

// Roster returns the daemons as learned so far.
func (c *Controller) Roster() roster.Roster {
	c.rebuild()
	return c.roster
}

// Contact returns what was heard of the store and of other daemons.
func (c *Controller) Contact() contact.Contact {
	return c.contact
}

// Book returns the newest evidence of every group.
func (c *Controller) Book() presence.Book {
	c.judge()
	return c.book
}

// Held returns the leases that the daemon believes it holds, by shard.
func (c *Controller) Held() []lease.Held {
	held := make([]lease.Held, 0, len(c.held))
	for _, entry := range c.held {
		held = append(held, entry)
	}
	sort.Slice(held, func(i, j int) bool {
		return held[i].Shard < held[j].Shard
	})
	return held
}

// ConfigVersion returns the version of the configuration's row.
func (c *Controller) ConfigVersion() uint64 {
	return c.rows.Row(plan.ConfigKey).Version
}

// Reached returns the commit up to which the store was read.
func (c *Controller) Reached() uint64 {
	return c.rows.Reached()
}

// OwnReport returns the daemon's report of itself.
func (c *Controller) OwnReport() contact.Report {
	return contact.Report{
		Daemon:        c.self.ID,
		ConfigVersion: c.ConfigVersion(),
		At:            time.Now(),
	}
}

// Changes returns the rows that changed after a position in the daemon's own
// log, at most limit, and the position to go on from. A position that this log
// never reached counts as 0.
func (c *Controller) Changes(position, limit int) (rows []table.Row, next int, more bool) {
	if position < 0 || position > c.logged {
		position = 0
	}
	all := c.rows.ByKey()
	taken := map[string]bool{}
	first := sort.Search(len(c.log), func(i int) bool {
		return c.log[i].position > position
	})
	for _, entry := range c.log[first:] {
		if len(rows) == limit {
			return rows, position, true
		}
		position = entry.position
		if !taken[entry.key] {
			taken[entry.key] = true
			rows = append(rows, all[entry.key])
		}
	}
	return rows, c.logged, false
}
