package demand

import (
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/usage"
)

const (
	// ReportInterval is the time between two reports to one daemon.
	ReportInterval = 250 * time.Millisecond
	// minReportInterval is the minimum time between two reports to one daemon. It is shorter than
	// ReportInterval so that a timer that fires a little early does not skip a report.
	minReportInterval = 200 * time.Millisecond
	// reportLifetime is how long a report counts. A stopped daemon receives no requests, and
	// a daemon that changed to another relay is counted there.
	reportLifetime = 2500 * time.Millisecond
	// reportsPerDetails is the number of reports of which one contains organisations and paces. They
	// take several times the bytes of the demand, and shares and verdicts change within seconds.
	reportsPerDetails = 4
	// detailTotalsLifetime is how long the sum of details is reused. A daemon to which 60 others report
	// would otherwise add up thousands of entries 60 times a second.
	detailTotalsLifetime = 200 * time.Millisecond
)

// maxDepth limits the number of daemons through which a report is added up. A daemon
// reports to a standby, the standby to a relay, and the relay to the first daemon. While
// daemons have different lists they may report to each other in a cycle, and without a
// limit the entries that pass through it would grow without end.
const maxDepth = 5

// Report is what a daemon reports: the demand at the daemon itself and at the daemons that
// report to it. It contains sums only.
type Report struct {
	Demand []Demand
	// Organisations and Paces are empty unless HasDetails. The receiver then keeps the last ones for as
	// long as a report is valid.
	Organisations []OrganisationDemand
	Paces         []PaceVotes
	HasDetails    bool
	// Depth is the number of daemons on the longest path that entries of the report have
	// taken.
	Depth int
}

// Totals are the sums over all daemons, as far as they are known to the daemon that answers a report.
type Totals struct {
	Demand []Demand
	// Organisations and Paces are empty unless HasDetails, as in a Report.
	Organisations []OrganisationDemand
	Paces         []PaceVotes
	HasDetails    bool
	// SumAge is the time since a daemon added the totals up, which others have handed on since; 0 if the
	// daemon that answers is of a release that does not send it.
	SumAge time.Duration
}

// check returns an error if a section is invalid.
func (t Totals) check() error {
	if err := CheckDemand(t.Demand); err != nil {
		return err
	}
	if err := CheckOrganisations(t.Organisations); err != nil {
		return err
	}
	return CheckPaces(t.Paces)
}

// Aggregator adds up the demand that daemons report. Daemons form a tree: each reports to the
// daemon through which it follows the store's tables. The zero value is empty and ready to
// use. It is safe for concurrent use.
type Aggregator struct {
	// Meter measures the requests to this daemon, which is in Zone. Both are set before
	// use.
	Meter *Meter
	Zone  string
	// Paces returns this daemon's votes on the pace of servers; nil means none. It is set before use,
	// and must not call the Aggregator.
	Paces func() []PaceVotes

	// history holds the recent totals, by which models are sized.
	history totalsHistory

	mutex sync.Mutex
	// reports are the last reports of the daemons that report to this one, by name.
	reports map[string]receivedReport
	// parentTotals is the last answer of the daemon to which this one reports, and parent
	// the name of that daemon. Reports go to one daemon at a time: if two daemons counted
	// the same requests, the totals would contain them twice.
	parentTotals receivedReport
	parent       string
	// sentReports are the reports of this daemon to others, by name, unless they have expired.
	sentReports map[string]sentReports
	// detailTotals is the last sum of the details of this daemon and those that report to it.
	detailTotals details
}

// sentReports are the reports to one daemon: their number, and the time of the last one.
type sentReports struct {
	count  int
	lastAt time.Time
}

// isExpired reports whether the last report no longer counts at its receiver, nor do the last details. The
// next one is then sent like a first one.
func (s sentReports) isExpired() bool {
	return time.Since(s.lastAt) >= reportLifetime
}

// receivedReport is a report or the totals of another daemon, and the time at which they were received.
type receivedReport struct {
	demand     []Demand
	depth      int
	details    details
	receivedAt time.Time
	// summedAt is when the totals were added up by the first daemon that handed them on.
	summedAt time.Time
}

// isFresh reports whether the report still counts.
func (r receivedReport) isFresh() bool {
	return !r.receivedAt.IsZero() && time.Since(r.receivedAt) < reportLifetime
}

