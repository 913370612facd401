package ratelimit

import "time"

// bucket counts what a daemon may send now of its part. Each request takes a token.
type bucket struct {
	part   Part
	place  Place
	tokens float64
	// filled is until when tokens have been added; when the limit was learnt, at first.
	filled time.Time
	// reserved are tokens of requests that were chosen and not sent yet.
	reserved int
}

// fill adds the tokens that are due since the limit was learnt, or since the last time. A part
// that grew by another place begins empty: until all know the list, others may still use it by
// the one before. One of another limit keeps its tokens, as far as it can hold them.
func (b *bucket) fill(limit Limit, place Place, now time.Time) {
	part := limit.Part(place)
	isNew := b.place == Place{}
	if !isNew && place != b.place && part.PerSecond > b.part.PerSecond {
		b.tokens = 0
		b.filled = now
	}
	b.part, b.place = part, place
	b.tokens += now.Sub(b.filled).Seconds() * part.PerSecond
	b.tokens = min(b.tokens, float64(part.Burst))
	b.filled = now
}

// tiny is what sums of tokens may lack of a whole one by rounding.
const tiny = 1e-9

// missing returns how many tokens a further request lacks.
func (b *bucket) missing() float64 {
	missing := 1 + float64(b.reserved) - b.tokens
	if missing < tiny {
		return 0
	}
	return missing
}

// wait returns in how long there is room for a further request; isEver is false where the
// daemon has no part.
func (b *bucket) wait() (wait time.Duration, isEver bool) {
	if b.part.PerSecond <= 0 {
		return 0, false
	}
	return time.Duration(b.missing() / b.part.PerSecond * float64(time.Second)), true
}
