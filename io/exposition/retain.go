package exposition

import (
	"strings"

	"github.com/rcrowley/go-metrics"
)

// RetainGauges removes the gauges whose names begin with a prefix, except those with the given names, so
// that what no longer exists is not reported with its last value.
func RetainGauges(registry metrics.Registry, prefix string, names map[string]bool) {
	registry.Each(func(name string, metric any) {
		if _, isGauge := metric.(metrics.Gauge); isGauge && strings.HasPrefix(name, prefix) && !names[name] {
			registry.Unregister(name)
		}
	})
}
