package overload

import (
	"math"
	"time"

	"headcourse/core/usage"
)

const (
	// averagingTime is the time constant of the rates in the totals (the fast rates of
	// demand.Meter).
	averagingTime = 600 * time.Millisecond
	// minSampleInterval is the minimum time between two totals that are compared. Totals of nearly
	// the same time are repeated ones.
	minSampleInterval = 200 * time.Millisecond
	// noiseDeviations is the number of standard deviations by which the rate within an interval must
	// differ from the average to count as a change. Random variation exceeds 3 in one of 370
	// intervals. With 2.5, the fraction fell to 0.3 for a quarter of a second in a modelled burst of 3 s.
	noiseDeviations = 3
	// maxWindow is the time over which the rate is averaged while it does not change. It has the same
	// random variation as an average with averagingTime.
	maxWindow = 2 * averagingTime
	// maxTrendFactor limits how far the present demand may be from the average.
	maxTrendFactor = 4
)

// trend estimates the present demand from averaged rates. An average over averagingTime shows only a
// third of a burst 250 ms after its begin, and as much of it too long after its end. The change
// between two averages gives the mean rate in the interval between them. If that differs by more than
// random variation explains, earlier intervals no longer count.
type trend struct {
	// average is the rate of requests in the latest totals, as of a time.
	average float64
	asOf    time.Time
	// rate is the mean rate in the window, in requests a second.
	rate   float64
	window time.Duration
}

// next returns the trend with totals as of a time. It is the same for repeated totals.
func (t trend) next(average float64, asOf time.Time) trend {
	interval := asOf.Sub(t.asOf)
	if t.asOf.IsZero() || interval > maxAge {
		return trend{
			average: average,
			asOf:    asOf,
			rate:    average,
			window:  maxWindow,
		}
	}
	if interval < minSampleInterval {
		return t
	}
	remaining := math.Exp(-interval.Seconds() / averagingTime.Seconds())
	mean := max(0, (average-t.average*remaining)/(1-remaining))
	next := trend{
		average: average,
		asOf:    asOf,
		rate:    mean,
		window:  interval,
	}
	variance := max(mean, t.rate)/interval.Seconds() + t.rate/t.window.Seconds()
	if math.Abs(mean-t.rate) <= noiseDeviations*math.Sqrt(variance) {
		next.window = max(interval, min(maxWindow, t.window+interval))
		next.rate = t.rate + (mean-t.rate)*interval.Seconds()/next.window.Seconds()
	}
	return next
}

// present returns the present demand.
func (t trend) present(rate usage.Rate) usage.Rate {
	if rate.Requests <= 0 {
		return rate
	}
	return rate.Scale(min(maxTrendFactor, max(1.0/maxTrendFactor, t.rate/rate.Requests)))
}
