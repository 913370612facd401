package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"headcourse/io/logline"
)

// Times of stopping.
const (
	// noticeTime is how long a stopping daemon still takes requests: the
	// balancer asks once a second and believes the second refusal.
	noticeTime = 2600 * time.Millisecond
	// stopMargin is kept away from the end of the time to stop.
	stopMargin = 700 * time.Millisecond
)

// Stop ends the daemon: it tells the balancer, takes requests until the
// balancer has noticed, and lets those under way end.
func (d *Daemon) Stop() error {
	began := time.Now()
	d.log.Info("daemon: stopping", zap.Int64("requests_open", d.gateway.Open()))
	d.ready.leave()
	d.gateway.Leave()
	time.Sleep(min(noticeTime, d.settings.StopTime/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(d.settings.StopTime-stopMargin))
	defer cancel()
	err := d.gateway.Close(ctx)
	d.stop()
	d.tasks.Wait()
	d.ready.close()
	d.relays.Close()
	d.closeMetrics()
	d.log.Info("daemon: stopped", zap.Int64("took_ms", time.Since(began).Milliseconds()), logline.Err(err))
	return err
}

// closeMetrics ends serving metrics, where they are served.
func (d *Daemon) closeMetrics() {
	if d.exposed != nil {
		d.exposed.Close()
	}
}

// Kill ends the daemon at once, as a crash would: connections are closed, and
// nothing is given up.
func (d *Daemon) Kill() {
	d.gateway.Kill()
	d.ready.close()
	d.relays.Close()
	d.closeMetrics()
	d.stop()
	d.tasks.Wait()
}
