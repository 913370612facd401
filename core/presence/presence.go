// Package presence decides whether a serving group may receive requests.
//
// Presence is an observation with an age, never a flag. A watcher probes every member of a group.
// Evidence that the group is whole is as old as the start of its oldest probe; evidence that it is
// not is as old as the newest finding. Daemons pass on evidence with its age, and the receiver adds
// the whole time since it sent its request. So neither clock differences nor a delayed message can
// make old evidence look fresh. Evidence older than MaxAge does not count.
package presence

import (
	"time"
)

// MaxAge is the maximum age of evidence that counts.
const MaxAge = 2500 * time.Millisecond

// Evidence records whether at time ObservedAt every member of Group was present, loaded and of
// Generation. InFlight and Slots are the requests in flight and the slots that the group's first
// member reported.
type Evidence struct {
	Group      string
	Generation uint64
	IsWhole    bool
	ObservedAt time.Time
	InFlight   int
	Slots      int
}

// IsFresh reports whether the evidence shows the whole group, of this generation, within MaxAge
// before now.
func (e Evidence) IsFresh(generation uint64, now time.Time) bool {
	return e.IsWhole && e.Generation == generation && now.Sub(e.ObservedAt) <= MaxAge
}

// EvidenceSet holds the newest evidence of each group. The zero value is empty.
type EvidenceSet struct {
	newest map[string]Evidence
}

// Newest returns the newest evidence of a group, and false if there is none.
func (s EvidenceSet) Newest(group string) (Evidence, bool) {
	evidence, ok := s.newest[group]
	return evidence, ok
}

// All returns the newest evidence of every group, in no particular order.
func (s EvidenceSet) All() []Evidence {
	all := make([]Evidence, 0, len(s.newest))
	for _, evidence := range s.newest {
		all = append(all, evidence)
	}
	return all
}

// WithEvidence returns a copy with evidence added. For each group it keeps the evidence of the
// highest generation, and within a generation the newest.
func (s EvidenceSet) WithEvidence(added ...Evidence) EvidenceSet {
	next := make(map[string]Evidence, len(s.newest)+len(added))
	for group, evidence := range s.newest {
		next[group] = evidence
	}
	for _, evidence := range added {
		if known, ok := next[evidence.Group]; !ok || isNewer(evidence, known) {
			next[evidence.Group] = evidence
		}
	}
	return EvidenceSet{
		newest: next,
	}
}

// WithoutEvidenceBefore returns a copy without evidence from before a time.
func (s EvidenceSet) WithoutEvidenceBefore(cutoff time.Time) EvidenceSet {
	next := make(map[string]Evidence, len(s.newest))
	for group, evidence := range s.newest {
		if !evidence.ObservedAt.Before(cutoff) {
			next[group] = evidence
		}
	}
	return EvidenceSet{
		newest: next,
	}
}

// isNewer reports whether a replaces b.
func isNewer(a, b Evidence) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.ObservedAt.After(b.ObservedAt)
}
