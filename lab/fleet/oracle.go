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
// Oracle

// recordViolation records that an invariant was violated.
func (f *Fleet) recordViolation(format string, arguments ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, arguments...))
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

// checkCommit runs after every commit. It checks that no VM is in two groups, that claims
// match the members, that a daemon changes groups and plans only while it holds a lease, and
// that no two active plans change one group, zone or VM.
func (f *Fleet) checkCommit(transaction table.Transaction, rows map[string]table.Row) {
	groupOfVM := map[string]string{}
	for _, record := range groupsIn(rows) {
		for _, member := range record.Members {
			if other, ok := groupOfVM[member.VM]; ok {
				f.recordViolation("VM %s is a member of both %s and %s", member.VM, other, record.Name)
			}
			groupOfVM[member.VM] = record.Name
			var claim vm.Claim
			row := rows[vm.Key(member.VM)]
			if row.Version == 0 || row.Decode(&claim) != nil || claim.Group != record.Name {
				f.recordViolation("VM %s is a member of %s but is claimed by %q", member.VM, record.Name, claim.Group)
			}
		}
	}
	f.checkLeaseHeld(transaction, rows)
	f.checkPlans(rows)
}

// checkLeaseHeld checks that a commit of a daemon that changes a group or a plan is
// conditional on a lease held by that daemon.
func (f *Fleet) checkLeaseHeld(transaction table.Transaction, rows map[string]table.Row) {
	author, _, isDaemon := strings.Cut(transaction.ID, "/")
	if !isDaemon {
		return
	}
	isHolder := false
	for _, condition := range transaction.Conditions {
		var grant lease.Grant
		row := rows[condition.Key]
		isLease := strings.HasPrefix(condition.Key, lease.KeyPrefix)
		isHolder = isHolder || (isLease && row.Decode(&grant) == nil && grant.Holder == author)
	}
	for _, write := range transaction.Writes {
		isGroup := strings.HasPrefix(write.Key, group.KeyPrefix)
		isPlan := strings.HasPrefix(write.Key, plan.KeyPrefix)
		if (isGroup || isPlan) && !isHolder {
			f.recordViolation("%s wrote %s without holding a lease", author, write.Key)
		}
	}
}

// checkPlans checks that no two active plans change one group, zone or VM. A plan is active if
// it is confirmed or paused. Steps that form a group are not checked.
func (f *Fleet) checkPlans(rows map[string]table.Row) {
	changedBy := map[string]string{}
	for key, row := range rows {
		var candidate plan.Plan
		if !strings.HasPrefix(key, plan.KeyPrefix) || row.Decode(&candidate) != nil {
			continue
		}
		if candidate.State != plan.Confirmed && candidate.State != plan.Paused {
			continue
		}
		for _, step := range candidate.Steps {
			if step.Action == plan.Form {
				continue
			}
			object := step.Group + step.Zone + step.VM
			if other, ok := changedBy[object]; ok && other != candidate.ID {
				f.recordViolation("%s is changed by both plan %s and plan %s", object, other, candidate.ID)
			}
			changedBy[object] = candidate.ID
		}
	}
}

// checkServing checks that all members of each group that a daemon routes to were loaded
// within the maximum age of evidence.
func (f *Fleet) checkServing(now time.Time) {
	for _, daemon := range f.Daemons {
		snapshot := daemon.Controller.Snapshot()
		for _, record := range snapshot.ServingGroups("m", now) {
			for _, member := range record.Members {
				loadedAt := f.Servers[member.VM].lastLoadedAt[assignmentKey(record.Name, record.Generation)]
				if now.Sub(loadedAt) > presence.MaxAge {
					f.recordViolation("%s routes to %s generation %d, but its member %s was last loaded %s ago", daemon.Controller.Self().ID, record.Name, record.Generation, member.VM, now.Sub(loadedAt))
				}
			}
		}
	}
}

// checkLeases checks that no two daemons hold a usable lease on one shard.
func (f *Fleet) checkLeases() {
	holder := map[int]string{}
	for _, daemon := range f.Daemons {
		for _, held := range daemon.Controller.UsableLeases() {
			if other, ok := holder[held.Shard]; ok {
				f.recordViolation("shard %d is held by both %s and %s", held.Shard, other, daemon.Controller.Self().ID)
			}
			holder[held.Shard] = daemon.Controller.Self().ID
		}
	}
}

