package plan_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"headcourse/core/declaration"
	"headcourse/core/plan"
)

// Guards against a proposed plan that changes the caller's fleet state: a plan that nobody had
// confirmed closed its zone for one daemon, and raced with the control goroutine.
func TestBuildLeavesTheFleetStateUnchanged(t *testing.T) {
	fleet := plan.FleetState{
		Configuration: plan.Configuration{
			Revision: 1,
			Declaration: declaration.Declaration{
				Zones: []declaration.Zone{
					{
						Name: "quito-a",
					},
				},
			},
		},
		ClosedZones: map[string]bool{},
	}
	proposed, err := plan.Build("p1", "operator", plan.Intent{
		Kind: plan.DrainZone,
		Zone: "quito-a",
	}, fleet)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(proposed.Steps) > 0, qt.IsTrue)
	qt.Assert(t, fleet.ClosedZones, qt.HasLen, 0)
}
