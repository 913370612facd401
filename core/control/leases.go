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

// Names of commits. Some are prefixes of a name.
const (
	renewalCommit      = "renew leases"
	joinCommit         = "join roster"
	leaveCommit        = "leave roster"
	removeCommitPrefix = "remove daemon "
	leaseCommitPrefix  = "lease of "
)

// Times of the roster and of moving shards between daemons.
const (
	// DaemonRemovalTimeout is how long a daemon may be out of contact before it is removed
	// from the roster. It is above contact.MaxContactAge, so that the remaining daemons have
	// observed everything that was accepted before.
	DaemonRemovalTimeout = 30 * time.Second
	// takeOverDelayPerRank is how much longer each lower-ranked daemon waits before it
	// takes over a free shard.
	takeOverDelayPerRank = 700 * time.Millisecond
	// handOverInterval is the minimum time between two shards that this daemon hands over
	// to higher-ranked daemons.
	handOverInterval = 2 * time.Second
)

// stepRoster joins or leaves the roster. If this daemon holds the lease on shard 0, it also
// removes daemons that have been out of contact for DaemonRemovalTimeout.
func (c *Controller) stepRoster(actions *Actions, now time.Time) {
	key := roster.Key(c.self.ID)
	row := c.rows.Row(key)
	if c.isLeaving {
		if row.Version != 0 && len(c.heldLeases) == 0 {
			c.requestCommit(actions, leaveCommit, c.removalTransaction(c.self.ID))
		}
		return
	}
	if c.rows.ReadVersion() == 0 {
		return
	}
	if row.Version == 0 {
		// Joining is conditional on the known configuration version, so that a new daemon
		// never takes part in a majority without the newest configuration.
		join := table.Transaction{}
		join = join.WithCondition(key, 0)
		join = join.WithCondition(plan.ConfigKey, c.rows.Row(plan.ConfigKey).Version)
		join = join.WithWrite(table.Put(key, c.self))
		c.requestCommit(actions, joinCommit, join)
		return
	}
	if held, ok := c.heldLeases[0]; ok && held.IsValid(0) {
		c.removeUnresponsiveDaemon(actions, held, now)
	}
}

