package standin

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"headcourse/platform/wire"
)

// What all daemons together may send to a server with a limit, by the users' rule. From
// limitSettleTime after the server first announced a limit, each limitWindow may hold
// limitFactor times the limit plus limitSlack requests. Only requests of daemons that received
// the limit at least limitGrace ago count.
const (
	limitSettleTime = 3 * time.Second
	limitWindow     = 4 * time.Second
	limitFactor     = 1.5
	limitSlack      = 5
	limitGrace      = 500 * time.Millisecond
)

// limitRecord holds the limits that a server announced and the requests that arrived in the
// last limitWindow. replaceLimit creates it.
type limitRecord struct {
	// values are the limits in the order in which they were announced.
	values      []limitValue
	firstSentAt time.Time
	// sentAt is when each daemon first received a limit.
	sentAt   map[string]time.Time
	arrivals []limitArrival
	// isViolated is set when the violation is recorded, so that it is recorded only once.
	isViolated bool
}

// limitValue is a limit and the time from which it is announced.
type limitValue struct {
	since     time.Time
	perSecond float64
}

// limitArrival is a request from a daemon that had received the limit.
type limitArrival struct {
	arrivedAt time.Time
	daemon    string
}

// SetLimit makes the server announce a limit in all its answers, in requests per second from
// all daemons together.
func (s *Server) SetLimit(perSecond float64) {
	s.replaceLimit(&perSecond)
}

// UpdateLimit replaces the limit of a server that announces one.
func (s *Server) UpdateLimit(perSecond float64) {
	s.mutex.Lock()
	isSet := s.limit != nil
	s.mutex.Unlock()
	if isSet {
		s.SetLimit(perSecond)
	}
}

// ClearLimit makes the server announce no limit.
func (s *Server) ClearLimit() {
	s.replaceLimit(nil)
}

// replaceLimit sets the limit that the server announces; nil removes it.
func (s *Server) replaceLimit(perSecond *float64) {
	s.mutex.Lock()
	s.limit = perSecond
	s.mutex.Unlock()
	ledger := &s.platform.directives
	ledger.mutex.Lock()
	defer ledger.mutex.Unlock()
	if perSecond == nil {
		delete(ledger.limits, s.id)
		return
	}
	if ledger.limits == nil {
		ledger.limits = map[string]*limitRecord{}
	}
	record := ledger.limits[s.id]
	if record == nil {
		record = &limitRecord{
			sentAt: map[string]time.Time{},
		}
		ledger.limits[s.id] = record
	}
	record.values = append(record.values, limitValue{
		since:     time.Now(),
		perSecond: *perSecond,
	})
}

// addLimit adds the limit to an answer and reports whether there is one.
func (s *Server) addLimit(w http.ResponseWriter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.limit == nil {
		return false
	}
	w.Header().Set(wire.HeaderLimit, strconv.FormatFloat(*s.limit, 'f', -1, 64))
	return true
}

// recordLimitSent records that a server sent its limit to a daemon.
func (l *directiveLedger) recordLimitSent(server, daemon string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record := l.limits[server]
	if record == nil || !l.isChecked(daemon) {
		return
	}
	now := time.Now()
	if record.firstSentAt.IsZero() {
		record.firstSentAt = now
	}
	if record.sentAt[daemon].IsZero() {
		record.sentAt[daemon] = now
		l.counts.LimitsReceived++
	}
}

// checkLimit counts a request to a server with a limit and records a violation if there are
// too many in one limitWindow.
func (p *Platform) checkLimit(s *Server, daemon string) {
	p.directives.mutex.Lock()
	defer p.directives.mutex.Unlock()
	record := p.directives.limits[s.id]
	now := time.Now()
	if record == nil || !p.directives.isChecked(daemon) || !record.isChecked(daemon, now) {
		return
	}
	p.directives.counts.LimitedRequests++
	record.arrivals = append(record.arrivals, limitArrival{
		arrivedAt: now,
		daemon:    daemon,
	})
	record.arrivals = slices.DeleteFunc(record.arrivals, func(arrival limitArrival) bool {
		return now.Sub(arrival.arrivedAt) >= limitWindow
	})
	allowed := limitFactor*limitWindow.Seconds()*record.maxPerSecond(now) + limitSlack
	if float64(len(record.arrivals)) <= allowed || record.isViolated {
		return
	}
	record.isViolated = true
	p.recordViolation(fmt.Sprintf("%s announced a limit and received %d requests in %s from %d daemons that received the limit; allowed: %.1f", s.id, len(record.arrivals), limitWindow, len(record.sentAt), allowed))
}

// isChecked reports whether requests of the daemon count against the limit now.
func (l *limitRecord) isChecked(daemon string, now time.Time) bool {
	sentAt := l.sentAt[daemon]
	return !sentAt.IsZero() && now.Sub(sentAt) >= limitGrace && now.Sub(l.firstSentAt) >= limitSettleTime
}

// maxPerSecond returns the highest limit that was announced in the last limitWindow, extended
// by limitGrace for answers that were still in flight.
func (l *limitRecord) maxPerSecond(now time.Time) float64 {
	highest := 0.0
	for i, value := range l.values {
		isExpired := i+1 < len(l.values) && now.Sub(l.values[i+1].since) > limitWindow+limitGrace
		if !isExpired {
			highest = max(highest, value.perSecond)
		}
	}
	return highest
}

// removeDaemon drops the records of one daemon, or of all if the name is empty.
func (l *limitRecord) removeDaemon(daemon string) {
	if daemon == "" {
		clear(l.sentAt)
		l.arrivals = nil
		return
	}
	delete(l.sentAt, daemon)
	l.arrivals = slices.DeleteFunc(l.arrivals, func(arrival limitArrival) bool {
		return arrival.daemon == daemon
	})
}
