package retry

import "time"

// sliceCount is the number of slices into which a window is divided.
const sliceCount = 20

// recentRequests counts the requests of the last window. It never counts older ones, and forgets
// up to a slice of the window early. The zero value is empty.
type recentRequests struct {
	window time.Duration
	start  time.Time
	slices [sliceCount]requestSlice
}

// requestSlice counts the requests in one slice of the window.
type requestSlice struct {
	number   int64
	requests float64
}

// number returns the number of the slice that contains a time. It resets the counts if the window
// has changed.
func (r *recentRequests) number(now time.Time, window time.Duration) int64 {
	if r.window != window {
		*r = recentRequests{
			window: window,
			start:  now,
		}
	}
	return int64(now.Sub(r.start) / (window / sliceCount))
}

// add counts a request.
func (r *recentRequests) add(now time.Time, window time.Duration) {
	number := r.number(now, window)
	slice := &r.slices[number%sliceCount]
	if slice.number != number {
		*slice = requestSlice{
			number: number,
		}
	}
	slice.requests++
}

// total returns the number of requests in the last window.
func (r *recentRequests) total(now time.Time, window time.Duration) float64 {
	number := r.number(now, window)
	total := 0.0
	for _, slice := range r.slices {
		if number-slice.number < sliceCount {
			total += slice.requests
		}
	}
	return total
}
