package deferral

import (
	"math"
	"time"
)

// maxInterval bounds the time between two tokens, so that a very low rate does not overflow a
// duration.
const maxInterval = 24 * time.Hour

// bucket is a token bucket with a burst of 1. The zero value is full and has a rate of 0.
type bucket struct {
	// perSecond is finite and not negative.
	perSecond float64
	// readyAt is when the next token is complete; it is valid if the rate is positive.
	readyAt time.Time
	// missing is the part of the next token that is missing, 0 to 1; it is valid if the rate is 0.
	missing float64
}

// setRate changes the rate and keeps the part of a token that has been filled.
func (b *bucket) setRate(now time.Time, perSecond float64) {
	if math.IsNaN(perSecond) {
		perSecond = 0
	}
	perSecond = max(0, perSecond)
	if perSecond == b.perSecond {
		return
	}
	missing := b.missing
	if b.perSecond > 0 {
		missing = min(1, max(0, b.readyAt.Sub(now).Seconds()*b.perSecond))
	}
	b.perSecond = perSecond
	b.missing = missing
	if perSecond > 0 {
		b.readyAt = now.Add(b.timeFor(missing))
	}
}

// timeFor returns the time in which a number of tokens is filled. The rate must be positive.
func (b *bucket) timeFor(tokens float64) time.Duration {
	seconds := tokens / b.perSecond
	if seconds >= maxInterval.Seconds() {
		return maxInterval
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// isReady reports whether there is a token.
func (b *bucket) isReady(now time.Time) bool {
	if b.perSecond > 0 {
		return !now.Before(b.readyAt)
	}
	return b.missing == 0
}

// takeIdle takes the token of a kind for which nothing waited. The time since the token was
// complete is lost, since the burst is 1.
func (b *bucket) takeIdle(now time.Time) {
	b.readyAt = now
	b.takeWaiting()
}

// takeWaiting takes the token for a request that waited for it. The next token is filled from the
// time at which this one was complete, so that late timers do not lower the rate.
func (b *bucket) takeWaiting() {
	b.missing = 1
	if b.perSecond > 0 {
		b.readyAt = b.readyAt.Add(b.timeFor(1))
	}
}
