package overload

import (
	"math"

	"headcourse/core/config"
	"headcourse/core/usage"
)

const (
	// maxRunning is the mean part of the heads' slots that requests with priority may use. A step takes
	// longer the more requests run: the first event took 205 ms with 28 of 34 slots in use and
	// 255 ms with all of them, at a goal of 250 ms. Heads are not loaded evenly, so that with 0.82 of
	// all slots in use some heads are full.
	maxRunning = 0.74
	// maxPrefill is the part of the prefill capacity that may be in use. Above it, random bursts
	// alone make prompts queue.
	maxPrefill = 0.95
	// maxShareDoublings limits the search for the capacity to 2^20 times the demand.
	maxShareDoublings = 20
	// shareBisections gives a share with an error of less than a millionth.
	shareBisections = 20
)

// Room is the capacity of a model's heads.
type Room struct {
	// Heads is the number of heads weighted by pace: a head that is half as fast counts 0.5.
	Heads  float64
	Engine *config.Engine
	Model  config.Model
}

// capacity is what the heads serve in time of a mix of requests.
type capacity struct {
	// requests is in requests a second.
	requests float64
	// running is how many requests run at the heads at that rate.
	running float64
}

// capacityFor returns the capacity for the mix of requests in a rate; ok is false if it is not
// known.
func (r Room) capacityFor(rate usage.Rate) (result capacity, ok bool) {
	if r.Engine == nil || !isPositive(r.Heads) || !isPositive(rate.Requests) {
		return capacity{}, false
	}
	if _, ok = r.Engine.Utilisation(r.Model, rate, r.Heads); !ok {
		return capacity{}, false
	}
	share := r.largestShare(rate)
	atCapacity, _ := r.Engine.Utilisation(r.Model, rate.Scale(share), r.Heads)
	result = capacity{
		requests: share * rate.Requests,
		running:  atCapacity.Slots * float64(r.Engine.Capacity) * r.Heads,
	}
	return result, isPositive(result.requests) && isPositive(result.running)
}

// largestShare returns the largest factor by which the rate may be multiplied so that the heads
// serve it in time.
func (r Room) largestShare(rate usage.Rate) float64 {
	lower, upper := 0.0, 1.0
	for range maxShareDoublings {
		if !r.servesInTime(rate.Scale(upper)) {
			break
		}
		lower = upper
		upper += upper
	}
	for range shareBisections {
		middle := (lower + upper) / 2
		if r.servesInTime(rate.Scale(middle)) {
			lower = middle
		} else {
			upper = middle
		}
	}
	return lower
}

// servesInTime reports whether the heads have enough slots and prefill capacity for a rate.
func (r Room) servesInTime(rate usage.Rate) bool {
	used, ok := r.Engine.Utilisation(r.Model, rate, r.Heads)
	return ok && used.IsStable && used.Slots <= maxRunning && used.Prefill <= maxPrefill
}

// isPositive reports whether a number is finite and above 0.
func isPositive(number float64) bool {
	return number > 0 && !math.IsInf(number, 1)
}

// isAmount reports whether a number is finite and at least 0.
func isAmount(number float64) bool {
	return number >= 0 && !math.IsInf(number, 1)
}
