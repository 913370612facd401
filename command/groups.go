package command

import (
	"fmt"
	"io"
	"strings"
)

// GroupsCommand shows the serving groups.
type GroupsCommand struct {
	Connection `embed:""`
}

// Run prints a row for each group, with the VMs of its members.
func (g *GroupsCommand) Run(streams *Streams) error {
	groups, err := g.client().Groups()
	if err != nil {
		return err
	}
	return g.print(streams.Out, groups, func(table io.Writer) {
		writeRow(table, "GROUP", "MODEL", "VERSION", "ZONE", "PHASE", "WHOLE", "GENERATION", "IN FLIGHT", "EVIDENCE S", "MEMBERS")
		for _, group := range groups {
			members := make([]string, len(group.Record.Members))
			for i, member := range group.Record.Members {
				members[i] = member.VM
			}
			writeRow(table, group.Record.Name, group.Record.Model, group.Record.Version, group.Record.Zone, group.Record.Phase, group.Serveable, group.Record.Generation, group.InFlight, fmt.Sprintf("%.1f", group.EvidenceAgeSeconds), strings.Join(members, " "))
		}
	})
}
