package control

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"headcourse/core/group"
	"headcourse/core/lease"
	"headcourse/core/presence"
	"headcourse/core/roster"
	"headcourse/core/vm"
)

// WatchersPerGroup is the number of daemons that probe the members of each group. One of
// them is enough for the group to serve, and none needs a lease.
const WatchersPerGroup = 2

// Target is a VM to probe. IsFree means that no group has the VM, so that it may be probed
// less often.
type Target struct {
	vm.VM
	IsFree bool
}

// ProbeTargets returns the VMs that this daemon probes: members of the groups that it
// watches or controls, and the servers of plain services and free VMs that it watches.
func (c *Controller) ProbeTargets() []Target {
	c.rebuild()
	c.updateLiveDaemons(time.Now())
	var targets []Target
	for _, record := range c.fleet.Groups {
		if !c.watches(record.Name) && !c.controls(record.Name) {
			continue
		}
		for _, member := range record.Members {
			targets = append(targets, Target{
				VM: c.memberVM(member),
			})
		}
	}
	for _, listed := range c.fleet.VMs {
		isFree := listed.Service == "" && c.fleet.Claims[listed.ID].Group == ""
		if (isFree || listed.Service != "") && c.watches(ServerEvidenceName(listed.ID)) {
			targets = append(targets, Target{
				VM:     listed,
				IsFree: isFree,
			})
		}
	}
	return targets
}

// OwnEvidence returns the newest evidence from this daemon's own probes that other daemons need.
func (c *Controller) OwnEvidence() []presence.Evidence {
	c.deriveEvidence()
	evidence := make([]presence.Evidence, 0, len(c.ownEvidence))
	for _, entry := range c.ownEvidence {
		if c.isWorthReporting(entry) {
			evidence = append(evidence, entry)
		}
	}
	return evidence
}

// AllEvidence returns the newest evidence from own probes and from reports that other daemons
// need.
func (c *Controller) AllEvidence() []presence.Evidence {
	return slices.DeleteFunc(c.Evidence().All(), func(entry presence.Evidence) bool {
		return !c.isWorthReporting(entry)
	})
}

// recoveryReportTime is how long evidence that a free VM answers again is reported.
const recoveryReportTime = time.Minute

// isWorthReporting reports whether other daemons need this evidence. They assume that a
// free VM answers, so only a failure or a recent recovery is reported.
func (c *Controller) isWorthReporting(evidence presence.Evidence) bool {
	id, isServer := strings.CutPrefix(evidence.Group, serverEvidencePrefix)
	if !isServer || !evidence.IsWhole || c.vms[id].Service != "" {
		return true
	}
	return time.Since(c.negativeEvidenceAt[evidence.Group]) < recoveryReportTime
}

// recordNegativeEvidence records when evidence showed that a VM or group is not whole.
func (c *Controller) recordNegativeEvidence(evidence []presence.Evidence) {
	for _, entry := range evidence {
		if !entry.IsWhole {
			c.negativeEvidenceAt[entry.Group] = time.Now()
		}
	}
}

// unresponsiveAfter is how long a VM without a group may be unresponsive before evidence shows
// that it is not whole. A free VM is then no longer chosen.
const unresponsiveAfter = 10 * time.Second

// markUnresponsive derives which free VMs are known not to answer. A VM without evidence is
// not marked.
func (c *Controller) markUnresponsive() {
	c.fleet.UnresponsiveVMs = map[string]bool{}
	for _, listed := range c.fleet.VMs {
		evidence, ok := c.evidence.Newest(ServerEvidenceName(listed.ID))
		if ok && !evidence.IsWhole && listed.Domain != "" && c.fleet.Claims[listed.ID].Group == "" {
			c.fleet.UnresponsiveVMs[listed.ID] = true
		}
	}
}

// memberVM returns the VM of a member, even if the VM list lacks it.
func (c *Controller) memberVM(member group.Member) vm.VM {
	if listed, ok := c.vms[member.VM]; ok {
		return listed
	}
	return vm.VM{
		ID:      member.VM,
		Address: member.Address,
	}
}

// maxReportAge is the maximum age of the last report of a daemon that counts as a watcher.
// It is well above the time that a report takes through two relays, so that in a large
// roster running daemons are not replaced as watchers.
const maxReportAge = 5 * time.Second

