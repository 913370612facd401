// Package control makes the control decisions of one daemon.
//
// A Controller is owned by one goroutine. The daemon passes in what it observes: rows of
// the table, the VM list, probes, reports of other daemons, outcomes of transactions. Step
// returns what to do: transactions to commit and orders to send. The Controller does no I/O
// and reads the time from the runtime's clock, so that tests can run failures against the
// same code.
//
// Observations may be late, repeated or out of order. Safety does not depend on them: every
// transaction is conditional on the rows on which the decision is based and on the epoch of
// the lease under which it was made.
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

// Commit is a transaction to be committed. Name identifies its purpose: at most one commit
// with the same Name is pending at a time.
type Commit struct {
	Name        string
	Transaction table.Transaction
	SentAt      time.Time
}

// OutgoingOrder is an order to be sent to a member. The sender checks Lease again immediately
// before it writes.
type OutgoingOrder struct {
	VM      string
	Address string
	Order   order.Order
	Lease   lease.Lease
}

// Actions is the result of Step.
type Actions struct {
	Commits []Commit
	Orders  []OutgoingOrder
	// NeedsRefresh requests a read of the store now, because a commit failed and known rows
	// may be stale.
	NeedsRefresh bool
}

// probe is the latest probe result of one backend server.
type probe struct {
	state order.ServerState
	// lastAnsweredAt is the start of the last probe that was answered.
	lastAnsweredAt time.Time
	// firstProbedAt is when this daemon started to probe the server.
	firstProbedAt time.Time
	// isRefused is set if the latest probe's connection was refused.
	isRefused bool
}

// rowObservation is when a version of a row was first observed here.
type rowObservation struct {
	version         uint64
	firstObservedAt time.Time
}

// logEntry is an entry of the log of changed rows that other daemons read.
type logEntry struct {
	position int
	key      string
}

// Controller is the control state of one daemon. Use New to create one.
type Controller struct {
	self      roster.Daemon
	isLeaving bool
	startedAt time.Time

	repairer Repairer

	rows         catalog.Catalog
	changeLog    []logEntry
	logPosition  int
	prunedAt     time.Time
	fleet        plan.FleetState
	fleetReader  plan.Reader
	isFleetStale bool
	roster       roster.Roster
	// liveDaemons are the daemons whose reports are recent, and this one. watchCache caches by
	// evidence name whether this daemon is a watcher.
	liveDaemons roster.Roster
	watchCache  map[string]bool

	vms    map[string]vm.VM
	probes map[string]probe
	// changedProbes are the VMs whose probes changed since evidence was last derived.
	changedProbes map[string]bool
	// ownEvidence is the newest evidence from this daemon's own probes, by name.
	ownEvidence map[string]presence.Evidence
	// negativeEvidenceAt is when evidence last showed that a VM or group is not whole, by
	// name.
	negativeEvidenceAt map[string]time.Time
	evidence           presence.EvidenceSet
	contact            contact.Contact
	heldLeases         map[int]lease.Lease
	// releasingEpochs holds the epochs of leases that are being released, by shard.
	releasingEpochs map[int]uint64
	grantCache      [lease.ShardCount]cachedGrant
	// lastOrderExpiry is the time by which the last order of each shard has arrived.
	lastOrderExpiry [lease.ShardCount]time.Time
	rowObservations map[string]rowObservation
	suspectSince    map[string]time.Time
	lastOrderAt     map[string]time.Time
	orderSequence   uint64
	pendingCommits  map[string]bool

	renewedAt      time.Time
	renewCount     uint64
	lastHandOverAt time.Time
	needsRefresh   bool
}

// Repairer chooses the remedy for a group that lost members.
type Repairer interface {
	Repair(loss placement.Loss, domains []placement.Domain, weights declaration.Weights) (placement.Remedy, placement.Choice)
}

// SetRepairer replaces the repair policy. The default is placement.CostBased.
func (c *Controller) SetRepairer(repairer Repairer) {
	c.repairer = repairer
}

// New returns the controller of a daemon that has observed nothing yet.
func New(self roster.Daemon) *Controller {
	return &Controller{
		self:               self,
		startedAt:          time.Now(),
		repairer:           placement.CostBased{},
		vms:                map[string]vm.VM{},
		probes:             map[string]probe{},
		changedProbes:      map[string]bool{},
		ownEvidence:        map[string]presence.Evidence{},
		negativeEvidenceAt: map[string]time.Time{},
		heldLeases:         map[int]lease.Lease{},
		releasingEpochs:    map[int]uint64{},
		rowObservations:    map[string]rowObservation{},
		suspectSince:       map[string]time.Time{},
		lastOrderAt:        map[string]time.Time{},
		pendingCommits:     map[string]bool{},
		watchCache:         map[string]bool{},
		isFleetStale:       true,
	}
}