// checkOrder checks that a server without order checks of its own receives no stale order. It
// also checks that an order aborts no request of a group whose members are listed and had no
// fault in the last minute.
func (f *Fleet) checkOrder(target *Server, o order.Order) {
	if !target.VM.ChecksOrders && !target.fence.Accepts(o) {
		f.recordViolation("server %s received stale order %s %s generation %d sequence %d after %v", target.VM.ID, o.Action, o.Group, o.Generation, o.Sequence, target.fence)
	}
	isSame := o.Action == order.Load && target.State.Group == o.Group && target.State.Generation == o.Generation
	if len(target.RequestEnds) == 0 || isSame || (target.VM.ChecksOrders && !target.fence.Accepts(o)) {
		return
	}
	for _, id := range target.members {
		_, isListed := f.VMList[id]
		if time.Since(f.Servers[id].lastFaultAt) < time.Minute || !isListed {
			return
		}
	}
	f.recordViolation("order %s %s generation %d aborts %d requests of %s at %s", o.Action, o.Group, o.Generation, len(target.RequestEnds), target.State.Group, target.VM.ID)
}

// checkConfiguration checks that no daemon reverts to an older configuration. It also checks
// that no daemon still serves with an older configuration more than contact.MaxContactAge
// after a newer one was accepted.
func (f *Fleet) checkConfiguration(now time.Time) {
	for _, daemon := range f.Daemons {
		if daemon.Paused {
			continue
		}
		version := daemon.Controller.ConfigVersion()
		if version < daemon.configVersion {
			f.recordViolation("%s reverted from configuration %d to %d", daemon.Controller.Self().ID, daemon.configVersion, version)
		}
		daemon.configVersion = version
		ids := daemon.Controller.Roster().IDs()
		if _, ok := f.acceptedAt[version]; !ok && version > 0 && daemon.Controller.Contact().IsAccepted(daemon.Controller.Self().ID, version, ids, version) {
			f.acceptedAt[version] = now
		}
	}
	for _, daemon := range f.Daemons {
		if !now.Before(daemon.Controller.Snapshot().ServeUntil) {
			continue
		}
		for version, since := range f.acceptedAt {
			if daemon.Controller.ConfigVersion() < version && now.Sub(since) > contact.MaxContactAge {
				f.recordViolation("%s serves with configuration %d, but configuration %d was accepted %s ago", daemon.Controller.Self().ID, daemon.Controller.ConfigVersion(), version, now.Sub(since))
			}
		}
	}
}

// MinServingGroups returns the lowest number of groups that any running daemon would route to,
// or -1 if all daemons are paused.
func (f *Fleet) MinServingGroups() int {
	fewest := -1
	for _, daemon := range f.Daemons {
		if daemon.Paused {
			continue
		}
		snapshot := daemon.Controller.Snapshot()
		if count := len(snapshot.ServingGroups("m", time.Now())); fewest < 0 || count < fewest {
			fewest = count
		}
	}
	return fewest
}

// CheckSettled returns an error if a plan, group, zone or claim has not settled, and names one
// of them.
func (f *Fleet) CheckSettled() error {
	state := f.Daemons[0].Controller.FleetState()
	for _, current := range state.Plans {
		if current.State != plan.Proposed && !current.State.IsFinal() {
			return errors.Errorf("plan %s %s is %s at stage %d: %v; groups %+v; claims %v", current.ID, current.Intent, current.State, current.Stage, current.StageSteps(current.Stage), state.Groups, state.Claims)
		}
	}
	for _, record := range state.Groups {
		if record.Phase != group.Serving && record.Phase != group.Waiting {
			return errors.Errorf("group %s is %s (plan %q)", record.Name, record.Phase, record.Plan)
		}
		if record.Plan != "" {
			return errors.Errorf("group %s is still marked by plan %s", record.Name, record.Plan)
		}
	}
	if len(state.ZonePlans) > 0 {
		return errors.Errorf("zones are still marked by plans: %v", state.ZonePlans)
	}
	for id, claim := range state.Claims {
		if claim.Plan != "" {
			return errors.Errorf("VM %s is still reserved by plan %s", id, claim.Plan)
		}
		if record, ok := state.Group(claim.Group); claim.Group != "" && (!ok || !record.HasMember(id)) {
			return errors.Errorf("VM %s is claimed by %s, which does not list it as a member", id, claim.Group)
		}
	}
	return nil
}

// RecoverServers makes every server answer again.
func (f *Fleet) RecoverServers() {
	for _, id := range f.VMIDs {
		f.Servers[id].Crashed = false
		f.Servers[id].Paused = false
	}
}

// ResumePlans resumes all paused plans.
func (f *Fleet) ResumePlans() {
	for _, candidate := range f.Daemons[0].Controller.FleetState().Plans {
		if candidate.State == plan.Paused {
			_ = f.ChangePlan(candidate.ID, plan.ChangeResume)
		}
	}
}

// LeaseRows returns the contents of all lease rows in the table.
func (f *Fleet) LeaseRows() string {
	text := ""
	for shard := range lease.ShardCount {
		row, _ := f.store.Read(context.Background(), lease.Key(shard))
		text += fmt.Sprintf("%d@%d:%s ", shard, row.Version, row.Value)
	}
	return text
}
