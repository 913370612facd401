package entry

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/io/exposition"
	"headcourse/io/logline"
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

// serveMetrics serves the metrics where the settings say. A daemon that cannot
// serve them still serves its clients.
func (d *Daemon) serveMetrics() {
	if d.settings.Metrics == "" {
		return
	}
	server, err := exposition.Listen(d.settings.Metrics, d.registry, d.updateGauges)
	if err != nil {
		d.log.Warn("daemon: metrics are not served", logline.Err(err))
		return
	}
	d.exposed = server
}

// updateGauges sets the gauges of what is known and how old it is.
func (d *Daemon) updateGauges() {
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, d.registry).Update(value)
	}
	view := d.view.Load()
	set("config_version", versionOf(view.Config))
	set("config_age_ms", d.Age().Milliseconds())
	set("servers_version", view.Fleet.Version)
	set("store_era", d.clock.Era())
	set("servers_known", int64(len(view.Fleet.Servers())))
	set("suspended_ms", d.sleep.Suspended().Milliseconds())
	set("requests_open", d.gateway.Open())
	direct, relayed := d.StoreAnswers()
	set("store_answers.direct", direct)
	set("store_answers.relayed", relayed)
	suspected, held := d.ledger.Counts()
	set("quarantine_suspected", int64(suspected))
	set("quarantine_held", int64(held))
	set("servers_limited", int64(d.notices.Len()))
	opened, reused := d.gateway.Connections()
	set("backend_connections.opened", opened)
	set("backend_connections.reused", reused)
}

// observe adds a time to a histogram, in milliseconds.
func (d *Daemon) observe(name string, took time.Duration) {
	exposition.Observe(d.registry, name, took)
}
