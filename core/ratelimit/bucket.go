package ratelimit

import "time"

// bucket is the token bucket of this daemon's quota. Each request takes one token.
type bucket struct {
	quota    Quota
	position Position
	tokens   float64
	// refilledAt is the time up to which tokens have been added. It starts when the limit was
	// set.
	refilledAt time.Time
	// reserved is the number of requests that were chosen and not yet sent.
	reserved int
}

// refill adds the tokens that accrued since refilledAt. A quota that grew because the position
// changed starts empty: until all daemons have the new list, others may still use their quota
// of the old one. After a change of the limit alone the bucket keeps its tokens, up to the new
// burst.
func (b *bucket) refill(limit Limit, position Position, now time.Time) {
	quota := limit.Quota(position)
	isNew := b.position == Position{}
	if !isNew && position != b.position && quota.PerSecond > b.quota.PerSecond {
		b.tokens = 0
		b.refilledAt = now
	}
	b.quota, b.position = quota, position
	b.tokens += now.Sub(b.refilledAt).Seconds() * quota.PerSecond
	b.tokens = min(b.tokens, float64(quota.Burst))
	b.refilledAt = now
}

// epsilon is the rounding error that sums of tokens may have.
const epsilon = 1e-9

// deficit returns the number of tokens that are missing for one more request.
func (b *bucket) deficit() float64 {
	deficit := 1 + float64(b.reserved) - b.tokens
	if deficit < epsilon {
		return 0
	}
	return deficit
}

// delay returns the time until there is a token for one more request. hasQuota is false if the
// daemon has no quota.
func (b *bucket) delay() (delay time.Duration, hasQuota bool) {
	if b.quota.PerSecond <= 0 {
		return 0, false
	}
	return time.Duration(b.deficit() / b.quota.PerSecond * float64(time.Second)), true
}
