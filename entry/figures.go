package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

// figuresEvery is the time between two lines with all counters.
const figuresEvery = 10 * time.Second

// logFigures writes all counters from time to time, until ctx ends.
func (d *Daemon) logFigures(ctx context.Context) {
	ticker := time.NewTicker(figuresEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		counts := map[string]int64{}
		d.registry.Each(func(name string, value any) {
			if counter, ok := value.(metrics.Counter); ok {
				counts[name] = counter.Count()
			}
		})
		d.log.Info("daemon: figures", zap.Any("counters", counts), zap.Int64("requests_open", d.gateway.Open()))
	}
}