// Step returns what to do now.
func (c *Controller) Step() Actions {
	now := time.Now()
	c.rebuild()
	c.deriveEvidence()
	actions := &Actions{}
	c.prune(now)
	c.markUnresponsive()
	c.stepRoster(actions, now)
	c.stepLeases(actions, now)
	c.stepGroups(actions, now)
	c.stepPlans(actions)
	actions.NeedsRefresh = c.needsRefresh
	c.needsRefresh = false
	return *actions
}

// requestCommit adds a commit to the actions unless one with the same name is pending.
func (c *Controller) requestCommit(actions *Actions, name string, transaction table.Transaction) {
	if c.pendingCommits[name] {
		return
	}
	c.pendingCommits[name] = true
	actions.Commits = append(actions.Commits, Commit{
		Name:        name,
		Transaction: transaction,
		SentAt:      time.Now(),
	})
}

// ----------------------------------------------------------------------------
// Observations

// ApplyScan adds rows that a scan of the store returned. The scan started at startedAt and
// was complete up to version.
func (c *Controller) ApplyScan(rows []table.Row, version uint64, startedAt time.Time) {
	c.addRows(rows)
	c.rows = c.rows.WithReadVersion(version)
	c.contact = c.contact.WithStoreRead(startedAt)
}

// ApplyRows adds rows from another source: a peer, or an incomplete scan.
func (c *Controller) ApplyRows(rows []table.Row) {
	c.addRows(rows)
}

// ApplyReports adds reports of which configuration daemons hold, and evidence of groups and VMs.
func (c *Controller) ApplyReports(reports []contact.Report, evidence []presence.Evidence) {
	c.recordNegativeEvidence(evidence)
	c.contact = c.contact.WithReports(reports...)
	c.evidence = c.evidence.WithEvidence(evidence...)
}

// ApplyVMList replaces the VM list.
func (c *Controller) ApplyVMList(listed []vm.VM) {
	vms := make(map[string]vm.VM, len(listed))
	for _, entry := range listed {
		vms[entry.ID] = entry
	}
	c.vms = vms
	c.isFleetStale = true
}

// RecordAnsweredProbe records a probe of a VM that started at startedAt and was answered.
func (c *Controller) RecordAnsweredProbe(id string, startedAt time.Time, state order.ServerState) {
	latest := c.probes[id]
	if latest.firstProbedAt.IsZero() {
		latest.firstProbedAt = startedAt
	}
	if startedAt.Before(latest.lastAnsweredAt) {
		return
	}
	latest.state = state
	latest.lastAnsweredAt = startedAt
	latest.isRefused = false
	c.probes[id] = latest
	c.changedProbes[id] = true
}

// RecordUnansweredProbe records a probe of a VM that was not answered. isRefused means that
// the connection was refused, which proves that no server runs there.
func (c *Controller) RecordUnansweredProbe(id string, startedAt time.Time, isRefused bool) {
	latest := c.probes[id]
	if latest.firstProbedAt.IsZero() {
		latest.firstProbedAt = startedAt
	}
	latest.isRefused = isRefused && startedAt.After(latest.lastAnsweredAt)
	c.probes[id] = latest
	c.changedProbes[id] = true
}

