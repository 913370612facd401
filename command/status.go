package command

import (
	"fmt"
	"io"
)

// StatusCommand shows the fleet.
type StatusCommand struct {
	Connection `embed:""`
}

// Run shows daemons, leases and zones.
func (s *StatusCommand) Run(streams *Streams) error {
	status, err := s.client().Status()
	if err != nil {
		return err
	}
	return s.print(streams.Out, status, func(table io.Writer) {
		_, _ = fmt.Fprintf(table, "revision %d, accepted %t; daemon %s serves: %t; store read %.1f s ago\n\n", status.Revision, status.Accepted, status.Daemon, status.Serving, status.StoreAge)
		row(table, "DAEMON", "ZONE", "HEARD S AGO", "HOLDS REVISION", "LEASES")
		leases := map[string]int{}
		for _, lease := range status.Leases {
			leases[lease.Holder]++
		}
		for _, daemon := range status.Daemons {
			row(table, daemon.ID, daemon.Zone, fmt.Sprintf("%.1f", daemon.HeardAge), daemon.HoldsRevision, leases[daemon.ID])
		}
		row(table)
		row(table, "ZONE", "CLOSED", "VMS", "LEAVING", "FREE", "GROUPS", "WHOLE", "ACCELERATORS", "STRANDED")
		for _, zone := range status.Zones {
			row(table, zone.Zone, zone.Closed, zone.VMs, zone.Leaving, zone.Free, zone.Groups, zone.Whole, zone.Accelerators, zone.Stranded)
		}
	})
}
