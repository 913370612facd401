package command

import (
	"fmt"
	"io"
	"strings"
)

// GroupsCommand shows the groups.
type GroupsCommand struct {
	Connection `embed:""`
}

// Run shows each group with its members.
func (g *GroupsCommand) Run(streams *Streams) error {
	groups, err := g.client().Groups()
	if err != nil {
		return err
	}
	return g.print(streams.Out, groups, func(table io.Writer) {
		row(table, "GROUP", "MODEL", "VERSION", "ZONE", "PHASE", "WHOLE", "GENERATION", "IN FLIGHT", "EVIDENCE S", "MEMBERS")
		for _, one := range groups {
			members := make([]string, len(one.Record.Members))
			for i, member := range one.Record.Members {
				members[i] = member.VM
			}
			row(table, one.Record.Name, one.Record.Model, one.Record.Version, one.Record.Zone, one.Record.Phase, one.Serveable, one.Record.Generation, one.InFlight, fmt.Sprintf("%.1f", one.Age), strings.Join(members, " "))
		}
	})
}