// NextReport returns the report to send to a daemon now, and whether it is due. The first report to a
// daemon has details, and then every fourth; so has the first one after the last has expired.
func (a *Aggregator) NextReport(recipient string) (Report, bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	hasOtherParent := a.parentTotals.isFresh() && a.parent != "" && a.parent != recipient
	sent := a.sentReports[recipient]
	if sent.isExpired() {
		sent = sentReports{}
	}
	if hasOtherParent || time.Since(sent.lastAt) < minReportInterval {
		return Report{}, false
	}
	maps.DeleteFunc(a.sentReports, func(_ string, sent sentReports) bool {
		return sent.isExpired()
	})
	if a.sentReports == nil {
		a.sentReports = map[string]sentReports{}
	}
	a.sentReports[recipient] = sentReports{
		count:  sent.count + 1,
		lastAt: time.Now(),
	}
	report := a.subtreeReport(recipient)
	if sent.count%reportsPerDetails == 0 {
		sum := a.subtreeDetails(recipient)
		report.Organisations = sum.organisations
		report.Paces = sum.paces
		report.HasDetails = true
	}
	return report, true
}

// subtreeReport adds up the demand at this daemon and at the daemons that report to it,
// except the recipient. Two daemons with different lists may report to each other; each
// would otherwise count the other's entries again and again. The mutex is held.
func (a *Aggregator) subtreeReport(recipient string) Report {
	depth := 0
	var entries [][]Demand
	if a.Meter != nil {
		entries = append(entries, a.Meter.Demand(a.Zone))
	}
	maps.DeleteFunc(a.reports, func(_ string, report receivedReport) bool {
		return !report.isFresh()
	})
	for sender, report := range a.reports {
		if sender != recipient {
			entries = append(entries, report.demand)
			depth = max(depth, report.depth)
		}
	}
	return Report{
		Demand: sumEntries(entries...),
		Depth:  depth + 1,
	}
}

// subtreeDetails adds up the details of this daemon and of the daemons that report to it, except the
// recipient. The mutex is held.
func (a *Aggregator) subtreeDetails(recipient string) details {
	var own details
	if a.Meter != nil {
		own.organisations = a.Meter.Organisations()
	}
	if a.Paces != nil {
		own.paces = a.Paces()
	}
	parts := []details{own}
	for sender, report := range a.reports {
		if sender != recipient && report.isFresh() && report.details.isFresh() {
			parts = append(parts, report.details)
		}
	}
	return sumDetails(parts...)
}

