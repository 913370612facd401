package command

import (
	"fmt"
	"io"
)

// StatusCommand shows a daemon's view of the fleet.
type StatusCommand struct {
	Connection `embed:""`
}

// Run prints a table of daemons with the number of leases that each holds, and a
// table of zones.
func (s *StatusCommand) Run(streams *Streams) error {
	status, err := s.client().Status()
	if err != nil {
		return err
	}
	return s.print(streams.Out, status, func(table io.Writer) {
		_, _ = fmt.Fprintf(table, "revision %d, accepted %t; daemon %s serves: %t; store read %.1f s ago\n\n", status.Revision, status.Accepted, status.Daemon, status.Serving, status.StoreAgeSeconds)
		writeRow(table, "DAEMON", "ZONE", "HEARD S AGO", "HOLDS REVISION", "LEASES")
		leases := map[string]int{}
		for _, lease := range status.Leases {
			leases[lease.Holder]++
		}
		for _, daemon := range status.Daemons {
			writeRow(table, daemon.ID, daemon.Zone, fmt.Sprintf("%.1f", daemon.ReportAgeSeconds), daemon.HoldsRevision, leases[daemon.ID])
		}
		writeRow(table)
		writeRow(table, "ZONE", "CLOSED", "VMS", "LEAVING", "FREE", "GROUPS", "WHOLE", "ACCELERATORS", "STRANDED")
		for _, zone := range status.Zones {
			writeRow(table, zone.Zone, zone.Closed, zone.VMs, zone.Leaving, zone.Free, zone.Groups, zone.Whole, zone.Accelerators, zone.Stranded)
		}
	})
}
