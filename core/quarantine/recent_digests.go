package quarantine

import "time"

const (
	// minAnswerRetention is the shortest time for which an answer clears a request; the longest
	// is twice that. Servers that fail together crash within minutes, so it must span minutes.
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
func (m *recentDigests) add(digest Digest, now time.Time) {
	m.rotate(now)
	m.current[digest] = struct{}{}
}

// contains reports whether a digest was added lately.
func (m *recentDigests) contains(digest Digest, now time.Time) bool {
	m.rotate(now)
	if _, ok := m.current[digest]; ok {
		return true
	}
	_, ok := m.previous[digest]
	return ok
}

// rotate replaces the previous half by the current one if that is full or old.
func (m *recentDigests) rotate(now time.Time) {
	age := now.Sub(m.currentSince)
	if m.current != nil && age < minAnswerRetention && len(m.current) < maxDigestsPerHalf {
		return
	}
	m.previous = m.current
	if age >= 2*minAnswerRetention {
		m.previous = nil
	}
	m.current = map[Digest]struct{}{}
	m.currentSince = now
}