// ReceiveReport records the report of a daemon and returns the totals as far as they are known here, with
// details if the report has some. An invalid report is rejected, and the previous one continues to count.
func (a *Aggregator) ReceiveReport(sender string, report Report) (Totals, error) {
	received := Totals{
		Demand:        report.Demand,
		Organisations: report.Organisations,
		Paces:         report.Paces,
		HasDetails:    report.HasDetails,
	}
	if err := received.check(); err != nil {
		return Totals{}, err
	}
	if report.Depth > maxDepth {
		return Totals{}, errors.Errorf("check demand: report passed through %d daemons, more than %d", report.Depth, maxDepth)
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.reports == nil {
		a.reports = map[string]receivedReport{}
	}
	next := a.reports[sender].replacedBy(received)
	next.depth = report.Depth
	a.reports[sender] = next
	a.recordTotals()
	totals := Totals{
		Demand: a.totals(sender),
	}
	if a.usesParentTotals(sender) {
		totals.SumAge = time.Since(a.parentTotals.summedAt)
	}
	if report.HasDetails {
		known := a.totalDetails(sender)
		totals.Organisations = known.organisations
		totals.Paces = known.paces
		totals.HasDetails = known.isFresh()
	}
	return totals, nil
}

// replacedBy returns the report after a newer one was received from the same daemon. Entries for the same
// kind and zone, organisation or server are added up, and rates are limited. If the newer report has no
// details, the previous ones continue to count.
func (r receivedReport) replacedBy(received Totals) receivedReport {
	now := time.Now()
	next := receivedReport{
		demand:     sumEntries(received.Demand),
		details:    r.details,
		receivedAt: now,
		summedAt:   now.Add(-min(max(0, received.SumAge), reportLifetime)),
	}
	if received.HasDetails {
		next.details = details{
			organisations: sumOrganisations(received.Organisations),
			paces:         sumPaces(received.Paces),
			receivedAt:    now,
		}
	}
	return next
}

// DropReport removes the report of a daemon that got no answer: it will report to another
// daemon instead.
func (a *Aggregator) DropReport(sender string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	delete(a.reports, sender)
}

// ReceiveTotals records the totals with which a daemon answered this daemon's report. Invalid totals are
// rejected, and the previous ones continue to count.
func (a *Aggregator) ReceiveTotals(sender string, totals Totals) error {
	if err := totals.check(); err != nil {
		return err
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.parentTotals = a.parentTotals.replacedBy(totals)
	a.parent = sender
	a.recordTotals()
	return nil
}

// ReleaseParent records that reports to a daemon fail, so that the next report may go to another one.
// The last totals still count. The next report to the daemon has details, since it may lack the last ones.
func (a *Aggregator) ReleaseParent(name string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.parent == name {
		a.parent = ""
	}
	if sent, ok := a.sentReports[name]; ok {
		sent.count = 0
		a.sentReports[name] = sent
	}
}

// usesParentTotals reports whether the totals for a recipient are those of the daemon to which this one
// reports. If that is the recipient itself, two daemons with different lists report to each other, and
// would hand the same totals to each other unchanged. An empty recipient stands for this daemon. Totals that
// were added up too long ago are not used: three daemons or more that report in a cycle would hand the same
// ones on for ever.
func (a *Aggregator) usesParentTotals(recipient string) bool {
	isOutdated := time.Since(a.parentTotals.summedAt) >= reportLifetime
	return a.parentTotals.isFresh() && !isOutdated && (recipient == "" || recipient != a.parent)
}

// totals returns the total demand at all daemons for a recipient: the totals of the daemon to which this
// one reports, or this daemon's own sum if it reports to none. The mutex is held.
func (a *Aggregator) totals(recipient string) []Demand {
	if a.usesParentTotals(recipient) {
		return a.parentTotals.demand
	}
	return a.subtreeReport("").Demand
}

// totalDetails returns the details of all daemons for a recipient, from the same source as the total
// demand. They are empty if that daemon is of a release that sends none. The mutex is held.
func (a *Aggregator) totalDetails(recipient string) details {
	if a.usesParentTotals(recipient) {
		if a.parentTotals.details.isFresh() {
			return a.parentTotals.details
		}
		return details{}
	}
	if a.detailTotals.receivedAt.IsZero() || time.Since(a.detailTotals.receivedAt) >= detailTotalsLifetime {
		a.detailTotals = a.subtreeDetails("")
	}
	return a.detailTotals
}

// isKnown reports whether anything is known about the demand at other daemons. The mutex is held.
func (a *Aggregator) isKnown() bool {
	if a.usesParentTotals("") {
		return true
	}
	for _, report := range a.reports {
		if report.isFresh() {
			return true
		}
	}
	return false
}

// age returns the age of the totals: that of the last answer of the daemon to which this one reports, or
// that of the newest report if this daemon reports to none. The mutex is held.
func (a *Aggregator) age() time.Duration {
	if a.usesParentTotals("") {
		return time.Since(a.parentTotals.receivedAt)
	}
	age := reportLifetime
	for _, report := range a.reports {
		age = min(age, time.Since(report.receivedAt))
	}
	return age
}

// TotalTokenRates returns the sum of the token rates of a kind over all zones over a short time: those of
// each zone are scaled by the ratio of its fast to its slow work rate. age is that of the totals. isKnown
// is false if nothing is known about the demand at other daemons.
func (a *Aggregator) TotalTokenRates(kind Kind) (rate usage.Rate, age time.Duration, isKnown bool) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.isKnown() {
		return usage.Rate{}, 0, false
	}
	for _, entry := range a.totals("") {
		if entry.Kind == kind {
			rate = rate.Add(entry.recentTokenRates())
		}
	}
	return rate, a.age(), true
}

// Timeliness returns the answers of a kind per second that began in time and late, of requests that had
// priority, over all daemons. Both are 0 if nothing is known about other daemons.
func (a *Aggregator) Timeliness(kind Kind) (inTime, late float64) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.isKnown() {
		return 0, 0
	}
	for _, entry := range a.totals("") {
		if entry.Kind == kind {
			inTime += entry.InTimeRate
			late += entry.LateRate
		}
	}
	return inTime, late
}

// Organisations returns the work rate of a kind by organisation over all daemons, in units of work per
// second, or nil if nothing is known about other daemons.
func (a *Aggregator) Organisations(kind Kind) map[string]float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.isKnown() {
		return nil
	}
	known := a.totalDetails("")
	if !known.isFresh() {
		return nil
	}
	rates := map[string]float64{}
	for _, entry := range known.organisations {
		if entry.Kind == kind {
			rates[entry.Organisation] = entry.WorkRate
		}
	}
	return rates
}

// PaceVotes returns the votes on the pace of servers over all daemons, or this daemon's own votes if
// nothing is known about others. They are ordered by server. The result must not be modified.
func (a *Aggregator) PaceVotes() []PaceVotes {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.totalDetails("").paces
}

// WorkRateByZone returns the work rate of a kind in each zone as far as it is known, over a short time,
// or nil if nothing is known about the demand at other daemons.
func (a *Aggregator) WorkRateByZone(kind Kind) map[string]float64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.isKnown() {
		return nil
	}
	rates := map[string]float64{}
	for _, entry := range a.totals("") {
		if entry.Kind == kind {
			rates[entry.Zone] = entry.recentWorkRate()
		}
	}
	return rates
}
