package exposition

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Figures of the sample behind each histogram, those that the library names as
// usual: the quantiles weigh about the last five minutes.
const (
	reservoirSize = 1028
	decayAlpha    = 0.015
)

// Observe adds a time to the registry's histogram of a name, in milliseconds.
func Observe(registry metrics.Registry, name string, took time.Duration) {
	known, ok := registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	}).(metrics.Histogram)
	if ok {
		known.Update(took.Milliseconds())
	}
}