// RecordCommit records the outcome of a commit that Step requested.
func (c *Controller) RecordCommit(commit Commit, version uint64, err error) {
	delete(c.pendingCommits, commit.Name)
	if err != nil {
		c.needsRefresh = true
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
	if commit.Name == renewalCommit {
		c.extendLeases(commit)
	}
}

// addRows adds rows and marks the state derived from them as stale.
func (c *Controller) addRows(rows []table.Row) {
	var changed []table.Row
	c.rows, changed = c.rows.WithRows(rows)
	now := time.Now()
	for _, row := range changed {
		c.rowObservations[row.Key] = rowObservation{
			version:         row.Version,
			firstObservedAt: now,
		}
		if isLeaseRow(row.Key) {
			// Lease rows matter only to daemons that reach the store, and they change too
			// often to be passed on to all daemons.
			continue
		}
		c.isFleetStale = true
		c.logPosition++
		c.changeLog = append(c.changeLog, logEntry{
			position: c.logPosition,
			key:      row.Key,
		})
	}
	c.compactLog()
}

// maxSupersededEntries is how many superseded entries the change log may hold.
const maxSupersededEntries = 4096

// compactLog drops superseded entries: only the last entry of a key is needed.
func (c *Controller) compactLog() {
	if len(c.changeLog) <= maxSupersededEntries+c.rows.Len() {
		return
	}
	last := map[string]int{}
	for _, entry := range c.changeLog {
		last[entry.key] = entry.position
	}
	compacted := make([]logEntry, 0, len(last))
	for _, entry := range c.changeLog {
		if last[entry.key] == entry.position {
			compacted = append(compacted, entry)
		}
	}
	c.changeLog = compacted
}

// isLeaseRow reports whether a key is that of a lease or renewal row, on which the fleet
// state does not depend.
func isLeaseRow(key string) bool {
	return hasPrefix(key, lease.KeyPrefix) || hasPrefix(key, lease.RenewalPrefix)
}

// hasPrefix reports whether key begins with prefix.
func hasPrefix(key, prefix string) bool {
	return len(key) >= len(prefix) && key[:len(prefix)] == prefix
}

// rebuild derives the fleet state and the roster from the rows if they changed.
func (c *Controller) rebuild() {
	if !c.isFleetStale {
		return
	}
	listed := make([]vm.VM, 0, len(c.vms))
	for _, entry := range c.vms {
		listed = append(listed, entry)
	}
	fleet, err := c.fleetReader.FleetState(c.rows, listed)
	if err != nil {
		// The previous state stays in force. A row that cannot be decoded is left to a daemon
		// that can decode it.
		return
	}
	c.fleet = fleet
	c.roster = roster.FromCatalog(c.rows)
	c.isFleetStale = false
}

const (
	pruneInterval = 10 * time.Second
	// observationMaxAge is the age after which an observation is of no use.
	observationMaxAge = 2 * time.Minute
)

// prune drops old observations.
func (c *Controller) prune(now time.Time) {
	if now.Sub(c.prunedAt) < pruneInterval {
		return
	}
	c.prunedAt = now
	c.evidence = c.evidence.WithoutEvidenceBefore(now.Add(-observationMaxAge))
	c.contact = c.contact.WithoutReportsBefore(now.Add(-observationMaxAge))
	for id, since := range c.suspectSince {
		if now.Sub(since) > suspectTime {
			delete(c.suspectSince, id)
		}
	}
	for name, at := range c.negativeEvidenceAt {
		if now.Sub(at) > observationMaxAge {
			delete(c.negativeEvidenceAt, name)
		}
	}
	for name, evidence := range c.ownEvidence {
		if now.Sub(evidence.ObservedAt) > observationMaxAge {
			delete(c.ownEvidence, name)
		}
	}
	for id, latest := range c.probes {
		if now.Sub(latest.lastAnsweredAt) > observationMaxAge && now.Sub(latest.firstProbedAt) > observationMaxAge {
			delete(c.probes, id)
		}
	}
}

// ----------------------------------------------------------------------------
// Access to the state

// Self returns the daemon's own entry.
func (c *Controller) Self() roster.Daemon {
	return c.self
}

// Leave makes the next steps release all leases and then leave the roster.
func (c *Controller) Leave() {
	c.isLeaving = true
}

// FleetState returns the state of the fleet as observed so far.
func (c *Controller) FleetState() plan.FleetState {
	c.rebuild()
	c.markUnresponsive()
	return c.fleet
}

// Roster returns the daemons as observed so far.
func (c *Controller) Roster() roster.Roster {
	c.rebuild()
	return c.roster
}

// Contact returns the time of the last read of the store and the newest reports of daemons.
func (c *Controller) Contact() contact.Contact {
	return c.contact
}

// Evidence returns the newest evidence of every group and VM.
func (c *Controller) Evidence() presence.EvidenceSet {
	c.deriveEvidence()
	return c.evidence
}

// HeldLeases returns the leases whose rows name this daemon, ordered by shard. They may have
// expired.
func (c *Controller) HeldLeases() []lease.Lease {
	held := make([]lease.Lease, 0, len(c.heldLeases))
	for _, entry := range c.heldLeases {
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

// ScannedVersion returns the version up to which the store was read completely.
func (c *Controller) ScannedVersion() uint64 {
	return c.rows.ReadVersion()
}

// OwnReport returns the daemon's report of itself.
func (c *Controller) OwnReport() contact.Report {
	return contact.Report{
		Daemon:        c.self.ID,
		ConfigVersion: c.ConfigVersion(),
		ObservedAt:    time.Now(),
	}
}

// ChangedRows returns at most limit rows that changed after a position in the daemon's change
// log, the position to continue from, and whether there are more rows. A position beyond
// the end of this log counts as 0.
func (c *Controller) ChangedRows(position, limit int) (rows []table.Row, next int, more bool) {
	if position < 0 || position > c.logPosition {
		position = 0
	}
	all := c.rows.ByKey()
	isIncluded := map[string]bool{}
	first := sort.Search(len(c.changeLog), func(i int) bool {
		return c.changeLog[i].position > position
	})
	for _, entry := range c.changeLog[first:] {
		if len(rows) == limit {
			return rows, position, true
		}
		position = entry.position
		if !isIncluded[entry.key] {
			isIncluded[entry.key] = true
			rows = append(rows, all[entry.key])
		}
	}
	return rows, c.logPosition, false
}
