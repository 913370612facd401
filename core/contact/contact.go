// Package contact decides whether a daemon may still serve under the
// configuration that it holds.
//
// A configuration is accepted when the table holds it and a majority of the
// daemons in the roster hold it as well. A daemon may serve while, within the
// last Bound, it has read the store or has heard from a majority of the roster
// (itself included). Two majorities share a daemon, so whoever may serve has
// heard of every configuration accepted more than Bound ago. A store outage
// that everyone sees stops nobody; a daemon cut off from everything stops.
//
// "Heard" may be at second hand: a report of daemon O, taken at some time and
// passed on together with all rows that O held then, counts from that time.
package contact

import (
	"time"
)

// Bound is how old a contact may be and still allow serving.
const Bound = 8 * time.Second

// Report says that at time At the daemon held the configuration at Version.
type Report struct {
	Daemon        string
	ConfigVersion uint64
	At            time.Time
}

// Contact is what one daemon has heard. The zero value has heard nothing.
type Contact struct {
	store time.Time
	heard map[string]Report
}

// WithStore returns the contact after a read of the store begun at a time.
func (c Contact) WithStore(at time.Time) Contact {
	if at.After(c.store) {
		c.store = at
	}
	return c
}

// WithReports returns the contact with reports added; newer ones stand.
func (c Contact) WithReports(reports ...Report) Contact {
	next := make(map[string]Report, len(c.heard)+len(reports))
	for daemon, report := range c.heard {
		next[daemon] = report
	}
	for _, report := range reports {
		if report.At.After(next[report.Daemon].At) {
			next[report.Daemon] = report
		}
	}
	c.heard = next
	return c
}

// WithoutOlder returns the contact without reports from before a time.
func (c Contact) WithoutOlder(than time.Time) Contact {
	next := make(map[string]Report, len(c.heard))
	for daemon, report := range c.heard {
		if !report.At.Before(than) {
			next[daemon] = report
		}
	}
	c.heard = next
	return c
}

// Report returns the newest report of a daemon.
func (c Contact) Report(daemon string) (Report, bool) {
	report, ok := c.heard[daemon]
	return report, ok
}

// Reports returns the newest report of every daemon heard of, in no order.
func (c Contact) Reports() []Report {
	all := make([]Report, 0, len(c.heard))
	for _, report := range c.heard {
		all = append(all, report)
	}
	return all
}

// StoreAt returns the start of the last read of the store that was answered.
func (c Contact) StoreAt() time.Time {
	return c.store
}

// ServeUntil returns the time up to which the daemon may serve, given the
// roster and itself. It is in the past where it may not serve now.
func (c Contact) ServeUntil(self string, roster []string, now time.Time) time.Time {
	until := c.store.Add(Bound)
	if peers := c.majorityAt(self, roster, now).Add(Bound); peers.After(until) {
		until = peers
	}
	return until
}

// majorityAt returns the latest time since which a majority was heard.
func (c Contact) majorityAt(self string, roster []string, now time.Time) time.Time {
	needed := len(roster)/2 + 1
	if len(roster) == 0 {
		return time.Time{}
	}
	times := make([]time.Time, 0, len(roster))
	for _, daemon := range roster {
		at := c.heard[daemon].At
		if daemon == self {
			at = now
		}
		times = append(times, at)
	}
	return nthLatest(times, needed)
}

// nthLatest returns the n-th latest of times, n from 1.
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

// Holders returns how many of the roster are known to hold a configuration of
// at least version.
func (c Contact) Holders(self string, own uint64, roster []string, version uint64) int {
	holders := 0
	for _, daemon := range roster {
		held := c.heard[daemon].ConfigVersion
		if daemon == self {
			held = own
		}
		if held >= version {
			holders++
		}
	}
	return holders
}

// Accepted tells whether a majority of the roster is known to hold version.
func (c Contact) Accepted(self string, own uint64, roster []string, version uint64) bool {
	return len(roster) > 0 && c.Holders(self, own, roster, version) > len(roster)/2
}
