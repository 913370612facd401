package entry

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/rowstore"
	"headcourse/platform"
)

// The store may be restored from an older copy. What this daemon knew before is newer than
// that: it stays until operators, servers and daemons have had the time to write again what
// the copy lacks, and only then the tables count as they stand.

// writtenFor is how long words that the store has taken are kept: longer than a copy is old.
const writtenFor = time.Minute

// recordEra records that a table was read in another era. With the first one, words are
// written again that the store may have lost.
func (d *Daemon) recordEra(table string) func(former, next rowstore.Revision) {
	return func(former, next rowstore.Revision) {
		d.log.Info("store: table read in a new era",
			zap.String("table", table),
			zap.Int64("era", next.Era),
			zap.Int64("version", next.Version),
			zap.Int64("former_era", former.Era),
			zap.Int64("former_version", former.Version))
		if d.storeEra.Swap(next.Era) == next.Era {
			return
		}
		metrics.GetOrRegisterCounter("store_restores", d.registry).Inc(1)
		for _, one := range d.written.all() {
			d.queueWord(one)
		}
	}
}

// keepNewestConfig returns a table of the configuration with the one in force, where that is
// newer: the operator has not written it again yet, and daemons that start know no better.
func (d *Daemon) keepNewestConfig(read rowstore.Result) rowstore.Result {
	kept := d.configRow.Load()
	if kept == nil || d.hasConfigFrom(read.Rows) {
		return read
	}
	row := *kept
	row.Version = read.Version
	rows := []rowstore.Row{row}
	for _, one := range read.Rows {
		if !platform.IsConfig(one.Key) {
			rows = append(rows, one)
		}
	}
	read.Rows = rows
	return read
}

// hasConfigFrom tells whether rows have a configuration that is not older than the one in
// force.
func (d *Daemon) hasConfigFrom(rows []rowstore.Row) bool {
	for _, row := range rows {
		if !platform.IsConfig(row.Key) {
			continue
		}
		read, err := platform.DecodeConfig(row.Value)
		return err == nil && read.Version >= versionOf(d.view.Load().Config)
	}
	return false
}

// writtenWords are words that the store has taken lately, to be written again where a restore
// has lost them. The zero value is empty.
type writtenWords struct {
	mutex sync.Mutex
	words map[string]writtenWord
}

// writtenWord is a word, and when the store took it.
type writtenWord struct {
	word word
	at   time.Time
}

// add notes a word that the store has taken.
func (w *writtenWords) add(one word) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if w.words == nil {
		w.words = map[string]writtenWord{}
	}
	w.forgetOld()
	if len(w.words) < wordQueue {
		w.words[one.key] = writtenWord{
			word: one,
			at:   time.Now(),
		}
	}
}

// observe forgets a word whose row was written by another since.
func (w *writtenWords) observe(row rowstore.Row) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	known, isThere := w.words[row.Key]
	if isThere && (row.Deleted != (known.word.value == nil) || string(row.Value) != string(known.word.value)) {
		delete(w.words, row.Key)
	}
}

// all returns the words that were written lately.
func (w *writtenWords) all() []word {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.forgetOld()
	var all []word
	for _, one := range w.words {
		all = append(all, one.word)
	}
	return all
}

// forgetOld forgets words that were written long ago. The mutex is held.
func (w *writtenWords) forgetOld() {
	for key, one := range w.words {
		if time.Since(one.at) > writtenFor {
			delete(w.words, key)
		}
	}
}
