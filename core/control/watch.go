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

// Watchers is the number of daemons that probe the members of each group. Any
// one of them is enough for the group to serve; none needs a lease.
const Watchers = 2

// Target is a VM to probe. IsFree tells that no group has it, so that it may be
// probed seldom.
type Target struct {
	vm.VM
	IsFree bool
}

// Targets returns the VMs that this daemon probes: members of the groups that
// it watches or controls, and those servers of plain services and free VMs that
// it watches.
func (c *Controller) Targets() []Target {
	c.rebuild()
	c.noteAlive(time.Now())
	var targets []Target
	for _, record := range c.world.Groups {
		if !c.watches(record.Name) && !c.controls(record.Name) {
			continue
		}
		for _, member := range record.Members {
			targets = append(targets, Target{
				VM: c.memberVM(member),
			})
		}
	}
	for _, listed := range c.world.VMs {
		isFree := listed.Service == "" && c.world.Claims[listed.ID].Group == ""
		if (isFree || listed.Service != "") && c.watches(ServerEvidence(listed.ID)) {
			targets = append(targets, Target{
				VM:     listed,
				IsFree: isFree,
			})
		}
	}
	return targets
}

// OwnEvidence returns the newest evidence that this daemon observed itself.
func (c *Controller) OwnEvidence() []presence.Evidence {
	c.judge()
	evidence := make([]presence.Evidence, 0, len(c.observed))
	for _, one := range c.observed {
		if c.isWorthTelling(one) {
			evidence = append(evidence, one)
		}
	}
	return evidence
}

// AllEvidence returns the newest evidence that this daemon observed or heard.
func (c *Controller) AllEvidence() []presence.Evidence {
	return slices.DeleteFunc(c.Book().All(), func(one presence.Evidence) bool {
		return !c.isWorthTelling(one)
	})
}

// recoveredFor is how long others are told that a free VM is well again.
const recoveredFor = time.Minute

// isWorthTelling tells whether others need evidence. That a free VM is well is
// what they assume; only that it is not, or is again, is news.
func (c *Controller) isWorthTelling(one presence.Evidence) bool {
	id, isAlone := strings.CutPrefix(one.Group, serverPrefix)
	if !isAlone || !one.Whole || c.vms[id].Service != "" {
		return true
	}
	return time.Since(c.badAt[one.Group]) < recoveredFor
}

// noteBad remembers when evidence spoke against a VM or group.
func (c *Controller) noteBad(evidence []presence.Evidence) {
	for _, one := range evidence {
		if !one.Whole {
			c.badAt[one.Group] = time.Now()
		}
	}
}

// unwellAfter is how long a free VM may be silent and still be chosen.
const unwellAfter = 10 * time.Second

// noteUnwell derives which free VMs are known not to answer. One of which
// nothing is known counts as well.
func (c *Controller) noteUnwell() {
	c.world.Unwell = map[string]bool{}
	for _, listed := range c.world.VMs {
		evidence, ok := c.book.Newest(ServerEvidence(listed.ID))
		if ok && !evidence.Whole && listed.Domain != "" && c.world.Claims[listed.ID].Group == "" {
			c.world.Unwell[listed.ID] = true
		}
	}
}

// memberVM returns the VM of a member, also where the list lacks it.
func (c *Controller) memberVM(member group.Member) vm.VM {
	if listed, ok := c.vms[member.VM]; ok {
		return listed
	}
	return vm.VM{
		ID:      member.VM,
		Address: member.Address,
	}
}

// heardFor is how lately a daemon must have been heard to count on its watching.
// It is well above the time that a report takes through two relays, so that a
// large roster does not take daemons for gone and watch in their stead.
const heardFor = 5 * time.Second

