package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"headcourse/io/logline"
)

// Stop stops the daemon gracefully: it reports itself as not ready, accepts requests that it can finish until the
// load balancer has noticed, waits for those in flight, and ends what is left before the process is killed.
func (d *Daemon) Stop() error {
	startedAt := time.Now()
	d.log.Info("daemon: stopping", zap.Int64("requests_open", d.gateway.InFlight()))
	d.readiness.startDraining()
	schedule := d.gateway.Drain(time.Duration(d.stopTimeout.Load()))
	d.tunnels.Drain()
	if d.hasSuccessor() {
		d.stopElection()
	}
	time.Sleep(d.bootClock.Until(schedule.NoticeEnd()))
	ctx, cancel := context.WithTimeout(context.Background(), d.bootClock.Until(schedule.End()))
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

// hasSuccessor reports whether another daemon may lead. Without one, groups would not be repaired during the stop.
func (d *Daemon) hasSuccessor() bool {
	d.directory.mutex.Lock()
	defer d.directory.mutex.Unlock()
	return len(d.directory.list.Others(d.settings.Name)) > 0
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
