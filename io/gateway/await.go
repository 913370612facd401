package gateway

import "time"

// How long a request is held until the daemon has read what it serves by: at most
// viewPatience, longer than a start takes until the first view, and a part of the client's
// time.
const (
	viewPatience = 700 * time.Millisecond
	viewPart     = 4
)

// awaitView holds a request that comes before the daemon has read what it serves by.
// After a restart of all daemons that takes some tenths of a second; a refusal would
// cost the client more than the wait. Where the store cannot be read nobody knows how
// long it takes, and the client is refused at once.
func (j *job) awaitView() {
	known := j.server.source.Known()
	select {
	case <-known:
		return
	default:
	}
	timer := time.NewTimer(min(j.server.viewPatience, j.request.Wait/viewPart))
	defer timer.Stop()
	select {
	case <-known:
	case <-j.server.source.Unreadable():
	case <-timer.C:
	}
}
