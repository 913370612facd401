// Package contact decides whether a daemon may still serve with the configuration that it holds.
//
// A configuration is accepted when the table holds it and a majority of the daemons in the roster
// hold it too. A daemon may serve if, within the last MaxContactAge, it has read the store or
// received reports from a majority of the roster, including itself. Any two majorities have a
// daemon in common, so a daemon that may serve has received every configuration that was accepted
// more than MaxContactAge ago. An outage of the store alone stops no daemon; a daemon that is cut
// off from everything stops.
//
// Reports may be indirect: if another daemon passes on a report of daemon O together with all rows
// that O held then, the report counts from the time at which O made it.
package contact

import (
	"time"
)

// MaxContactAge is the maximum age of a contact with which a daemon may serve.
const MaxContactAge = 8 * time.Second

// Report states that a daemon held the configuration at ConfigVersion at the time ObservedAt.
type Report struct {
	Daemon        string
	ConfigVersion uint64
	ObservedAt    time.Time
}

// Contact holds the last read of the store and the newest report of each daemon. The zero
// value holds neither.
type Contact struct {
	lastStoreRead time.Time
	reports       map[string]Report
}

// WithStoreRead returns the contact with a successful read of the store that began at a time.
func (c Contact) WithStoreRead(at time.Time) Contact {
	if at.After(c.lastStoreRead) {
		c.lastStoreRead = at
	}
	return c
}

// WithReports returns the contact with reports added. Of each daemon the newest report is kept.
func (c Contact) WithReports(reports ...Report) Contact {
	next := make(map[string]Report, len(c.reports)+len(reports))
	for daemon, report := range c.reports {
		next[daemon] = report
	}
	for _, report := range reports {
		if report.ObservedAt.After(next[report.Daemon].ObservedAt) {
			next[report.Daemon] = report
		}
	}
	c.reports = next
	return c
}

// WithoutReportsBefore returns the contact without reports from before a time.
func (c Contact) WithoutReportsBefore(cutoff time.Time) Contact {
	next := make(map[string]Report, len(c.reports))
	for daemon, report := range c.reports {
		if !report.ObservedAt.Before(cutoff) {
			next[daemon] = report
		}
	}
	c.reports = next
	return c
}

// Report returns the newest report of a daemon, and false if there is none.
func (c Contact) Report(daemon string) (Report, bool) {
	report, ok := c.reports[daemon]
	return report, ok
}

// Reports returns the newest report of every daemon that has one, in no particular order.
func (c Contact) Reports() []Report {
	all := make([]Report, 0, len(c.reports))
	for _, report := range c.reports {
		all = append(all, report)
	}
	return all
}

// LastStoreRead returns the start time of the last successful read of the store; zero if there was
// none.
func (c Contact) LastStoreRead() time.Time {
	return c.lastStoreRead
}

// ServeUntil returns the time until which the daemon self may serve, given the roster. It is in the
// past if the daemon may not serve now.
func (c Contact) ServeUntil(self string, roster []string, now time.Time) time.Time {
	until := c.lastStoreRead.Add(MaxContactAge)
	if byMajority := c.majorityReportedAt(self, roster, now).Add(MaxContactAge); byMajority.After(until) {
		until = byMajority
	}
	return until
}

// majorityReportedAt returns the latest time since which a majority of the roster has reported, or
// the zero time if fewer have. The daemon self, if it is in the roster, counts as reporting now.
func (c Contact) majorityReportedAt(self string, roster []string, now time.Time) time.Time {
	majority := len(roster)/2 + 1
	if len(roster) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(roster))
	for _, daemon := range roster {
		at := c.reports[daemon].ObservedAt
		if daemon == self {
			at = now
		}
		times = append(times, at)
	}
	return nthLatest(times, majority)
}

// nthLatest returns the n-th latest of times, with n from 1. It reorders times.
func nthLatest(times []time.Time, n int) time.Time {
	for i := range n {
		latest := i
		for j := i + 1; j < len(times); j++ {
			if times[j].After(times[latest]) {
				latest = j
			}
		}
		times[i], times[latest] = times[latest], times[i]
	}
	return times[n-1]
}

// HolderCount returns the number of daemons in the roster that are known to hold a configuration of
// at least version.
func (c Contact) HolderCount(self string, ownVersion uint64, roster []string, version uint64) int {
	holders := 0
	for _, daemon := range roster {
		held := c.reports[daemon].ConfigVersion
		if daemon == self {
			held = ownVersion
		}
		if held >= version {
			holders++
		}
	}
	return holders
}

// IsAccepted reports whether a majority of the roster is known to hold version.
func (c Contact) IsAccepted(self string, ownVersion uint64, roster []string, version uint64) bool {
	return len(roster) > 0 && c.HolderCount(self, ownVersion, roster, version) > len(roster)/2
}
