package fleet

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/contact"
	"headcourse/core/group"
	"headcourse/core/lease"
	"headcourse/core/order"
	"headcourse/core/plan"
	"headcourse/core/presence"
	"headcourse/core/table"
	"headcourse/core/vm"
)

// ----------------------------------------------------------------------------
// The oracle

// fail notes a broken promise.
func (f *Fleet) fail(format string, arguments ...any) {
	f.Broken = append(f.Broken, fmt.Sprintf(format, arguments...))
}

// groupsIn returns the groups in a table.
func groupsIn(rows map[string]table.Row) []group.Record {
	var found []group.Record
	for key, row := range rows {
		if len(key) < len(group.KeyPrefix) || key[:len(group.KeyPrefix)] != group.KeyPrefix || row.Deleted {
			continue
		}
		var record group.Record
		if row.Decode(&record) == nil {
			found = append(found, record)
		}
	}
	return found
}

// checkCommit checks, after every commit, that no VM is in two groups, that
// claims and members agree, that a daemon changed groups and plans only while
// it held their shard, and that no two plans under way change one group, zone or VM.
func (f *Fleet) checkCommit(transaction table.Transaction, rows map[string]table.Row) {
	owner := map[string]string{}
	for _, record := range groupsIn(rows) {
		for _, member := range record.Members {
			if first, ok := owner[member.VM]; ok {
				f.fail("VM %s is in %s and in %s", member.VM, first, record.Name)
			}
			owner[member.VM] = record.Name
			var claim vm.Claim
			row := rows[vm.Key(member.VM)]
			if row.Version == 0 || row.Decode(&claim) != nil || claim.Group != record.Name {
				f.fail("VM %s is a member of %s but claimed by %q", member.VM, record.Name, claim.Group)
			}
		}
	}
	f.checkAuthor(transaction, rows)
	f.checkPlans(rows)
}

// checkAuthor checks that a daemon that changed a group or a plan held a lease
// that the change was conditional on.
func (f *Fleet) checkAuthor(transaction table.Transaction, rows map[string]table.Row) {
	author, _, isDaemon := strings.Cut(transaction.ID, "/")
	if !isDaemon {
		return
	}
	isHolder := false
	for _, held := range transaction.Conditions {
		var grant lease.Grant
		row := rows[held.Key]
		isLease := strings.HasPrefix(held.Key, lease.KeyPrefix)
		isHolder = isHolder || (isLease && row.Decode(&grant) == nil && grant.Holder == author)
	}
	for _, write := range transaction.Writes {
		isGroup := strings.HasPrefix(write.Key, group.KeyPrefix)
		isPlan := strings.HasPrefix(write.Key, plan.KeyPrefix)
		if (isGroup || isPlan) && !isHolder {
			f.fail("%s wrote %s without holding a lease", author, write.Key)
		}
	}
}

// checkPlans checks that no group, zone or VM is changed by two plans under way.
func (f *Fleet) checkPlans(rows map[string]table.Row) {
	changedBy := map[string]string{}
	for key, row := range rows {
		var one plan.Plan
		if !strings.HasPrefix(key, plan.KeyPrefix) || row.Decode(&one) != nil {
			continue
		}
		if one.State != plan.Confirmed && one.State != plan.Paused {
			continue
		}
		for _, step := range one.Steps {
			if step.Verb == plan.Form {
				continue
			}
			object := step.Group + step.Zone + step.VM
			if first, ok := changedBy[object]; ok && first != one.ID {
				f.fail("%s is changed by plans %s and %s", object, first, one.ID)
			}
			changedBy[object] = one.ID
		}
	}
}

// checkServing checks that whatever a daemon would route to was whole within
// the bound on evidence.
func (f *Fleet) checkServing(now time.Time) {
	for _, one := range f.Hosts {
		snapshot := one.Controller.Snapshot()
		for _, record := range snapshot.Serveable("m", now) {
			for _, member := range record.Members {
				good := f.Servers[member.VM].goodAt[partKey(record.Name, record.Generation)]
				if now.Sub(good) > presence.MaxAge {
					f.fail("%s routes to %s generation %d though %s was last part of it %s ago", one.Controller.Self().ID, record.Name, record.Generation, member.VM, now.Sub(good))
				}
			}
		}
	}
}

// checkLeases checks that no two daemons may send orders for one shard.
func (f *Fleet) checkLeases() {
	holder := map[int]string{}
	for _, one := range f.Hosts {
		for _, held := range one.Controller.Usable() {
			if first, ok := holder[held.Shard]; ok {
				f.fail("shard %d is held by %s and %s", held.Shard, first, one.Controller.Self().ID)
			}
			holder[held.Shard] = one.Controller.Self().ID
		}
	}
}

