package control

import (
	"sort"
	"time"

	"headcourse/core/contact"
	"headcourse/core/lease"
	"headcourse/core/plan"
	"headcourse/core/roster"
	"headcourse/core/table"
)

// Names of commits.
const (
	aboutRenewal = "renew leases"
	aboutJoin    = "join roster"
	aboutLeave   = "leave roster"
	aboutRemove  = "remove daemon "
	aboutLease   = "lease of "
)

// Times of the roster and of handing shards over.
const (
	// SilentAfter is how long a daemon may be unheard before it is taken off
	// the roster. It is above contact.Bound, so that whoever remains has
	// learned of everything accepted before.
	SilentAfter = 30 * time.Second
	// rankDelay is how much longer each lower-ranked daemon waits before it
	// takes a free shard.
	rankDelay = 700 * time.Millisecond
	// releaseEvery spaces the handing over of shards to daemons ranked first.
	releaseEvery = 2 * time.Second
)

// stepRoster joins, leaves, and removes daemons that have long been silent.
func (c *Controller) stepRoster(actions *Actions, now time.Time) {
	key := roster.Key(c.self.ID)
	row := c.rows.Row(key)
	if c.leaving {
		if row.Version != 0 && len(c.held) == 0 {
			c.commit(actions, aboutLeave, c.removal(c.self.ID))
		}
		return
	}
	if c.rows.Reached() == 0 {
		return
	}
	if row.Version == 0 {
		// Joining is conditional on the configuration held, so that a new
		// daemon never takes part in a majority without the newest one.
		join := table.Transaction{}
		join = join.WithCondition(key, 0)
		join = join.WithCondition(plan.ConfigKey, c.rows.Row(plan.ConfigKey).Version)
		join = join.WithWrite(table.Put(key, c.self))
		c.commit(actions, aboutJoin, join)
		return
	}
	if held, ok := c.held[0]; ok && held.Holds(0) {
		c.removeSilent(actions, held, now)
	}
}

// removal returns the transaction that takes a daemon off the roster.
func (c *Controller) removal(id string) table.Transaction {
	removal := table.Transaction{}
	removal = removal.WithCondition(roster.Key(id), c.rows.Row(roster.Key(id)).Version)
	removal = removal.WithCondition(plan.ConfigKey, c.rows.Row(plan.ConfigKey).Version)
	removal = removal.WithWrite(table.Write{
		Key:    roster.Key(id),
		Delete: true,
	})
	if renewal := c.rows.Row(lease.RenewalKey(id)); renewal.Version != 0 {
		removal = removal.WithWrite(table.Write{
			Key:    renewal.Key,
			Delete: true,
		})
	}
	return removal
}

// removeSilent takes one daemon that was long unheard off the roster.
func (c *Controller) removeSilent(actions *Actions, held lease.Held, now time.Time) {
	for _, daemon := range c.roster {
		if daemon.ID == c.self.ID || now.Sub(c.lastWordOf(daemon.ID)) < SilentAfter {
			continue
		}
		if now.Sub(c.seen[roster.Key(daemon.ID)].since) < SilentAfter {
			continue
		}
		c.commit(actions, aboutRemove+daemon.ID, held.Fence(c.removal(daemon.ID)))
		return
	}
}

// lastWordOf returns when a daemon was last heard or seen to renew.
func (c *Controller) lastWordOf(id string) time.Time {
	report, _ := c.contact.Report(id)
	renewal := c.seen[lease.RenewalKey(id)].since
	if renewal.After(report.At) {
		return renewal
	}
	return report.At
}

// ----------------------------------------------------------------------------
// Leases

// stepLeases renews the leases held, drops those lost and takes free ones.
func (c *Controller) stepLeases(actions *Actions, now time.Time) {
	c.adoptAndDrop()
	if c.leaving {
		for _, held := range c.Held() {
			c.release(actions, held.Shard)
		}
		return
	}
	c.renew(actions, now)
	rank := c.roster.Rank("", c.self.ID)
	if rank < 0 || now.Sub(c.contact.StoreAt()) > contact.Bound {
		return
	}
	for shard := range lease.Shards {
		held, ok := c.held[shard]
		switch {
		case !ok:
			c.take(actions, shard, now)
		case c.isReleasing(held):
			c.release(actions, shard)
		default:
			c.handOver(actions, shard, now)
		}
	}
}

// adoptAndDrop compares the leases held with their rows. A row that names this
// daemon but whose grant was answered too late is adopted unexpired-at-zero:
// it may not be used before a renewal has succeeded.
func (c *Controller) adoptAndDrop() {
	for shard := range lease.Shards {
		row := c.rows.Row(lease.Key(shard))
		isMine := row.Version != 0 && c.holderOf(shard, row) == c.self.ID
		held, ok := c.held[shard]
		switch {
		case !isMine:
			delete(c.held, shard)
		case !ok || held.Epoch != row.Version:
			c.held[shard] = lease.Held{
				Shard: shard,
				Epoch: row.Version,
			}
		}
	}
}

// granted is a lease row that was read.
type granted struct {
	version uint64
	holder  string
}

