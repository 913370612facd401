package quarantine

import "time"

const (
	// minAnswerRetention is the shortest time for which an answer clears a request, unless a half
	// is full sooner; the longest is about twice that. Servers that fail together crash within
	// minutes, so it must span minutes.
	minAnswerRetention = 10 * time.Minute
	// maxDigestsPerHalf is the limit of each half; two full halves take 0.6 MB of heap. A
	// daemon of the design size with 40 requests a second fills one half in 200 s.
	maxDigestsPerHalf = 8192
)

// recentDigests is a set of recent digests in two halves. When the current half is full or old,
// it replaces the previous one. The zero value is empty.
type recentDigests struct {
	current, previous map[Digest]struct{}
	currentSince      time.Time
}

// add adds a digest.
func (r *recentDigests) add(digest Digest, now time.Time) {
	r.rotate(now)
	r.current[digest] = struct{}{}
}

// contains reports whether a digest was added lately.
func (r *recentDigests) contains(digest Digest, now time.Time) bool {
	r.rotate(now)
	if _, ok := r.current[digest]; ok {
		return true
	}
	_, ok := r.previous[digest]
	return ok
}

// rotate replaces the previous half by the current one if that is full or old.
func (r *recentDigests) rotate(now time.Time) {
	age := now.Sub(r.currentSince)
	if r.current != nil && age < minAnswerRetention && len(r.current) < maxDigestsPerHalf {
		return
	}
	r.previous = r.current
	if age >= 2*minAnswerRetention {
		r.previous = nil
	}
	r.current = map[Digest]struct{}{}
	r.currentSince = now
}