// checkOrder checks that an order that arrives is not older than what the
// server has obeyed, where the server does not check this itself, and that it
// cuts off no request of a group whose members have all been well.
func (f *Fleet) checkOrder(target *Server, o order.Order) {
	if !target.VM.ChecksOrders && !target.fence.Admits(o) {
		f.fail("server %s gets order %s %s generation %d sequence %d after %v", target.VM.ID, o.Verb, o.Group, o.Generation, o.Sequence, target.fence)
	}
	isSame := o.Verb == order.Load && target.State.Group == o.Group && target.State.Generation == o.Generation
	if len(target.Ends) == 0 || isSame || (target.VM.ChecksOrders && !target.fence.Admits(o)) {
		return
	}
	for _, id := range target.members {
		_, isListed := f.List[id]
		if time.Since(f.Servers[id].troubledAt) < time.Minute || !isListed {
			return
		}
	}
	f.fail("order %s %s generation %d cuts off %d requests of %s at %s", o.Verb, o.Group, o.Generation, len(target.Ends), target.State.Group, target.VM.ID)
}

// checkConfiguration checks that no daemon's configuration goes back, and that
// whoever may serve holds all that was accepted longer than the bound ago.
func (f *Fleet) checkConfiguration(now time.Time) {
	for _, one := range f.Hosts {
		if one.Paused {
			continue
		}
		own := one.Controller.ConfigVersion()
		if own < one.config {
			f.fail("%s went back from configuration %d to %d", one.Controller.Self().ID, one.config, own)
		}
		one.config = own
		ids := one.Controller.Roster().IDs()
		if _, ok := f.accepted[own]; !ok && own > 0 && one.Controller.Contact().Accepted(one.Controller.Self().ID, own, ids, own) {
			f.accepted[own] = now
		}
	}
	for _, one := range f.Hosts {
		if !now.Before(one.Controller.Snapshot().ServeUntil) {
			continue
		}
		for version, since := range f.accepted {
			if one.Controller.ConfigVersion() < version && now.Sub(since) > contact.Bound {
				f.fail("%s serves under configuration %d though %d was accepted %s ago", one.Controller.Self().ID, one.Controller.ConfigVersion(), version, now.Sub(since))
			}
		}
	}
}

// Serving returns how many groups every running daemon would route to.
func (f *Fleet) Serving() int {
	least := -1
	for _, one := range f.Hosts {
		if one.Paused {
			continue
		}
		snapshot := one.Controller.Snapshot()
		if count := len(snapshot.Serveable("m", time.Now())); least < 0 || count < least {
			least = count
		}
	}
	return least
}

// Unrest returns what has not come to rest yet.
func (f *Fleet) Unrest() error {
	world := f.Hosts[0].Controller.World()
	for _, one := range world.Plans {
		if one.State != plan.Proposed && !one.State.IsFinal() {
			return errors.Errorf("plan %s %s is %s at stage %d: %v; groups %+v; claims %v", one.ID, one.Intent, one.State, one.Stage, one.StepsOf(one.Stage), world.Groups, world.Claims)
		}
	}
	for _, record := range world.Groups {
		if record.Phase != group.Serving && record.Phase != group.Waiting {
			return errors.Errorf("group %s is %s (plan %q)", record.Name, record.Phase, record.Plan)
		}
		if record.Plan != "" {
			return errors.Errorf("group %s is marked by plan %s", record.Name, record.Plan)
		}
	}
	if len(world.ZonePlans) > 0 {
		return errors.Errorf("zones are marked by plans: %v", world.ZonePlans)
	}
	for id, claim := range world.Claims {
		if claim.Plan != "" {
			return errors.Errorf("VM %s is reserved by plan %s", id, claim.Plan)
		}
		if record, ok := world.Group(claim.Group); claim.Group != "" && (!ok || !record.Has(id)) {
			return errors.Errorf("VM %s is claimed by %s, which does not have it", id, claim.Group)
		}
	}
	return nil
}

// HealServers lets every server answer again.
func (f *Fleet) HealServers() {
	for _, id := range f.IDs {
		f.Servers[id].Dead = false
		f.Servers[id].Paused = false
	}
}

// ResumeAll resumes paused plans.
func (f *Fleet) ResumeAll() {
	for _, one := range f.Hosts[0].Controller.World().Plans {
		if one.State == plan.Paused {
			_ = f.Change(one.ID, plan.ChangeResume)
		}
	}
}

// Leases returns the holders of all shards as the table has them.
func (f *Fleet) Leases() string {
	text := ""
	for shard := range lease.Shards {
		row, _ := f.memory.Read(context.Background(), lease.Key(shard))
		text += fmt.Sprintf("%d@%d:%s ", shard, row.Version, row.Value)
	}
	return text
}