// watches reports whether this daemon is a watcher of a group: it ranks among the first of
// the live daemons. Daemons may disagree on the ranking; the group then has an additional
// watcher for a while.
func (c *Controller) watches(name string) bool {
	isWatched, ok := c.watchCache[name]
	if !ok {
		rank := c.liveDaemons.Rank("watch/"+name, c.self.ID)
		isWatched = rank >= 0 && rank < WatchersPerGroup
		c.watchCache[name] = isWatched
	}
	return isWatched
}

// updateLiveDaemons derives which daemons reported recently.
func (c *Controller) updateLiveDaemons(now time.Time) {
	var live roster.Roster
	for _, daemon := range c.roster {
		report, _ := c.contact.Report(daemon.ID)
		if daemon.ID == c.self.ID || now.Sub(report.ObservedAt) <= maxReportAge {
			live = append(live, daemon)
		}
	}
	if !slices.Equal(live, c.liveDaemons) {
		c.liveDaemons = live
		c.watchCache = map[string]bool{}
	}
}

// controls reports whether this daemon holds the lease on a group's shard.
func (c *Controller) controls(name string) bool {
	held, ok := c.heldLeases[ShardOf(name)]
	return ok && held.IsValid(0)
}

// ShardOf returns the control shard of a group or plan.
func ShardOf(name string) int {
	return int(xxhash.Sum64String(name) % lease.ShardCount)
}

// shardRankKey returns the key by which daemons are ranked for a shard.
func shardRankKey(shard int) string {
	return "shard/" + strconv.Itoa(shard)
}

// deriveEvidence derives evidence from all probes that changed since the last call.
func (c *Controller) deriveEvidence() {
	if len(c.changedProbes) == 0 {
		return
	}
	c.rebuild()
	var derived []presence.Evidence
	for _, record := range c.fleet.Groups {
		if slices.ContainsFunc(record.Members, c.hasChangedProbe) {
			derived = append(derived, c.deriveGroupEvidence(record))
		}
	}
	for id := range c.changedProbes {
		listed, ok := c.vms[id]
		if ok && (listed.Service != "" || c.fleet.Claims[id].Group == "") {
			derived = append(derived, c.deriveServerEvidence(id))
		}
	}
	c.changedProbes = map[string]bool{}
	for _, entry := range derived {
		c.ownEvidence[entry.Group] = entry
	}
	c.recordNegativeEvidence(derived)
	c.evidence = c.evidence.WithEvidence(derived...)
}

// hasChangedProbe reports whether a member's probe changed.
func (c *Controller) hasChangedProbe(member group.Member) bool {
	return c.changedProbes[member.VM]
}

// deriveServerEvidence derives evidence of a VM that belongs to no group: a server of a
// plain service, or a free VM.
func (c *Controller) deriveServerEvidence(id string) presence.Evidence {
	latest := c.probes[id]
	evidence := presence.Evidence{
		Group:      ServerEvidenceName(id),
		IsWhole:    !latest.lastAnsweredAt.IsZero() && !latest.state.Leaving,
		ObservedAt: latest.lastAnsweredAt,
	}
	since := latest.lastAnsweredAt
	if since.IsZero() {
		since = latest.firstProbedAt
	}
	if latest.isRefused || time.Since(since) > unresponsiveAfter {
		evidence.IsWhole = false
		evidence.ObservedAt = time.Now()
	}
	return evidence
}

// deriveGroupEvidence derives evidence of a group: whole as of its oldest answer, or not
// whole as of the newest evidence against it.
func (c *Controller) deriveGroupEvidence(record group.Record) presence.Evidence {
	evidence := presence.Evidence{
		Group:      record.Name,
		Generation: record.Generation,
		IsWhole:    len(record.Members) > 0,
	}
	var notWholeAt time.Time
	for i, member := range record.Members {
		latest := c.probes[member.VM]
		isLoadedMember := latest.state.Group == record.Name && latest.state.Generation == record.Generation && latest.state.Loaded
		switch {
		case latest.isRefused:
			notWholeAt = time.Now()
		case latest.lastAnsweredAt.IsZero():
			evidence.IsWhole = false
		case !isLoadedMember && latest.lastAnsweredAt.After(notWholeAt):
			notWholeAt = latest.lastAnsweredAt
		}
		if i == 0 {
			evidence.InFlight = latest.state.InFlight
			evidence.Slots = latest.state.Slots
			evidence.ObservedAt = latest.lastAnsweredAt
		}
		if latest.lastAnsweredAt.Before(evidence.ObservedAt) {
			evidence.ObservedAt = latest.lastAnsweredAt
		}
	}
	if !notWholeAt.IsZero() {
		evidence.IsWhole = false
		evidence.ObservedAt = notWholeAt
	}
	return evidence
}
