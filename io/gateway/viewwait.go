package gateway

import "time"

// A request waits for the daemon's first view for at most maxViewWait, which is longer than a
// start usually takes to read it, and for at most 1/viewWaitDivisor of the client's timeout.
const (
	maxViewWait     = 700 * time.Millisecond
	viewWaitDivisor = 4
)

// waitForView delays a request that arrives before the daemon has read its first view. After a
// restart of all daemons the read takes some tenths of a second, which costs the client less
// than a refusal. If the store is unreadable, the delay is unknown, so the request does not
// wait: without a configuration it is refused at once.
func (j *job) waitForView() {
	ready := j.server.source.ViewReady()
	select {
	case <-ready:
		return
	default:
	}
	timer := time.NewTimer(min(j.server.maxViewWait, j.request.ClientTimeout/viewWaitDivisor))
	defer timer.Stop()
	select {
	case <-ready:
	case <-j.server.source.ViewUnreadable():
	case <-timer.C:
	}
}
