package gateway

import (
	"time"

	"headcourse/core/config"
)

// Figures of the lane of late streams.
const (
	// laneShare is the part of the engines' places that late requests may take in the
	// laneTime after a start, longer than a backlog of clients takes to be served.
	laneShare = 0.3
	laneTime  = 4 * time.Second
	// lanePatience is how long one waits for its turn, lanePart the part of its time
	// at most. A client gives a stream up after two seconds of silence.
	lanePatience = 450 * time.Millisecond
	lanePart     = 4
)

// awaitLane lets a stream that is late already wait while many such are under way,
// so that those that come next find room. It does so only after a start, when all
// clients come back at once: in a lasting overload late requests would wait for each
// other until their clients give up.
func (j *job) awaitLane() {
	j.leaveLane = func() {}
	isBack := j.server.source.KnownFor() < laneTime
	if !isBack || j.route.Kind != config.Stream || j.isInTime(j.request.Arrived) {
		return
	}
	kind := j.service + "/" + j.request.Model
	patience := min(lanePatience, j.left()/lanePart)
	j.leaveLane = j.server.lane.Enter(kind, j.laneLimit(), patience)
}

// laneLimit returns how many late requests of the model this daemon may have under
// way: its part of a share of all places.
func (j *job) laneLimit() int {
	places := 0
	for _, server := range j.server.serving(j.service, j.request.Model) {
		places += server.Capacity
	}
	return max(1, int(laneShare*float64(places)/float64(max(1, j.server.source.Daemons()))))
}
