package ratelimit

import (
	"math"
	"sync"
	"time"
)

const (
	// refreshInterval is the age at which a report is written again while its limit holds. It
	// shows the other daemons that the limit is still observed.
	refreshInterval = 15 * time.Second
	// minReportInterval is the shortest interval between two reports of this daemon about one
	// start. It is also the lowest age at which any daemon replaces a report whose limit has
	// changed.
	minReportInterval = 2 * time.Second
	// changeThreshold is the relative difference from the reported limit at which a limit
	// counts as changed.
	changeThreshold = 0.1
)

// LimitReports holds the reports of limits that this daemon has read from the others, and decides
// when it writes one itself. With reports, a daemon needs no request of its own to learn that a
// server is limited, and a daemon without a quota can only learn by them that the limit is
// over. The zero value is empty. It is safe for concurrent use.
type LimitReports struct {
	mutex   sync.Mutex
	reports map[string]storedReport
	// reportedAt is when this daemon last reported on a start.
	reportedAt map[string]time.Time
}

// storedReport is the reported limit of a start and the time when it was read.
type storedReport struct {
	limit  Limit
	readAt time.Time
}

// Apply stores a report that was read, and reports whether the limit changed.
func (r *LimitReports) Apply(start string, limit Limit) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	isChange := r.reports[start].limit != limit
	if r.reports == nil {
		r.reports = map[string]storedReport{}
	}
	r.reports[start] = storedReport{
		limit:  limit,
		readAt: time.Now(),
	}
	return isChange
}

// Remove discards the report of a start that no longer exists, and reports whether there was
// one.
func (r *LimitReports) Remove(start string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, isKnown := r.reports[start]
	delete(r.reports, start)
	return isKnown
}

// Len returns the number of starts with a report.
func (r *LimitReports) Len() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return len(r.reports)
}

// StartsNotIn returns the starts with a report that are not in the given set.
func (r *LimitReports) StartsNotIn(starts map[string]bool) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var others []string
	for start := range r.reports {
		if !starts[start] {
			others = append(others, start)
		}
	}
	return others
}

// StaleStarts returns the starts whose reports were last read more than retentionTime ago.
func (r *LimitReports) StaleStarts() []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var stale []string
	for start, report := range r.reports {
		if time.Since(report.readAt) > retentionTime {
			stale = append(stale, start)
		}
	}
	return stale
}

// ShouldReport reports whether this daemon is to report what it has observed of a start. A
// report is due if the limit was not reported yet, differs from the reported one, or was not
// reported for refreshInterval, or if the reported limit is over.
func (r *LimitReports) ShouldReport(start string, observed Limit) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.isReportDue(start, observed) && time.Since(r.reportedAt[start]) >= minReportInterval
}

// ClaimReport checks again whether a report is due, and if so records it as written now.
func (r *LimitReports) ClaimReport(start string, observed Limit) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if !r.isReportDue(start, observed) || time.Since(r.reportedAt[start]) < minReportInterval {
		return false
	}
	if r.reportedAt == nil {
		r.reportedAt = map[string]time.Time{}
	}
	r.reportedAt[start] = time.Now()
	return true
}

// isReportDue is ShouldReport without the interval between reports of this daemon. The mutex must
// be held.
func (r *LimitReports) isReportDue(start string, observed Limit) bool {
	known, isKnown := r.reports[start]
	if observed.IsSet != isKnown || !isKnown {
		return observed.IsSet != isKnown
	}
	age := time.Since(known.readAt)
	difference := math.Abs(observed.PerSecond - known.limit.PerSecond)
	isChanged := difference > changeThreshold*known.limit.PerSecond
	return (isChanged && age >= minReportInterval) || age >= refreshInterval
}

// Sweep discards the times of reports that no longer delay a further one.
func (r *LimitReports) Sweep() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for start, reportedAt := range r.reportedAt {
		if time.Since(reportedAt) > minReportInterval {
			delete(r.reportedAt, start)
		}
	}
}
