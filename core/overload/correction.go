package overload

import (
	"math"
	"time"
)

const (
	// maxLateFraction is the part of the requests with priority that may be late.
	maxLateFraction = 0.1
	// fallPerSecond is how much the correction falls in a second if all requests are late, and
	// risePerSecond how much it rises if few are. It falls faster, since too many requests with
	// priority make all of them late, and too few leave only some late.
	fallPerSecond = 0.2
	risePerSecond = 0.1
	// risePerSecondAboveOne is how much it rises beyond 1. Requests run for a second or two, so that
	// late answers show that much later that too many were sent: with risePerSecond, up to a third
	// of the requests with priority were late after three seconds of overload.
	risePerSecondAboveOne = 0.02
	// explainedTime is how long after an excess late answers are still in the totals.
	explainedTime = time.Second
	// minCorrection and maxCorrection limit what is learned: late answers may have causes that
	// deferral does not remedy.
	minCorrection = 0.5
	maxCorrection = 1.1
	// calmUtilisation is the part of the capacity up to which the demand is clearly below it. Late
	// answers have causes then that deferral does not remedy, so that the correction is not used.
	calmUtilisation = 0.7
)

// correction is the learned deviation of the capacity from the computed one; 0 is none. It changes
// with time, not with the number of updates.
type correction struct {
	deviation float64
}

// factor returns the factor of the capacity.
func (c correction) factor() float64 { return 1 + c.deviation }

// next returns the correction after elapsed seconds with a load, given the computed capacity in
// requests a second. It rises above 1 only in an overload: without one, answers in time don't show
// that the heads could serve more. It does not fall if late answers are explained: by requests that
// arrived before a burst was known.
func (c correction) next(elapsed float64, load Load, capacityRate float64, isOverloaded, isExplained bool) correction {
	if load.Rate.Requests <= calmUtilisation*capacityRate {
		return correction{}
	}
	lateExcess, ok := load.lateExcess()
	if !ok {
		return c
	}
	switch {
	case lateExcess > 0 && isExplained:
	case lateExcess > 0:
		c.deviation -= fallPerSecond * elapsed * lateExcess
	case isOverloaded && c.deviation >= 0:
		c.deviation += risePerSecondAboveOne * elapsed
	case isOverloaded:
		c.deviation = min(0, c.deviation+risePerSecond*elapsed)
	default:
		c = c.relaxed(elapsed)
	}
	c.deviation = min(maxCorrection-1, max(minCorrection-1, c.deviation))
	return c
}

// relaxed returns the correction after elapsed seconds without overload, in which it returns to 1.
func (c correction) relaxed(elapsed float64) correction {
	step := min(math.Abs(c.deviation), risePerSecond*elapsed)
	c.deviation -= math.Copysign(step, c.deviation)
	return c
}
