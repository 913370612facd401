package contact_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/contact"
)

// roster has five daemons.
var roster = []string{"a", "b", "c", "d", "e"}

// reportFrom returns a report that a daemon made some time ago.
func reportFrom(daemon string, version uint64, ago time.Duration) contact.Report {
	return contact.Report{
		Daemon:        daemon,
		ConfigVersion: version,
		ObservedAt:    time.Now().Add(-ago),
	}
}

func TestServingNeedsStoreReadOrMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mayServe := func(known contact.Contact) bool {
			now := time.Now()
			return now.Before(known.ServeUntil("a", roster, now))
		}
		qt.Assert(t, mayServe(contact.Contact{}), qt.IsFalse)
		qt.Assert(t, mayServe(contact.Contact{}.WithStoreRead(time.Now())), qt.IsTrue)
		qt.Assert(t, mayServe(contact.Contact{}.WithStoreRead(time.Now().Add(-contact.MaxContactAge))), qt.IsFalse)
		// The daemon itself and two others are a majority of five; with one other it is not.
		majority := contact.Contact{}.WithReports(reportFrom("b", 1, time.Second), reportFrom("c", 1, time.Second))
		qt.Assert(t, mayServe(majority), qt.IsTrue)
		qt.Assert(t, mayServe(contact.Contact{}.WithReports(reportFrom("b", 1, 0))), qt.IsFalse)
		stale := contact.Contact{}.WithReports(reportFrom("b", 1, time.Second), reportFrom("c", 1, contact.MaxContactAge))
		qt.Assert(t, mayServe(stale), qt.IsFalse)
		// Daemons that are not in the roster do not count.
		unlisted := contact.Contact{}.WithReports(reportFrom("x", 1, 0), reportFrom("y", 1, 0))
		qt.Assert(t, mayServe(unlisted), qt.IsFalse)
	})
}

func TestVersionIsAcceptedByMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := contact.Contact{}.WithReports(reportFrom("b", 7, 0), reportFrom("c", 6, 0), reportFrom("x", 7, 0))
		qt.Assert(t, known.IsAccepted("a", 7, roster, 7), qt.IsFalse)
		known = known.WithReports(reportFrom("d", 8, -time.Second))
		qt.Assert(t, known.IsAccepted("a", 7, roster, 7), qt.IsTrue)
		qt.Assert(t, known.IsAccepted("a", 7, nil, 7), qt.IsFalse)
	})
}

func TestOlderReportsAreIgnoredAndRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := contact.Contact{}.WithReports(reportFrom("b", 7, time.Second))
		known = known.WithReports(reportFrom("b", 6, time.Minute))
		report, ok := known.Report("b")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, report.ConfigVersion, qt.Equals, uint64(7))
		_, ok = known.WithoutReportsBefore(time.Now()).Report("b")
		qt.Assert(t, ok, qt.IsFalse)
	})
}
