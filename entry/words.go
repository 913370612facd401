package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/core/rowstore"
	"headcourse/platform"
)

// Figures of words.
const (
	// wordQueue bounds words that wait to be written; it holds all requests that end
	// with a server of the largest size.
	wordQueue = 1024
	// wordsTogether is how long the first waits for others: all requests at a server end at
	// one moment.
	wordsTogether = 30 * time.Millisecond
	// wordsAgain is the time between two tries: within the time in which a daemon counts
	// as in touch, 3 s and more, others must know.
	wordsAgain = 500 * time.Millisecond
	// sweepEvery is the time between two looks for words to be forgotten.
	sweepEvery = time.Minute
)

// word is a row of toldTable to be written without a condition; one without a value is to be
// removed.
type word struct {
	key   string
	value []byte
}

// queueWord has a word written soon.
func (d *Daemon) queueWord(one word) {
	select {
	case d.words <- one:
	default:
		metrics.GetOrRegisterCounter("words_dropped", d.registry).Inc(1)
	}
}

// tellWords writes words until ctx ends.
func (d *Daemon) tellWords(ctx context.Context) {
	waiting := map[string]word{}
	take := func(one word) {
		waiting[one.key] = one
	}
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-sweep.C:
			d.sweepEnds()
			d.sweepLimits()
			continue
		case one := <-d.words:
			take(one)
		}
		for pause := wordsTogether; len(waiting) > 0 && ctx.Err() == nil; pause = wordsAgain {
			d.gatherWords(ctx, pause, take)
			d.writeWords(ctx, waiting)
		}
	}
}

// gatherWords takes further words for a while, no more than the queue holds.
func (d *Daemon) gatherWords(ctx context.Context, pause time.Duration, take func(word)) {
	end := time.After(pause)
	for range wordQueue {
		select {
		case <-ctx.Done():
			return
		case <-end:
			return
		case one := <-d.words:
			take(one)
		}
	}
}

// writeWords writes words, as many as a transaction holds at once, and takes those away
// that the store has.
func (d *Daemon) writeWords(ctx context.Context, waiting map[string]word) {
	for len(waiting) > 0 {
		var transaction rowstore.Transaction
		var keys []string
		for key, one := range waiting {
			row := rowstore.Row{
				Table: toldTable,
				Key:   key,
				Value: one.value,
			}
			if one.value == nil {
				transaction.Removes = append(transaction.Removes, row)
			} else {
				transaction.Writes = append(transaction.Writes, row)
			}
			if keys = append(keys, key); len(keys) == platform.MaxEntries {
				break
			}
		}
		if !d.commitWords(ctx, transaction) {
			return
		}
		for _, key := range keys {
			d.written.add(waiting[key])
			delete(waiting, key)
		}
	}
}

// commitWords makes one transaction and tells whether the store has taken it.
func (d *Daemon) commitWords(ctx context.Context, transaction rowstore.Transaction) bool {
	ctx, cancel := context.WithTimeout(ctx, tellTime)
	defer cancel()
	_, err := d.store.Commit(ctx, transaction)
	if err != nil {
		d.recordStoreError(toldTable)(err)
		return false
	}
	d.log.Info("servers: words told",
		zap.Int("told", len(transaction.Writes)),
		zap.Int("removed", len(transaction.Removes)))
	return true
}
