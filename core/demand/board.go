package demand

import (
	"maps"
	"sync"
	"time"

	"github.com/pkg/errors"

	"headcourse/core/usage"
)

// Times of a board.
const (
	// tellEvery is the least time between two words to one daemon.
	tellEvery = 500 * time.Millisecond
	// believeTime is how long a word counts: a daemon that died takes no requests, and
	// one that tells another relay now is counted there.
	believeTime = 2500 * time.Millisecond
)

// mostDepth bounds through how many daemons requests are added up: a daemon tells a
// standby, that one a relay, and the relay the first one. While their lists differ daemons
// may tell each other in a circle, and what goes round it would grow without end.
const mostDepth = 5

// Word is what a daemon tells of its own requests and of those of the daemons that tell it.
type Word struct {
	Asked []Asked
	// Depth is through how many daemons at most the requests in it were told.
	Depth int
}

// Board adds up what daemons tell of their requests. Daemons form a tree: each tells
// the one it follows tables through. The zero value is empty and works; it is safe for
// concurrent use.
type Board struct {
	// Meter measures this daemon's own requests, which come in Zone. Set before use.
	Meter *Meter
	Zone  string

	mutex sync.Mutex
	// told are the last words of daemons that tell this one, by their names.
	told map[string]heardWord
	// heard is the last answer of a daemon that this one tells, hearer its name. One daemon
	// is told at a time: two that both count the same requests count them twice.
	heard  heardWord
	hearer string
	// spoke is when a daemon was last told, by its name.
	spoke map[string]time.Time
}

// heardWord is what a daemon told, and when.
type heardWord struct {
	Word

	at time.Time
}

// isFresh tells whether a word still counts.
func (w heardWord) isFresh() bool {
	return !w.at.IsZero() && time.Since(w.at) < believeTime
}

// Tell returns what to tell a daemon, by its name, now, and whether it is time to.
func (b *Board) Tell(to string) (Word, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	isOther := b.heard.isFresh() && b.hearer != to
	if isOther || time.Since(b.spoke[to]) < tellEvery {
		return Word{}, false
	}
	if b.spoke == nil {
		b.spoke = map[string]time.Time{}
	}
	b.spoke[to] = time.Now()
	return b.below(to), true
}

// below adds up this daemon's own requests and those of the daemons that tell it, but
// for the one that is told: two that tell each other while their lists differ would
// count each other's again and again. The mutex is held.
func (b *Board) below(told string) Word {
	depth := 0
	var all [][]Asked
	if b.Meter != nil {
		all = append(all, b.Meter.Asked(b.Zone))
	}
	maps.DeleteFunc(b.told, func(_ string, one heardWord) bool {
		return !one.isFresh()
	})
	for from, one := range b.told {
		if from != told {
			all = append(all, one.Asked)
			depth = max(depth, one.Depth)
		}
	}
	return Word{
		Asked: sum(all...),
		Depth: depth + 1,
	}
}

// Told takes the word of a daemon, and returns what is asked of all daemons, as far as
// this one knows. A word that makes no sense is refused, and the former one counts.
func (b *Board) Told(from string, told Word) ([]Asked, error) {
	if err := Check(told.Asked); err != nil {
		return nil, err
	}
	if told.Depth > mostDepth {
		return nil, errors.Errorf("check demand: it was told through %d daemons, more than %d", told.Depth, mostDepth)
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.told == nil {
		b.told = map[string]heardWord{}
	}
	b.told[from] = heardWord{
		Word: told,
		at:   time.Now(),
	}
	return b.all(), nil
}

// Retract forgets the word of a daemon that was not answered: it turns to another one, and
// tells that one.
func (b *Board) Retract(from string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.told, from)
}

// Heard takes a daemon's answer to what it was told, by its name.
func (b *Board) Heard(from string, asked []Asked) error {
	if err := Check(asked); err != nil {
		return err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.heard = heardWord{
		Word: Word{
			Asked: asked,
		},
		at: time.Now(),
	}
	b.hearer = from
	return nil
}

// all returns what is asked of all daemons: what was heard of the daemon that this one
// tells, or its own sum where it tells none. The mutex is held.
func (b *Board) all() []Asked {
	if b.heard.isFresh() {
		return b.heard.Asked
	}
	return b.below("").Asked
}

// Tokens returns what is asked of a kind in all zones, and whether anything is known of
// what other daemons are asked.
func (b *Board) Tokens(kind Kind) (rate usage.Rate, isKnown bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.heard.isFresh() && len(b.told) == 0 {
		return usage.Rate{}, false
	}
	for _, one := range b.all() {
		if one.Kind == kind {
			rate = rate.Plus(one.Tokens)
		}
	}
	return rate, true
}

// ByZone returns what is asked of a kind in each zone, as far as known; nil: nothing is.
func (b *Board) ByZone(kind Kind) map[string]float64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.heard.isFresh() && len(b.told) == 0 {
		return nil
	}
	zones := map[string]float64{}
	for _, one := range b.all() {
		if one.Kind == kind {
			zones[one.Zone] = one.Rate
		}
	}
	return zones
}
