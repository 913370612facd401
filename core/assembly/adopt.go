package assembly

import (
	"headcourse/core/fleet"
	"headcourse/core/rowstore"
)

// adopt plans records for serving groups of former eras that have no record, because the
// store was restored from a copy without them. Such a group must be complete and keeps the
// epoch that its members report. Servers leave groups that were not open yet, and form new
// ones.
func (c *Controller) adopt(input Input, plan *Plan) {
	for _, head := range input.Fleet.Servers() {
		if !c.mayAdopt(head, input) {
			continue
		}
		members, isComplete := completeMembers(head, input)
		if !isComplete {
			continue
		}
		record := Record{
			Name:    head.Membership.Group,
			Era:     input.Era,
			Epoch:   head.Membership.Epoch,
			Service: head.Service,
			Model:   head.Models[0],
			Members: serverIDs(members),
		}
		if c.pendingRecords == nil {
			c.pendingRecords = map[string]Record{}
		}
		c.pendingRecords[record.Name] = record
		plan.NewRecords = append(plan.NewRecords, record)
		plan.Events = append(plan.Events, Event{
			Group:   record.Name,
			Epoch:   record.Epoch,
			Model:   record.Model,
			Message: "group adopted",
			Reason:  "the group serves, but the restored store has no record of it",
		})
	}
}

// mayAdopt reports whether a server is the head of an open group of a former era that has
// no record, and no record of it is being written.
func (c *Controller) mayAdopt(head fleet.Server, input Input) bool {
	m := head.Membership
	_, hasRecord := c.groups[m.Group]
	isOpenHead := m.State == fleet.Open && m.Rank == 0 && len(head.Models) > 0
	isFormer := rowstore.EraOfOrdinal(m.Epoch) < input.Era
	return isOpenHead && isFormer && isConfiguredEngine(input.Config, head) && !hasRecord && !c.isAdopting(m)
}

// isAdopting reports whether the record of a membership's group is being written.
func (c *Controller) isAdopting(m fleet.Membership) bool {
	record, ok := c.pendingRecords[m.Group]
	return ok && record.Epoch == m.Epoch
}

// completeMembers returns the members of a head's group by rank, and whether the group is
// complete: as many servers as the model requires report membership, each with its own
// rank, and all but the head are ready.
func completeMembers(head fleet.Server, input Input) ([]fleet.Server, bool) {
	model, isKnown := input.Config.Service(head.Service).Engine.Model(head.Models[0])
	if !isKnown {
		return nil, false
	}
	members := make([]fleet.Server, model.GroupSize)
	count := 0
	for _, server := range input.Fleet.Members(head.Membership) {
		m := server.Membership
		isMember := m.Rank >= 0 && m.Rank < len(members) && (m.Rank == 0 || m.State == fleet.Ready)
		if !isMember || members[m.Rank].ID != "" {
			return nil, false
		}
		members[m.Rank] = server
		count++
	}
	return members, count == len(members)
}
