package quarantine

import "time"

const (
	// minAnswerRetention is the shortest time for which an answer is remembered, unless a half
	// is full sooner; the longest is about twice that. Servers that fail together crash within
	// minutes, so it must span minutes.
	minAnswerRetention = 10 * time.Minute
	// maxDigestsPerHalf is the limit of each half; two full halves of contents take 0.7 MB of heap,
	// those of parts 1.8 MB. A
	// daemon of the design size with 40 requests a second fills one half in 200 s.
	maxDigestsPerHalf = 8192
)

// recentDigests is a map of recent digests in two halves. When the current half is full or old,
// it replaces the previous one. The zero value is empty.
type recentDigests[V any] struct {
	current, previous map[Digest]V
	currentSince      time.Time
}

// put adds a digest or replaces its value.
func (r *recentDigests[V]) put(digest Digest, value V, now time.Time) {
	r.rotate(now)
	r.current[digest] = value
}

// contains reports whether a digest was added lately.
func (r *recentDigests[V]) contains(digest Digest, now time.Time) bool {
	_, ok := r.get(digest, now)
	return ok
}

// get returns the value of a digest that was added lately.
func (r *recentDigests[V]) get(digest Digest, now time.Time) (value V, ok bool) {
	r.rotate(now)
	if value, ok = r.current[digest]; ok {
		return value, true
	}
	value, ok = r.previous[digest]
	return value, ok
}

// rotate replaces the previous half by the current one if that is full or old.
func (r *recentDigests[V]) rotate(now time.Time) {
	age := now.Sub(r.currentSince)
	if r.current != nil && age < minAnswerRetention && len(r.current) < maxDigestsPerHalf {
		return
	}
	r.previous = r.current
	if age >= 2*minAnswerRetention {
		r.previous = nil
	}
	r.current = map[Digest]V{}
	r.currentSince = now
}
