package gateway

import (
	"math/rand/v2"
	"time"

	"headcourse/core/request"
)

// When a refused client should try again, by what it waits for. Most clients try once
// more only, so the time must be long enough for the second try to succeed, and they
// do not wait longer than a part of their time.
const (
	// placePause is for a place: one of a group's frees every 30 ms to 80 ms.
	placePause = 250 * time.Millisecond
	// groupPause is for a group: one forms again within 0.6 s to 2 s, also outside an evacuated
	// zone, and the entries of servers are back within 2 s of the end of an outage of the store.
	groupPause = 1500 * time.Millisecond
	// storePause is for the store, whose outages take seconds.
	storePause = 2500 * time.Millisecond
	// trialPause is for the trial of a request under which servers ended, which takes up
	// to the whole length of an answer.
	trialPause = 2 * time.Second
	// returnSpread is the part of the pause that all servers asked for, and returnTime the
	// time, over which clients return after its end: at one moment they would be turned
	// away again.
	returnSpread = 0.25
	returnTime   = 400 * time.Millisecond
	// obeyedPart is the part of its remaining time that a client waits at most.
	obeyedPart = 3
	// leastPause and pauseSpread: the pause is drawn between these parts of it, so
	// that clients who were refused together do not come back together.
	leastPause  = 0.6
	pauseSpread = 0.4
)

// comeBack returns when a refused client should try again.
func (j *job) comeBack(reason request.Reason) time.Duration {
	pause := placePause
	switch reason {
	case request.ReasonCrashes:
		if j.heldFor > trialPause {
			// No sooner try is of use, so the client is told the whole time.
			return j.heldFor.Round(time.Second)
		}
		pause = trialPause
	case request.ReasonNotConfigured, request.ReasonStale:
		pause = storePause
	case request.ReasonNoServer, request.ReasonEvacuated:
		pause = groupPause
	default:
		why := j.server.whyWithheld(j.service, j.request.Model)
		switch {
		case why.reason == request.ReasonLimited && (why.left == 0 || why.left > groupPause):
			// Other daemons have a part of what the servers take too, and room sooner.
			pause = groupPause
		case why.left > 0:
			return afterPause(why.left)
		}
	}
	left := j.request.Wait - j.server.clock.Since(j.came)
	pause = min(pause, max(0, left/obeyedPart))
	return time.Duration((leastPause + pauseSpread*rand.Float64()) * float64(pause)).Round(time.Millisecond)
}

// afterPause returns when a client should try again whose servers all take no request for so
// long: no sooner, since each daemon that asks them earlier breaks their word.
func afterPause(left time.Duration) time.Duration {
	spread := returnTime + time.Duration(returnSpread*float64(left))
	return (left + time.Duration(rand.Float64()*float64(spread))).Round(time.Millisecond)
}