// watches tells whether this daemon is among the watchers of a group: it ranks
// among the first of those daemons that were heard lately. Daemons may differ
// on who that is; then a group has a watcher more for a while.
func (c *Controller) watches(name string) bool {
	known, ok := c.watched[name]
	if !ok {
		rank := c.alive.Rank("watch/"+name, c.self.ID)
		known = rank >= 0 && rank < Watchers
		c.watched[name] = known
	}
	return known
}

// noteAlive derives which daemons were heard lately.
func (c *Controller) noteAlive(now time.Time) {
	var alive roster.Roster
	for _, daemon := range c.roster {
		report, _ := c.contact.Report(daemon.ID)
		if daemon.ID == c.self.ID || now.Sub(report.At) <= heardFor {
			alive = append(alive, daemon)
		}
	}
	if !slices.Equal(alive, c.alive) {
		c.alive = alive
		c.watched = map[string]bool{}
	}
}

// controls tells whether this daemon holds the lease on a group's shard.
func (c *Controller) controls(name string) bool {
	held, ok := c.held[ShardOf(name)]
	return ok && held.Holds(0)
}

// ShardOf returns the shard of control that a group or plan belongs to.
func ShardOf(name string) int {
	return int(xxhash.Sum64String(name) % lease.Shards)
}

// shardName names a shard as work to be ranked.
func shardName(shard int) string {
	return "shard/" + strconv.Itoa(shard)
}

// judge derives evidence from all probes that changed since it was last done.
func (c *Controller) judge() {
	if len(c.unjudged) == 0 {
		return
	}
	c.rebuild()
	var found []presence.Evidence
	for _, record := range c.world.Groups {
		if slices.ContainsFunc(record.Members, c.isUnjudged) {
			found = append(found, c.judgeGroup(record))
		}
	}
	for id := range c.unjudged {
		listed, ok := c.vms[id]
		if ok && (listed.Service != "" || c.world.Claims[id].Group == "") {
			found = append(found, c.judgeServer(id))
		}
	}
	c.unjudged = map[string]bool{}
	for _, one := range found {
		c.observed[one.Group] = one
	}
	c.noteBad(found)
	c.book = c.book.WithEvidence(found...)
}

// isUnjudged tells whether a member's probe changed.
func (c *Controller) isUnjudged(member group.Member) bool {
	return c.unjudged[member.VM]
}

// judgeServer derives evidence of a VM that stands for itself: one of a plain
// service, or a free one.
func (c *Controller) judgeServer(id string) presence.Evidence {
	known := c.probes[id]
	evidence := presence.Evidence{
		Group: ServerEvidence(id),
		Whole: !known.answeredAt.IsZero() && !known.state.Leaving,
		At:    known.answeredAt,
	}
	since := known.answeredAt
	if since.IsZero() {
		since = known.firstAt
	}
	if known.refused || time.Since(since) > unwellAfter {
		evidence.Whole = false
		evidence.At = time.Now()
	}
	return evidence
}

// judgeGroup derives evidence of a group: whole as of its oldest answer, or
// not whole as of the newest word against it.
func (c *Controller) judgeGroup(record group.Record) presence.Evidence {
	evidence := presence.Evidence{
		Group:      record.Name,
		Generation: record.Generation,
		Whole:      len(record.Members) > 0,
	}
	var against time.Time
	for i, member := range record.Members {
		known := c.probes[member.VM]
		isPart := known.state.Group == record.Name && known.state.Generation == record.Generation && known.state.Loaded
		switch {
		case known.refused:
			against = time.Now()
		case known.answeredAt.IsZero():
			evidence.Whole = false
		case !isPart && known.answeredAt.After(against):
			against = known.answeredAt
		}
		if i == 0 {
			evidence.InFlight = known.state.InFlight
			evidence.Slots = known.state.Slots
			evidence.At = known.answeredAt
		}
		if known.answeredAt.Before(evidence.At) {
			evidence.At = known.answeredAt
		}
	}
	if !against.IsZero() {
		evidence.Whole = false
		evidence.At = against
	}
	return evidence
}
