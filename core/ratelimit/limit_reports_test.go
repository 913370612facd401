package ratelimit_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/ratelimit"
)

// Guards against a write for every answer with a limit from each of nine daemons. A known limit
// is reported again only as often as the others need to see that it holds.
func TestReportIsWrittenOnlyIfItIsNewOrDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reports ratelimit.LimitReports
		noLimit := ratelimit.Limit{}
		qt.Assert(t, reports.ShouldReport(start, noLimit), qt.IsFalse)
		qt.Assert(t, reports.ClaimReport(start, ratelimit.NewLimit(2)), qt.IsTrue)
		// The report is being written.
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(2)), qt.IsFalse)
		qt.Assert(t, reports.ClaimReport(start, ratelimit.NewLimit(2)), qt.IsFalse)
		time.Sleep(2 * time.Second)
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(2)), qt.IsTrue)

		reports.Apply(start, ratelimit.NewLimit(2))
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(2)), qt.IsFalse)
		// If the limit changes with each answer, one report of all daemons in each interval is
		// enough.
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(1)), qt.IsFalse)
		time.Sleep(2 * time.Second)
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(2.1)), qt.IsFalse)
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(1)), qt.IsTrue)
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(3)), qt.IsTrue)
		qt.Assert(t, reports.ShouldReport(start, noLimit), qt.IsTrue)
		time.Sleep(15 * time.Second)
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(2)), qt.IsTrue)

		qt.Assert(t, reports.ClaimReport(start, noLimit), qt.IsTrue)
		reports.Remove(start)
		time.Sleep(2 * time.Second)
		reports.Sweep()
		qt.Assert(t, reports.ShouldReport(start, noLimit), qt.IsFalse)
		qt.Assert(t, reports.ShouldReport(start, ratelimit.NewLimit(2)), qt.IsTrue)
	})
}

func TestMissingAndStaleReportsAreFound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var reports ratelimit.LimitReports
		reports.Apply("i-1", ratelimit.NewLimit(2))
		time.Sleep(9 * time.Minute)
		reports.Apply("i-2", ratelimit.NewLimit(2))
		qt.Assert(t, reports.StartsNotIn(map[string]bool{"i-2": true}), qt.DeepEquals, []string{"i-1"})
		qt.Assert(t, reports.StaleStarts(), qt.HasLen, 0)
		time.Sleep(2 * time.Minute)
		qt.Assert(t, reports.StaleStarts(), qt.DeepEquals, []string{"i-1"})
	})
}
