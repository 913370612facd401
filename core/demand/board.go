package demand

import (
	"maps"
	"sync"
	"time"
)

// Times of a board.
const (
	// tellEvery is the least time between two words to one daemon.
	tellEvery = 500 * time.Millisecond
	// believeTime is how long a word counts: a daemon that died takes no requests, and
	// one that tells another relay now is counted there.
	believeTime = 2500 * time.Millisecond
)

// Board adds up what daemons tell of their requests. Daemons form a tree: each tells
// the one it follows tables through. The zero value is empty and works; it is safe for
// concurrent use.
type Board struct {
	// Meter measures this daemon's own requests, which come in Zone. Set before use.
	Meter *Meter
	Zone  string

	mutex sync.Mutex
	// told are the last words of daemons that tell this one, by their names.
	told map[string]word
	// heard is the last answer of a daemon that this one tells.
	heard word
	// spoke is when a daemon was last told, by its name.
	spoke map[string]time.Time
}

// word is what a daemon told, and when.
type word struct {
	asked []Asked
	at    time.Time
}

// isFresh tells whether a word still counts.
func (w word) isFresh() bool {
	return !w.at.IsZero() && time.Since(w.at) < believeTime
}

// Tell returns what to tell a daemon, by its name, now, and whether it is time to.
func (b *Board) Tell(to string) ([]Asked, bool) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if time.Since(b.spoke[to]) < tellEvery {
		return nil, false
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
func (b *Board) below(told string) []Asked {
	var all [][]Asked
	if b.Meter != nil {
		all = append(all, b.Meter.Asked(b.Zone))
	}
	maps.DeleteFunc(b.told, func(_ string, one word) bool {
		return !one.isFresh()
	})
	for from, one := range b.told {
		if from != told {
			all = append(all, one.asked)
		}
	}
	return sum(all...)
}

// Told takes the word of a daemon, and returns what is asked of all daemons, as far as
// this one knows. A word that makes no sense is refused, and the former one counts.
func (b *Board) Told(from string, asked []Asked) ([]Asked, error) {
	if err := Check(asked); err != nil {
		return nil, err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.told == nil {
		b.told = map[string]word{}
	}
	b.told[from] = word{
		asked: asked,
		at:    time.Now(),
	}
	return b.all(), nil
}

// Heard takes a daemon's answer to what it was told.
func (b *Board) Heard(asked []Asked) error {
	if err := Check(asked); err != nil {
		return err
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.heard = word{
		asked: asked,
		at:    time.Now(),
	}
	return nil
}

// all returns what is asked of all daemons: what was heard of the daemon that this one
// tells, or its own sum where it tells none. The mutex is held.
func (b *Board) all() []Asked {
	if b.heard.isFresh() {
		return b.heard.asked
	}
	return b.below("")
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
