// Package shutdown decides which requests a daemon that stops still takes on.
//
// A planned stop has three parts. During the notice the load balancer still sends requests, since its probes have yet to
// fail. After it only clients remain whose connection was in use, most of them still sending a body. At the end of the
// schedule the daemon ends what is left, so that its clients get a status before the process exits.
//
// A request is taken only if its answer is expected to be whole before that end, or if its own timeout answers it
// before. The judgement is made anew when the head has been read, when the body is complete, and before each attempt of a request
// that has not run yet: a refusal costs the client a round trip to another daemon, a cut costs it the answer.
package shutdown

import "time"

const (
	// maxNotice is how long the load balancer may take to stop sending requests. It probes once a second and stops
	// after the second failed probe.
	maxNotice = 2600 * time.Millisecond
	// maxReserve and reserveDivisor bound the time between the end of requests and the end of the process.
	maxReserve     = 700 * time.Millisecond
	reserveDivisor = 5
	// maxMargin and marginDivisor bound what is added to the expected duration of a request.
	maxMargin     = 100 * time.Millisecond
	marginDivisor = 50
)

// Factors of the expected duration of a request. A client cannot repeat a request that may not be repeated, so these need
// more room.
const (
	repeatableFactor   = 1.1
	unrepeatableFactor = 1.25
)

// Schedule is the schedule of a planned stop. The zero value is that of a daemon that does not stop.
type Schedule struct {
	startedAt time.Time
	timeout   time.Duration
}

// WithStart returns the schedule of a stop that began at a time, after which the process is killed once the timeout has
// passed.
func (s Schedule) WithStart(at time.Time, timeout time.Duration) Schedule {
	s.startedAt = at
	s.timeout = timeout
	return s
}

// IsStopping reports whether the stop has begun.
func (s Schedule) IsStopping() bool {
	return !s.startedAt.IsZero()
}

// StartedAt returns when the stop began; the zero time if it has not.
func (s Schedule) StartedAt() time.Time {
	return s.startedAt
}

// NoticeEnd returns until when the load balancer may still send requests.
func (s Schedule) NoticeEnd() time.Time {
	return s.startedAt.Add(min(maxNotice, s.timeout/2))
}

// End returns when requests that are still in flight are ended.
func (s Schedule) End() time.Time {
	return s.startedAt.Add(s.timeout - min(maxReserve, s.timeout/reserveDivisor))
}

// Work is what is known of the time that a request takes.
type Work struct {
	// Expected is how long nearly all requests of its kind take; 0: unknown.
	Expected time.Duration
	// Limit is how long the request can take at most, since its client waits no longer; 0: unknown.
	Limit time.Duration
	// IsRepeatable is set if the request may run more than once.
	IsRepeatable bool
}

// margin returns what is added to the expected duration of a request.
func (s Schedule) margin() time.Duration {
	return min(maxMargin, s.timeout/marginDivisor)
}

// room returns how long before the end the work must begin, without a margin; ok is false if that is unknown.
func (w Work) room() (room time.Duration, ok bool) {
	factor := unrepeatableFactor
	if w.IsRepeatable {
		factor = repeatableFactor
	}
	expected := time.Duration(factor * float64(w.Expected))
	switch {
	case w.Expected == 0 && w.Limit == 0:
		return 0, false
	case w.Expected == 0:
		expected = w.Limit
	case w.Limit > 0:
		expected = min(expected, w.Limit)
	}
	return expected, true
}

// LatestStart returns when work must have begun in order to be taken. Work of unknown length is taken during the notice.
func (s Schedule) LatestStart(w Work) time.Time {
	room, ok := w.room()
	if !ok {
		return s.NoticeEnd()
	}
	latest := s.End().Add(-room - s.margin())
	if w.Expected == 0 && latest.Before(s.NoticeEnd()) {
		return s.NoticeEnd()
	}
	return latest
}

// BodyDeadline returns until when the body of a request may arrive. If the length of its work is unknown, it is judged when
// it is complete.
func (s Schedule) BodyDeadline(w Work) time.Time {
	if w.Expected == 0 {
		return s.End().Add(-s.margin())
	}
	return s.LatestStart(w)
}

// Admits reports whether work that begins now is taken. A daemon that does not stop takes all.
func (s Schedule) Admits(now time.Time, w Work) bool {
	return !s.IsStopping() || !now.After(s.LatestStart(w))
}
