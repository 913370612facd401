package exposition

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Parameters of the sample behind each histogram, as the library recommends: the quantiles
// cover about the last five minutes.
const (
	reservoirSize = 1028
	decayAlpha    = 0.015
)

// ObserveDuration records a duration, in milliseconds, in the registry's histogram of a name.
func ObserveDuration(registry metrics.Registry, name string, duration time.Duration) {
	histogram, ok := registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	}).(metrics.Histogram)
	if ok {
		histogram.Update(duration.Milliseconds())
	}
}
