package shutdown

import (
	"cmp"
	"slices"
	"time"
)

// longShare is the share of requests that may take longer than the expected duration.
const longShare = 0.01

// observation is how long a request has taken, up to its end or so far.
type observation struct {
	isRunning bool
	// largest is the number of events of the longest answer that the request allowed; 0: unknown.
	largest int
	// events is the number of events so far, and writing the time from the first to the last one.
	events  int
	writing time.Duration
	total   time.Duration
}

// observe returns how long a request has taken.
func (r *Run) observe(isRunning bool) observation {
	return observation{
		isRunning: isRunning,
		largest:   r.request.LargestAnswer,
		events:    r.events,
		writing:   r.lastEventAt.Sub(r.firstEventAt),
		total:     time.Since(r.startedAt),
	}
}

// withEvents returns how long the request would have taken with another number of events. ok is false if it had too
// few events to show its pace.
func (o observation) withEvents(events float64) (duration time.Duration, ok bool) {
	const minEvents = 2
	if o.events < minEvents {
		return 0, false
	}
	pace := float64(o.writing) / float64(o.events-1)
	return o.total - o.writing + time.Duration(pace*max(0, events-1)), true
}

// scaledTo returns how long the request would have taken if it had allowed another largest answer and used the same share of
// it; for a running request that is a lower bound. ok is false if that is unknown.
func (o observation) scaledTo(largest int) (duration time.Duration, ok bool) {
	if largest == 0 || largest == o.largest {
		return o.total, true
	}
	if o.largest == 0 {
		return o.total, o.isRunning
	}
	scale := float64(largest) / float64(o.largest)
	if duration, ok = o.withEvents(scale * float64(o.events)); ok {
		return duration, true
	}
	switch {
	case o.isRunning, scale < 1:
		return o.total, true
	case o.events == 0:
		return time.Duration(scale * float64(o.total)), true
	default:
		return 0, false
	}
}

// outcome is a duration that a request had, or exceeded if it still runs.
type outcome struct {
	duration  time.Duration
	isRunning bool
}

// typicalDuration returns how long nearly all requests take that allow a largest answer. ok is false if too many of
// them still run for that to be known.
//
// It is a quantile of the Kaplan-Meier estimator (1958), which counts a request that still runs among those that may take any
// time longer than it has so far. Ended requests alone would show the short ones first.
func typicalDuration(observations []observation, largest int) (duration time.Duration, ok bool) {
	var outcomes []outcome
	ended := 0
	for _, one := range observations {
		scaled, isKnown := one.scaledTo(largest)
		if !isKnown {
			continue
		}
		outcomes = append(outcomes, outcome{
			duration:  scaled,
			isRunning: one.isRunning,
		})
		if !one.isRunning {
			ended++
		}
	}
	if ended < minEnded {
		return 0, false
	}
	slices.SortFunc(outcomes, func(a, b outcome) int { return cmp.Compare(a.duration, b.duration) })
	const rounding = 1e-9
	longer := 1.0
	for i, one := range outcomes {
		if one.isRunning {
			continue
		}
		longer *= 1 - 1/float64(len(outcomes)-i)
		if longer < longShare-rounding {
			return one.duration, true
		}
	}
	return 0, false
}

// largestDuration returns how long nearly all answers with a number of events take; 0: unknown.
func largestDuration(observations []observation, events int) time.Duration {
	if events == 0 {
		return 0
	}
	var durations []time.Duration
	for _, one := range observations {
		if duration, ok := one.withEvents(float64(events)); ok {
			durations = append(durations, duration)
		}
	}
	if len(durations) < minEnded {
		return 0
	}
	slices.Sort(durations)
	return durations[int((1-longShare)*float64(len(durations)))]
}
