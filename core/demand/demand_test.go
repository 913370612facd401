package demand_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/demand"
)

func TestShortageIsWhatGroupsCannotServe(t *testing.T) {
	qt.Assert(t, demand.Shortage(0, 0), qt.Equals, 0.0)
	qt.Assert(t, demand.Shortage(4, 6), qt.Equals, 0.0)
	qt.Assert(t, demand.Shortage(4, 0), qt.Equals, 1.0)
	few := demand.Shortage(4, 2)
	qt.Assert(t, few > 0.5 && few < 0.6, qt.IsTrue, qt.Commentf("%v", few))
}

func TestDemandIsReadAsItWasWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var board demand.Board
		qt.Assert(t, board.Of("engines", "large"), qt.Equals, 0.0)
		encoded, err := demand.Encode([]demand.Demand{
			{
				Service: "engines",
				Model:   "large",
				Groups:  3.5,
			},
		})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, board.Take(encoded), qt.IsNil)
		qt.Assert(t, board.Of("engines", "large"), qt.Equals, 3.5)
		qt.Assert(t, board.Of("engines", "small"), qt.Equals, 0.0)

		// A new leader that knows none yet does not take it away.
		qt.Assert(t, board.Take(nil), qt.IsNil)
		qt.Assert(t, board.Take(json.RawMessage("[]")), qt.IsNil)
		qt.Assert(t, board.Of("engines", "large"), qt.Equals, 3.5)

		qt.Assert(t, board.Take(json.RawMessage("{")), qt.ErrorMatches, "decode demands: .*")

		// Nobody has told for long.
		time.Sleep(time.Minute)
		qt.Assert(t, board.Of("engines", "large"), qt.Equals, 0.0)
	})
}
