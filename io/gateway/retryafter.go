package gateway

import (
	"math/rand/v2"
	"time"

	"headcourse/core/deferral"
	"headcourse/core/request"
)

// A Retry-After delay depends on what a refused client waits for. Most clients retry only once,
// so the delay must be long enough for that retry to succeed, but a client does not wait longer
// than a fraction of its timeout.
const (
	// slotRetryDelay applies to all other refusals, most of them because all groups are busy: a
	// group frees a slot every 30 to 80 ms.
	slotRetryDelay = 250 * time.Millisecond
	// groupRetryDelay applies when no server is available: a group forms again within 0.6 s to
	// 2 s, also outside an evacuated zone, and the entries of servers are back within 2 s of
	// the end of a store outage.
	groupRetryDelay = 1500 * time.Millisecond
	// storeRetryDelay applies when the store is unavailable: its outages last for seconds.
	storeRetryDelay = 2500 * time.Millisecond
	// trialRetryDelay applies during the trial of a request that is suspected of crashing
	// servers. The trial takes up to the full length of an answer.
	trialRetryDelay = 2 * time.Second
	// pauseJitterFraction and minPauseJitter spread the retries of clients after the end of a
	// pause that all servers requested. The jitter is minPauseJitter plus this fraction of the
	// pause. Without it the servers would refuse the clients again, since all would return at
	// once.
	pauseJitterFraction = 0.25
	minPauseJitter      = 400 * time.Millisecond
	// maxDelayDivisor bounds a delay to 1/maxDelayDivisor of the client's remaining time;
	// clients do not wait longer.
	maxDelayDivisor = 3
	// A delay is multiplied by a random factor from minDelayFactor to minDelayFactor plus
	// delayFactorSpread, so that clients that were refused together do not retry together.
	minDelayFactor    = 0.6
	delayFactorSpread = 0.4
)

// retryAfter returns the Retry-After delay for a refused client.
func (j *job) retryAfter(reason request.Reason) time.Duration {
	delay := slotRetryDelay
	switch reason {
	case request.ReasonDaemonStopping:
		// Other daemons serve the request at once.
		return 0
	case request.ReasonCrashesServers:
		if j.quarantineLeft > trialRetryDelay {
			// No earlier retry can succeed, so the client gets the whole remaining time.
			return j.quarantineLeft.Round(time.Second)
		}
		delay = trialRetryDelay
	case request.ReasonOverload:
		if afterBacklog := deferral.RetryAfter(j.overload.Backlog, j.timeLeft(), rand.Float64()); afterBacklog > 0 {
			return afterBacklog.Round(time.Millisecond)
		}
	case request.ReasonNotConfigured, request.ReasonConfigurationStale:
		delay = storeRetryDelay
	case request.ReasonNoServer, request.ReasonZoneEvacuated:
		delay = groupRetryDelay
	default:
		unavailable := j.server.soonestUnavailability(j.service, j.request.Model)
		switch {
		case unavailable.reason == request.ReasonServersLimited && (unavailable.remaining == 0 || unavailable.remaining > groupRetryDelay):
			// The limit is shared with other daemons, which may be able to send requests
			// earlier.
			delay = groupRetryDelay
		case unavailable.remaining > 0:
			return retryAfterPause(unavailable.remaining)
		}
	}
	remaining := j.request.ClientTimeout - j.server.clock.Since(j.acceptedAt)
	delay = min(delay, max(0, remaining/maxDelayDivisor))
	return time.Duration((minDelayFactor + delayFactorSpread*rand.Float64()) * float64(delay)).Round(time.Millisecond)
}

// retryAfterPause returns the Retry-After delay when all servers are paused or at their rate limit
// for the remaining time. It is never shorter than that, since each earlier request would break
// the pause that the servers requested, or exceed their limit.
func retryAfterPause(remaining time.Duration) time.Duration {
	jitter := minPauseJitter + time.Duration(pauseJitterFraction*float64(remaining))
	return (remaining + time.Duration(rand.Float64()*float64(jitter))).Round(time.Millisecond)
}
