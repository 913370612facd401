package demand

import (
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/usage"
)

const (
	// reportInterval is the minimum time between two reports to one daemon.
	reportInterval = 500 * time.Millisecond
	// reportLifetime is how long a report counts. A daemon that died receives no requests,
	// and a daemon that changed to another relay is counted there.
	reportLifetime = 2500 * time.Millisecond
)

// maxDepth limits the number of daemons through which a report is added up. A daemon
// reports to a standby, the standby to a relay, and the relay to the first daemon. While
// daemons have different lists they may report to each other in a cycle, and without a
// limit the entries that pass through it would grow without end.
const maxDepth = 5

// Word is the report of a daemon: the demand at the daemon itself and at the daemons that
// report to it.
type Word struct {
	Asked []Asked
	// Depth is the number of daemons on the longest path that entries of the report have
	// taken.
	Depth int
}

// Board adds up the demand that daemons report. Daemons form a tree: each reports to the
// daemon through which it follows the store's tables. The zero value is empty and ready to
// use. It is safe for concurrent use.
type Board struct {
	// Meter measures the requests to this daemon, which is in Zone. Both are set before
	// use.
	Meter *Meter
	Zone  string

	mutex sync.Mutex
	// reports are the last reports of the daemons that report to this one, by name.
	reports map[string]receivedReport
	// parentTotals is the last answer of the daemon to which this one reports, and parent
	// the name of that daemon. Reports go to one daemon at a time: if two daemons counted
	// the same requests, the totals would contain them twice.
	parentTotals receivedReport
	parent       string
	// lastReportedAt is when this daemon last reported to another one, by name.
	lastReportedAt map[string]time.Time
}

// receivedReport is a report and the time at which it was received.
type receivedReport struct {
	Word

	receivedAt time.Time
}

// isFresh reports whether the report still counts.
func (w receivedReport) isFresh() bool {
	return !w.receivedAt.IsZero() && time.Since(w.receivedAt) < reportLifetime
}

// Tell returns the report to send to a daemon now, and whether it is due.
func (b *Board) Tell(recipient string) (Word, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	hasOtherParent := b.parentTotals.isFresh() && b.parent != recipient
	if hasOtherParent || time.Since(b.lastReportedAt[recipient]) < reportInterval {
		return Word{}, false
	}
	if b.lastReportedAt == nil {
		b.lastReportedAt = map[string]time.Time{}
	}
	b.lastReportedAt[recipient] = time.Now()
	return b.subtreeReport(recipient), true
}

// subtreeReport adds up the demand at this daemon and at the daemons that report to it,
// except the recipient. Two daemons with different lists may report to each other; each
// would otherwise count the other's entries again and again. The mutex is held.
func (b *Board) subtreeReport(recipient string) Word {
	depth := 0
	var entries [][]Asked
	if b.Meter != nil {
		entries = append(entries, b.Meter.Asked(b.Zone))
	}
	maps.DeleteFunc(b.reports, func(_ string, report receivedReport) bool {
		return !report.isFresh()
	})
	for sender, report := range b.reports {
		if sender != recipient {
			entries = append(entries, report.Asked)
			depth = max(depth, report.Depth)
		}
	}
	return Word{
		Asked: sumEntries(entries...),
		Depth: depth + 1,
	}
}

// Told records the report of a daemon and returns the total demand as far as this daemon
// knows it. An invalid report is rejected, and the previous one continues to count.
func (b *Board) Told(sender string, report Word) ([]Asked, error) {
	if err := Check(report.Asked); err != nil {
		return nil, err
	}
	if report.Depth > maxDepth {
		return nil, errors.Errorf("check demand: report passed through %d daemons, more than %d", report.Depth, maxDepth)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.reports == nil {
		b.reports = map[string]receivedReport{}
	}
	b.reports[sender] = receivedReport{
		Word:       report,
		receivedAt: time.Now(),
	}
	return b.totals(), nil
}

// Retract removes the report of a daemon that got no answer: it will report to another
// daemon instead.
func (b *Board) Retract(sender string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.reports, sender)
}

// Heard records the totals with which a daemon answered this daemon's report.
func (b *Board) Heard(sender string, totals []Asked) error {
	if err := Check(totals); err != nil {
		return err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.parentTotals = receivedReport{
		Word: Word{
			Asked: totals,
		},
		receivedAt: time.Now(),
	}
	b.parent = sender
	return nil
}

// totals returns the total demand at all daemons: the totals of the daemon to which this
// one reports, or this daemon's own sum if it reports to none. The mutex is held.
func (b *Board) totals() []Asked {
	if b.parentTotals.isFresh() {
		return b.parentTotals.Asked
	}
	return b.subtreeReport("").Asked
}

// Tokens returns the token rates of a kind in all zones, and whether anything is known
// about the demand at other daemons.
func (b *Board) Tokens(kind Kind) (rate usage.Rate, isKnown bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.parentTotals.isFresh() && len(b.reports) == 0 {
		return usage.Rate{}, false
	}
	for _, entry := range b.totals() {
		if entry.Kind == kind {
			rate = rate.Plus(entry.Tokens)
		}
	}
	return rate, true
}

// ByZone returns the work rate of a kind in each zone as far as it is known, or nil if
// nothing is known about the demand at other daemons.
func (b *Board) ByZone(kind Kind) map[string]float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.parentTotals.isFresh() && len(b.reports) == 0 {
		return nil
	}
	rates := map[string]float64{}
	for _, entry := range b.totals() {
		if entry.Kind == kind {
			rates[entry.Zone] = entry.Rate
		}
	}
	return rates
}
