// Package presence decides whether a serving group may be given requests.
//
// Presence is an observation with an age, never a flag. A watcher probes every
// member of a group; the evidence is as old as the start of its oldest probe.
// Evidence is passed between daemons with its age, and the receiver adds the
// whole time since it asked, so that neither clocks that differ nor a message
// held up on its way can make old evidence look fresh. Evidence older than
// MaxAge is no evidence.
package presence

import (
	"time"
)

// MaxAge is the age past which evidence counts for nothing.
const MaxAge = 2500 * time.Millisecond

// Evidence says that at time At every member of Group was present, loaded and
// of Generation. Load is what the group's first member reported then.
type Evidence struct {
	Group      string
	Generation uint64
	Whole      bool
	At         time.Time
	InFlight   int
	Slots      int
}

// Fresh tells whether the evidence says whole, of this generation, within
// MaxAge before now.
func (e Evidence) Fresh(generation uint64, now time.Time) bool {
	return e.Whole && e.Generation == generation && now.Sub(e.At) <= MaxAge
}

// Book holds the newest evidence of each group. The zero value is empty.
type Book struct {
	newest map[string]Evidence
}

// Newest returns the newest evidence of a group; false where there is none.
func (b Book) Newest(group string) (Evidence, bool) {
	evidence, ok := b.newest[group]
	return evidence, ok
}

// All returns the newest evidence of every group, in no order.
func (b Book) All() []Evidence {
	all := make([]Evidence, 0, len(b.newest))
	for _, evidence := range b.newest {
		all = append(all, evidence)
	}
	return all
}

// WithEvidence returns the book with evidence added. Of one generation the
// newer observation stands, of two generations the higher.
func (b Book) WithEvidence(added ...Evidence) Book {
	next := make(map[string]Evidence, len(b.newest)+len(added))
	for group, evidence := range b.newest {
		next[group] = evidence
	}
	for _, evidence := range added {
		if known, ok := next[evidence.Group]; !ok || newer(evidence, known) {
			next[evidence.Group] = evidence
		}
	}
	return Book{
		newest: next,
	}
}

// WithoutOlder returns the book without evidence from before a time.
func (b Book) WithoutOlder(than time.Time) Book {
	next := make(map[string]Evidence, len(b.newest))
	for group, evidence := range b.newest {
		if !evidence.At.Before(than) {
			next[group] = evidence
		}
	}
	return Book{
		newest: next,
	}
}

// newer tells whether a replaces b.
func newer(a, b Evidence) bool {
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.At.After(b.At)
}
