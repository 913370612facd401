package soak

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"headcourse/lab/standin"
)

// Kills of all daemons in series, within one window of the retry budget.
const (
	killsInSeries                      = 6
	minSeriesKillGap, maxSeriesKillGap = 700 * time.Millisecond, 1500 * time.Millisecond
	// retriedRequestInterval is the pause of a sender between two requests. With more requests their
	// share would hide a burst that is spent anew at each start.
	retriedRequestInterval = 100 * time.Millisecond
)

// failServers makes all servers of a service fail all requests, so that each request is retried as
// often as the retry budget allows.
func (s *soak) failServers(service string) (end func()) {
	servers := s.platform.Servers(service)
	for _, server := range servers {
		server.SetBehaviour(standin.Failing)
	}
	return func() {
		for _, server := range servers {
			server.SetBehaviour(standin.Normal)
		}
	}
}

// killDaemonsInSeries kills all daemons several times while servers fail.
func killDaemonsInSeries(s *soak) func() {
	end := s.failServers(standin.ServicePlain)
	delay := time.Duration(0)
	for range killsInSeries {
		delay += s.randomDuration(minSeriesKillGap, maxSeriesKillGap)
		s.schedule(delay, func() { s.killDaemons() })
	}
	s.schedule(delay+maxSeriesKillGap, end)
	return nil
}

// killDaemons kills the processes of all daemons.
func (s *soak) killDaemons() {
	s.exempt(nil, killExemption)
	for _, d := range s.daemons {
		s.signalDaemon(d, unix.SIGKILL)
	}
}

// sendRetriedRequests sends requests that may be retried to all daemons until ctx ends. No other
// requests are for their service.
func (s *soak) sendRetriedRequests(ctx context.Context) {
	for _, d := range s.daemons {
		client := &standin.Client{
			Platform: s.platform,
			Address:  d.clientProxy.Address(),
			Daemon:   d.name,
			Key:      s.keys.pick(false),
		}
		go func() {
			for ctx.Err() == nil {
				client.Send(ctx, http.MethodGet, standin.PathRare+"gate", nil, "")
				time.Sleep(retriedRequestInterval)
			}
		}()
	}
}

// checkRetries kills all daemons several times while servers fail, without other faults. It returns
// the daemons that do not serve afterwards, and a failure if no request was retried. The stand-in
// finds windows with too many retries.
func (s *soak) checkRetries() []string {
	before := s.platform.Repeats(standin.ServiceRare)
	end := s.failServers(standin.ServiceRare)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	s.sendRetriedRequests(ctx)
	for range killsInSeries {
		time.Sleep(s.randomDuration(minSeriesKillGap, maxSeriesKillGap))
		s.killDaemons()
	}
	time.Sleep(maxSeriesKillGap)
	end()
	retries := s.platform.Repeats(standin.ServiceRare) - before
	s.logf("all daemons killed %d times while servers fail: %d retries", killsInSeries, retries)
	failures := s.awaitServing("kills in series")
	if retries == 0 {
		failures = append(failures, "no request was retried while servers failed")
	}
	return failures
}
