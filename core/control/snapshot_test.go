package control_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/control"
	"headcourse/core/presence"
	"headcourse/core/vm"
)

// A plain service's VM that answers probes but is leaving receives no requests.
func TestLeavingServerGetsNoNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var evidenceSet presence.EvidenceSet
		var listed []vm.VM
		for id, state := range map[string]vm.State{
			"stays":  vm.Live,
			"leaves": vm.Leaving,
		} {
			listed = append(listed, vm.VM{
				ID:      id,
				Service: "tablero",
				State:   state,
			})
			evidenceSet = evidenceSet.WithEvidence(presence.Evidence{
				Group:      control.ServerEvidenceName(id),
				IsWhole:    true,
				ObservedAt: time.Now(),
			})
		}
		snapshot := control.Snapshot{
			VMs:      listed,
			Evidence: evidenceSet,
		}
		servers := snapshot.LiveServers("tablero", time.Now())
		qt.Assert(t, servers, qt.HasLen, 1)
		qt.Assert(t, servers[0].ID, qt.Equals, "stays")
		qt.Assert(t, snapshot.LiveServers("tablero", time.Now().Add(2*presence.MaxAge)), qt.HasLen, 0)
	})
}
