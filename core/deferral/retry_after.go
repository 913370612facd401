package deferral

import "time"

const (
	// retryDivisor bounds a delay to 1/retryDivisor of the client's remaining time; clients do not
	// wait longer.
	retryDivisor = 3
	// retryJitter is the part of the backlog over which retries are spread.
	retryJitter = 0.5
)

// RetryAfter returns the Retry-After delay of a refused request: the time until the backlog of the
// fleet is served, plus a random part of half of it, but at most a third of the client's remaining
// time. random is from 0 to 1. If the backlog exceeds that bound, no retry can come after it; the
// delay is then from two thirds of the bound to the bound, so that clients that were refused
// together do not retry together. Without a backlog or remaining time the delay is 0.
func RetryAfter(backlog, remaining time.Duration, random float64) time.Duration {
	longest := remaining / retryDivisor
	if backlog <= 0 || longest <= 0 {
		return 0
	}
	shortest := backlog
	if backlog >= longest {
		shortest = time.Duration(float64(longest) / (1 + retryJitter))
	} else {
		longest = min(longest, time.Duration((1+retryJitter)*float64(backlog)))
	}
	return shortest + time.Duration(random*float64(longest-shortest))
}
