package shutdown

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize is the number of durations that are kept of a kind of request. sampleAlpha makes those of the last
	// minute weigh most.
	sampleSize  = 100
	sampleAlpha = 0.05
	// minSamples is the number of durations below which nothing is known of a kind.
	minSamples = 10
	// longPercentile is the part of requests that take at most the expected duration.
	longPercentile = 0.99
	// maxKinds bounds the kinds of requests; nothing is learned of further ones.
	maxKinds = 500
)

// Durations learns how long requests take, by their kind. The zero value knows nothing and is safe for concurrent use.
type Durations struct {
	mutex   sync.Mutex
	samples map[string]metrics.Sample
}

// Record adds the duration of a request from its admission to its end.
func (d *Durations) Record(kind string, took time.Duration) {
	if sample := d.sample(kind); sample != nil {
		sample.Update(int64(took))
	}
}

// sample returns the sample of a kind, a new one if necessary, or nil if there are too many.
func (d *Durations) sample(kind string) metrics.Sample {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	sample := d.samples[kind]
	if sample != nil || len(d.samples) >= maxKinds {
		return sample
	}
	if d.samples == nil {
		d.samples = map[string]metrics.Sample{}
	}
	sample = metrics.NewExpDecaySample(sampleSize, sampleAlpha)
	d.samples[kind] = sample
	return sample
}

// Expected returns how long nearly all requests of a kind take; 0: unknown.
func (d *Durations) Expected(kind string) time.Duration {
	d.mutex.Lock()
	sample := d.samples[kind]
	d.mutex.Unlock()
	if sample == nil || sample.Size() < minSamples {
		return 0
	}
	return time.Duration(sample.Percentile(longPercentile))
}