// removalTransaction returns the transaction that removes a daemon from the roster.
func (c *Controller) removalTransaction(id string) table.Transaction {
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

// removeUnresponsiveDaemon removes one daemon that has been out of contact for
// DaemonRemovalTimeout from the roster.
func (c *Controller) removeUnresponsiveDaemon(actions *Actions, held lease.Lease, now time.Time) {
	for _, daemon := range c.roster {
		if daemon.ID == c.self.ID || now.Sub(c.lastContactWith(daemon.ID)) < DaemonRemovalTimeout {
			continue
		}
		if now.Sub(c.rowObservations[roster.Key(daemon.ID)].firstObservedAt) < DaemonRemovalTimeout {
			continue
		}
		c.requestCommit(actions, removeCommitPrefix+daemon.ID, held.Fence(c.removalTransaction(daemon.ID)))
		return
	}
}

// lastContactWith returns when a daemon last reported or was last observed to renew its
// lease.
func (c *Controller) lastContactWith(id string) time.Time {
	report, _ := c.contact.Report(id)
	renewal := c.rowObservations[lease.RenewalKey(id)].firstObservedAt
	if renewal.After(report.ObservedAt) {
		return renewal
	}
	return report.ObservedAt
}

// ----------------------------------------------------------------------------
// Leases

// stepLeases renews held leases, drops lost ones, takes over free ones, and hands over those for
// which another daemon ranks first.
func (c *Controller) stepLeases(actions *Actions, now time.Time) {
	c.syncHeldLeases()
	if c.isLeaving {
		for _, held := range c.HeldLeases() {
			c.releaseShard(actions, held.Shard)
		}
		return
	}
	c.requestRenewal(actions, now)
	rank := c.roster.Rank("", c.self.ID)
	if rank < 0 || now.Sub(c.contact.LastStoreRead()) > contact.MaxContactAge {
		return
	}
	for shard := range lease.ShardCount {
		held, ok := c.heldLeases[shard]
		switch {
		case !ok:
			c.takeOverShard(actions, shard, now)
		case c.isReleasing(held):
			c.releaseShard(actions, shard)
		default:
			c.handOverShard(actions, shard, now)
		}
	}
}

// syncHeldLeases compares the held leases with their rows. A lease whose row names this daemon
// is adopted, also if the answer to its grant was lost or late. Its expiry is zero at first, so
// that it is not used before a renewal has succeeded.
func (c *Controller) syncHeldLeases() {
	for shard := range lease.ShardCount {
		row := c.rows.Row(lease.Key(shard))
		isOwn := row.Version != 0 && c.holderOf(shard, row) == c.self.ID
		held, ok := c.heldLeases[shard]
		switch {
		case !isOwn:
			delete(c.heldLeases, shard)
		case !ok || held.Epoch != row.Version:
			c.heldLeases[shard] = lease.Lease{
				Shard: shard,
				Epoch: row.Version,
			}
		}
	}
}

// cachedGrant is a decoded lease row.
type cachedGrant struct {
	version uint64
	holder  string
}

// holderOf returns the holder of a shard according to its row, or "" if there is none or the row
// cannot be decoded. Each version of a row is decoded once.
func (c *Controller) holderOf(shard int, row table.Row) string {
	if cached := c.grantCache[shard]; cached.version == row.Version {
		return cached.holder
	}
	var grant lease.Grant
	if err := row.Decode(&grant); err != nil {
		return ""
	}
	c.grantCache[shard] = cachedGrant{
		version: row.Version,
		holder:  grant.Holder,
	}
	return grant.Holder
}

// requestRenewal requests one renewal of all leases that are not being released, if one is due.
// It is conditional on holding each of them.
func (c *Controller) requestRenewal(actions *Actions, now time.Time) {
	isDue, count := false, 0
	for _, held := range c.heldLeases {
		if c.isReleasing(held) {
			continue
		}
		count++
		isDue = isDue || held.Expires.IsZero()
	}
	isDue = isDue || now.Sub(c.renewedAt) >= lease.RenewInterval
	if count == 0 || !isDue || c.pendingCommits[renewalCommit] {
		return
	}
	c.renewCount++
	key := lease.RenewalKey(c.self.ID)
	renewal := table.Transaction{}
	renewal = renewal.WithCondition(key, c.rows.Row(key).Version)
	renewal = renewal.WithWrite(table.Put(key, lease.Renewal{
		Count: c.renewCount,
	}))
	for _, held := range c.HeldLeases() {
		if !c.isReleasing(held) {
			renewal = held.Fence(renewal)
		}
	}
	c.requestCommit(actions, renewalCommit, renewal)
}

// extendLeases extends the leases that a renewal was conditional on. The term runs from
// when the renewal was sent, not from its answer.
func (c *Controller) extendLeases(commit Commit) {
	c.renewedAt = commit.SentAt
	for _, condition := range commit.Transaction.Conditions {
		for shard, held := range c.heldLeases {
			isRenewed := lease.Key(shard) == condition.Key && held.Epoch == condition.Version
			if isRenewed && !c.isReleasing(held) {
				held.Expires = commit.SentAt.Add(lease.Term)
				c.heldLeases[shard] = held
			}
		}
	}
}

// takeOverShard requests the lease of a shard that is free or whose holder has stopped
// renewing.
func (c *Controller) takeOverShard(actions *Actions, shard int, now time.Time) {
	row := c.rows.Row(lease.Key(shard))
	grant := table.Transaction{}
	grant = grant.WithCondition(row.Key, row.Version)
	freeSince := c.startedAt
	delay := time.Duration(c.roster.Rank(shardRankKey(shard), c.self.ID)) * takeOverDelayPerRank
	if row.Version != 0 {
		holder := c.holderOf(shard, row)
		if holder == c.self.ID {
			return
		}
		freeSince = c.rowObservations[row.Key].firstObservedAt
		if holder != "" {
			renewal := c.rows.Row(lease.RenewalKey(holder))
			grant = grant.WithCondition(renewal.Key, renewal.Version)
			delay += lease.Term + lease.TakeOverMargin
			if observed := c.rowObservations[renewal.Key]; observed.firstObservedAt.After(freeSince) {
				freeSince = observed.firstObservedAt
			}
		}
	}
	if now.Sub(freeSince) < delay {
		return
	}
	grant = grant.WithWrite(table.Put(row.Key, lease.Grant{
		Holder: c.self.ID,
	}))
	c.requestCommit(actions, leaseCommitPrefix+row.Key, grant)
}

// handOverShard releases a shard if another daemon that reported recently ranks first for
// it, so that daemons that joined later get their share of the work.
func (c *Controller) handOverShard(actions *Actions, shard int, now time.Time) {
	if now.Sub(c.lastHandOverAt) < handOverInterval || c.roster.Rank(shardRankKey(shard), c.self.ID) == 0 {
		return
	}
	for _, daemon := range c.roster {
		if c.roster.Rank(shardRankKey(shard), daemon.ID) != 0 {
			continue
		}
		report, ok := c.contact.Report(daemon.ID)
		if ok && now.Sub(report.ObservedAt) < contact.MaxContactAge/2 {
			c.lastHandOverAt = now
			c.releaseShard(actions, shard)
		}
		return
	}
}

// releaseShard releases a shard. From this call on the lease is neither used nor renewed.
// The row is freed only after the last order under the lease has arrived or can no longer
// be sent, since a free shard is taken over immediately. The write is requested again until
// the row shows it, since a write whose answer was lost may still be applied at any time.
func (c *Controller) releaseShard(actions *Actions, shard int) {
	held := c.heldLeases[shard]
	c.releasingEpochs[shard] = held.Epoch
	if time.Now().Before(c.lastOrderExpiry[shard]) {
		return
	}
	release := held.Fence(table.Transaction{})
	release = release.WithWrite(table.Put(lease.Key(shard), lease.Grant{}))
	c.requestCommit(actions, leaseCommitPrefix+lease.Key(shard), release)
}

// isReleasing reports whether the daemon is releasing this grant.
func (c *Controller) isReleasing(held lease.Lease) bool {
	return c.releasingEpochs[held.Shard] == held.Epoch
}

// UsableLeases returns the held leases under which orders and writes may be made, ordered by
// shard.
func (c *Controller) UsableLeases() []lease.Lease {
	var usable []lease.Lease
	for _, held := range c.heldLeases {
		if !c.isReleasing(held) && held.IsValid(lease.OrderMargin) {
			usable = append(usable, held)
		}
	}
	sort.Slice(usable, func(i, j int) bool {
		return usable[i].Shard < usable[j].Shard
	})
	return usable
}
