package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"headcourse/io/logline"
)

const (
	// drainNoticeTime is how long a stopping daemon still accepts requests, unless half of the
	// time to stop is shorter. The load balancer probes once a second and stops sending requests
	// after the second failed probe.
	drainNoticeTime = 2600 * time.Millisecond
	// stopMargin is reserved at the end of the time to stop.
	stopMargin = 700 * time.Millisecond
)

// Stop stops the daemon gracefully: it reports itself as not ready, accepts requests until the
// load balancer has noticed, and waits for requests in flight.
func (d *Daemon) Stop() error {
	startedAt := time.Now()
	d.log.Info("daemon: stopping", zap.Int64("requests_open", d.gateway.InFlight()))
	d.readiness.startDraining()
	d.gateway.DisableKeepAlive()
	d.tunnels.Drain()
	time.Sleep(min(drainNoticeTime, d.settings.StopTimeout/2))
	ctx, cancel := context.WithDeadline(context.Background(), startedAt.Add(d.settings.StopTimeout-stopMargin))
	defer cancel()
	err := d.gateway.Close(ctx)
	d.awaitTunnels(ctx)
	d.cancel()
	d.tasks.Wait()
	d.readiness.close()
	d.relayServer.Close()
	d.tunnels.Close()
	d.closeMetrics()
	d.log.Info("daemon: stopped", zap.Int64("took_ms", time.Since(startedAt).Milliseconds()), logline.ErrorField(err))
	return err
}

// closeMetrics stops the metrics server, if any.
func (d *Daemon) closeMetrics() {
	if d.metricsServer != nil {
		d.metricsServer.Close()
	}
}

// Kill stops the daemon at once, as a crash would: it closes connections without draining them.
func (d *Daemon) Kill() {
	d.gateway.Kill()
	d.readiness.close()
	d.relayServer.Close()
	d.tunnels.Close()
	d.closeMetrics()
	d.cancel()
	d.tasks.Wait()
}