// holderOf returns who holds a shard by its row; empty where nobody does. A row
// is decoded once.
func (c *Controller) holderOf(shard int, row table.Row) string {
	if known := c.granted[shard]; known.version == row.Version {
		return known.holder
	}
	var grant lease.Grant
	if err := row.Decode(&grant); err != nil {
		return ""
	}
	c.granted[shard] = granted{
		version: row.Version,
		holder:  grant.Holder,
	}
	return grant.Holder
}

// renew asks for one renewal of all leases, conditional on holding each.
func (c *Controller) renew(actions *Actions, now time.Time) {
	isDue, kept := false, 0
	for _, held := range c.held {
		if c.isReleasing(held) {
			continue
		}
		kept++
		isDue = isDue || held.Expires.IsZero()
	}
	isDue = isDue || now.Sub(c.renewedAt) >= lease.RenewEvery
	if kept == 0 || !isDue || c.pending[aboutRenewal] {
		return
	}
	c.renewCount++
	key := lease.RenewalKey(c.self.ID)
	renewal := table.Transaction{}
	renewal = renewal.WithCondition(key, c.rows.Row(key).Version)
	renewal = renewal.WithWrite(table.Put(key, lease.Renewal{
		Count: c.renewCount,
	}))
	for _, held := range c.Held() {
		if !c.isReleasing(held) {
			renewal = held.Fence(renewal)
		}
	}
	c.commit(actions, aboutRenewal, renewal)
}

// renewed extends the leases that a renewal was conditional on. The term runs
// from when the renewal was sent, not from its answer.
func (c *Controller) renewed(commit Commit) {
	c.renewedAt = commit.SentAt
	for _, condition := range commit.Transaction.Conditions {
		for shard, held := range c.held {
			isRenewed := lease.Key(shard) == condition.Key && held.Epoch == condition.Version
			if isRenewed && !c.isReleasing(held) {
				held.Expires = commit.SentAt.Add(lease.Term)
				c.held[shard] = held
			}
		}
	}
}

// take asks for a shard that is free or whose holder has stopped renewing.
func (c *Controller) take(actions *Actions, shard int, now time.Time) {
	row := c.rows.Row(lease.Key(shard))
	grant := table.Transaction{}
	grant = grant.WithCondition(row.Key, row.Version)
	since := c.started
	patience := time.Duration(c.roster.Rank(shardName(shard), c.self.ID)) * rankDelay
	if row.Version != 0 {
		former := c.holderOf(shard, row)
		if former == c.self.ID {
			return
		}
		since = c.seen[row.Key].since
		if former != "" {
			renewal := c.rows.Row(lease.RenewalKey(former))
			grant = grant.WithCondition(renewal.Key, renewal.Version)
			patience += lease.Term + lease.Margin
			if seen := c.seen[renewal.Key]; seen.since.After(since) {
				since = seen.since
			}
		}
	}
	if now.Sub(since) < patience {
		return
	}
	grant = grant.WithWrite(table.Put(row.Key, lease.Grant{
		Holder: c.self.ID,
	}))
	c.commit(actions, aboutLease+row.Key, grant)
}

// handOver releases a shard for which another daemon, heard lately, ranks
// first, so that daemons that joined later get their part of the work.
func (c *Controller) handOver(actions *Actions, shard int, now time.Time) {
	if now.Sub(c.releasedAt) < releaseEvery || c.roster.Rank(shardName(shard), c.self.ID) == 0 {
		return
	}
	for _, daemon := range c.roster {
		if c.roster.Rank(shardName(shard), daemon.ID) != 0 {
			continue
		}
		report, ok := c.contact.Report(daemon.ID)
		if ok && now.Sub(report.At) < contact.Bound/2 {
			c.releasedAt = now
			c.release(actions, shard)
		}
		return
	}
}

// release gives a shard up. From now on the lease is neither used nor renewed.
// Its row is freed only once the last order decided under it has arrived or
// can no longer be sent, since a freed shard is taken at once. The write is
// asked for again until the row shows it, since one whose answer was lost may
// still land at any time.
func (c *Controller) release(actions *Actions, shard int) {
	held := c.held[shard]
	c.releasing[shard] = held.Epoch
	if time.Now().Before(c.orderedUntil[shard]) {
		return
	}
	release := held.Fence(table.Transaction{})
	release = release.WithWrite(table.Put(lease.Key(shard), lease.Grant{}))
	c.commit(actions, aboutLease+lease.Key(shard), release)
}

// isReleasing tells whether the daemon has begun to give this grant up.
func (c *Controller) isReleasing(held lease.Held) bool {
	return c.releasing[held.Shard] == held.Epoch
}

// Usable returns the held leases that orders and writes may be made under, in
// the order of their shards.
func (c *Controller) Usable() []lease.Held {
	var usable []lease.Held
	for _, held := range c.held {
		if !c.isReleasing(held) && held.Holds(lease.OrderMargin) {
			usable = append(usable, held)
		}
	}
	sort.Slice(usable, func(i, j int) bool {
		return usable[i].Shard < usable[j].Shard
	})
	return usable
}
