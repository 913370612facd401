package gateway

import (
	"time"

	"headcourse/core/request"
)

// A request waits for the daemon's first view for at most maxViewWait, which is longer than a
// start usually takes to read it, and for at most 1/viewWaitDivisor of the client's timeout.
const (
	maxViewWait     = 700 * time.Millisecond
	viewWaitDivisor = 4
	// maxConfirmationWait is the longest time for which a request waits for a confirmation of the view, which takes
	// some milliseconds unless every source is unresponsive.
	maxConfirmationWait = 250 * time.Millisecond
)

// needsConfirmation reports whether a request that was judged with a reason should be judged again by a newer view: it
// would be refused since the view is too old, or would be served by a view that may lack a change in force.
func (j *job) needsConfirmation(reason request.Reason) bool {
	switch reason {
	case request.ReasonConfigurationStale:
		return true
	case request.ReasonNone:
		return j.server.source.ConfirmationPolicy().MayBeSuperseded(j.viewAge())
	default:
		return false
	}
}

// awaitConfirmation waits until the view is confirmed. A daemon that stood still, or whose sources did, then serves the
// request by the present configuration; during an outage of the store the wait ends at once, and the request is served
// by the last known one.
func (j *job) awaitConfirmation() {
	isConfirmed := j.server.source.AwaitConfirmation(min(maxConfirmationWait, j.request.ClientTimeout/viewWaitDivisor))
	outcome := request.Reason("confirmed")
	if !isConfirmed {
		outcome = "unconfirmed"
	}
	j.server.count(countAwaitedViews, outcome)
}

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
