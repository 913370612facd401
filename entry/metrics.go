package entry

import (
	"context"
	"math"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"headcourse/io/exposition"
	"headcourse/io/logline"
)

// countersLogInterval is the time between two log lines with all counters.
const countersLogInterval = 10 * time.Second

// logCounters logs all counters periodically until ctx ends.
func (d *Daemon) logCounters(ctx context.Context) {
	ticker := time.NewTicker(countersLogInterval)
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
		d.log.Info("daemon: figures", zap.Any("counters", counts), zap.Int64("requests_open", d.gateway.InFlight()))
	}
}

// serveMetrics serves metrics if the settings give an address. A daemon that cannot serve them
// still serves clients.
func (d *Daemon) serveMetrics() {
	if d.settings.MetricsAddress == "" {
		return
	}
	server, err := exposition.Listen(d.settings.MetricsAddress, d.registry, d.updateGauges)
	if err != nil {
		d.log.Warn("daemon: metrics are not served", logline.ErrorField(err))
		return
	}
	d.metricsServer = server
}

// updateGauges sets the gauges before the metrics are read.
func (d *Daemon) updateGauges() {
	set := func(name string, value int64) {
		metrics.GetOrRegisterGauge(name, d.registry).Update(value)
	}
	view := d.view.Load()
	set("config_version", configVersion(view.Config))
	set("config_age_ms", d.MaxViewAge().Milliseconds())
	set("servers_version", view.Fleet.Version)
	set("store_era", d.storeClock.Era())
	set("servers_known", int64(len(view.Fleet.Servers())))
	set("suspended_ms", d.suspension.Suspended().Milliseconds())
	set("requests_open", d.gateway.InFlight())
	direct, relayed := d.ReadCounts()
	set("store_answers.direct", direct)
	set("store_answers.relayed", relayed)
	suspected, held := d.crashLedger.Counts()
	set("quarantine_suspected", int64(suspected))
	set("quarantine_held", int64(held))
	set("servers_limited", int64(d.limitReports.Len()))
	d.updateOverloadGauges(set)
	opened, reused := d.gateway.ConnectionCounts()
	set("backend_connections.opened", opened)
	set("backend_connections.reused", reused)
}

const (
	// maxKindGauges limits the kinds of requests with gauges of their own.
	maxKindGauges = 64
	// overloadGauges is the prefix of the gauges of a kind.
	overloadGauges = "overload_"
)

// updateOverloadGauges sets the gauges of the decisions about overload. Fractions are in thousandths; a rate
// without limit is -1. Gauges of kinds that no longer exist are removed.
func (d *Daemon) updateOverloadGauges(set func(name string, value int64)) {
	set("requests_held", int64(d.gateway.HeldRequests()))
	retained := map[string]bool{}
	setRetained := func(name string, value int64) {
		retained[name] = true
		set(name, value)
	}
	kinds := d.overview().Kinds
	for _, kind := range kinds[:min(maxKindGauges, len(kinds))] {
		name := kind.Kind.Service + "/" + kind.Kind.Model
		deferredRate := int64(-1)
		if !math.IsInf(kind.DeferredRate, 1) {
			deferredRate = int64(math.Round(kind.DeferredRate))
		}
		setRetained(overloadGauges+"priority_fraction."+name, int64(math.Round(thousandths*kind.PriorityFraction)))
		setRetained(overloadGauges+"deferred_rate."+name, deferredRate)
		setRetained(overloadGauges+"backlog_ms."+name, kind.Backlog.Milliseconds())
		setRetained(overloadGauges+"organisations_cut."+name, int64(len(kind.CutOrganisations)))
	}
	exposition.RetainGauges(d.registry, overloadGauges, retained)
}

// thousandths converts a fraction to the unit of its gauge.
const thousandths = 1000

// observeDuration adds a duration to a histogram, in milliseconds.
func (d *Daemon) observeDuration(name string, took time.Duration) {
	exposition.ObserveDuration(d.registry, name, took)
}
