package contact_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"headcourse/core/contact"
)

// roster is five daemons.
var roster = []string{"a", "b", "c", "d", "e"}

// heard returns a report of a daemon made some time ago.
func heard(daemon string, version uint64, ago time.Duration) contact.Report {
	return contact.Report{
		Daemon:        daemon,
		ConfigVersion: version,
		At:            time.Now().Add(-ago),
	}
}

func TestWhoMayServe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mayServe := func(known contact.Contact) bool {
			now := time.Now()
			return now.Before(known.ServeUntil("a", roster, now))
		}
		qt.Assert(t, mayServe(contact.Contact{}), qt.IsFalse)
		qt.Assert(t, mayServe(contact.Contact{}.WithStore(time.Now())), qt.IsTrue)
		qt.Assert(t, mayServe(contact.Contact{}.WithStore(time.Now().Add(-contact.Bound))), qt.IsFalse)
		// Itself and two of the others are a majority of five; one is not.
		two := contact.Contact{}.WithReports(heard("b", 1, time.Second), heard("c", 1, time.Second))
		qt.Assert(t, mayServe(two), qt.IsTrue)
		qt.Assert(t, mayServe(contact.Contact{}.WithReports(heard("b", 1, 0))), qt.IsFalse)
		old := contact.Contact{}.WithReports(heard("b", 1, time.Second), heard("c", 1, contact.Bound))
		qt.Assert(t, mayServe(old), qt.IsFalse)
		// Daemons that are not on the roster count for nothing.
		strangers := contact.Contact{}.WithReports(heard("x", 1, 0), heard("y", 1, 0))
		qt.Assert(t, mayServe(strangers), qt.IsFalse)
	})
}

func TestAcceptedByAMajority(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := contact.Contact{}.WithReports(heard("b", 7, 0), heard("c", 6, 0), heard("x", 7, 0))
		qt.Assert(t, known.Accepted("a", 7, roster, 7), qt.IsFalse)
		known = known.WithReports(heard("d", 8, -time.Second))
		qt.Assert(t, known.Accepted("a", 7, roster, 7), qt.IsTrue)
		qt.Assert(t, known.Accepted("a", 7, nil, 7), qt.IsFalse)
	})
}

func TestOlderReportsAreForgottenNotBelieved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		known := contact.Contact{}.WithReports(heard("b", 7, time.Second))
		known = known.WithReports(heard("b", 6, time.Minute))
		report, ok := known.Report("b")
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, report.ConfigVersion, qt.Equals, uint64(7))
		_, ok = known.WithoutOlder(time.Now()).Report("b")
		qt.Assert(t, ok, qt.IsFalse)
	})
}
